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

// UpstreamOptions configure an Upstream.
type UpstreamOptions struct {
	ID      redwingshunt.UpstreamID
	Dialect redwingshunt.Dialect
	Address string        // to listen on; "127.0.0.1:0" when empty
	Events  int           // of a stream
	Pause   time.Duration // before each event, and before a plain answer
	Slots   int           // requests at once; more are refused as not run
}

// Misbehaviour is what an Upstream does to its next requests.
type Misbehaviour uint8

// The misbehaviours.
const (
	Behave      Misbehaviour = iota
	Fail                     // answers 500
	RefuseAll                // says that it has not begun
	CutHeader                // runs the request and closes the connection without an answer
	CutStream                // breaks a stream off within its second event
	Hang                     // takes the request and stays silent
	AnswerLate               // sends an answer to another request first
	Unsigned                 // answers without its signature
	Wander                   // skips an event of a stream
	RefuseBegun              // runs the request, answers 503 and says that it has begun
)

// Upstream is a stand-in for an upstream of routes. It speaks a dialect, signs
// its answers, numbers the events of streams and resumes them, and counts the
// runs of each request. It is safe for concurrent use.
type Upstream struct {
	options UpstreamOptions
	server  *http.Server
	socket  net.Listener

	mu      sync.Mutex
	mood    Misbehaviour
	leaving bool   // each answer says so
	after   string // Retry-After of refusals
	times   int    // requests that the mood holds for; negative for all
	running int
	runs    map[string]int         // by request
	headers map[string]http.Header // of the last run
	left    map[string]bool        // requests whose caller went away
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

// headerTimeout bounds the header of a request to an upstream.
const headerTimeout = 5 * time.Second

// Start listens and serves.
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

// Stop cuts all connections, as a crash does.
func (w *Upstream) Stop() { _ = w.server.Close() }

// Address returns where the upstream listens.
func (w *Upstream) Address() netip.AddrPort {
	return w.socket.Addr().(*net.TCPAddr).AddrPort()
}

// State returns what the upstream announces.
func (w *Upstream) State(service redwingshunt.ServiceID, sequence uint64) redwingshunt.UpstreamState {
	return redwingshunt.UpstreamState{
		Upstream: redwingshunt.Upstream{ID: w.options.ID, Service: service, Address: w.Address(), Slots: w.options.Slots},
		Born:     time.UnixMilli(1), Sequence: sequence,
	}
}

// Misbehave sets what the next requests meet; a negative number means all.
func (w *Upstream) Misbehave(m Misbehaviour, times int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mood, w.times = m, times
}

// Runs returns how often a request has begun to run.
func (w *Upstream) Runs(request string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[request]
}

// Total returns the runs of all requests.
func (w *Upstream) Total() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for _, n := range w.runs {
		total += n
	}
	return total
}

// Header returns the header with which a request came last.
func (w *Upstream) Header(request string) http.Header {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.headers[request]
}

// Body returns the bytes of the body with which a request came last.
func (w *Upstream) Body(request string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bodies[request]
}

// Left reports whether the caller of a request went away while it ran.
func (w *Upstream) Left(request string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left[request]
}

// Leave has the upstream say in each answer that it takes no new work.
func (w *Upstream) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// BackOff sets the Retry-After of refusals; empty leaves it out.
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

// asks writes what the upstream asks for in each answer.
func (w *Upstream) asks(header http.Header) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving {
		header.Set(w.options.Dialect.Leaving, w.options.Dialect.LeavingAs)
	}
}

// begin books a request and returns what it meets.
func (w *Upstream) begin(r *http.Request, id string, body int64) (Misbehaviour, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	mood := Behave
	if w.times != 0 {
		mood = w.mood
		w.times--
	}
	if mood == RefuseAll || w.options.Slots > 0 && w.running >= w.options.Slots {
		return RefuseAll, false
	}
	w.running++
	w.runs[id]++
	w.headers[id] = r.Header.Clone()
	w.bodies[id] = body
	return mood, true
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
		panic(http.ErrAbortHandler) // the caller broke off
	}
	to.Header().Set(dialect.Request, id)
	w.asks(to.Header())
	if expected := r.Header.Get(dialect.Expect); expected != "" && expected != string(w.options.ID) {
		to.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	mood, admitted := w.begin(r, id, body)
	if !admitted {
		to.Header().Set(dialect.NotRun, "no")
		if after := w.backOff(); after != "" {
			to.Header().Set("Retry-After", after)
		}
		to.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { w.end(id, r.Context().Err() != nil) }()
	w.run(to, r, id, mood)
}

// run answers a request that has begun.
func (w *Upstream) run(to http.ResponseWriter, r *http.Request, id string, mood Misbehaviour) {
	if mood != Unsigned {
		to.Header().Set(w.options.Dialect.Signature, string(w.options.ID)+"."+id)
	}
	switch mood {
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
		w.stream(to, r, mood)
		return
	}
	redwingshunt.Pause(r.Context(), w.options.Pause)
	fmt.Fprintf(to, "answer of %s to %s", w.options.ID, id)
}

// answerLate writes the answer to some earlier request and then the right one.
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
	_ = buffer.Flush() // the caller may have left
}

// stream writes numbered events, after the last one that the caller has.
func (w *Upstream) stream(to http.ResponseWriter, r *http.Request, mood Misbehaviour) {
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
		if mood == CutStream && i == last+2 {
			fmt.Fprintf(to, "id: %d\ndata: ha", i)
			_ = controller.Flush() // the caller may have left
			panic(http.ErrAbortHandler)
		}
		if mood == Wander && i == last+2 {
			continue
		}
		fmt.Fprintf(to, "id: %d\ndata: token %d\n\n", i, i)
		_ = controller.Flush() // the caller may have left
	}
}
