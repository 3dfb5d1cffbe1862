// Package dispatcher sends a request to the upstream that the scheduler granted
// and copies the response to the caller.
//
// An attempt that sent no byte to an upstream, or that the upstream refused as
// not begun, is retried elsewhere. An idempotent request is also retried after a
// failure, as long as no byte of a response has gone to the caller. Package
// retrier makes these decisions; Suspects decides whether a request may run at
// all. A streamed response that ends early is never reported as complete.
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

// Limits of attempts and of connections to upstreams.
const (
	connectTimeout      = time.Second
	maxHeaderBytes      = 64 << 10 // of a response
	maxBufferedBytes    = 4 << 20  // of a response, buffered before it is sent on
	maxEventBytes       = 1 << 20  // one server-sent event
	copyBufferBytes     = 32 << 10
	maxAttemptsNotBegun = 4 // attempts that the upstream did not begin
)

// Options configure a Dispatcher.
type Options struct {
	Scheduler redwingshunt.Scheduler
	Directory redwingshunt.Directory // notified of leaving upstreams; may be nil
	Suspects  redwingshunt.Suspects  // nil admits every request
	Memory    redwingshunt.Memory    // for buffered responses; nil is unlimited
	Logger    *slog.Logger

	// Configuration tells which availability zones are evacuated, and the regions of
	// accounts; nil means no restriction.
	Configuration redwingshunt.Configuration
}

// Dispatcher is the last handler of the chain.
type Dispatcher struct {
	options          Options
	dialer           *net.Dialer
	pooled           *connector.Connector // for idempotent requests to upstreams that echo request IDs
	unpooled         *http.Transport      // one connection per request: for all others
	echoingAddresses echoingAddresses
	mismatched       atomic.Uint64 // responses dropped because they belong to another request
	returns          returns
	accountRegions   atomic.Pointer[accountRegions]

	mu     sync.Mutex
	policy *retrier.Policy
}

// New returns a dispatcher without connections.
func New(options Options) *Dispatcher {
	dialer := &net.Dialer{Timeout: connectTimeout}
	if options.Suspects == nil {
		options.Suspects = noSuspects{}
	}
	return &Dispatcher{
		options:  options,
		dialer:   dialer,
		pooled:   connector.New(connector.Options{Dial: dialer.DialContext}),
		unpooled: newUnpooledTransport(dialer),
		policy:   retrier.New(0, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

// newUnpooledTransport returns a transport that opens a connection for each
// request and ignores proxy settings. It never retries by itself: net/http
// retries a request only when a reused connection turns out to be closed.
func newUnpooledTransport(dialer *net.Dialer) *http.Transport {
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Close closes idle connections.
func (d *Dispatcher) Close() {
	d.pooled.CloseIdleConnections()
	d.unpooled.CloseIdleConnections()
}

// Serve tries the request until it has a response or may not be retried. Its
// error is a *redwingshunt.OutcomeError.
func (d *Dispatcher) Serve(ctx context.Context, e *redwingshunt.Exchange) error {
	ctx, cancel := context.WithDeadline(ctx, e.Request.Deadline)
	defer cancel()
	r := &retryLoop{dispatcher: d, exchange: e, avoid: redwingshunt.NewSet[redwingshunt.UpstreamID]()}
	d.recordFirstAttempt(e)
	for {
		err := r.attempt(ctx)
		if err == nil {
			return nil
		}
		delay, err := r.retryDelay(err)
		if err != nil {
			return r.callerError(err)
		}
		redwingshunt.Pause(ctx, delay)
	}
}

// recordFirstAttempt counts the first attempt of a request for the retry budget.
func (d *Dispatcher) recordFirstAttempt(e *redwingshunt.Exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.SetPercent(e.Snapshot.Document.Fleet.Budget)
	d.policy.First(time.Now(), e.Account.Name)
}

// decide returns whether and how a failed attempt is retried.
func (d *Dispatcher) decide(a retrier.Attempt) retrier.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policy.Decide(time.Now(), a)
}

// Dump returns the numbers of mismatched responses and of returned grants, and the state
// of the connections.
func (d *Dispatcher) Dump() any {
	return struct {
		Crossed     uint64 `json:"crossed"`
		Returned    uint64 `json:"returned"` // grants that the document in force excludes
		Connections any    `json:"connections"`
	}{d.mismatched.Load(), d.returned(), d.pooled.Dump()}
}
