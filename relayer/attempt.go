package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/carrier"
)

const (
	// notRunRetryAfter is the Retry-After of a request that no upstream accepted.
	notRunRetryAfter = 200 * time.Millisecond
	// maxResponseBytes bounds in bytes a response that is buffered completely.
	maxResponseBytes = 8 << 20
)

// errDeadline is the context cause of a request that exceeds its deadline.
var errDeadline = errors.New("the deadline of the request has passed")

// attemptResult is the result of an attempt.
type attemptResult struct {
	end          redwingshunt.PlacementEnd
	done         bool          // the caller has its response
	mayHaveBegun bool          // the upstream may have begun
	sent         bool          // a byte may have reached the upstream
	number       int           // of the attempt, from 1
	silent       time.Duration // at its end, since its last progress
	err          error
	reply        *bufferedResponse // error response of the upstream, sent if there is no other attempt
}

// bufferedResponse is a complete response of an upstream.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// runAttempts sends the request to one upstream after another until there is a
// response or the request must not be sent again.
func (x *exchange) runAttempts(ctx context.Context) error {
	complete := false
	defer func() { x.settleSuspect(complete) }()
	defer func() { x.dropStandby("the request has ended") }()
	var last attemptResult
	for {
		if callerGone(ctx) {
			if x.tries == 0 {
				x.relayer.abandoned.Add(1)
			}
			return x.giveUp(ctx, last, nil, "the caller left")
		}
		placed, ready, err := x.next(ctx)
		if err != nil {
			return x.giveUp(ctx, last, err, err.Error())
		}
		number := x.tries
		if ready != nil {
			number = ready.number
		}
		x.progressed = time.Now()
		last = x.attempt(ctx, placed, ready)
		last.number = number
		last.silent = time.Since(x.progressed)
		x.mayHaveRun = x.mayHaveRun || last.mayHaveBegun
		if last.done {
			complete = true
			return nil
		}
		if last.sent {
			x.sent++
			x.paid = false
		}
		if errors.Is(last.err, errPartRefused) {
			const reason = "the prompt is refused"
			x.logAttempt(placed, last, "not sent again: "+reason)
			return x.giveUp(ctx, last, x.newOutcome(redwingshunt.ReasonSuspect, http.StatusServiceUnavailable, http.StatusBadGateway, last.err.Error()), reason)
		}
		if errors.Is(last.err, redwingshunt.ErrUnrecorded) {
			x.logAttempt(placed, last, "not sent again: "+last.err.Error())
			return x.giveUp(ctx, last, nil, last.err.Error())
		}
		if !x.admitted && x.relayer.options.Suspects != nil {
			x.dropStandby("its upstream died with the request")
		}
		if x.standby == nil || ctx.Err() != nil {
			if reason := x.retryObstacle(ctx); reason != "" {
				x.logAttempt(placed, last, "not sent again: "+reason)
				return x.giveUp(ctx, last, nil, reason)
			}
		}
		x.logAttempt(placed, last, "sent again")
	}
}

// next returns the next attempt: the standby, or else one that is not sent yet.
func (x *exchange) next(ctx context.Context) (redwingshunt.Placed, *standby, error) {
	if err := x.checkParts(); err != nil {
		return redwingshunt.Placed{}, nil, err
	}
	if ready := x.takeStandby(); ready != nil {
		return ready.placed, ready, nil
	}
	if err := x.admitSuspect(ctx); err != nil {
		return redwingshunt.Placed{}, nil, err
	}
	placed, err := x.place()
	return placed, nil, err
}

// placement describes an attempt to the placer.
func (x *exchange) placement(attempt int) *redwingshunt.Placement {
	return &redwingshunt.Placement{
		Request: x.id, Service: x.service, Account: x.account, Route: x.route,
		Prompt: x.prompt, Output: x.output, Attempt: attempt, Deadline: x.deadline, Avoid: x.avoid, Version: x.version,
		Regions: x.servingRegions(), Warm: x.warmOnly,
	}
}

