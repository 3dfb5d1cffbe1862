// Package relayer is the reverse proxy for the routes of the document. For each
// request it finds the route and the client account, has an upstream chosen,
// forwards the request to it and relays the response.
//
// What a caller may be told depends on what is known about each attempt:
//
//   - After an attempt of which no byte was sent, or which the upstream reports
//     as not begun, any request may be sent to another upstream.
//   - After any other attempt, only idempotent requests are sent again.
//   - The outcome "not run" (503) is returned only if all attempts were of the
//     first sort.
//   - A response is either complete or its connection is visibly cut.
//
// A response that is not a stream is buffered completely before the caller sees
// any of it, so that a broken one can still be replaced by another attempt. A
// stream is relayed event by event; if its upstream fails in the middle, a
// resumable stream continues at another upstream after the last event relayed.
//
// An upstream that makes no progress for a while may only be silent. Its attempt is
// given up once another upstream has taken an idempotent request over, see stall.go.
//
// # Usage
//
//	r := relayer.New(relayer.Options{
//		Configuration: configuration, Placer: allocator, Suspects: notifier,
//		Carrier: carrier, Dialect: dialect, Logger: logger,
//	})
//	server := &http.Server{Handler: r}
package relayer

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/acceptor"
	"github.com/redwingshunt/redwingshunt/authenticator"
	"github.com/redwingshunt/redwingshunt/carrier"
	"github.com/redwingshunt/redwingshunt/matcher"
)

// Options configure a Relayer.
type Options struct {
	Configuration redwingshunt.Configuration
	Placer        redwingshunt.Placer
	Suspects      redwingshunt.Suspects  // may be nil
	Parts         redwingshunt.PartGuard // may be nil
	Roll          redwingshunt.Roll      // receives upstreams that leave; may be nil
	Origins       redwingshunt.Origins   // knows where streams began; may be nil
	Carrier       *carrier.Carrier
	Dialect       redwingshunt.Dialect
	Logger        *slog.Logger
	// ConcurrencyLimit returns the number of requests served concurrently, zero for no
	// limit; may be nil.
	ConcurrencyLimit func() int
	// BufferBytes bounds in bytes the buffers of long requests and responses together;
	// zero is unlimited.
	BufferBytes int64
	// Hedge is the percentage of the requests of a service that may be hedged, for services
	// that set none; zero is none.
	Hedge float64
	// Memory bounds the buffers of responses together with what else the instance
	// holds for its callers; nil is unlimited.
	Memory redwingshunt.Memory
	// Observe is called at the end of each request; may be nil.
	Observe func(Record)
}

// Relayer is an http.Handler. It is safe for concurrent use.
type Relayer struct {
	options  Options
	accounts *authenticator.Authenticator
	index    atomic.Pointer[index]
	running  occupancy
	ended    atomic.Int64
	hedging  *hedging
	buffered occupancy // bytes, bounded by Options.BufferBytes
	// abandoned counts the ended requests whose callers had disconnected before
	// the first attempt.
	abandoned    atomic.Int64
	refused      atomic.Int64  // ended requests that were refused at the limit
	refusalLog   refusalLog    // limits log lines of refusals at the limit
	checkLog     refusalLog    // limits log lines of refusals before the body is read
	loadLog      refusalLog    // limits log lines of invalid loads of upstreams
	refusalSlots chan struct{} // semaphore: one element for each refusal of a full instance in progress
	awaiting     sync.Map      // *exchange without a response, to context.CancelCauseFunc
	leaving      atomic.Bool
	stopping     atomic.Bool
	base         context.Context
	abort        context.CancelCauseFunc
}

// connectionKey is the context key of the caller's connection.
type connectionKey struct{}

// WithConnection stores a caller's connection in the context of its requests.
// It is used as the ConnContext of the server.
func WithConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// callerGone reports whether the caller has closed its connection. The server
// itself notices that only when it reads from the connection, which on a busy
// instance may happen after the request would have been forwarded.
func callerGone(ctx context.Context) bool {
	connection, ok := ctx.Value(connectionKey{}).(net.Conn)
	return ok && carrier.PeerClosed(connection)
}

