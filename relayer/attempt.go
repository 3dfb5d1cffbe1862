package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/carrier"
	"github.com/redwingshunt/redwingshunt/retrier"
)

const (
	// againAfter is the Retry-After of a request that no upstream accepted.
	againAfter = 200 * time.Millisecond
	// wholeAnswer bounds in bytes a response that is buffered completely.
	wholeAnswer = 8 << 20
)

// errDeadline is the context cause of a request that exceeds its deadline.
var errDeadline = errors.New("the deadline of the request has passed")

// verdict is the result of an attempt.
type verdict struct {
	end   redwingshunt.PlacementEnd
	done  bool // the caller has its response
	ran   bool // the upstream may have begun
	sent  bool // a byte may have reached the upstream
	err   error
	reply *answer // error response of the upstream, sent if there is no other attempt
}

// answer is a complete response of an upstream.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// attempts sends the request to one upstream after another until there is a
// response or the request must not be sent again.
func (x *exchange) attempts(ctx context.Context) error {
	complete := false
	defer func() { x.settleSuspect(complete) }()
	var last verdict
	for {
		if callerGone(ctx) {
			if x.tries == 0 {
				x.relayer.abandoned.Add(1)
			}
			return x.giveUp(ctx, last, nil)
		}
		err := x.admitSuspect(ctx)
		var placed redwingshunt.Placed
		if err == nil {
			placed, err = x.place()
		}
		if err != nil {
			return x.giveUp(ctx, last, err)
		}
		last = x.attempt(ctx, placed)
		x.relayer.options.Placer.End(placed.Ticket, last.end)
		x.run = x.run || last.ran
		if last.done {
			complete = true
			return nil
		}
		if last.sent {
			x.sent++
		}
		if reason := x.mayRepeat(ctx); reason != "" {
			x.logAttempt(placed, last, "not sent again: "+reason)
			return x.giveUp(ctx, last, nil)
		}
		x.logAttempt(placed, last, "sent again")
	}
}

// placement describes an attempt to the placer.
func (x *exchange) placement(attempt int) *redwingshunt.Placement {
	return &redwingshunt.Placement{
		Request: x.id, Service: x.service, Account: x.account, Route: x.route,
		Prompt: x.prompt, Output: x.output, Attempt: attempt, Deadline: x.deadline, Avoid: x.avoid,
	}
}

// place chooses the next upstream.
func (x *exchange) place() (redwingshunt.Placed, error) {
	x.tries++
	placed, err := x.relayer.options.Placer.Place(x.placement(x.tries))
	if err != nil {
		return placed, err
	}
	x.upstream, x.predicted = placed.Upstream.ID, placed.Predicted
	if x.avoid == nil {
		x.avoid = redwingshunt.NewSet[redwingshunt.UpstreamID]()
	}
	x.avoid.Add(x.upstream)
	return placed, nil
}

// mayRepeat returns why the request must not be sent to another upstream, or an
// empty string if it may be.
func (x *exchange) mayRepeat(ctx context.Context) string {
	if ctx.Err() != nil {
		return "the caller left or the deadline passed"
	}
	obstacle := retrier.Course{
		Idempotent: x.route.Idempotent(), Resumable: x.route.Resumable, Ran: x.run, Started: x.started,
		Tries: x.tries, Sent: x.sent, Attempts: x.route.Attempts, Left: time.Until(x.deadline),
	}.Obstacle()
	if obstacle == "" && x.sent > 0 && !x.relayer.options.Placer.Repeat(x.service) {
		return "the budget for repeats is used up"
	}
	return obstacle
}