// place chooses the next upstream.
func (x *exchange) place() (redwingshunt.Placed, error) {
	x.tries++
	placed, err := x.relayer.options.Placer.Place(x.placement(x.tries))
	if err != nil {
		if x.tries == 1 {
			x.noteRefusal(err)
		}
		return placed, err
	}
	x.upstream, x.build, x.predicted = placed.Upstream.ID, placed.Upstream.Version, placed.Predicted
	if x.tries == 1 {
		x.beginHedging(placed)
	}
	if x.avoid == nil {
		x.avoid = redwingshunt.NewSet[redwingshunt.UpstreamID]()
	}
	x.avoid.Add(x.upstream)
	return placed, nil
}

// retryObstacle returns why the request must not be sent to another upstream, or an
// empty string if it may be.
func (x *exchange) retryObstacle(ctx context.Context) string {
	if ctx.Err() != nil {
		return "the caller left or the deadline passed"
	}
	if x.started && x.events.partial {
		return "the caller has events without a number"
	}
	obstacle := x.progress().Obstacle()
	if obstacle == "" && x.sent > 0 && !x.payRetry() {
		return "the budget for repeats is used up"
	}
	return obstacle
}

// payRetry takes one retry from the budget, unless one that was taken is not used yet. It
// reports whether the budget had one.
func (x *exchange) payRetry() bool {
	x.paid = x.paid || x.relayer.options.Placer.AllowRetry(x.service)
	return x.paid
}

// giveUp ends a request for which no further attempt is made, for the given reason. It
// returns the error for the caller, or nil if it has written the response of an upstream.
func (x *exchange) giveUp(ctx context.Context, last attemptResult, refusal error, reason string) error {
	timedOut := errors.Is(context.Cause(ctx), errDeadline)
	ending := redwingshunt.EndingOf(ctx)
	callerLeft := callerGone(ctx) || ctx.Err() != nil && !timedOut && ending.Reason == redwingshunt.ReasonCancelled
	switch {
	case x.started && callerLeft:
		return errCallerLeft
	case x.started:
		return fmt.Errorf("%w: %w; silent for %s; no further attempt: %s", errResponseCut, last.err, last.silent.Round(time.Millisecond), reason)
	case callerLeft:
		return x.newOutcome(redwingshunt.ReasonCancelled, redwingshunt.StatusClientClosed, redwingshunt.StatusClientClosed, "the caller went away")
	case last.reply != nil:
		return x.writeBuffered(last.reply)
	case refusal != nil && (!x.mayHaveRun || errors.Is(last.err, errPartRefused)):
		return refusal
	case timedOut:
		return x.newOutcome(redwingshunt.ReasonDeadline, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
			"the deadline passed before the upstream answered")
	case ctx.Err() != nil:
		return x.newOutcome(ending.Reason, http.StatusServiceUnavailable, http.StatusBadGateway, ending.Detail)
	case !x.mayHaveRun:
		return redwingshunt.NotRun(redwingshunt.ReasonUpstreamRefused, http.StatusServiceUnavailable,
			"no upstream took the request").After(notRunRetryAfter)
	}
	detail := "the upstream failed after it had taken the request"
	if last.err != nil {
		detail += ": " + last.err.Error()
	}
	return redwingshunt.MayHaveRun(redwingshunt.ReasonUpstreamFailed, http.StatusBadGateway, detail)
}

// newOutcome returns an error with one of two statuses: notRunStatus if no attempt
// can have begun, otherwise mayHaveRunStatus. Only notRunStatus may be a status
// that callers read as "not run".
func (x *exchange) newOutcome(reason redwingshunt.Reason, notRunStatus, mayHaveRunStatus int, detail string) error {
	if x.mayHaveRun {
		return redwingshunt.MayHaveRun(reason, mayHaveRunStatus, detail)
	}
	return redwingshunt.NotRun(reason, notRunStatus, detail).After(notRunRetryAfter)
}