// waitedLong reports whether the caller has probably waited so long to be accepted that
// its deadline, which counts from when it sent the request, cannot be worked out.
func waitedLong(ctx context.Context) bool {
	connection, ok := ctx.Value(connectionKey{}).(net.Conn)
	return ok && acceptor.WaitedLong(connection)
}

// index is the lookup data derived from one configuration.
type index struct {
	snapshot *redwingshunt.Snapshot
	routes   *matcher.Table
	regions  regionIndex
	hedges   map[redwingshunt.ServiceID]float64 // percentages; nil if no request may be hedged
}

// New returns a relayer.
func New(options Options) *Relayer {
	r := &Relayer{options: options, accounts: authenticator.New(), hedging: newHedging(), refusalSlots: make(chan struct{}, maxConcurrentRefusals)}
	r.base, r.abort = context.WithCancelCause(context.Background())
	if options.Parts != nil {
		options.Parts.Watch(r.dropRefused)
	}
	return r
}

// Running returns the number of requests in flight.
func (r *Relayer) Running() int { return r.running.sum() }

// Ended returns totals since the start: ended requests, those whose callers had
// disconnected before the first attempt, and those refused because the instance
// was at its limit of concurrent requests.
func (r *Relayer) Ended() (all, abandoned, refused int64) {
	return r.ended.Load(), r.abandoned.Load(), r.refused.Load()
}

// Leave closes each connection after its next response; requests are still
// served.
func (r *Relayer) Leave() { r.leaving.Store(true) }

// Stop refuses new requests as not run, and also closes connections like Leave.
func (r *Relayer) Stop() { r.leaving.Store(true); r.stopping.Store(true) }

func (r *Relayer) limit() int {
	if r.options.ConcurrencyLimit == nil {
		return 0
	}
	return r.options.ConcurrencyLimit()
}

// Leaving reports whether Leave or Stop was called.
func (r *Relayer) Leaving() bool { return r.leaving.Load() }

// Abort ends the requests in flight.
func (r *Relayer) Abort() { r.abort(redwingshunt.ErrStopping) }

// currentIndex returns the index of the configuration in force, or nil without one.
func (r *Relayer) currentIndex() *index {
	snapshot := r.options.Configuration.Current()
	if snapshot == nil {
		return nil
	}
	if i := r.index.Load(); i != nil && i.snapshot == snapshot {
		return i
	}
	i := &index{
		snapshot: snapshot, routes: matcher.New(snapshot.Document),
		regions: newRegionIndex(snapshot.Document), hedges: hedgePercents(snapshot.Document, r.options.Hedge),
	}
	r.index.Store(i)
	return i
}

// ServeHTTP serves one request.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	defer r.ended.Add(1)
	if r.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	client := r.clientOf(request)
	account := accountName(client)
	if waitedLong(request.Context()) || !r.running.tryAcquire(account, 1, r.limit()) {
		if !r.refuseFull(w, request, account) {
			linger(request)
		}
		return
	}
	x := &exchange{relayer: r, writer: w, request: request, client: client, arrived: time.Now()}
	defer func() { // after the request has left the running count
		if x.bodyIncomplete {
			linger(request)
		}
	}()
	defer r.running.release(account, 1)
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	stop := context.AfterFunc(r.base, func() { cancel(context.Cause(r.base)) })
	defer stop()
	defer x.releaseBuffers()
	defer x.recordPanic()
	err := x.serve(ctx)
	x.finish(ctx, err)
}

