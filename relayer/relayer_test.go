package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/authenticator"
	"github.com/redwingshunt/redwingshunt/carrier"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// fixed is a configuration that stays.
type fixed struct{ snapshot *redwingshunt.Snapshot }

func (f fixed) Current() *redwingshunt.Snapshot { return f.snapshot }
func (f fixed) Watch() <-chan struct{}          { return nil }

// list places attempts at upstreams in their order.
type list struct {
	mu        sync.Mutex
	upstreams []redwingshunt.Upstream
	budget    int // repeats
	ends      []redwingshunt.PlacementEnd
}

func (l *list) Place(p *redwingshunt.Placement) (redwingshunt.Placed, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range l.upstreams {
		if !p.Avoid.Has(u.ID) {
			return redwingshunt.Placed{Ticket: 1, Upstream: u}, nil
		}
	}
	return redwingshunt.Placed{}, redwingshunt.NotRun(redwingshunt.ReasonNoUpstream, 503, "none is left").After(time.Second)
}
func (l *list) First(uint64) {}
func (l *list) End(_ uint64, end redwingshunt.PlacementEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends = append(l.ends, end)
}
func (l *list) Repeat(redwingshunt.ServiceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget--
	return l.budget >= 0
}

// suspicions counts the upstreams that died.
type suspicions struct {
	mu     sync.Mutex
	lost   int
	refuse bool
}

func (s *suspicions) Admit(context.Context, redwingshunt.Fingerprint) error {
	if s.refuse {
		return redwingshunt.NotRun(redwingshunt.ReasonSuspect, 422, "suspect")
	}
	return nil
}
func (s *suspicions) Lost(redwingshunt.Fingerprint, redwingshunt.UpstreamKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost++
}
func (s *suspicions) Completed(redwingshunt.Fingerprint) {}
func (s *suspicions) Ended(redwingshunt.Fingerprint)     {}

// routes are the routes of the tests, one a kind.
func routes() []redwingshunt.Route {
	target := []redwingshunt.Target{{Service: "s", Weight: 1}}
	return []redwingshunt.Route{
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: redwingshunt.RouteSafe, Limit: 2 * time.Second, Aim: 50 * time.Millisecond, Attempts: 3, Targets: target},
		{Name: "once", Host: "h", Prefix: "/once/", Kind: redwingshunt.RouteOnce, Limit: 2 * time.Second, Attempts: 3, Targets: target},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: redwingshunt.RouteStream, Limit: 3 * time.Second, Attempts: 3, Targets: target},
		{Name: "resumable", Host: "h", Prefix: "/resumable/", Kind: redwingshunt.RouteStream, Resumable: true, Limit: 5 * time.Second,
			Aim: 50 * time.Millisecond, Pause: 50 * time.Millisecond, Attempts: 3, Targets: target},
		{Name: "short", Host: "h", Prefix: "/short/", Kind: redwingshunt.RouteOnce, Limit: 150 * time.Millisecond, Attempts: 3, Targets: target},
		{Name: "single", Host: "h", Prefix: "/single/", Kind: redwingshunt.RouteSafe, Limit: 2 * time.Second, Attempts: 1, Targets: target},
		{Name: "open", Host: "h", Prefix: "/open/", Kind: redwingshunt.RouteSafe, Limit: 2 * time.Second, Attempts: 1, Public: true, Targets: target},
	}
}

// bench is a relayer in front of two upstreams.
type bench struct {
	server    *httptest.Server
	relayer   *Relayer
	placer    *list
	suspects  *suspicions
	plain     [2]*mimic.Upstream
	streaming [2]*mimic.Upstream
}

// key is the key of the only client account.
const key = "EXAMPLE-KEY-alpha"