// attempt sends the request to one upstream, unless it is ready, and relays the response.
// It ends the attempt if a part of the prompt is refused before the response begins. It
// ends the placement, also when it panics: the server recovers panics of a request.
func (x *exchange) attempt(ctx context.Context, placed redwingshunt.Placed, ready *standby) (result attemptResult) {
	result.end = redwingshunt.EndFailed
	defer func() { x.relayer.options.Placer.End(placed.Ticket, result.end) }()
	watched, done := x.watchParts(ctx, ready)
	defer done()
	stall := x.watchStall(ctx, placed)
	result = x.exchangeWith(watched, placed, ready, stall)
	if !result.done && errors.Is(context.Cause(watched), errPartRefused) {
		result.err = errPartRefused
	}
	if ready == nil {
		result.end = x.firstEnded(result)
	}
	return result
}

// exchangeWith sends the request to an upstream and relays its response.
func (x *exchange) exchangeWith(ctx context.Context, placed redwingshunt.Placed, ready *standby, stall *stallWatch) attemptResult {
	var reply *carrier.Reply
	var err error
	if ready != nil {
		reply, err = ready.wait(stall.carrierWatch())
	} else {
		call := x.newCall(placed)
		call.Watch = stall.carrierWatch()
		reply, err = x.relayer.options.Carrier.Send(ctx, call)
	}
	if err != nil {
		err = stall.cause(err)
	}
	if errors.Is(err, carrier.ErrStale) {
		return attemptResult{end: redwingshunt.EndLeft, err: err}
	}
	if err != nil {
		var failure *carrier.Failure
		if errors.As(err, &failure) && !failure.Sent {
			return attemptResult{end: lostOrLeft(ctx, err), err: err}
		}
		x.reportLoss(ctx, placed, err, loss{progress: progressOf(reply)})
		return attemptResult{end: lostOrLeft(ctx, err), sent: true, mayHaveBegun: true, err: err}
	}
	defer reply.Close()
	x.progressed = time.Now()
	x.applySignals(placed, reply)
	if failed := x.rejectHeader(reply); failed != nil {
		if failed.end == redwingshunt.EndRefused {
			reply.Watch(nil)
			reply.Drain()
		}
		return *failed
	}
	if x.route.Kind == redwingshunt.RouteStream && reply.Status >= 200 && reply.Status < 300 {
		return x.relayStream(ctx, placed, reply, stall)
	}
	return x.relayBuffered(ctx, placed, reply, stall)
}

// rejectHeader returns the result of an attempt whose response is not used because of
// its header, or nil.
func (x *exchange) rejectHeader(reply *carrier.Reply) *attemptResult {
	dialect := x.relayer.options.Dialect
	notRun := dialect.SaysNotRun(reply.Header)
	switch {
	case reply.Status == http.StatusMisdirectedRequest, notRun && reply.Status != http.StatusBadRequest:
		return &attemptResult{end: redwingshunt.EndRefused, sent: true, err: errors.New("the upstream has not begun, status " + strconv.Itoa(reply.Status))}
	case x.started && !x.continues(reply):
		return &attemptResult{end: redwingshunt.EndFailed, sent: true, mayHaveBegun: true,
			err: errors.New("the answer does not continue the stream, status " + strconv.Itoa(reply.Status))}
	case reply.Status >= 200 && reply.Status < 300 && (reply.Header.Get(dialect.Signature) == "" || reply.Header.Get("Content-Encoding") != ""):
		return &attemptResult{end: redwingshunt.EndFailed, sent: true, mayHaveBegun: true, err: errors.New("the answer is not of the upstream")}
	}
	return nil
}

// lostOrLeft returns EndLost, EndStalled if a standby replaces the attempt, or EndLeft if
// the request itself has ended.
func lostOrLeft(ctx context.Context, err error) redwingshunt.PlacementEnd {
	switch {
	case errors.Is(err, errStalled):
		return redwingshunt.EndStalled
	case ctx.Err() != nil:
		return redwingshunt.EndLeft
	}
	return redwingshunt.EndLost
}