// exchange is the state of one request in flight.
type exchange struct {
	relayer *Relayer
	writer  http.ResponseWriter
	request *http.Request
	client  *redwingshunt.Account // found by its key; nil if unknown
	arrived time.Time

	id          string
	route       *redwingshunt.Route
	service     redwingshunt.ServiceID
	account     redwingshunt.AccountID
	prompt      []redwingshunt.Part
	output      int64
	body        []byte
	deadline    time.Time
	fingerprint redwingshunt.Fingerprint
	shared      redwingshunt.SharedPrompt
	admitted    bool // by Options.Suspects, and its end not yet reported

	tries          int  // upstreams chosen
	sent           int  // attempts of which a byte was sent
	paid           bool // a retry was taken from the budget and is not used yet
	mayHaveRun     bool // an attempt may have begun
	avoid          redwingshunt.Set[redwingshunt.UpstreamID]
	upstream       redwingshunt.UpstreamID // of the last attempt
	build          string                  // software version of that upstream
	firstByte      time.Duration
	predicted      time.Duration // time until the first event, for the last attempt
	standby        *standby      // runs beside the last attempt; may be nil
	started        bool          // a byte of the response was sent to the caller
	status         int           // sent to the caller
	buffered       int           // bytes, counted against Options.BufferBytes
	reserved       int64         // bytes of Options.Memory
	progressed     time.Time     // start of the last attempt, or its last progress
	bodyUnread     bool          // refused before the body was read
	bodyIncomplete bool          // the rest of the body did not arrive within bodyRestTimeout
	events         eventSplitter
	version        redwingshunt.Option[string] // software version that began the stream
	hedgePercent   float64                     // of the requests of the service; zero for none
	hedge          *hedge                      // nil if the request is not hedged
	warmOnly       bool                        // a hedge is being placed
	regions        requestRegions
	loads          int       // reported by upstreams and used
	oddLoads       int       // reports with an invalid figure
	takesUp        bool      // the caller takes up a stream that an earlier request began
	patience       time.Time // how long the caller itself waits
}

// reserveResponse reserves buffer space for a part of a response until the request
// ends. It reserves it in any case and reports whether it is within Options.BufferBytes
// and Options.Memory.
func (x *exchange) reserveResponse(bytes int) bool {
	x.buffered += bytes
	if x.relayer.buffered.acquire(x.account, bytes, int(x.relayer.options.BufferBytes)) {
		return false
	}
	memory := x.relayer.options.Memory
	if memory == nil {
		return true
	}
	if !memory.Reserve(int64(bytes)) {
		return false
	}
	x.reserved += int64(bytes)
	return true
}

// releaseBuffers returns the buffer space of the request.
func (x *exchange) releaseBuffers() {
	x.relayer.buffered.release(x.account, x.buffered)
	if x.reserved > 0 {
		x.relayer.options.Memory.Release(x.reserved)
	}
}

// reserveBody reserves buffer space for the body until the request ends. It
// reserves nothing and returns false if there is too little space or the client
// account uses too much of it.
func (x *exchange) reserveBody(bytes int) bool {
	if !x.relayer.buffered.tryAcquire(x.account, bytes, int(x.relayer.options.BufferBytes)) {
		return false
	}
	x.buffered += bytes
	return true
}

// errResponseCut ends a request of which the caller has part of the response.
var errResponseCut = errors.New("the response was cut off after a part of it was sent")

// errCallerLeft ends a request whose caller disconnected in the middle of the
// response.
var errCallerLeft = errors.New("the caller disconnected before the response was complete")

// serve returns nil once the caller has its response, an OutcomeError that is
// still to be sent, errResponseCut or errCallerLeft.
func (x *exchange) serve(ctx context.Context) error {
	if err := x.admit(ctx); err != nil {
		return err
	}
	// A caller that stops reading must not block the request past its deadline.
	controller := http.NewResponseController(x.writer)
	_ = controller.SetWriteDeadline(x.deadline.Add(writeGrace)) // unsupported by a response recorder
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline, errDeadline)
	defer cancel()
	return x.runAttempts(ctx)
}

// writeGrace is the time after its deadline in which a request may still send an
// error to the caller.
const writeGrace = 400 * time.Millisecond