func newBench(t *testing.T) *bench {
	t.Helper()
	dialect := redwingshunt.DefaultDialect()
	dialect.Internal = []string{"Redwingshunt-Internal"}
	document := &redwingshunt.Document{
		Routes: routes(), Limits: redwingshunt.RequestLimits{Body: 64 << 10},
		Accounts: []redwingshunt.Account{{Name: "alpha", Keys: []redwingshunt.KeyHash{authenticator.HashKey(key)}}},
	}
	b := &bench{placer: &list{budget: 10}, suspects: &suspicions{}}
	for i := range 2 {
		id := redwingshunt.UpstreamID(fmt.Sprint("w", i))
		b.plain[i] = mimic.NewUpstream(mimic.UpstreamOptions{ID: id, Dialect: dialect, Slots: 8})
		b.streaming[i] = mimic.NewUpstream(mimic.UpstreamOptions{ID: id, Dialect: dialect, Slots: 8, Events: 5, Pause: time.Millisecond})
		for _, w := range []*mimic.Upstream{b.plain[i], b.streaming[i]} {
			if err := w.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(w.Stop)
		}
	}
	b.relayer = New(Options{
		Configuration: fixed{&redwingshunt.Snapshot{Revision: 1, Document: document}},
		Placer:        b.placer, Suspects: b.suspects,
		Carrier: carrier.New(carrier.Options{Header: dialect.Request}),
		Dialect: dialect, Logger: slog.New(slog.DiscardHandler),
	})
	b.server = httptest.NewUnstartedServer(b.relayer)
	b.server.Config.ConnContext = WithConnection
	b.server.Start()
	t.Cleanup(b.server.Close)
	return b
}

// use lets the relayer choose among one of the two pairs of upstreams.
func (b *bench) use(upstreams [2]*mimic.Upstream) {
	b.placer.upstreams = nil
	for _, w := range upstreams {
		b.placer.upstreams = append(b.placer.upstreams, w.State("s", 1).Upstream)
	}
}