// giveUp ends a request for which no further attempt is made. It returns the
// error for the caller, or nil if it has written the response of an upstream.
func (x *exchange) giveUp(ctx context.Context, v verdict, refusal error) error {
	late := errors.Is(context.Cause(ctx), errDeadline)
	ending := redwingshunt.EndingOf(ctx)
	left := callerGone(ctx) || ctx.Err() != nil && !late && ending.Reason == redwingshunt.ReasonCancelled
	switch {
	case x.started && left:
		return errLeft
	case x.started:
		return errBroken
	case left:
		return x.outcome(redwingshunt.ReasonCancelled, redwingshunt.StatusClientClosed, redwingshunt.StatusClientClosed, "the caller went away")
	case v.reply != nil:
		return x.write(v.reply)
	case !x.run && refusal != nil:
		return refusal
	case late:
		return x.outcome(redwingshunt.ReasonDeadline, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
			"the deadline passed before the upstream answered")
	case ctx.Err() != nil:
		return x.outcome(ending.Reason, http.StatusServiceUnavailable, http.StatusBadGateway, ending.Detail)
	case !x.run:
		return redwingshunt.NotRun(redwingshunt.ReasonUpstreamRefused, http.StatusServiceUnavailable,
			"no upstream took the request").After(againAfter)
	}
	detail := "the upstream failed after it had taken the request"
	if v.err != nil {
		detail += ": " + v.err.Error()
	}
	return redwingshunt.MayHaveRun(redwingshunt.ReasonUpstreamFailed, http.StatusBadGateway, detail)
}

// outcome returns an error with one of two statuses: notRun if no attempt can
// have begun, otherwise mayHaveRun. Only notRun may be a status that callers
// read as "not run".
func (x *exchange) outcome(reason redwingshunt.Reason, notRun, mayHaveRun int, detail string) error {
	if x.run {
		return redwingshunt.MayHaveRun(reason, mayHaveRun, detail)
	}
	return redwingshunt.NotRun(reason, notRun, detail).After(againAfter)
}

// attempt sends the request to one upstream and relays its response.
func (x *exchange) attempt(ctx context.Context, placed redwingshunt.Placed) verdict {
	watched, dog := x.watch(ctx, placed)
	defer dog.stop()
	reply, err := x.relayer.options.Carrier.Send(watched, x.call(placed))
	if errors.Is(err, carrier.ErrStale) {
		return verdict{end: redwingshunt.EndLeft, err: err}
	}
	if err != nil {
		var failure *carrier.Failure
		if errors.As(err, &failure) && !failure.Sent {
			return verdict{end: lostUnless(ctx), err: err}
		}
		x.suspect(ctx, placed)
		return verdict{end: lostUnless(ctx), sent: true, ran: true, err: err}
	}
	defer reply.Close()
	x.heed(placed, reply)
	dialect := x.relayer.options.Dialect
	notRun := dialect.SaysNotRun(reply.Header)
	switch {
	case reply.Status == http.StatusMisdirectedRequest, notRun && reply.Status != http.StatusBadRequest:
		reply.Drain()
		return verdict{end: redwingshunt.EndRefused, sent: true, err: errors.New("the upstream has not begun, status " + strconv.Itoa(reply.Status))}
	case reply.Status >= 200 && reply.Status < 300 && (reply.Header.Get(dialect.Signature) == "" || reply.Header.Get("Content-Encoding") != ""):
		return verdict{end: redwingshunt.EndFailed, sent: true, ran: true, err: errors.New("the answer is not of the upstream")}
	case x.route.Kind == redwingshunt.RouteStream && reply.Status >= 200 && reply.Status < 300:
		return x.relayStream(ctx, placed, reply, dog)
	}
	return x.relayWhole(ctx, placed, reply)
}

const (
	// firstPatience is how long an upstream may stay silent beyond its predicted
	// time and the objective of the route before an idempotent request is sent to
	// another one. Callers tolerate two seconds plus four times the objective.
	firstPatience = 700 * time.Millisecond
	// eventPatience is the multiple of the route's target pause for which an
	// upstream may stay silent within a stream. Callers tolerate eight times.
	eventPatience = 4
	// leastPatience is the minimum timeout within a stream, since an engine that
	// runs out of memory preempts its newest request for a while.
	leastPatience = 1200 * time.Millisecond
)

// errSilent is the context cause of an attempt that made no progress.
var errSilent = errors.New("the upstream made no progress")

// watchdog cancels an attempt that makes no progress. A nil watchdog never does.
type watchdog struct {
	timer  *time.Timer
	pause  time.Duration // timeout after the first progress
	cancel context.CancelCauseFunc
}

