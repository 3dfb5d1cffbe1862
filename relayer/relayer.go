// Package relayer serves the requests of callers by the routes of the document:
// it finds route and client account, has an upstream chosen, sends the request
// there and passes the answer on.
//
// What it may tell a caller follows from what is known of each attempt:
//
//   - an attempt that no byte of was sent, or that the upstream says it has not
//     begun, may be followed by another one whatever the request is;
//   - after any other one, only idempotent requests are sent again;
//   - "not run" (503) is told only when every attempt was of the first sort;
//   - an answer is whole, or its connection breaks visibly.
//
// An answer that is no stream is read whole before the caller sees any of it,
// so that a broken one can still be replaced. A stream is passed on event by
// event; when its upstream breaks it off, a resumable one goes on at another
// upstream after the last event that was passed on.
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
	"sync/atomic"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/authenticator"
	"github.com/redwingshunt/redwingshunt/carrier"
	"github.com/redwingshunt/redwingshunt/matcher"
)

// Options configure a Relayer.
type Options struct {
	Configuration redwingshunt.Configuration
	Placer        redwingshunt.Placer
	Suspects      redwingshunt.Suspects // may be nil
	Roll          redwingshunt.Roll     // told of upstreams that leave; may be nil
	Carrier       *carrier.Carrier
	Dialect       redwingshunt.Dialect
	Logger        *slog.Logger
	// Limit returns how many requests are served at once, zero without a limit;
	// may be nil.
	Limit func() int
	// Room bounds in bytes what is held of long requests and answers at once;
	// zero is unlimited.
	Room int64
	// Observe is told the end of each request; may be nil.
	Observe func(Record)
}

// Record is the end of one request, for metrics.
type Record struct {
	Route    redwingshunt.RouteID
	Service  redwingshunt.ServiceID
	Outcome  string
	Attempts int
	First    time.Duration // until the first byte of the answer; zero without one
	Total    time.Duration
}

// Relayer is an http.Handler. It is safe for concurrent use.
type Relayer struct {
	options  Options
	accounts *authenticator.Authenticator
	index    atomic.Pointer[index]
	running  occupancy
	ended    atomic.Int64
	held     occupancy // in bytes, of Options.Room
	// abandoned counts those of ended whose callers had gone before they were read.
	abandoned atomic.Int64
	refused   atomic.Int64  // of ended, at the limit
	refusals  refusals      // at the limit
	checked   refusals      // before the body was read
	refusing  chan struct{} // holds one for each refusal of a full instance that is under way
	leaving   atomic.Bool
	stopping  atomic.Bool
	base      context.Context
	abort     context.CancelCauseFunc
}

// connectionKey is the key of the caller's connection in a context.
type connectionKey struct{}

// WithConnection keeps the connection of a caller for its requests. It is the
// ConnContext of the server.
func WithConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// callerGone reports whether the caller has closed its connection. The server
// notices that by itself only when it gets to read, which on a busy instance
// may be after the request would have been sent on.
func callerGone(ctx context.Context) bool {
	connection, ok := ctx.Value(connectionKey{}).(net.Conn)
	return ok && carrier.Ended(connection)
}

// index is what is looked up in one configuration.
type index struct {
	snapshot *redwingshunt.Snapshot
	routes   *matcher.Table
}

// New returns a relayer.
func New(options Options) *Relayer {
	r := &Relayer{options: options, accounts: authenticator.New(), refusing: make(chan struct{}, refusedAtOnce)}
	r.base, r.abort = context.WithCancelCause(context.Background())
	return r
}

// Running returns the number of requests that are being served.
func (r *Relayer) Running() int { return r.running.all() }

// Ended returns how many requests have ended since the start, of how many of
// them the callers had gone before they were read, and how many were refused
// since as many as the instance carries were served.
func (r *Relayer) Ended() (all, abandoned, refused int64) {
	return r.ended.Load(), r.abandoned.Load(), r.refused.Load()
}

// Leave closes each connection after its next answer, while requests are still
// served.
func (r *Relayer) Leave() { r.leaving.Store(true) }

// Stop refuses new requests as not run.
func (r *Relayer) Stop() { r.leaving.Store(true); r.stopping.Store(true) }

func (r *Relayer) limit() int {
	if r.options.Limit == nil {
		return 0
	}
	return r.options.Limit()
}

// Leaving reports whether Leave or Stop was called.
func (r *Relayer) Leaving() bool { return r.leaving.Load() }

// Abort ends the requests that still run.
func (r *Relayer) Abort() { r.abort(redwingshunt.ErrStopping) }

