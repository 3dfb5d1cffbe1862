package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// kind is a kind of request.
type kind string

const (
	safe   kind = "safe"
	once   kind = "once"
	stream kind = "stream"
	marker kind = "v" // of a version of the routes
)

// seen is what a caller saw of a request.
type seen struct {
	id      string
	kind    kind
	by      *process
	life    int // of the process, when the request was sent
	version int // of a marker
	harm    int // to the process by then
	status  int // zero without an answer
	body    string
	whole   bool
	err     error
	planned bool // the process was told to stop, and nothing else, by the end
}

// notRun reports whether the caller was promised that the request has not run.
func (s *seen) notRun() bool {
	switch s.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// load is all callers.
type load struct {
	fleet     *fleet
	upstreams []*upstream
	accepted  atomic.Int64 // newest version of the routes
	next      atomic.Int64
	changing  sync.Mutex
	client    *http.Client

	mu      sync.Mutex
	seen    []*seen
	faults  []string // violated guarantees
	answers map[string]int
}

func newLoad(f *fleet, upstreams []*upstream) *load {
	return &load{
		fleet: f, upstreams: upstreams, answers: make(map[string]int),
		// One connection per request: a request on a reused connection may coincide
		// with its closing, which gives no guarantee.
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// requestTimeout is longer than the limits of all routes.
const requestTimeout = 9 * time.Second

// ask sends one request and checks its response in isolation.
func (l *load) ask(k kind, version int, by *process) *seen {
	s := &seen{id: fmt.Sprintf("%s-%d", k, l.next.Add(1)), kind: k, by: by, version: version}
	s.life, s.harm, _ = by.state()
	path := "/" + string(k) + "/x"
	if k == marker {
		path = fmt.Sprintf("/v%d/x", version)
	}
	method := http.MethodPost
	if k == safe || k == marker {
		method = http.MethodGet
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	s.err = l.send(ctx, s, method, "http://"+by.routes()+path)
	life, harm, stopping := by.state()
	s.planned = life == s.life && harm == s.harm && stopping
	l.check(s, life)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen = append(l.seen, s)
	l.answers[fmt.Sprint(k, " ", s.status)]++
	return s
}

func (l *load) send(ctx context.Context, s *seen, method, url string) error {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(s.id))
	if err != nil {
		return err
	}
	request.Host = "soak"
	request.Header.Set(redwingshunt.HeaderRequest, s.id)
	request.Header.Set("Redwingshunt-Key", "EXAMPLE-KEY-alpha")
	response, err := l.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	s.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	s.body, s.whole = string(body), err == nil
	return err
}

// check checks what a response alone shows.
func (l *load) check(s *seen, lifeNow int) {
	if s.status == http.StatusOK && s.whole {
		if want := expected(s); want != "" && !strings.HasSuffix(s.body, want) {
			l.broken("request %s got %q", s.id, s.body)
		}
	}
	if s.kind != marker || s.status == 0 || lifeNow != s.life {
		return
	}
	s.by.mu.Lock()
	defer s.by.mu.Unlock()
	if s.status != http.StatusNotFound && s.status != http.StatusServiceUnavailable && s.by.life == s.life {
		s.by.served = max(s.by.served, s.version)
	}
}

// expected returns the end of a complete response.
func expected(s *seen) string {
	if s.kind != stream {
		return " to " + s.id
	}
	var text strings.Builder
	for i := 1; i <= eventsOfStream; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", i, i)
	}
	return text.String()
}

func (l *load) broken(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, arguments...))
}

// marker requests an accepted version from an instance and checks that the
// instance does not revert to an older version than it has served.
func (l *load) marker(random *rand.Rand, by *process) {
	accepted := int(l.accepted.Load())
	if accepted == 0 {
		return
	}
	by.mu.Lock()
	served, life := by.served, by.life
	by.mu.Unlock()
	s := l.ask(marker, 1+random.IntN(accepted), by)
	if s.status == http.StatusNotFound && s.life == life && s.version <= served {
		if now, _, _ := by.state(); now == life {
			l.broken("%s answers 404 for version %d after it has served by %d", by.name, s.version, served)
		}
	}
}

// change adds a marker route and records its version when it is accepted. Changes
// are serialized: of two concurrent ones with the same base, one would be refused.
func (l *load) change() {
	l.changing.Lock()
	defer l.changing.Unlock()
	version := l.accepted.Load() + 1
	if l.fleet.change(int(version)) {
		l.accepted.Store(version)
	}
}

// call sends requests until ctx is done.
func (l *load) call(ctx context.Context, seed, caller uint64) {
	random := rand.New(rand.NewPCG(seed, caller))
	kinds := []kind{safe, once, once, stream, stream, marker}
	for ctx.Err() == nil {
		by := l.fleet.processes[random.IntN(len(l.fleet.processes))]
		if k := kinds[random.IntN(len(kinds))]; k == marker {
			l.marker(random, by)
		} else {
			l.ask(k, 0, by)
		}
		redwingshunt.Pause(ctx, 10*time.Millisecond)
	}
}

// runs returns how often a request has run.
func (l *load) runs(id string) int {
	total := 0
	for _, u := range l.upstreams {
		total += u.runs(id)
	}
	return total
}

// verdict returns all violations, including those that only show at the end.
func (l *load) verdict() []string {
	for _, s := range l.seen {
		runs := l.runs(s.id)
		if s.kind == once && runs > 1 {
			l.broken("request %s ran %d times", s.id, runs)
		}
		if s.notRun() && runs > 0 && s.kind == once {
			l.broken("request %s ran and its caller got %d: %s", s.id, s.status, s.body)
		}
		if s.planned && s.status == 0 && runs > 0 && s.kind != stream {
			l.broken("request %s at %s had no answer during a planned stop: %v", s.id, s.by.name, s.err)
		}
	}
	return l.faults
}