// seen is what a caller sees.
type seen struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (b *bench) ask(t *testing.T, path string, change func(*http.Request)) seen {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+path, strings.NewReader("a body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set(redwingshunt.HeaderRequest, "r1")
	request.Header.Set("Redwingshunt-Key", key)
	if change != nil {
		change(request)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return seen{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return seen{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// events returns the whole stream of five events.
func events() string {
	var text strings.Builder
	for i := 1; i <= 5; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", i, i)
	}
	return text.String()
}

// TestMisbehaviour lets the first upstream misbehave and checks what the caller
// is told and how often the request has run.
func TestMisbehaviour(t *testing.T) {
	tests := map[string]struct {
		path      string
		mood      mimic.Misbehaviour
		status    int
		body      string // the whole one
		broken    bool   // the connection ends visibly before the answer does
		runs      [2]int
		streaming bool
	}{
		"safe, failing is repeated":          {path: "/safe/a", mood: mimic.Fail, status: 200, body: "answer of w1 to r1", runs: [2]int{1, 1}},
		"safe, cut is repeated":              {path: "/safe/a", mood: mimic.CutHeader, status: 200, body: "answer of w1 to r1", runs: [2]int{1, 1}},
		"safe, silent is repeated":           {path: "/safe/a", mood: mimic.Hang, status: 200, body: "answer of w1 to r1", runs: [2]int{1, 1}},
		"safe, unsigned is repeated":         {path: "/safe/a", mood: mimic.Unsigned, status: 200, body: "answer of w1 to r1", runs: [2]int{1, 1}},
		"safe, late answer is dropped":       {path: "/safe/a", mood: mimic.AnswerLate, status: 200, body: "answer to r1", runs: [2]int{1, 0}},
		"single attempt, failing":            {path: "/single/a", mood: mimic.Fail, status: 500, body: "", runs: [2]int{1, 0}},
		"single attempt, refused":            {path: "/single/a", mood: mimic.RefuseAll, status: 503, runs: [2]int{0, 0}},
		"once, refused goes on":              {path: "/once/a", mood: mimic.RefuseAll, status: 200, body: "answer of w1 to r1", runs: [2]int{0, 1}},
		"once, refused after it began":       {path: "/once/a", mood: mimic.RefuseBegun, status: 502, runs: [2]int{1, 0}},
		"once, cut is not repeated":          {path: "/once/a", mood: mimic.CutHeader, status: 502, runs: [2]int{1, 0}},
		"once, failing is passed on":         {path: "/once/a", mood: mimic.Fail, status: 500, body: "", runs: [2]int{1, 0}},
		"once, unsigned is not repeated":     {path: "/once/a", mood: mimic.Unsigned, status: 502, runs: [2]int{1, 0}},
		"once, silent ends at its limit":     {path: "/short/a", mood: mimic.Hang, status: 504, runs: [2]int{1, 0}},
		"stream, whole":                      {path: "/stream/a", mood: mimic.Behave, status: 200, body: events(), runs: [2]int{1, 0}, streaming: true},
		"stream, cut is broken":              {path: "/stream/a", mood: mimic.CutStream, status: 200, broken: true, runs: [2]int{1, 0}, streaming: true},
		"stream, a missing event breaks":     {path: "/stream/a", mood: mimic.Wander, status: 200, broken: true, runs: [2]int{1, 0}, streaming: true},
		"stream, cut early is not run twice": {path: "/stream/a", mood: mimic.CutHeader, status: 502, runs: [2]int{1, 0}, streaming: true},
		"resumable, cut goes on":             {path: "/resumable/a", mood: mimic.CutStream, status: 200, body: events(), runs: [2]int{1, 1}, streaming: true},
		"resumable, a missing event":         {path: "/resumable/a", mood: mimic.Wander, status: 200, body: events(), runs: [2]int{1, 1}, streaming: true},
		"resumable, silent goes on":          {path: "/resumable/a", mood: mimic.Hang, status: 200, body: events(), runs: [2]int{1, 1}, streaming: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			upstreams := b.plain
			if test.streaming {
				upstreams = b.streaming
			}
			b.use(upstreams)
			upstreams[0].Misbehave(test.mood, -1)
			got := b.ask(t, test.path, nil)
			is.Equal(got.status, test.status)
			is.Equal(got.err != nil, test.broken)
			if test.status == 200 && !test.broken {
				is.Equal(got.body, test.body)
				is.True(got.header.Get("Redwingshunt-Signature") != "")
			}
			if test.status == 500 { // the upstream's own answer, unchanged
				is.True(strings.HasPrefix(got.header.Get("Redwingshunt-Signature"), "w0."))
			}
			if test.status == 502 || test.status == 503 || test.status == 504 {
				is.Equal(got.header.Get("Redwingshunt-Signature"), "")
			}
			if test.status == 503 {
				is.True(got.header.Get("Retry-After") != "")
				is.Equal(got.header.Get(redwingshunt.HeaderOutcome), string(redwingshunt.OutcomeNotRun))
			}
			is.Equal([2]int{upstreams[0].Runs("r1"), upstreams[1].Runs("r1")}, test.runs)
		})
	}
}

// TestBudget repeats nothing beyond the budget of the fleet.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.use(b.plain)
	b.placer.budget = 0
	b.plain[0].Misbehave(mimic.CutHeader, -1)
	is.Equal(b.ask(t, "/safe/a", nil).status, 502)
	is.Equal(b.plain[1].Runs("r1"), 0)
}

// TestUnreachable goes to the next upstream whatever the request is, when not a
// byte was sent.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.use(b.plain)
	b.plain[0].Stop()
	b.placer.budget = 0 // it takes no repeat: nothing was sent before
	got := b.ask(t, "/once/a", nil)
	is.Equal(got.status, 200)
	is.Equal(b.plain[1].Runs("r1"), 1)
	is.Equal(b.placer.ends, []redwingshunt.PlacementEnd{redwingshunt.EndLost, redwingshunt.EndComplete})
}

// TestAdmission checks requests that no upstream sees.
func TestAdmission(t *testing.T) {
	tests := map[string]struct {
		path   string
		change func(*http.Request)
		status int
	}{
		"no route":      {"/other/a", nil, 404},
		"other host":    {"/safe/a", func(r *http.Request) { r.Host = "x" }, 404},
		"no key":        {"/safe/a", func(r *http.Request) { r.Header.Del("Redwingshunt-Key") }, 401},
		"wrong key":     {"/safe/a", func(r *http.Request) { r.Header.Set("Redwingshunt-Key", "x") }, 401},
		"no identifier": {"/safe/a", func(r *http.Request) { r.Header.Del(redwingshunt.HeaderRequest) }, 400},
		"bad deadline":  {"/safe/a", func(r *http.Request) { r.Header.Set("Redwingshunt-Deadline", "soon") }, 400},
		"body too large": {"/safe/a", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 70_000))), 70_000
		}, 413},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			b.use(b.plain)
			is.Equal(b.ask(t, test.path, test.change).status, test.status)
			is.Equal(b.plain[0].Total()+b.plain[1].Total(), 0)
		})
	}
}