// watch returns a context that is canceled when an attempt makes no progress for
// too long, and the watchdog to reset on progress. The watchdog is nil if the
// request could not be sent again after that.
func (x *exchange) watch(ctx context.Context, placed redwingshunt.Placed) (context.Context, *watchdog) {
	if !x.route.Idempotent() || x.sent+1 >= x.route.Attempts {
		return ctx, nil
	}
	watched, cancel := context.WithCancelCause(ctx)
	return watched, &watchdog{
		timer:  time.AfterFunc(placed.Predicted+x.route.Aim+firstPatience, func() { cancel(errSilent) }),
		pause:  max(eventPatience*x.route.Pause, leastPatience),
		cancel: cancel,
	}
}

// progress restarts the timeout after progress.
func (w *watchdog) progress() {
	if w != nil {
		w.timer.Reset(w.pause)
	}
}

// stop releases the watchdog at the end of an attempt.
func (w *watchdog) stop() {
	if w != nil {
		w.timer.Stop()
		w.cancel(nil)
	}
}

// lostUnless returns EndLost, or EndLeft if the request itself has ended.
func lostUnless(ctx context.Context) redwingshunt.PlacementEnd {
	if ctx.Err() != nil {
		return redwingshunt.EndLeft
	}
	return redwingshunt.EndLost
}

// suspect reports that an upstream died while it ran the request. An upstream
// that still accepts connections has not died.
func (x *exchange) suspect(ctx context.Context, placed redwingshunt.Placed) {
	suspects := x.relayer.options.Suspects
	if suspects == nil || !x.admitted || ctx.Err() != nil || x.relayer.options.Carrier.Alive(ctx, placed.Upstream.Address) {
		return
	}
	x.relayer.options.Carrier.Forget(placed.Upstream.Address)
	x.admitted = false
	suspects.Lost(x.suspicion, placed.Upstream.Key())
	x.relayer.options.Logger.Warn("upstream died with a request", "request", x.id, "upstream", string(placed.Upstream.ID))
}

// relayWhole buffers a response completely before the caller sees any of it.
func (x *exchange) relayWhole(ctx context.Context, placed redwingshunt.Placed, reply *carrier.Reply) verdict {
	x.relayer.options.Placer.First(placed.Ticket)
	body, err := x.readWhole(reply)
	if err != nil {
		x.suspect(ctx, placed)
		return verdict{end: redwingshunt.EndFailed, sent: true, ran: true, err: err}
	}
	made := &answer{status: reply.Status, header: reply.Header, body: body}
	if reply.Status < http.StatusInternalServerError && !promisesNotRun(reply.Status) {
		if err := x.write(made); err != nil {
			return verdict{end: redwingshunt.EndLeft, sent: true, ran: true, err: err}
		}
		return verdict{end: redwingshunt.EndComplete, sent: true, ran: true, done: true}
	}
	v := verdict{end: redwingshunt.EndFailed, sent: true, ran: true, err: errors.New("the upstream answered " + strconv.Itoa(reply.Status))}
	if !promisesNotRun(reply.Status) {
		v.reply = made
	}
	return v
}

// readWhole reads the body of a response to its end.
func (x *exchange) readWhole(reply *carrier.Reply) ([]byte, error) {
	body := make([]byte, 0, min(max(reply.Length, 0)+1, answerChunk))
	for {
		n, err := reply.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) > wholeAnswer:
			return nil, errAnswerLong
		case len(body) == cap(body):
			if !x.hold(cap(body)) {
				return nil, errNoRoom
			}
			body = slices.Grow(body, cap(body))
		}
	}
}

// answerChunk is the part of a response in bytes that is read before more buffer
// space is reserved.
const answerChunk = 16 << 10

var (
	errAnswerLong = errors.New("the answer is too long to be held")
	errNoRoom     = errors.New("this instance holds as much of answers and requests as it carries")
)

// promisesNotRun reports whether callers read a status as "not run".
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// logAttempt logs a failed attempt and whether another one follows.
func (x *exchange) logAttempt(placed redwingshunt.Placed, v verdict, decision string) {
	reason := ""
	if v.err != nil {
		reason = v.err.Error()
	}
	x.relayer.options.Logger.Warn("attempt failed", "request", x.id, "upstream", string(placed.Upstream.ID),
		"address", placed.Upstream.Address.String(), "attempt", x.tries, "sent", v.sent, "ran", v.ran,
		"predicted", placed.Predicted.String(), "event", x.events.last, "error", reason, "decision", decision)
}
