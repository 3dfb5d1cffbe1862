// Package listener accepts HTTP connections of callers and upstreams and runs
// each request through the chain.
//
// The limits of the server end connections of callers that send slowly or send
// too large a header. While the instance shuts down, new requests are refused as
// not run, and running ones complete normally.
//
// # Usage
//
//	l := listener.New(listener.Options{Chain: chain, Configuration: configuration, Logger: logger})
//	go l.Serve(socket)
//	l.Shutdown(ctx)
package listener

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/classifier"
	"github.com/redwingshunt/redwingshunt/responder"
)

// Limits on connections of callers.
const (
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// Options configure a Listener.
type Options struct {
	Chain         redwingshunt.Handler
	Configuration redwingshunt.Configuration
	Upstreams     http.Handler // announcements, under PathUpstreams; may be nil
	Logger        *slog.Logger
	// Guard limits the connections, headers and bodies of the server, and returns the
	// listener to serve in place of a socket; may be nil.
	Guard func(*http.Server, net.Listener) net.Listener
}

// PathUpstreams is the path prefix under which upstreams announce themselves.
const PathUpstreams = "/v1/upstreams"

// Listener serves callers and upstreams.
type Listener struct {
	options     Options
	server      *http.Server
	leaving     atomic.Bool     // health checks fail
	stopping    atomic.Bool     // new requests are refused
	running     atomic.Int64    // requests in the chain
	baseContext context.Context // parent of the contexts of all requests
	abort       context.CancelCauseFunc
}

// New returns a listener that does not listen yet.
func New(options Options) *Listener {
	l := &Listener{options: options}
	l.baseContext, l.abort = context.WithCancelCause(context.Background())
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	if options.Upstreams != nil {
		router.PathPrefix(PathUpstreams).Handler(options.Upstreams)
	}
	router.Path("/v1/healthz").HandlerFunc(l.health)
	router.Path(classifier.PathChat).HandlerFunc(l.serve)
	router.PathPrefix(classifier.PathServices).HandlerFunc(l.serve)
	router.NotFoundHandler = http.HandlerFunc(l.serve)
	l.server = &http.Server{
		Handler:           limitBodyTime(router),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return l.baseContext },
		ErrorLog:          slog.NewLogLogger(options.Logger.Handler(), slog.LevelDebug),
	}
	return l
}

// limitBodyTime limits the time in which a caller must send the body of a request, until
// receiver.ReadBody has read it. It holds for refused requests too: before its response to
// one, the server of the HTTP library waits for what is left of a short body.
func limitBodyTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		next.ServeHTTP(w, r)
	})
}

// Serve accepts connections until Shutdown or Close, and returns nil then.
func (l *Listener) Serve(socket net.Listener) error {
	if l.options.Guard != nil {
		socket = l.options.Guard(l.server, socket)
	}
	err := l.server.Serve(socket)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// Leave makes health checks fail, which tells load balancers to send no more
// requests. Requests that still arrive are served, and their connections are
// closed after the response.
func (l *Listener) Leave() { l.leaving.Store(true) }

// Leaving reports whether Leave or Stop was called.
func (l *Listener) Leaving() bool { return l.leaving.Load() || l.stopping.Load() }

// Stop refuses new requests as not run. It closes neither connections nor the
// listening socket.
func (l *Listener) Stop() { l.stopping.Store(true) }

// Shutdown stops accepting connections and waits for running requests. It returns
// the error of ctx when ctx ends first.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.Stop()
	return trace.Wrap(l.server.Shutdown(ctx))
}

// Abort cancels the requests that still run; the caller of each is sent its
// outcome.
func (l *Listener) Abort() { l.abort(redwingshunt.ErrStopping) }

// Close closes all connections.
func (l *Listener) Close() error { return trace.Wrap(l.server.Close()) }

// Running returns the number of requests in the chain.
func (l *Listener) Running() int64 { return l.running.Load() }

// health serves the health check of load balancers in front of the fleet. It fails
// without a configuration and after Leave or Stop.
func (l *Listener) health(w http.ResponseWriter, _ *http.Request) {
	if l.Leaving() || l.options.Configuration.Current() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (l *Listener) serve(w http.ResponseWriter, r *http.Request) {
	if l.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if l.stopping.Load() {
		responder.Write(w, redwingshunt.NotRun(redwingshunt.ReasonStopping, http.StatusServiceUnavailable,
			"this instance is shutting down; use another").After(redwingshunt.RetrySoon), "")
		return
	}
	l.running.Add(1)
	defer l.running.Add(-1)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // clears that of an earlier request
	e := &redwingshunt.Exchange{Writer: w, HTTP: r, Arrived: time.Now(), Snapshot: l.options.Configuration.Current()}
	if err := l.options.Chain.Serve(r.Context(), e); err != nil {
		responder.Abort(w, r)
	}
}