// indexOf returns the index of the configuration in force, or nil without one.
func (r *Relayer) indexOf() *index {
	snapshot := r.options.Configuration.Current()
	if snapshot == nil {
		return nil
	}
	if i := r.index.Load(); i != nil && i.snapshot == snapshot {
		return i
	}
	i := &index{snapshot: snapshot, routes: matcher.New(snapshot.Document)}
	r.index.Store(i)
	return i
}

// ServeHTTP serves one request.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	defer r.ended.Add(1)
	if r.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	caller := r.callerOf(request)
	account := accountName(caller)
	if !r.running.enter(account, 1, r.limit()) {
		if !r.refuseFull(w, request, account) {
			linger(request)
		}
		return
	}
	x := &exchange{relayer: r, writer: w, request: request, caller: caller, arrived: time.Now()}
	defer func() { // without a place
		if x.partial {
			linger(request)
		}
	}()
	defer r.running.leave(account, 1)
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	stop := context.AfterFunc(r.base, func() { cancel(context.Cause(r.base)) })
	defer stop()
	defer func() { r.held.leave(x.account, x.held) }()
	err := x.serve(ctx)
	x.finish(ctx, err)
}

// exchange is one request on its way.
type exchange struct {
	relayer *Relayer
	writer  http.ResponseWriter
	request *http.Request
	caller  *redwingshunt.Account // by its key; nil when it is not known
	arrived time.Time

	id        string
	route     *redwingshunt.Route
	service   redwingshunt.ServiceID
	account   redwingshunt.AccountID
	prompt    []redwingshunt.Part
	output    int64
	body      []byte
	deadline  time.Time
	suspicion redwingshunt.Fingerprint
	admitted  bool // by Options.Suspects, and not settled yet

	tries     int  // upstreams chosen
	sent      int  // attempts of which a byte was sent
	run       bool // an attempt may have begun
	avoid     redwingshunt.Set[redwingshunt.UpstreamID]
	upstream  redwingshunt.UpstreamID // of the last attempt
	first     time.Duration
	predicted time.Duration // until the first event, at the last attempt
	started   bool          // a byte of the answer went to the caller
	status    int           // that the caller saw
	held      int           // bytes, of Options.Room
	unread    bool          // refused before the body was read
	partial   bool          // the rest of the body did not come at once
	events    stream
}

// hold takes room for so many bytes of an answer until the end of the request. It
// reports whether there was room.
func (x *exchange) hold(bytes int) bool {
	x.held += bytes
	return !x.relayer.held.exceed(x.account, bytes, int(x.relayer.options.Room))
}

// holdBody takes room for so many bytes of the body until the end of the request,
// unless there is none or the client account holds too much.
func (x *exchange) holdBody(bytes int) bool {
	if !x.relayer.held.enter(x.account, bytes, int(x.relayer.options.Room)) {
		return false
	}
	x.held += bytes
	return true
}

// errBroken ends a request whose caller has got a part of the answer.
var errBroken = errors.New("the answer was broken off")

// errLeft ends a request whose caller went away with a part of the answer.
var errLeft = errors.New("the caller went away within the answer")

// serve returns nil once the caller has its answer, an OutcomeError that is
// still to be told, or errBroken.
func (x *exchange) serve(ctx context.Context) error {
	if err := x.admit(); err != nil {
		return err
	}
	// A caller that takes no bytes must not hold the request beyond its time.
	controller := http.NewResponseController(x.writer)
	_ = controller.SetWriteDeadline(x.deadline.Add(lastWrite)) // not on a recorded response
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline, errDeadline)
	defer cancel()
	return x.attempts(ctx)
}

// lastWrite is how long after its deadline a request may still be told its end.
const lastWrite = 400 * time.Millisecond

// admit reads the request and checks it against the configuration in force.
func (x *exchange) admit() error {
	r := x.relayer
	dialect := r.options.Dialect
	x.id = x.request.Header.Get(dialect.Request)
	if r.stopping.Load() {
		return redwingshunt.NotRun(redwingshunt.ReasonStopping, http.StatusServiceUnavailable,
			"this instance is shutting down; use another").After(stoppingAfter)
	}
	i := r.indexOf()
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
	x.service = matcher.Pick(x.route, rand.Uint64())
	if err := x.readHeader(); err != nil {
		return err
	}
	if err := r.options.Placer.Check(x.placement(1)); err != nil {
		x.unread = true
		return err
	}
	return x.readBody(i.snapshot.Document.Limits)
}

// stoppingAfter is when a caller may come back that met an instance at the end
// of its shutdown: other instances serve it at once.
const stoppingAfter = 50 * time.Millisecond

