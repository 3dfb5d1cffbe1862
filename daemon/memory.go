package daemon

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/acceptor"
	"github.com/redwingshunt/redwingshunt/budgeter"
	"github.com/redwingshunt/redwingshunt/observer"
)

const (
	// headerMarginBytes is added to the limit of the document, so that a header just
	// above it still gets a response with the reason, and the part of a body that is
	// read with a header does not count against a caller within the limit.
	headerMarginBytes = 8 << 10
	// bodyCostFactor is the memory for a body by its length: the buffer that receives
	// it doubles, and the old one lives until the next collection.
	bodyCostFactor = 2
	// bodyStepBytes is the length of a body that is read with one reservation.
	bodyStepBytes = 64 << 10
	// refusalLogInterval is the interval of log lines on refusals of one stage.
	refusalLogInterval = time.Second
)

// errNoMemory refuses a request of which only a part of the body was read.
var errNoMemory = redwingshunt.NotRun(redwingshunt.ReasonQueueFull, http.StatusServiceUnavailable,
	"this instance holds as many bodies as its memory allows; use another").After(redwingshunt.RetrySoon)

// memory is the memory budget of an instance, shared by all its interfaces. It drives
// budgeter.Budget. It is safe for concurrent use.
type memory struct {
	logger  *slog.Logger
	bounded bool // the settings have a memory limit

	mu      sync.Mutex
	budget  *budgeter.Budget
	reasons map[string]*refusals // by reason
}

// refusals counts the callers that were refused or closed for one reason.
type refusals struct {
	total, logged, published int64
	last                     time.Time // of the last log line
}

func newMemory(limit int64, logger *slog.Logger) *memory {
	return &memory{logger: logger, bounded: limit > 0, budget: budgeter.New(limit), reasons: make(map[string]*refusals)}
}

// reserve reserves memory in a stage and returns false if there is too little.
func (m *memory) reserve(stage budgeter.Stage, bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.budget.Reserve(stage, bytes) {
		return true
	}
	m.refuse(stage.String())
	return false
}

func (m *memory) release(stage budgeter.Stage, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(stage, bytes)
}

// refuse counts a refusal and logs at most one a second for each reason. The caller
// holds mu.
func (m *memory) refuse(reason string) {
	r := m.reasons[reason]
	if r == nil {
		r = &refusals{}
		m.reasons[reason] = r
	}
	r.total++
	if now := time.Now(); now.Sub(r.last) >= refusalLogInterval {
		m.logger.Warn("callers refused or closed to save memory", "reason", reason, "refused", r.total-r.logged)
		r.last, r.logged = now, r.total
	}
}

// run publishes the metrics until ctx ends.
func (m *memory) run(ctx context.Context, scope tally.Scope) {
	for ctx.Err() == nil {
		m.publish(scope)
		redwingshunt.Pause(ctx, observer.Period)
	}
}

// publish updates the metrics.
func (m *memory) publish(scope tally.Scope) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, stage := range budgeter.Stages() {
		scope.Tagged(map[string]string{"stage": stage.String()}).Gauge("memory_held_bytes").Update(float64(m.budget.Held(stage)))
	}
	for reason, r := range m.reasons {
		scope.Tagged(map[string]string{"reason": reason}).Counter("memory_refused").Inc(r.total - r.published)
		r.published = r.total
	}
}

// responses returns the budget of responses that wait for their callers.
func (m *memory) responses() redwingshunt.Memory {
	if !m.bounded {
		return nil
	}
	return stageMemory{m, budgeter.Response}
}

// frames returns the budget of incomplete frames of links.
func (m *memory) frames() redwingshunt.Memory {
	if !m.bounded {
		return nil
	}
	return stageMemory{m, budgeter.Frame}
}

// stageMemory is the memory of one stage.
type stageMemory struct {
	memory *memory
	stage  budgeter.Stage
}

// Reserve implements redwingshunt.Memory.
func (s stageMemory) Reserve(bytes int64) bool { return s.memory.reserve(s.stage, bytes) }

