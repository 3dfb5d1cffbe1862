package relayer

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// TestAdmission checks requests that are refused before any upstream gets them.
func TestAdmission(t *testing.T) {
	tests := map[string]struct {
		path   string
		change func(*http.Request)
		status int
	}{
		"no route":            {"/other/a", nil, 404},
		"other host":          {"/safe/a", func(r *http.Request) { r.Host = "x" }, 404},
		"no key":              {"/safe/a", func(r *http.Request) { r.Header.Del("Redwingshunt-Key") }, 401},
		"wrong key":           {"/safe/a", func(r *http.Request) { r.Header.Set("Redwingshunt-Key", "x") }, 401},
		"no identifier":       {"/safe/a", func(r *http.Request) { r.Header.Del(redwingshunt.HeaderRequest) }, 400},
		"bad deadline":        {"/safe/a", func(r *http.Request) { r.Header.Set("Redwingshunt-Deadline", "soon") }, 400},
		"deadline, no number": {"/safe/a", func(r *http.Request) { r.Header.Set("Redwingshunt-Deadline", "NaN") }, 400},
		"deadline, infinite":  {"/safe/a", func(r *http.Request) { r.Header.Set("Redwingshunt-Deadline", "Inf") }, 400},
		"deadline, negative":  {"/safe/a", func(r *http.Request) { r.Header.Set("Redwingshunt-Deadline", "-1") }, 400},
		"body too large": {"/safe/a", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 70_000))), 70_000
		}, 413},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.plain)
			is.Equal(f.send(t, test.path, test.change).status, test.status)
			is.Equal(f.plain[0].Total()+f.plain[1].Total(), 0)
		})
	}
}

// TestHeaders checks the headers that an upstream gets.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.plain)
	got := f.send(t, "/safe/a?b=c", func(r *http.Request) {
		r.Header.Set("Redwingshunt-Deadline", "1500")
		r.Header.Set("Redwingshunt-Account", "somebody-else")
		r.Header.Set("Redwingshunt-Internal", "x")
		r.Header.Set("Own", "kept")
	})
	is.Equal(got.status, 200)
	header := f.plain[0].Header("r1")
	is.Equal(header.Get("Redwingshunt-Account"), "alpha")
	is.Equal(header.Get("Redwingshunt-Key"), "")
	is.Equal(header.Get("Redwingshunt-Internal"), "")
	is.Equal(header.Get("Own"), "kept")
	is.Equal(header.Get("Redwingshunt-Upstream"), "w0")
	left, err := time.ParseDuration(header.Get("Redwingshunt-Deadline") + "ms")
	is.NoErr(err)
	is.True(left > 0 && left <= 1500*time.Millisecond)
	is.Equal(f.plain[0].Body("r1"), int64(len("a body")))
}

// TestAccountsWithoutKeys checks that keys are still required when no account has one left.
func TestAccountsWithoutKeys(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.plain)
	f.relayer.options.Configuration.Current().Document.Accounts[0].Keys = nil
	is.Equal(f.send(t, "/safe/a", nil).status, 401)
	is.Equal(f.send(t, "/safe/a", func(r *http.Request) { r.Header.Del("Redwingshunt-Key") }).status, 401)
	is.Equal(f.plain[0].Total(), 0)
}

// TestPublic checks that a public route requires no key.
func TestPublic(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.plain)
	got := f.send(t, "/open/a", func(r *http.Request) { r.Header.Del("Redwingshunt-Key") })
	is.Equal(got.status, 200)
	is.Equal(f.plain[0].Header("r1").Get("Redwingshunt-Account"), "")
}

// TestSuspect checks that a suspect request that is not admitted is refused as
// not run.
func TestSuspect(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.plain)
	f.suspects.refuse = true
	is.Equal(f.send(t, "/safe/a", nil).status, 503)
	is.Equal(f.plain[0].Total(), 0)
}

// TestAliveIsNoSuspect checks that a request is not reported for an upstream that
// cut off a response but still accepts connections.
func TestAliveIsNoSuspect(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.plain)
	f.plain[0].Misbehave(mimic.CutHeader, -1)
	is.Equal(f.send(t, "/once/a", nil).status, 502)
	is.Equal(f.suspects.lost, 0)
}

// TestConcurrencyLimit checks that requests beyond the limit of the instance are refused.
func TestConcurrencyLimit(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.plain)
	f.relayer.options.ConcurrencyLimit = func() int { return 1 }
	f.plain[0].Misbehave(mimic.Hang, 1)
	first := make(chan callerView, 1)
	go func() {
		first <- f.send(t, "/short/a", func(r *http.Request) { r.Header.Set(redwingshunt.HeaderRequest, "r0") })
	}()
	eventually(t, func() bool { return f.plain[0].Runs("r0") == 1 })
	got := f.send(t, "/safe/a", nil)
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(f.plain[0].Runs("r1"), 0)
	is.Equal((<-first).status, 504) // timeout of the route
	is.Equal(f.send(t, "/safe/a", nil).status, 200)
}

// TestLongHeader checks the limit of the document on the size of a header.
func TestLongHeader(t *testing.T) {
	tests := map[string]struct {
		value  int // bytes of the added header
		status int
		runs   int
	}{
		"within the limit": {1 << 10, 200, 1},
		"beyond it":        {5 << 10, 431, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.plain)
			f.relayer.options.Configuration.Current().Document.Limits.Header = 4 << 10
			got := f.send(t, "/safe/a", func(r *http.Request) {
				r.Header.Set("Long", strings.Repeat("x", test.value))
			})
			is.Equal(got.status, test.status)
			is.Equal(f.plain[0].Total(), test.runs)
		})
	}
}