// authenticate finds the client account by its key. Routes without accounts in
// the document, and public ones, ask for none.
func (x *exchange) authenticate(i *index) error {
	dialect := x.relayer.options.Dialect
	if x.caller == nil { // the configuration may have come since
		x.caller = x.relayer.accounts.Find(i.snapshot, x.request.Header.Get(dialect.Key))
	}
	if x.caller != nil {
		x.account = x.caller.Name
		return nil
	}
	if x.route.Public || len(i.snapshot.Document.Accounts) == 0 {
		return nil
	}
	return redwingshunt.NotRun(redwingshunt.ReasonUnauthorized, http.StatusUnauthorized,
		"send the key of a client account in "+dialect.Key)
}

// admitSuspect waits until a request may run during which upstreams have died.
func (x *exchange) admitSuspect(ctx context.Context) error {
	suspects := x.relayer.options.Suspects
	if suspects == nil || x.admitted {
		return nil
	}
	if x.suspicion == (redwingshunt.Fingerprint{}) {
		x.suspicion = redwingshunt.NewFingerprint(x.body, string(x.account), x.request.Host, x.request.Method, targetOf(x.request))
	}
	if err := suspects.Admit(ctx, x.suspicion); err != nil {
		outcome := *redwingshunt.OutcomeOf(err)
		outcome.Status = http.StatusServiceUnavailable // the status that promises "not run"
		return &outcome
	}
	x.admitted = true
	return nil
}

// settleSuspect tells what became of the request, once admitted.
func (x *exchange) settleSuspect(complete bool) {
	if !x.admitted {
		return
	}
	x.admitted = false
	if complete {
		x.relayer.options.Suspects.Completed(x.suspicion)
		return
	}
	x.relayer.options.Suspects.Ended(x.suspicion)
}

// finish tells the caller an error that it has not been told, logs the end of
// the request and breaks the connection of a broken answer.
func (x *exchange) finish(ctx context.Context, err error) {
	outcome := "answered"
	var told *redwingshunt.OutcomeError
	switch {
	case errors.Is(err, errBroken):
		outcome = "broken"
	case errors.Is(err, errLeft):
		outcome = "left"
	case err != nil:
		told = redwingshunt.OutcomeOf(err)
		outcome = string(told.Reason)
		if told.Status != redwingshunt.StatusClientClosed {
			x.refuse(told)
		}
	}
	line, untold := true, 0
	if x.unread && told != nil {
		line, untold = x.relayer.checked.note(x.arrived, checkedLines)
	}
	if line {
		x.log(ctx, outcome, told, err, untold)
	}
	if x.relayer.options.Observe != nil {
		x.relayer.options.Observe(x.record(outcome))
	}
	if errors.Is(err, errBroken) || errors.Is(err, errLeft) || told != nil && told.Status == redwingshunt.StatusClientClosed {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) record(outcome string) Record {
	record := Record{
		Service: x.service, Outcome: outcome, Attempts: x.sent, First: x.first, Total: time.Since(x.arrived),
	}
	if x.route != nil {
		record.Route = x.route.Name
	}
	return record
}

// log writes the one line that tells a request's whole story at its end.
func (x *exchange) log(ctx context.Context, outcome string, told *redwingshunt.OutcomeError, err error, untold int) {
	level := slog.LevelInfo
	attributes := []slog.Attr{
		slog.String("request", x.id), slog.String("outcome", outcome), slog.Int("status", x.status),
		slog.String("service", string(x.service)), slog.String("account", string(x.account)),
		slog.String("upstream", string(x.upstream)), slog.Int("tries", x.tries), slog.Int("sent", x.sent),
		slog.Duration("predicted", x.predicted), slog.Duration("first", x.first), slog.Duration("total", time.Since(x.arrived)),
	}
	if x.route != nil {
		attributes = append(attributes, slog.String("route", string(x.route.Name)))
	}
	if untold > 0 {
		attributes = append(attributes, slog.Int("untold", untold))
	}
	if x.events.last > 0 {
		attributes = append(attributes, slog.Uint64("event", x.events.last))
	}
	if told != nil {
		level = slog.LevelWarn
		attributes = append(attributes, slog.String("promise", string(told.Outcome)),
			slog.String("detail", told.Detail), slog.Duration("after", told.RetryAfter))
	} else if err != nil {
		if !errors.Is(err, errLeft) {
			level = slog.LevelWarn
		}
		attributes = append(attributes, slog.String("detail", err.Error()))
	}
	if i := x.relayer.index.Load(); i != nil {
		attributes = append(attributes, slog.Uint64("version", i.snapshot.Document.Version))
	}
	x.relayer.options.Logger.LogAttrs(context.WithoutCancel(ctx), level, "request ended", attributes...)
}