// Release implements redwingshunt.Memory.
func (s stageMemory) Release(bytes int64) { s.memory.release(s.stage, bytes) }

// headers implements acceptor.Headers.
type headers struct {
	stageMemory
	limit func() int64
}

// Limit implements acceptor.Headers.
func (h headers) Limit() int64 { return h.limit() }

// TooLong implements acceptor.Headers.
func (h headers) TooLong() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.refuse("header-length")
}

// bodies returns a handler that reserves memory for the bodies of requests until they
// end. A request for whose body there is too little is refused by next, which gets
// errNoMemory when it reads the body.
func (m *memory) bodies(next http.Handler) http.Handler {
	if !m.bounded {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength >= 0 && r.ContentLength <= budgeter.BodyAllowance {
			next.ServeHTTP(w, r)
			return
		}
		body := &countedBody{memory: m, body: r.Body}
		defer body.release()
		counted := r.WithContext(r.Context()) // the server keeps the body of r
		counted.Body = body
		next.ServeHTTP(w, counted)
	})
}

// countedBody is a body that reserves memory before it is read.
type countedBody struct {
	memory         *memory
	body           io.Reader
	read, reserved int64
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	p = p[:min(len(p), bodyStepBytes)]
	if cost := bodyCostFactor * (b.read + int64(len(p)) - budgeter.BodyAllowance); cost > b.reserved {
		step := max(cost-b.reserved, bodyCostFactor*bodyStepBytes)
		if !b.memory.reserve(budgeter.Body, step) {
			return 0, errNoMemory
		}
		b.reserved += step
	}
	n, err := b.body.Read(p)
	b.read += int64(n)
	return n, err
}

// Close implements io.Closer. The server closes the body itself.
func (b *countedBody) Close() error { return nil }

func (b *countedBody) release() {
	if b.reserved > 0 {
		b.memory.release(budgeter.Body, b.reserved)
	}
}

// guard limits the connections, headers and bodies of a server of this instance. It
// returns the listener to serve. The limit of connections is zero for no limit.
func (d *Daemon) guard(server *http.Server, socket net.Listener, connections int) net.Listener {
	if d.settings.Memory == 0 && d.settings.Files == 0 {
		return d.secure(socket)
	}
	a := acceptor.New(connections-connections/keptDivisor, connections)
	a.LimitHeaders(headers{stageMemory{d.memory, budgeter.Header}, func() int64 {
		return int64(server.MaxHeaderBytes) + headerMarginBytes
	}}, d.certificates != nil)
	server.ConnState = a.TrackOpen
	bodies := d.memory.bodies(server.Handler)
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.OverKeepLimit() {
			w.Header().Set("Connection", "close")
		}
		bodies.ServeHTTP(w, r)
	})
	return d.secure(a.LimitListener(socket))
}

// keptDivisor is the part of the connections, 1/keptDivisor, that responses close when
// all are open, so that idle ones do not keep new callers out.
const keptDivisor = 4

// GuardControl limits the connections, headers and bodies of the server of the control
// address, which another package attaches to this instance. It returns the listener to
// serve.
func (d *Daemon) GuardControl(server *http.Server, socket net.Listener) net.Listener {
	return d.guard(server, socket, d.connections().Control)
}

// connections returns the limits of connections of all interfaces but the routes.
func (d *Daemon) connections() budgeter.Connections {
	serving := servingFiles(d.settings)
	if d.settings.Routes.IsValid() {
		serving /= servicesDivisor
	}
	return budgeter.ConnectionsOf(d.settings.Memory, d.settings.Files, serving)
}

// servicesDivisor is the part of the descriptors for serving, 1/servicesDivisor, that
// callers of services and their upstreams get beside those of routes.
const servicesDivisor = 3

// servingFiles returns the number of descriptors for callers and upstreams; zero is
// unlimited.
func servingFiles(settings redwingshunt.Settings) int {
	if settings.Files == 0 {
		return 0
	}
	return max(settings.Files-reservedFiles, settings.Files/2)
}