// TestHeaders checks what an upstream is told.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.use(b.plain)
	got := b.ask(t, "/safe/a?b=c", func(r *http.Request) {
		r.Header.Set("Redwingshunt-Deadline", "1500")
		r.Header.Set("Redwingshunt-Account", "somebody-else")
		r.Header.Set("Redwingshunt-Internal", "x")
		r.Header.Set("Own", "kept")
	})
	is.Equal(got.status, 200)
	header := b.plain[0].Header("r1")
	is.Equal(header.Get("Redwingshunt-Account"), "alpha")
	is.Equal(header.Get("Redwingshunt-Key"), "")
	is.Equal(header.Get("Redwingshunt-Internal"), "")
	is.Equal(header.Get("Own"), "kept")
	is.Equal(header.Get("Redwingshunt-Upstream"), "w0")
	left, err := time.ParseDuration(header.Get("Redwingshunt-Deadline") + "ms")
	is.NoErr(err)
	is.True(left > 0 && left <= 1500*time.Millisecond)
	is.Equal(b.plain[0].Body("r1"), int64(len("a body")))
}

// TestNoKeyLeft asks for a key although every account has lost its own.
func TestNoKeyLeft(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.use(b.plain)
	b.relayer.options.Configuration.Current().Document.Accounts[0].Keys = nil
	is.Equal(b.ask(t, "/safe/a", nil).status, 401)
	is.Equal(b.ask(t, "/safe/a", func(r *http.Request) { r.Header.Del("Redwingshunt-Key") }).status, 401)
	is.Equal(b.plain[0].Total(), 0)
}

// TestPublic asks for no key on a public route.
func TestPublic(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.use(b.plain)
	got := b.ask(t, "/open/a", func(r *http.Request) { r.Header.Del("Redwingshunt-Key") })
	is.Equal(got.status, 200)
	is.Equal(b.plain[0].Header("r1").Get("Redwingshunt-Account"), "")
}

// TestSuspect refuses a request that takes upstreams with it, as not run.
func TestSuspect(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.use(b.plain)
	b.suspects.refuse = true
	is.Equal(b.ask(t, "/safe/a", nil).status, 503)
	is.Equal(b.plain[0].Total(), 0)
}

// TestAliveIsNoSuspect blames no request for an upstream that lost an answer
// and still accepts connections.
func TestAliveIsNoSuspect(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.use(b.plain)
	b.plain[0].Misbehave(mimic.CutHeader, -1)
	is.Equal(b.ask(t, "/once/a", nil).status, 502)
	is.Equal(b.suspects.lost, 0)
}

// TestCallerLeaves cancels the work of the upstream when its caller goes away.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.use(b.plain)
	b.plain[0].Misbehave(mimic.Hang, -1)
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+"/once/a", strings.NewReader("x"))
	is.NoErr(err)
	request.Host = "h"
	request.Header.Set(redwingshunt.HeaderRequest, "r1")
	request.Header.Set("Redwingshunt-Key", key)
	done := make(chan error, 1)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			response.Body.Close()
		}
		done <- err
	}()
	eventually(t, func() bool { return b.plain[0].Runs("r1") == 1 })
	cancel()
	is.True(errors.Is(<-done, context.Canceled))
	eventually(t, func() bool { return b.plain[0].Left("r1") })
	eventually(t, func() bool { return b.relayer.Running() == 0 })
}

