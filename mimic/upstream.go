package mimic

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
)

// UpstreamOptions configures an Upstream.
type UpstreamOptions struct {
	ID      redwingshunt.UpstreamID
	Dialect redwingshunt.Dialect
	Address string        // listen address; "127.0.0.1:0" if empty
	Events  int           // per stream; zero serves plain responses
	Pause   time.Duration // before each event, or before a plain response
	Slots   int           // concurrent requests, further ones are refused as not run; zero is unlimited
}

// Misbehaviour is a fault that an Upstream injects into its next requests.
type Misbehaviour uint8

// The kinds of misbehaviour.
const (
	Behave      Misbehaviour = iota
	Fail                     // responds with status 500
	RefuseAll                // refuses the request as not started
	CutHeader                // runs the request and closes the connection without a response
	CutStream                // aborts a stream within its second event
	Hang                     // accepts the request and sends no response
	AnswerLate               // sends the response to another request first
	Unsigned                 // omits its signature from the response
	Wander                   // skips an event of a stream
	RefuseBegun              // runs the request, responds with status 503 and states that it started
)

// Upstream simulates an upstream of routes. It uses the headers of a Dialect,
// signs its responses, numbers the events of streams and resumes them, and counts
// the runs of each request. It is safe for concurrent use.
type Upstream struct {
	options UpstreamOptions
	server  *http.Server
	socket  net.Listener

	mu      sync.Mutex
	fault   Misbehaviour
	leaving bool   // set in the header of each response
	after   string // Retry-After of refusals
	times   int    // remaining requests that the fault applies to; negative for all
	running int
	runs    map[string]int         // by request
	headers map[string]http.Header // of the last run
	left    map[string]bool        // requests whose caller disconnected
	bodies  map[string]int64       // bytes of the body of the last run
}

// NewUpstream returns an upstream that does not listen yet.
func NewUpstream(options UpstreamOptions) *Upstream {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	w := &Upstream{
		options: options, runs: make(map[string]int), headers: make(map[string]http.Header),
		left: make(map[string]bool), bodies: make(map[string]int64),
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: headerTimeout}
	return w
}

// headerTimeout is the time limit for reading a request header.
const headerTimeout = 5 * time.Second

// Start listens and serves in the background.
func (w *Upstream) Start() error {
	var config net.ListenConfig
	socket, err := config.Listen(context.Background(), "tcp", w.options.Address)
	if err != nil {
		return trace.Wrap(err)
	}
	w.socket = socket
	go func() { _ = w.server.Serve(socket) }() // ends with Stop
	return nil
}

// Stop closes all connections, like a crash.
func (w *Upstream) Stop() { _ = w.server.Close() }

// Address returns the listen address.
func (w *Upstream) Address() netip.AddrPort {
	return w.socket.Addr().(*net.TCPAddr).AddrPort()
}

// State returns the announcement of the upstream.
func (w *Upstream) State(service redwingshunt.ServiceID, sequence uint64) redwingshunt.UpstreamState {
	return redwingshunt.UpstreamState{
		Upstream: redwingshunt.Upstream{ID: w.options.ID, Service: service, Address: w.Address(), Slots: w.options.Slots},
		Born:     time.UnixMilli(1), Sequence: sequence,
	}
}

// Misbehave applies a fault to the next requests; negative times means all.
func (w *Upstream) Misbehave(m Misbehaviour, times int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault, w.times = m, times
}

// Runs returns how often a request was started.
func (w *Upstream) Runs(request string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[request]
}

// Total returns the number of runs of all requests.
func (w *Upstream) Total() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for _, n := range w.runs {
		total += n
	}
	return total
}

// Header returns the header of the last run of a request.
func (w *Upstream) Header(request string) http.Header {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.headers[request]
}

// Body returns the body size in bytes of the last run of a request.
func (w *Upstream) Body(request string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bodies[request]
}

// Left reports whether the caller of a request disconnected while it ran.
func (w *Upstream) Left(request string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left[request]
}

// Leave makes each response state that the upstream accepts no new requests.
func (w *Upstream) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// BackOff sets the Retry-After header of refusals; empty omits it.
func (w *Upstream) BackOff(after string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.after = after
}

