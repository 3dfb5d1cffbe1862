package relayer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/carrier"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// TestCallerLeaves checks that the upstream's work is canceled when the caller
// disconnects.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.plain)
	f.plain[0].Misbehave(mimic.Hang, -1)
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+"/once/a", strings.NewReader("x"))
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
	eventually(t, func() bool { return f.plain[0].Runs("r1") == 1 })
	cancel()
	is.True(errors.Is(<-done, context.Canceled))
	eventually(t, func() bool { return f.plain[0].Left("r1") })
	eventually(t, func() bool { return f.relayer.Running() == 0 })
}

// TestCallerGoneBeforeAttempt checks that nothing is forwarded for a caller that has closed its
// connection, although the server has not noticed yet, as on a busy instance.
func TestCallerGoneBeforeAttempt(t *testing.T) {
	tests := map[string]struct {
		gone bool
		runs int
	}{
		"connected":    {false, 1},
		"disconnected": {true, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.plain)
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
				eventually(t, func() bool { return carrier.PeerClosed(connection) })
			}
			request := httptest.NewRequestWithContext(WithConnection(context.Background(), connection), http.MethodPost, "/once/a", strings.NewReader("x"))
			request.Host = "h"
			request.Header.Set(redwingshunt.HeaderRequest, "r1")
			request.Header.Set("Redwingshunt-Key", key)
			func() {
				defer func() { _ = recover() }() // ServeHTTP panics to cut the connection
				f.relayer.ServeHTTP(httptest.NewRecorder(), request)
			}()
			is.Equal(f.plain[0].Total()+f.plain[1].Total(), test.runs)
		})
	}
}

// TestStopping checks that requests are served after Leave and refused as not run
// after Stop.
func TestStopping(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.plain)
	f.relayer.Leave()
	got := f.send(t, "/safe/a", nil)
	is.Equal(got.status, 200) // still served
	f.relayer.Stop()
	got = f.send(t, "/safe/a", nil)
	is.Equal(got.status, 503)
	is.Equal(got.header.Get(redwingshunt.HeaderReason), string(redwingshunt.ReasonStopping))
}

// TestAbort checks that the callers of requests in flight are told that the instance
// stops and that their requests may have run.
func TestAbort(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.plain)
	f.plain[0].Misbehave(mimic.Hang, -1)
	running := make(chan callerView, 1)
	go func() { running <- f.send(t, "/once/a", nil) }()
	eventually(t, func() bool { return f.plain[0].Runs("r1") == 1 })
	f.relayer.Abort()
	got := <-running
	is.Equal(got.status, 502)
	is.Equal(got.header.Get(redwingshunt.HeaderReason), string(redwingshunt.ReasonStopping))
	is.Equal(got.header.Get(redwingshunt.HeaderOutcome), string(redwingshunt.OutcomeMayHaveRun))
}
