// Package dispatcher sends a request to the upstream that the scheduler granted
// and brings the answer back.
//
// An attempt that handed no byte to an upstream, or that the upstream refused
// saying that it had not begun, is repeated elsewhere. An idempotent request is
// also repeated after a failure, as long as no byte of an answer has gone to
// the caller. A streamed answer that ends early is never passed off as whole.
//
// # Usage
//
//	d := dispatcher.New(dispatcher.Options{Scheduler: scheduler, Logger: logger})
//	chain := redwingshunt.Chain(d, filters...)
package dispatcher

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// The times and sizes of connections to upstreams.
const (
	connectTimeout   = time.Second
	idleConnection   = 20 * time.Second // kept for reuse
	idlePerUpstream  = 8                // connections
	idleConnections  = 1024             // over all upstreams
	headerLimit      = 64 << 10         // bytes of an answer's header
	largestBuffered  = 4 << 20          // bytes of an answer that is held back until it is whole
	largestEvent     = 1 << 20          // bytes of one server-sent event
	copyBuffer       = 32 << 10         // bytes
	attemptsNotBegun = 4                // attempts that handed over no byte
)

// Options configure a Dispatcher.
type Options struct {
	Scheduler redwingshunt.Scheduler
	Logger    *slog.Logger
}

// Dispatcher is the last handler of the chain.
type Dispatcher struct {
	options Options
	reuse   *http.Transport // for idempotent requests
	fresh   *http.Transport // a connection for each request that runs at most once
	crossed atomic.Uint64   // answers dropped because they belong to another request
}

// New returns a dispatcher without connections.
func New(options Options) *Dispatcher {
	return &Dispatcher{options: options, reuse: newTransport(false), fresh: newTransport(true)}
}

// newTransport returns a transport that follows no proxy settings. A transport
// with fresh connections never resends on its own, since the library repeats
// a request only when a reused connection turns out to be closed.
func newTransport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: connectTimeout}).DialContext,
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		IdleConnTimeout:        idleConnection,
		MaxIdleConns:           idleConnections,
		MaxIdleConnsPerHost:    idlePerUpstream,
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
	avoid := redwingshunt.NewSet[redwingshunt.UpstreamID]()
	failures := 0
	for attempt := 1; ; attempt++ {
		grant, err := d.options.Scheduler.Acquire(ctx, e.Request, avoid)
		if err != nil {
			return err
		}
		err = d.attempt(e, grant)
		if err == nil {
			return nil
		}
		outcome := redwingshunt.OutcomeOf(err)
		avoid.Add(grant.Upstream.ID)
		d.options.Logger.Debug("attempt failed", "request", e.Request.ID,
			"upstream", string(grant.Upstream.ID), "attempt", attempt, "error", outcome.Error())
		if outcome.Outcome != redwingshunt.OutcomeNotRun {
			failures++
		}
		if !d.repeatable(e, outcome, attempt, failures) {
			return err
		}
	}
}

func (d *Dispatcher) repeatable(
	e *redwingshunt.Exchange, outcome *redwingshunt.OutcomeError, attempt, failures int,
) bool {
	switch {
	case e.Started || outcome.Reason == redwingshunt.ReasonCancelled || e.HTTP.Context().Err() != nil:
		return false
	case outcome.Outcome == redwingshunt.OutcomeNotRun:
		return attempt < attemptsNotBegun
	default:
		return !e.Request.Once && failures <= e.Service.Retries
	}
}

// Dump returns what was dropped.
func (d *Dispatcher) Dump() any {
	return struct {
		Crossed uint64 `json:"crossed"`
	}{d.crossed.Load()}
}
