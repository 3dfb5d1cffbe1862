package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/accountant"
	"github.com/redwingshunt/redwingshunt/connector"
	"github.com/redwingshunt/redwingshunt/detector"
	"github.com/redwingshunt/redwingshunt/retrier"
)

// errStalled cancels an attempt that made no progress within the stall limit.
var errStalled = errors.New("no progress within the stall limit of the service")

// errEndedWithUpstream means that an upstream died while it sent a response whose end is
// that of the connection.
var errEndedWithUpstream = errors.New("the upstream ended with the response, which may lack its end")

// attempt is one try of a request on one upstream.
type attempt struct {
	dispatcher *Dispatcher
	exchange   *redwingshunt.Exchange
	grant      redwingshunt.Grant
	meter      *accountant.Meter
	start      time.Time
	firstByte  time.Duration
	connected  atomic.Bool // a connection was established, so bytes may have been sent
	stallTimer *time.Timer
	silent     bool            // the connection failed, not the upstream
	mismatched bool            // the response belonged to another request
	invalid    bool            // the status is not that of a final response
	refusal    error           // the upstream may not be used any more, so its connection was closed
	exclusive  bool            // the connection carries no other request
	written    <-chan struct{} // closed once the request is written completely

	resumable      bool // the stream can be resumed
	resumeAttempts int  // number of tries to resume it
	position       retrier.Position
}

// execute runs the request on the granted upstream and releases the grant.
func (a *attempt) execute() error {
	d, grant := a.dispatcher, a.grant
	a.meter = accountant.NewMeter(a.exchange.Service, func(delta redwingshunt.Cost) {
		d.options.Scheduler.Charge(grant, delta)
	})
	err := a.run()
	elapsed := time.Since(a.start)
	result := redwingshunt.Result{First: a.firstByte, Total: elapsed}
	if err == nil || redwingshunt.OutcomeOf(err).Outcome != redwingshunt.OutcomeNotRun {
		result.Cost = a.meter.Total(elapsed)
	}
	result.Lost = isUpstreamFailure(err)
	d.options.Scheduler.Release(grant, result)
	return err
}