// TestGoneBefore sends nothing on for a caller that has closed its connection,
// although the server has not noticed yet, as on a busy instance.
func TestGoneBefore(t *testing.T) {
	tests := map[string]struct {
		gone bool
		runs int
	}{
		"still there": {false, 1},
		"gone":        {true, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			b.use(b.plain)
			var config net.ListenConfig
			socket, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer socket.Close()
			var dialer net.Dialer
			caller, err := dialer.DialContext(t.Context(), "tcp", socket.Addr().String())
			is.NoErr(err)
			defer caller.Close()
			connection, err := socket.Accept()
			is.NoErr(err)
			defer connection.Close()
			if test.gone {
				is.NoErr(caller.Close())
				eventually(t, func() bool { return carrier.Ended(connection) })
			}
			request := httptest.NewRequestWithContext(WithConnection(context.Background(), connection), http.MethodPost, "/once/a", strings.NewReader("x"))
			request.Host = "h"
			request.Header.Set(redwingshunt.HeaderRequest, "r1")
			request.Header.Set("Redwingshunt-Key", key)
			func() {
				defer func() { _ = recover() }() // the server cuts the connection so
				b.relayer.ServeHTTP(httptest.NewRecorder(), request)
			}()
			is.Equal(b.plain[0].Total()+b.plain[1].Total(), test.runs)
		})
	}
}

// TestMost refuses more requests at once than the instance can hold.
func TestMost(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.use(b.plain)
	b.relayer.options.Limit = func() int { return 1 }
	b.plain[0].Misbehave(mimic.Hang, 1)
	held := make(chan seen, 1)
	go func() {
		held <- b.ask(t, "/short/a", func(r *http.Request) { r.Header.Set(redwingshunt.HeaderRequest, "r0") })
	}()
	eventually(t, func() bool { return b.plain[0].Runs("r0") == 1 })
	got := b.ask(t, "/safe/a", nil)
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(b.plain[0].Runs("r1"), 0)
	is.Equal((<-held).status, 504) // at its limit
	is.Equal(b.ask(t, "/safe/a", nil).status, 200)
}

// TestStopping refuses new requests as not run and ends running ones at the end.
func TestStopping(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.use(b.plain)
	b.relayer.Leave()
	got := b.ask(t, "/safe/a", nil)
	is.Equal(got.status, 200) // still served
	b.relayer.Stop()
	got = b.ask(t, "/safe/a", nil)
	is.Equal(got.status, 503)
	is.Equal(got.header.Get(redwingshunt.HeaderReason), string(redwingshunt.ReasonStopping))
}

// TestAbort tells the callers of running requests that the instance stops, and
// that their requests may have run.
func TestAbort(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.use(b.plain)
	b.plain[0].Misbehave(mimic.Hang, -1)
	running := make(chan seen, 1)
	go func() { running <- b.ask(t, "/once/a", nil) }()
	eventually(t, func() bool { return b.plain[0].Runs("r1") == 1 })
	b.relayer.Abort()
	got := <-running
	is.Equal(got.status, 502)
	is.Equal(got.header.Get(redwingshunt.HeaderReason), string(redwingshunt.ReasonStopping))
	is.Equal(got.header.Get(redwingshunt.HeaderOutcome), string(redwingshunt.OutcomeMayHaveRun))
}

// eventually waits for a condition; the test times out when it never holds.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for !holds() {
		if t.Context().Err() != nil {
			t.Fatal("the test has ended")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestLongHeader refuses a header that is longer than the document allows.
func TestLongHeader(t *testing.T) {
	tests := map[string]struct {
		value  int // bytes of one header
		status int
		runs   int
	}{
		"within the limit": {1 << 10, 200, 1},
		"beyond it":        {5 << 10, 431, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			b.use(b.plain)
			b.relayer.options.Configuration.Current().Document.Limits.Header = 4 << 10
			got := b.ask(t, "/safe/a", func(r *http.Request) {
				r.Header.Set("Long", strings.Repeat("x", test.value))
			})
			is.Equal(got.status, test.status)
			is.Equal(b.plain[0].Total(), test.runs)
		})
	}
}