// admit reads the request and checks it against the configuration in force.
func (x *exchange) admit(ctx context.Context) error {
	r := x.relayer
	dialect := r.options.Dialect
	x.id = x.request.Header.Get(dialect.Request)
	x.limitBodyTime()
	if r.stopping.Load() {
		return redwingshunt.NotRun(redwingshunt.ReasonStopping, http.StatusServiceUnavailable,
			"this instance is shutting down; use another").After(stoppingRetryAfter)
	}
	i := r.currentIndex()
	if i == nil {
		return redwingshunt.NotRun(redwingshunt.ReasonNoConfiguration, http.StatusServiceUnavailable,
			"this instance has no configuration yet").After(redwingshunt.RetrySoon)
	}
	if limit := i.snapshot.Document.Limits.Header; limit > 0 && headerSize(x.request) > limit {
		return redwingshunt.NotRun(redwingshunt.ReasonInvalidRequest, http.StatusRequestHeaderFieldsTooLarge,
			"the header is longer than "+strconv.FormatInt(limit, 10)+" bytes")
	}
	if x.id == "" {
		return redwingshunt.NotRun(redwingshunt.ReasonInvalidRequest, http.StatusBadRequest,
			"the header "+dialect.Request+" is missing")
	}
	x.route = i.routes.Find(x.request.Host, pathOf(x.request))
	if x.route == nil {
		return redwingshunt.NotRun(redwingshunt.ReasonUnknownService, http.StatusNotFound, "no route fits the host and path")
	}
	if err := x.authenticate(i); err != nil {
		return err
	}
	x.regions = i.regionsOf(x.route, x.client)
	if err := x.chooseService(ctx, rand.Uint64()); err != nil {
		x.bodyUnread = true
		return err
	}
	x.hedgePercent = i.hedges[x.service]
	if err := x.readHeader(); err != nil {
		return err
	}
	err := x.checkParts()
	if err == nil {
		err = r.options.Placer.Check(x.placement(1))
		x.noteRefusal(err)
	}
	if err != nil {
		x.bodyUnread = true
		return err
	}
	return x.readBody(i.snapshot.Document.Limits)
}

// stoppingRetryAfter is the Retry-After of an instance at the end of its shutdown;
// other instances serve the request at once.
const stoppingRetryAfter = 50 * time.Millisecond

// authenticate finds the client account by its key. Public routes, and all routes
// if the document has no accounts, require no key.
func (x *exchange) authenticate(i *index) error {
	dialect := x.relayer.options.Dialect
	if x.client == nil { // the configuration may have arrived since
		x.client = x.relayer.accounts.Find(i.snapshot, x.request.Header.Get(dialect.Key))
	}
	if x.client != nil {
		x.account = x.client.Name
		return nil
	}
	if x.route.Public || len(i.snapshot.Document.Accounts) == 0 {
		return nil
	}
	return redwingshunt.NotRun(redwingshunt.ReasonUnauthorized, http.StatusUnauthorized,
		"send the key of a client account in "+dialect.Key)
}

// admitSuspect waits until the request may run if upstreams died while they ran
// it before.
func (x *exchange) admitSuspect(ctx context.Context) error {
	suspects := x.relayer.options.Suspects
	if suspects == nil || x.admitted {
		return nil
	}
	if x.fingerprint == (redwingshunt.Fingerprint{}) {
		x.fingerprint = redwingshunt.NewFingerprint(x.body, string(x.account), x.request.Host, x.request.Method, targetOf(x.request))
	}
	if err := suspects.Admit(ctx, x.fingerprint); err != nil {
		outcome := *redwingshunt.OutcomeOf(err)
		outcome.Status = http.StatusServiceUnavailable // the status that means "not run"
		return &outcome
	}
	x.admitted = true
	return nil
}

// settleSuspect reports the end of an admitted request.
func (x *exchange) settleSuspect(complete bool) {
	if !x.admitted {
		return
	}
	x.admitted = false
	if complete {
		x.relayer.options.Suspects.Completed(x.fingerprint)
		return
	}
	x.relayer.options.Suspects.Ended(x.fingerprint)
}
