package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/accountant"
	"github.com/redwingshunt/redwingshunt/connector"
	"github.com/redwingshunt/redwingshunt/retrier"
)

// errStalled cancels an attempt that made no progress.
var errStalled = errors.New("no progress within the stall limit of the service")

// attempt is one run of a request on one upstream.
type attempt struct {
	dispatcher *Dispatcher
	exchange   *redwingshunt.Exchange
	grant      redwingshunt.Grant
	meter      *accountant.Meter
	start      time.Time
	first      time.Duration
	connected  atomic.Bool // a connection was there, so bytes may have left
	stall      *time.Timer
	silent     bool // the connection failed, not the upstream
	crossed    bool // the answer belonged to another request
	alone      bool // the connection carries no other request

	resumable bool // the stream can be resumed
	resumed   int  // how often that was tried
	position  retrier.Position
}

// do runs the request on the granted upstream and gives the slot back.
func (a *attempt) do() error {
	d, grant := a.dispatcher, a.grant
	a.meter = accountant.NewMeter(a.exchange.Service, func(delta redwingshunt.Cost) {
		d.options.Scheduler.Charge(grant, delta)
	})
	err := a.run()
	elapsed := time.Since(a.start)
	result := redwingshunt.Result{First: a.first, Total: elapsed}
	if err == nil || redwingshunt.OutcomeOf(err).Outcome != redwingshunt.OutcomeNotRun {
		result.Cost = a.meter.Total(elapsed)
	}
	result.Lost = lost(err)
	d.options.Scheduler.Release(grant, result)
	return err
}

// lost reports whether an error says that the upstream failed.
func lost(err error) bool {
	if err == nil {
		return false
	}
	switch redwingshunt.OutcomeOf(err).Reason {
	case redwingshunt.ReasonUpstreamFailed, redwingshunt.ReasonStalled, redwingshunt.ReasonTruncated:
		return true
	default:
		return false
	}
}

// killed reports whether the upstream failed while it may have run the request.
// A silent connection or a crossed answer says nothing of the kind.
func (a *attempt) killed(err error) bool {
	return lost(err) && !a.silent && !a.crossed &&
		redwingshunt.OutcomeOf(err).Outcome != redwingshunt.OutcomeNotRun
}

// cause returns how the attempt failed.
func (a *attempt) cause(outcome *redwingshunt.OutcomeError) retrier.Cause {
	switch {
	case outcome.Reason == redwingshunt.ReasonUpstreamRefused:
		return retrier.Refused
	case outcome.Outcome == redwingshunt.OutcomeNotRun:
		return retrier.Unreached
	case outcome.Reason == redwingshunt.ReasonStalled:
		return retrier.Stalled
	case a.crossed:
		return retrier.Garbled
	}
	return retrier.Lost
}

func (a *attempt) run() error {
	ctx, cancel := context.WithCancelCause(a.exchange.HTTP.Context())
	defer cancel(nil)
	a.stall = time.AfterFunc(a.exchange.Service.Stall, func() { cancel(errStalled) })
	defer a.stall.Stop()

	response, err := a.transport().RoundTrip(a.request(ctx))
	if err != nil {
		return a.failure(ctx, err)
	}
	defer response.Body.Close()
	a.progress()
	if err := a.checkID(response); err != nil {
		return err
	}
	a.heed(response)
	if notBegun(response) {
		return redwingshunt.NotRun(redwingshunt.ReasonUpstreamRefused, http.StatusServiceUnavailable,
			"the upstream refused the request before it began").After(redwingshunt.RetrySoon)
	}
	if isEventStream(response) {
		return a.copyStream(ctx, response)
	}
	return a.copyWhole(ctx, response)
}

// heed tells that the upstream takes no new work, if its answer says so.
func (a *attempt) heed(response *http.Response) {
	options := &a.dispatcher.options
	if options.Directory != nil && redwingshunt.DefaultDialect().SaysLeaving(response.Header) {
		options.Directory.Leave(a.grant.Upstream.Key())
	}
}

func (a *attempt) transport() http.RoundTripper {
	a.alone = a.exchange.Request.Once || !a.dispatcher.echoes.has(a.grant.Upstream.Address)
	if a.alone {
		return a.dispatcher.fresh
	}
	return a.dispatcher.reuse
}

// request builds the request to the upstream.
func (a *attempt) request(ctx context.Context) *http.Request {
	r := a.exchange.Request
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	}
	out, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace),
		r.Method, "http://"+a.grant.Upstream.Address.String()+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		// The target was parsed once already, as a part of the caller's URL.
		out = &http.Request{Method: r.Method}
	}
	copyHeader(out.Header, r.Header)
	out.Header.Del("Authorization")
	out.Header.Set(redwingshunt.HeaderRequest, r.ID)
	return out
}