func (w *Upstream) backOff() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.after
}

// setLeaving sets the leaving header of a response if the upstream is leaving.
func (w *Upstream) setLeaving(header http.Header) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving {
		header.Set(w.options.Dialect.Leaving, w.options.Dialect.LeavingAs)
	}
}

// begin records a request and returns the fault to inject and whether the request
// is admitted.
func (w *Upstream) begin(r *http.Request, id string, body int64) (Misbehaviour, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fault := Behave
	if w.times != 0 {
		fault = w.fault
		w.times--
	}
	if fault == RefuseAll || w.options.Slots > 0 && w.running >= w.options.Slots {
		return RefuseAll, false
	}
	w.running++
	w.runs[id]++
	w.headers[id] = r.Header.Clone()
	w.bodies[id] = body
	return fault, true
}

func (w *Upstream) end(id string, left bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	w.left[id] = w.left[id] || left
}

func (w *Upstream) serve(to http.ResponseWriter, r *http.Request) {
	dialect := w.options.Dialect
	id := r.Header.Get(dialect.Request)
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the caller disconnected
	}
	to.Header().Set(dialect.Request, id)
	w.setLeaving(to.Header())
	if expected := r.Header.Get(dialect.Expect); expected != "" && expected != string(w.options.ID) {
		to.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault, admitted := w.begin(r, id, body)
	if !admitted {
		to.Header().Set(dialect.NotRun, "no")
		if after := w.backOff(); after != "" {
			to.Header().Set("Retry-After", after)
		}
		to.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { w.end(id, r.Context().Err() != nil) }()
	w.run(to, r, id, fault)
}

// run responds to an admitted request.
func (w *Upstream) run(to http.ResponseWriter, r *http.Request, id string, fault Misbehaviour) {
	if fault != Unsigned {
		to.Header().Set(w.options.Dialect.Signature, string(w.options.ID)+"."+id)
	}
	switch fault {
	case Hang:
		<-r.Context().Done()
		return
	case CutHeader:
		panic(http.ErrAbortHandler)
	case RefuseBegun:
		to.Header().Set(w.options.Dialect.NotRun, "yes")
		to.WriteHeader(http.StatusServiceUnavailable)
		return
	case Fail:
		to.WriteHeader(http.StatusInternalServerError)
		return
	case AnswerLate:
		w.answerLate(to, id)
		return
	}
	if w.options.Events > 0 {
		w.stream(to, r, fault)
		return
	}
	redwingshunt.Pause(r.Context(), w.options.Pause)
	fmt.Fprintf(to, "answer of %s to %s", w.options.ID, id)
}

// answerLate writes a response to an earlier request and then the correct one.
func (w *Upstream) answerLate(to http.ResponseWriter, id string) {
	hijacker, ok := to.(http.Hijacker)
	if !ok {
		return
	}
	connection, buffer, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	dialect := w.options.Dialect
	for _, named := range []string{"of-before", id} {
		text := "answer to " + named
		fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s",
			dialect.Request, named, dialect.Signature, len(text), text)
	}
	_ = buffer.Flush() // the caller may have disconnected
}

// stream writes numbered events, starting after the last one the caller received.
func (w *Upstream) stream(to http.ResponseWriter, r *http.Request, fault Misbehaviour) {
	last, err := strconv.Atoi(r.Header.Get(redwingshunt.HeaderLastEvent))
	if err != nil {
		last = 0 // from the beginning
	}
	to.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(to)
	for i := last + 1; i <= w.options.Events; i++ {
		redwingshunt.Pause(r.Context(), w.options.Pause)
		if r.Context().Err() != nil {
			return
		}
		if fault == CutStream && i == last+2 {
			fmt.Fprintf(to, "id: %d\ndata: ha", i)
			_ = controller.Flush() // the caller may have disconnected
			panic(http.ErrAbortHandler)
		}
		if fault == Wander && i == last+2 {
			continue
		}
		fmt.Fprintf(to, "id: %d\ndata: token %d\n\n", i, i)
		_ = controller.Flush() // the caller may have disconnected
	}
}
