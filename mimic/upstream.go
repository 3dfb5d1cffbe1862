package mimic

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
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
	Poison  string        // part of a prompt, not the last, with which the upstream stops as it begins to respond

	Received func(r *http.Request, runs bool) // called for each request that is meant for this upstream; may be nil
	Answer   func(*http.Request) string       // body of a plain response; names the upstream and the request if nil
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
	u := &Upstream{
		options: options, runs: make(map[string]int), headers: make(map[string]http.Header),
		left: make(map[string]bool), bodies: make(map[string]int64),
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: headerTimeout}
	return u
}

// headerTimeout is the time limit for reading a request header.
const headerTimeout = 5 * time.Second

// Start listens and serves in the background.
func (u *Upstream) Start() error {
	var config net.ListenConfig
	socket, err := config.Listen(context.Background(), "tcp", u.options.Address)
	if err != nil {
		return trace.Wrap(err)
	}
	u.socket = socket
	go func() { _ = u.server.Serve(socket) }() // ends with Stop
	return nil
}

// Stop closes all connections, like a crash.
func (u *Upstream) Stop() { _ = u.server.Close() }

// Address returns the listen address.
func (u *Upstream) Address() netip.AddrPort {
	return u.socket.Addr().(*net.TCPAddr).AddrPort()
}

// State returns the announcement of the upstream.
func (u *Upstream) State(service redwingshunt.ServiceID, sequence uint64) redwingshunt.UpstreamState {
	return redwingshunt.UpstreamState{
		Upstream: redwingshunt.Upstream{ID: u.options.ID, Service: service, Address: u.Address(), Slots: u.options.Slots},
		Born:     time.UnixMilli(1), Sequence: sequence,
	}
}

// Misbehave applies a fault to the next requests; negative times means all.
func (u *Upstream) Misbehave(m Misbehaviour, times int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault, u.times = m, times
}

// Runs returns how often a request was started.
func (u *Upstream) Runs(request string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[request]
}

// Total returns the number of runs of all requests.
func (u *Upstream) Total() int { return u.TotalOf("") }

// TotalOf returns the number of runs of the requests whose identifiers begin with a
// prefix.
func (u *Upstream) TotalOf(prefix string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	total := 0
	for id, n := range u.runs {
		if strings.HasPrefix(id, prefix) {
			total += n
		}
	}
	return total
}

// Header returns the header of the last run of a request.
func (u *Upstream) Header(request string) http.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.headers[request]
}

// Body returns the body size in bytes of the last run of a request.
func (u *Upstream) Body(request string) int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.bodies[request]
}

// Left reports whether the caller of a request disconnected while it ran.
func (u *Upstream) Left(request string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.left[request]
}

// Leave makes each response state that the upstream accepts no new requests.
func (u *Upstream) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// BackOff sets the Retry-After header of refusals; empty omits it.
func (u *Upstream) BackOff(after string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.after = after
}

func (u *Upstream) backOff() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.after
}

// setLeaving sets the leaving header of a response if the upstream is leaving.
func (u *Upstream) setLeaving(header http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leaving {
		header.Set(u.options.Dialect.Leaving, u.options.Dialect.LeavingAs)
	}
}

// begin records a request and returns the fault to inject and whether the request
// is admitted.
func (u *Upstream) begin(r *http.Request, id string, body int64) (Misbehaviour, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	fault := Behave
	if u.times != 0 {
		fault = u.fault
		u.times--
	}
	if fault == RefuseAll || u.options.Slots > 0 && u.running >= u.options.Slots {
		return RefuseAll, false
	}
	u.running++
	u.runs[id]++
	u.headers[id] = r.Header.Clone()
	u.bodies[id] = body
	return fault, true
}

func (u *Upstream) end(id string, left bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	u.left[id] = u.left[id] || left
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	dialect := u.options.Dialect
	id := r.Header.Get(dialect.Request)
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the caller disconnected
	}
	w.Header().Set(dialect.Request, id)
	u.setLeaving(w.Header())
	if expected := r.Header.Get(dialect.Expect); expected != "" && expected != string(u.options.ID) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault, admitted := u.begin(r, id, body)
	if u.options.Received != nil {
		u.options.Received(r, admitted)
	}
	if !admitted {
		w.Header().Set(dialect.NotRun, "no")
		if after := u.backOff(); after != "" {
			w.Header().Set("Retry-After", after)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { u.end(id, r.Context().Err() != nil) }()
	u.run(w, r, id, fault)
}

// run responds to an admitted request.
func (u *Upstream) run(w http.ResponseWriter, r *http.Request, id string, fault Misbehaviour) {
	if fault != Unsigned {
		w.Header().Set(u.options.Dialect.Signature, string(u.options.ID)+"."+id)
	}
	if u.isPoisoned(r) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush() // the caller may have disconnected
		u.Stop()
		panic(http.ErrAbortHandler)
	}
	switch fault {
	case Hang:
		<-r.Context().Done()
		return
	case CutHeader:
		panic(http.ErrAbortHandler)
	case RefuseBegun:
		w.Header().Set(u.options.Dialect.NotRun, "yes")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case AnswerLate:
		u.answerLate(w, r, id)
		return
	}
	if u.options.Events > 0 {
		u.stream(w, r, fault)
		return
	}
	redwingshunt.Pause(r.Context(), u.options.Pause)
	if u.options.Answer != nil {
		_, _ = io.WriteString(w, u.options.Answer(r)) // the caller may have disconnected
		return
	}
	fmt.Fprintf(w, "answer of %s to %s", u.options.ID, id)
}

// isPoisoned reports whether a part of the prompt but the last one is the poison one.
func (u *Upstream) isPoisoned(r *http.Request) bool {
	parts := strings.Split(r.Header.Get(u.options.Dialect.Prompt), ",")
	return u.options.Poison != "" && slices.ContainsFunc(parts[:len(parts)-1], func(part string) bool {
		return strings.HasPrefix(part, u.options.Poison+":")
	})
}

// answerLate writes a response to an earlier request and then the correct one.
func (u *Upstream) answerLate(w http.ResponseWriter, r *http.Request, id string) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	connection, buffer, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	dialect := u.options.Dialect
	for _, named := range []string{"of-before", id} {
		text := "answer to " + named
		if named == id && u.options.Answer != nil {
			text = u.options.Answer(r)
		}
		fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s",
			dialect.Request, named, dialect.Signature, len(text), text)
	}
	_ = buffer.Flush() // the caller may have disconnected
}

// stream writes numbered events, starting after the last one the caller received.
func (u *Upstream) stream(w http.ResponseWriter, r *http.Request, fault Misbehaviour) {
	last, err := strconv.Atoi(r.Header.Get(redwingshunt.HeaderLastEvent))
	if err != nil {
		last = 0 // from the beginning
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := last + 1; i <= u.options.Events; i++ {
		redwingshunt.Pause(r.Context(), u.options.Pause)
		if r.Context().Err() != nil {
			return
		}
		if fault == CutStream && i == last+2 {
			fmt.Fprintf(w, "id: %d\ndata: ha", i)
			_ = controller.Flush() // the caller may have disconnected
			panic(http.ErrAbortHandler)
		}
		if fault == Wander && i == last+2 {
			continue
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
		_ = controller.Flush() // the caller may have disconnected
	}
}