// progress notes that the upstream is alive.
func (a *attempt) progress() {
	if a.first == 0 {
		a.first = time.Since(a.start)
	}
	a.stall.Reset(a.exchange.Service.Stall)
}

// checkID drops an answer that names another request, or none although the
// connection has carried others.
func (a *attempt) checkID(response *http.Response) error {
	switch id := response.Header.Get(redwingshunt.HeaderRequest); {
	case id == a.exchange.Request.ID:
		a.dispatcher.echoes.add(a.grant.Upstream.Address)
		return nil
	case id == "" && a.alone:
		return nil
	}
	a.dispatcher.echoes.remove(a.grant.Upstream.Address)
	a.dispatcher.crossed.Add(1)
	a.crossed = true
	return redwingshunt.MayHaveRun(redwingshunt.ReasonUpstreamFailed, http.StatusBadGateway,
		"the upstream answered another request")
}

// failure classifies an error of the transport. Nothing ran when there never
// was a connection.
func (a *attempt) failure(ctx context.Context, err error) error {
	outcome := redwingshunt.MayHaveRun
	if !a.connected.Load() {
		outcome = redwingshunt.NotRun
	}
	a.silent = errors.Is(err, connector.ErrSilent)
	switch {
	case a.silent:
		return outcome(redwingshunt.ReasonStalled, http.StatusGatewayTimeout, connector.ErrSilent.Error())
	case a.exchange.HTTP.Context().Err() != nil:
		ending := redwingshunt.EndingOf(a.exchange.HTTP.Context())
		return outcome(ending.Reason, ending.Status, ending.Detail)
	case errors.Is(context.Cause(ctx), errStalled):
		return outcome(redwingshunt.ReasonStalled, http.StatusGatewayTimeout, errStalled.Error())
	default:
		return outcome(redwingshunt.ReasonUpstreamFailed, http.StatusBadGateway, err.Error())
	}
}

// gone returns the outcome of a request whose caller can't be written to.
func gone() error {
	return redwingshunt.MayHaveRun(redwingshunt.ReasonCancelled, redwingshunt.StatusClientClosed, "the caller went away")
}

// copyWhole holds an answer back until it is whole, up to a limit, so that a
// failure in its middle can still be repeated elsewhere.
func (a *attempt) copyWhole(ctx context.Context, response *http.Response) error {
	reader := &progressReader{attempt: a, reader: response.Body}
	body, err := io.ReadAll(io.LimitReader(reader, largestBuffered))
	if err != nil {
		return a.failure(ctx, err)
	}
	a.meter.Body(body)
	e := a.exchange
	header := e.Writer.Header()
	copyHeader(header, response.Header)
	header.Set(redwingshunt.HeaderOutcome, string(redwingshunt.OutcomeComplete))
	e.Started = true
	e.Writer.WriteHeader(response.StatusCode)
	writer := limitedWriter{a}
	if _, err := writer.Write(body); err != nil {
		return gone()
	}
	if len(body) < largestBuffered {
		return nil
	}
	if _, err := io.CopyBuffer(writer, reader, make([]byte, copyBuffer)); err != nil {
		return redwingshunt.MayHaveRun(redwingshunt.ReasonTruncated, http.StatusBadGateway, err.Error())
	}
	return nil
}

// limitWrite ends the connection of a caller that takes nothing for as long as
// an upstream may be silent, so that it holds no slot for good.
func (a *attempt) limitWrite() {
	_ = http.NewResponseController(a.exchange.Writer).SetWriteDeadline(time.Now().Add(a.exchange.Service.Stall))
}

// limitedWriter writes to the caller in pieces that each have their time.
type limitedWriter struct{ attempt *attempt }

// Write implements io.Writer.
func (w limitedWriter) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		w.attempt.limitWrite()
		n, err := w.attempt.exchange.Writer.Write(p[:min(copyBuffer, len(p))])
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}

// progressReader notes progress on each read.
type progressReader struct {
	attempt *attempt
	reader  io.Reader
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.attempt.progress()
	}
	return n, err
}

// notBegun reports whether the upstream says that it did not start.
func notBegun(response *http.Response) bool {
	return response.StatusCode >= http.StatusBadRequest &&
		strings.EqualFold(response.Header.Get(redwingshunt.HeaderBegun), "no")
}

func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// ownPrefix begins the headers that only the fleet itself sends.
const ownPrefix = "Redwingshunt-"

// copyHeader passes a header on, but for what only the fleet itself sends.
func copyHeader(to, from http.Header) {
	for name, values := range redwingshunt.EndToEnd(from) {
		if !strings.HasPrefix(name, ownPrefix) {
			to[name] = append([]string(nil), values...)
		}
	}
}