// isUpstreamFailure reports whether an error means that the upstream failed.
func isUpstreamFailure(err error) bool {
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

// failedWhileRunning reports whether the upstream failed while it may have run
// the request. Neither a silent connection nor a mismatched or invalid response shows that.
func (a *attempt) failedWhileRunning(err error) bool {
	return isUpstreamFailure(err) && !a.silent && !a.mismatched && !a.invalid &&
		redwingshunt.OutcomeOf(err).Outcome != redwingshunt.OutcomeNotRun
}

// cause returns the kind of failure on which the retry policy decides.
func (a *attempt) cause(outcome *redwingshunt.OutcomeError) retrier.Cause {
	switch {
	case outcome.Reason == redwingshunt.ReasonUpstreamRefused:
		return retrier.Refused
	case outcome.Outcome == redwingshunt.OutcomeNotRun:
		return retrier.Unreachable
	case outcome.Reason == redwingshunt.ReasonStalled:
		return retrier.Stalled
	case a.mismatched || a.invalid:
		return retrier.Malformed
	}
	return retrier.Lost
}

func (a *attempt) run() error {
	ctx, cancel := context.WithCancelCause(a.exchange.HTTP.Context())
	defer cancel(nil)
	a.stallTimer = time.AfterFunc(a.exchange.Service.Stall, func() { cancel(errStalled) })
	defer a.stallTimer.Stop()

	response, err := a.transport().RoundTrip(a.request(ctx))
	if err != nil {
		return a.classifyError(ctx, err)
	}
	defer response.Body.Close()
	a.progress()
	if err := a.checkStatus(response); err != nil {
		return err
	}
	if err := a.checkID(response); err != nil {
		return err
	}
	a.noteLeaving(response)
	if notBegun(response) {
		return redwingshunt.NotRun(redwingshunt.ReasonUpstreamRefused, http.StatusServiceUnavailable,
			"the upstream refused the request before it began").After(redwingshunt.RetrySoon)
	}
	if isEventStream(response) {
		return a.copyStream(ctx, response)
	}
	return a.copyBuffered(ctx, response)
}

// checkStatus rejects a response whose status is not that of a final response. The HTTP
// library parses any three digits, and its server panics when it writes less than 100.
func (a *attempt) checkStatus(response *http.Response) error {
	if redwingshunt.IsFinalStatus(response.StatusCode) {
		return nil
	}
	a.invalid = true
	return redwingshunt.MayHaveRun(redwingshunt.ReasonUpstreamFailed, http.StatusBadGateway,
		fmt.Sprintf("the upstream answered with the invalid status %03d", response.StatusCode))
}

// noteLeaving tells the directory that the upstream takes no new work, if its
// response says so.
func (a *attempt) noteLeaving(response *http.Response) {
	options := &a.dispatcher.options
	if options.Directory != nil && redwingshunt.DefaultDialect().SaysLeaving(response.Header) {
		options.Directory.Leave(a.grant.Upstream.Key())
	}
}

func (a *attempt) transport() http.RoundTripper {
	a.exclusive = a.exchange.Request.Once || !a.dispatcher.echoingAddresses.has(a.grant.Upstream.Address)
	if a.exclusive {
		return a.dispatcher.unpooled
	}
	return a.dispatcher.pooled
}

// request returns the HTTP request to send to the upstream.
func (a *attempt) request(ctx context.Context) *http.Request {
	r := a.exchange.Request
	written := make(chan struct{})
	a.written = written
	done := sync.OnceFunc(func() { close(written) })
	trace := &httptrace.ClientTrace{
		GotConn: a.useConnection,
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				done()
			}
		},
	}
	out, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace),
		r.Method, "http://"+a.grant.Upstream.Address.String()+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		// Not expected: the path was parsed before, as part of the caller's URL.
		out = &http.Request{Method: r.Method}
	}
	copyHeader(out.Header, r.Header)
	out.Header.Del("Authorization")
	out.Header.Set(redwingshunt.HeaderRequest, r.ID)
	return out
}

// useConnection is called with the connection for the request before its first byte is
// written. Opening one takes up to connectTimeout, in which the document may exclude the
// upstream. The request then fails without a byte on the closed connection.
func (a *attempt) useConnection(info httptrace.GotConnInfo) {
	if refusal := a.dispatcher.unusable(a.exchange, &a.grant.Upstream); refusal != nil {
		a.refusal = refusal
		_ = info.Conn.Close()
		return
	}
	a.connected.Store(true)
}

// progress records that the upstream sent something, and restarts the stall timer.
func (a *attempt) progress() {
	if a.firstByte == 0 {
		a.firstByte = time.Since(a.start)
	}
	a.stallTimer.Reset(a.exchange.Service.Stall)
}

// checkID rejects a response that carries the ID of another request, or no ID
// although other requests used the connection.
func (a *attempt) checkID(response *http.Response) error {
	switch id := response.Header.Get(redwingshunt.HeaderRequest); {
	case id == a.exchange.Request.ID:
		a.dispatcher.echoingAddresses.add(a.grant.Upstream.Address)
		return nil
	case id == "" && a.exclusive:
		return nil
	}
	a.dispatcher.echoingAddresses.remove(a.grant.Upstream.Address)
	a.dispatcher.mismatched.Add(1)
	a.mismatched = true
	return redwingshunt.MayHaveRun(redwingshunt.ReasonUpstreamFailed, http.StatusBadGateway,
		"the upstream answered another request")
}