// relayBuffered buffers a response completely before the caller sees any of it.
func (x *exchange) relayBuffered(ctx context.Context, placed redwingshunt.Placed, reply *carrier.Reply, stall *stallWatch) attemptResult {
	x.relayer.options.Placer.First(placed.Ticket)
	if !failsHeader(reply.Status) {
		x.firstAnswered()
	}
	began := time.Now()
	body, err := x.readResponse(reply)
	if err = stall.cause(err); err == nil {
		x.dropStandby(errStandbyDropped.Error())
		err = x.verifyEnd(ctx, placed, reply)
	}
	if err != nil {
		x.reportLoss(ctx, placed, err, loss{progress: redwingshunt.LostAfterHeader, answered: len(body) > 0})
		return attemptResult{end: failedUnlessLeft(ctx), sent: true, mayHaveBegun: true, err: err}
	}
	response := &bufferedResponse{status: reply.Status, header: reply.Header, body: body}
	if reply.Status < http.StatusInternalServerError && !meansNotRun(reply.Status) {
		if reply.Status < http.StatusMultipleChoices {
			x.reportAnswered(began)
		}
		if err := x.writeBuffered(response); err != nil {
			return attemptResult{end: redwingshunt.EndLeft, sent: true, mayHaveBegun: true, err: err}
		}
		return attemptResult{end: redwingshunt.EndComplete, sent: true, mayHaveBegun: true, done: true}
	}
	v := attemptResult{end: redwingshunt.EndFailed, sent: true, mayHaveBegun: true, err: errors.New("the upstream answered " + strconv.Itoa(reply.Status))}
	if !meansNotRun(reply.Status) {
		v.reply = response
	}
	return v
}

// failedUnlessLeft returns EndLeft if the request has ended for another reason than its
// deadline, or EndFailed: an upstream that stops within a short response is to blame if the
// deadline passes.
func failedUnlessLeft(ctx context.Context) redwingshunt.PlacementEnd {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline) {
		return redwingshunt.EndLeft
	}
	return redwingshunt.EndFailed
}

// readResponse reads the body of a response to its end. With an error of the upstream
// it returns the part that arrived.
func (x *exchange) readResponse(reply *carrier.Reply) ([]byte, error) {
	body := make([]byte, 0, min(max(reply.Length, 0), responseChunkBytes-1)+1)
	for {
		n, err := reply.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		case len(body) > maxResponseBytes:
			return nil, errResponseTooLong
		case len(body) == cap(body):
			if !x.reserveResponse(cap(body)) {
				return nil, errBuffersFull
			}
			body = slices.Grow(body, cap(body))
		}
	}
}

// responseChunkBytes is the part of a response in bytes that is read before more
// buffer space is reserved.
const responseChunkBytes = 16 << 10

var (
	errResponseTooLong = errors.New("the answer is too long to be held")
	errBuffersFull     = errors.New("this instance holds as much of answers and requests as it carries")
)

// meansNotRun reports whether callers read a status as "not run".
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// logAttempt logs a failed attempt and whether another one follows.
func (x *exchange) logAttempt(placed redwingshunt.Placed, v attemptResult, decision string) {
	reason := ""
	if v.err != nil {
		reason = v.err.Error()
	}
	var event any // none if no event has a number
	if last, known := x.events.last.Get(); known {
		event = last
	}
	x.relayer.options.Logger.Warn("attempt failed", "request", x.id, "upstream", string(placed.Upstream.ID),
		"address", placed.Upstream.Address.String(), "attempt", v.number, "sent", v.sent, "ran", v.mayHaveBegun, "build", placed.Upstream.Version,
		"predicted", placed.Predicted.String(), "event", event, "silent", v.silent.String(), "error", reason, "decision", decision)
}
