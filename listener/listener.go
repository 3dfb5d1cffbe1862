// Package listener accepts HTTP connections of callers and upstreams and runs
// each request through the chain.
//
// Callers that send slowly, or headers that are too large, are cut off by the
// limits of the server. While the instance shuts down, requests that come in
// are refused as not run and running ones end undisturbed.
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

// The limits on connections of callers.
const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	headerLimit   = 32 << 10 // bytes
)

// Options configure a Listener.
type Options struct {
	Chain         redwingshunt.Handler
	Configuration redwingshunt.Configuration
	Upstreams     http.Handler // announcements, under PathUpstreams
	Logger        *slog.Logger
}

// PathUpstreams is where upstreams announce themselves.
const PathUpstreams = "/v1/upstreams"

// Listener serves callers and upstreams.
type Listener struct {
	options  Options
	server   *http.Server
	leaving  atomic.Bool // balancers are told to send no more
	stopping atomic.Bool // requests are refused
	running  atomic.Int64
	base     context.Context // of all requests
	abort    context.CancelCauseFunc
}

// New returns a listener that does not listen yet.
func New(options Options) *Listener {
	l := &Listener{options: options}
	l.base, l.abort = context.WithCancelCause(context.Background())
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	if options.Upstreams != nil {
		router.PathPrefix(PathUpstreams).Handler(options.Upstreams)
	}
	router.Path("/v1/healthz").HandlerFunc(l.health)
	router.Path(classifier.PathChat).HandlerFunc(l.serve)
	router.PathPrefix(classifier.PathServices).HandlerFunc(l.serve)
	router.NotFoundHandler = http.HandlerFunc(l.serve)
	l.server = &http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerLimit,
		BaseContext:       func(net.Listener) context.Context { return l.base },
		ErrorLog:          slog.NewLogLogger(options.Logger.Handler(), slog.LevelDebug),
	}
	return l
}

// Serve accepts connections until Shutdown or Close.
func (l *Listener) Serve(socket net.Listener) error {
	err := l.server.Serve(socket)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// Leave tells balancers to send no more requests; those that come are served,
// and their connections closed after the answer.
func (l *Listener) Leave() { l.leaving.Store(true) }

// Leaving reports whether Leave or Stop was called.
func (l *Listener) Leaving() bool { return l.leaving.Load() || l.stopping.Load() }

// Stop refuses new requests as not run; connections stay open.
func (l *Listener) Stop() { l.stopping.Store(true) }

// Shutdown stops accepting and waits for running requests until ctx ends.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.Stop()
	return trace.Wrap(l.server.Shutdown(ctx))
}

// Abort ends the requests that still run; each is told its outcome.
func (l *Listener) Abort() { l.abort(redwingshunt.ErrStopping) }

// Close cuts all connections.
func (l *Listener) Close() error { return trace.Wrap(l.server.Close()) }

// Running returns the number of requests within the chain.
func (l *Listener) Running() int64 { return l.running.Load() }

// health tells a balancer in front of the fleet whether to send requests here.
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
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout)) // until the body is read
	_ = controller.SetWriteDeadline(time.Time{})                // as an earlier request left it
	e := &redwingshunt.Exchange{Writer: w, HTTP: r, Arrived: time.Now(), Snapshot: l.options.Configuration.Current()}
	if err := l.options.Chain.Serve(r.Context(), e); err != nil {
		panic(http.ErrAbortHandler)
	}
}