// classifyError returns the outcome of an error of the transport. Without a
// connection, the request did not run.
func (a *attempt) classifyError(ctx context.Context, err error) error {
	outcome := redwingshunt.MayHaveRun
	if !a.connected.Load() {
		outcome = redwingshunt.NotRun
	}
	a.silent = errors.Is(err, connector.ErrSilent)
	switch {
	case a.refusal != nil && !a.connected.Load():
		return a.refusal
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

// callerGone returns the outcome of a request whose caller can't be written to.
func callerGone() error {
	return redwingshunt.MayHaveRun(redwingshunt.ReasonCancelled, redwingshunt.StatusClientClosed, "the caller went away")
}

// copyBuffered buffers a response, up to a limit and as far as there is memory, before
// the first byte goes to the caller. The rest is read as fast as the caller reads. A response that breaks off before that can be retried elsewhere.
func (a *attempt) copyBuffered(ctx context.Context, response *http.Response) error {
	reader := &progressReader{attempt: a, reader: response.Body}
	buffered, err := a.readBuffered(reader)
	defer buffered.release()
	body := buffered.body
	if err != nil {
		return a.classifyError(ctx, err)
	}
	if buffered.whole && a.endedWith(ctx, response) {
		return a.classifyError(ctx, errEndedWithUpstream)
	}
	a.meter.Body(body)
	e := a.exchange
	header := e.Writer.Header()
	copyHeader(header, response.Header)
	header.Set(redwingshunt.HeaderOutcome, string(redwingshunt.OutcomeComplete))
	e.Started = true
	e.Writer.WriteHeader(response.StatusCode)
	writer := deadlineWriter{a}
	if _, err := writer.Write(body); err != nil {
		return callerGone()
	}
	if buffered.whole {
		return nil
	}
	if _, err := io.CopyBuffer(writer, reader, make([]byte, copyBufferBytes)); err != nil {
		return truncated(err.Error())
	}
	if a.endedWith(ctx, response) {
		return truncated(errEndedWithUpstream.Error())
	}
	return nil
}

// endedWith reports whether a response that has been read to its end may lack a part:
// only the connection marks its end, and either the upstream died or the connection ended
// before the request was written. A reset ends the reads of a connection without an error
// if the writer of the request body has received the error.
func (a *attempt) endedWith(ctx context.Context, response *http.Response) bool {
	return detector.EndsWithConnection(response) &&
		(!a.wasWritten() || detector.Ended(ctx, a.dispatcher.dialer, a.grant.Upstream.Address))
}

// wasWritten reports whether the request was written completely, waiting up to
// bodyWriteGrace for it.
func (a *attempt) wasWritten() bool {
	timer := time.NewTimer(bodyWriteGrace)
	defer timer.Stop()
	select {
	case <-a.written:
		return true
	case <-timer.C:
		return false
	}
}

// bodyWriteGrace is how long the rest of a request body may take after the response.
const bodyWriteGrace = 50 * time.Millisecond

// extendWriteDeadline sets the deadline of the next write to the stall limit from
// now. A caller that reads nothing would otherwise hold its slot forever.
func (a *attempt) extendWriteDeadline() {
	_ = http.NewResponseController(a.exchange.Writer).SetWriteDeadline(time.Now().Add(a.exchange.Service.Stall))
}

// deadlineWriter writes to the caller in chunks, each with its own deadline.
type deadlineWriter struct{ attempt *attempt }

// Write implements io.Writer.
func (w deadlineWriter) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		w.attempt.extendWriteDeadline()
		n, err := w.attempt.exchange.Writer.Write(p[:min(copyBufferBytes, len(p))])
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}

// progressReader records progress on each read that returns data.
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

// notBegun reports whether the upstream says that it did not start the request.
func notBegun(response *http.Response) bool {
	return response.StatusCode >= http.StatusBadRequest &&
		strings.EqualFold(response.Header.Get(redwingshunt.HeaderBegun), "no")
}

func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// fleetHeaderPrefix is the prefix of headers that only the fleet itself sends.
const fleetHeaderPrefix = "Redwingshunt-"

// copyHeader copies the end-to-end headers, except those of the fleet itself.
func copyHeader(to, from http.Header) {
	for name, values := range redwingshunt.EndToEnd(from) {
		if !strings.HasPrefix(name, fleetHeaderPrefix) {
			to[name] = append([]string(nil), values...)
		}
	}
}
