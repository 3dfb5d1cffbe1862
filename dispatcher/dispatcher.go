// Package dispatcher sends a request to the upstream that the scheduler granted
// and brings the answer back.
//
// An attempt that handed no byte to an upstream, or that the upstream refused
// saying that it had not begun, is repeated elsewhere. An idempotent request is
// also repeated after a failure, as long as no byte of an answer has gone to
// the caller. Package retrier decides on that, and Suspects on whether a request
// may run at all. A streamed answer that ends early is never passed off as whole.
//
// # Usage
//
//	d := dispatcher.New(dispatcher.Options{Scheduler: scheduler, Logger: logger})
//	chain := redwingshunt.Chain(d, filters...)
package dispatcher

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/connector"
	"github.com/redwingshunt/redwingshunt/retrier"
)

// The times and sizes of connections to upstreams.
const (
	connectTimeout   = time.Second
	headerLimit      = 64 << 10 // bytes of an answer's header
	largestBuffered  = 4 << 20  // bytes of an answer that is held back until it is whole
	largestEvent     = 1 << 20  // bytes of one server-sent event
	copyBuffer       = 32 << 10 // bytes
	attemptsNotBegun = 4        // attempts that handed over no byte
)

// Options configure a Dispatcher.
type Options struct {
	Scheduler redwingshunt.Scheduler
	Directory redwingshunt.Directory // told of upstreams that leave; may be nil
	Suspects  redwingshunt.Suspects  // nil when none are remembered
	Logger    *slog.Logger
}

// Dispatcher is the last handler of the chain.
type Dispatcher struct {
	options Options
	reuse   *connector.Connector // for idempotent requests
	fresh   *http.Transport      // a connection for each request that runs at most once, or whose answer might not name it
	echoes  echoes
	crossed atomic.Uint64 // answers dropped because they belong to another request

	mu     sync.Mutex
	policy *retrier.Policy
}

// New returns a dispatcher without connections.
func New(options Options) *Dispatcher {
	dialer := &net.Dialer{Timeout: connectTimeout}
	if options.Suspects == nil {
		options.Suspects = trusting{}
	}
	return &Dispatcher{
		options: options,
		reuse:   connector.New(connector.Options{Dial: dialer.DialContext}),
		fresh:   newFresh(dialer),
		policy:  retrier.New(0, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

// newFresh returns a transport that opens a connection for each request and
// follows no proxy settings. It never resends on its own, since the library
// repeats a request only when a reused connection turns out to be closed.
func newFresh(dialer *net.Dialer) *http.Transport {
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: headerLimit,
	}
}

// Close drops idle connections.
func (d *Dispatcher) Close() {
	d.reuse.CloseIdleConnections()
	d.fresh.CloseIdleConnections()
}

// Serve runs the request until it has an answer or may not be repeated.
func (d *Dispatcher) Serve(ctx context.Context, e *redwingshunt.Exchange) error {
	ctx, cancel := context.WithDeadline(ctx, e.Request.Deadline)
	defer cancel()
	r := &run{dispatcher: d, exchange: e, avoid: redwingshunt.NewSet[redwingshunt.UpstreamID]()}
	d.first(e)
	for {
		err := r.attempt(ctx)
		if err == nil {
			return nil
		}
		after, err := r.next(err)
		if err != nil {
			return r.tell(err)
		}
		redwingshunt.Pause(ctx, after)
	}
}

// first notes the first attempt of a request.
func (d *Dispatcher) first(e *redwingshunt.Exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.Limit(e.Snapshot.Document.Fleet.Budget)
	d.policy.First(time.Now(), e.Account.Name)
}

// decide tells what follows a failed attempt.
func (d *Dispatcher) decide(a retrier.Attempt) retrier.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy.Decide(time.Now(), a)
}

// Dump returns what was dropped.
func (d *Dispatcher) Dump() any {
	return struct {
		Crossed     uint64 `json:"crossed"`
		Connections any    `json:"connections"`
	}{d.crossed.Load(), d.reuse.Dump()}
}
