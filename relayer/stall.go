package relayer

// What follows when an attempt makes no progress. An upstream may be silent for a while
// and go on, so the attempt is given up only once another upstream has taken the request
// over; until then a standby attempt runs beside it.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/carrier"
	"github.com/redwingshunt/redwingshunt/retrier"
)

const (
	// firstByteSlack is how long an upstream may stay silent beyond its predicted
	// time and the objective of the route before another one is asked for an idempotent
	// request. Callers tolerate two seconds, four times the objective or eight times the
	// pause, whichever is longest.
	firstByteSlack = 700 * time.Millisecond
	// eventPauseFactor is the multiple of the route's target pause for which an
	// upstream may stay silent within a stream.
	eventPauseFactor = 4
	// minEventTimeout is the minimum timeout within a stream, since an engine that
	// runs out of memory preempts its newest request for a while.
	minEventTimeout = 1200 * time.Millisecond
	// stallRecheck is the interval at which a standby is looked for again while there
	// is none.
	stallRecheck = 250 * time.Millisecond
	// standbyPoll is the interval at which the state of a standby is read.
	standbyPoll = 10 * time.Millisecond
	// unreachablePause is how long a silent upstream that accepts no connection gets no
	// new requests.
	unreachablePause = 500 * time.Millisecond
	// standbyOverlap is how long two upstreams may have the request. A refusal arrives
	// within a round trip between regions and some work.
	standbyOverlap = 250 * time.Millisecond
)

var (
	// errStalled ends an attempt that made no progress and that a standby replaces.
	errStalled = errors.New("the upstream made no progress")
	// errStandbyDropped is the context cause of a standby that is not needed.
	errStandbyDropped = errors.New("the attempt before it went on")
)

// stallWatch notices that an attempt makes no progress. A nil stallWatch never does.
type stallWatch struct {
	x            *exchange
	watch        carrier.Watch
	eventTimeout time.Duration // timeout after the first progress
	probe        func()        // called at the first check, then nil
	replaced     bool          // check has returned errStalled
	hedged       bool          // check has returned errHedged
	stalledAt    time.Time     // end of the time in which the attempt may be hedged; zero for never
}

// watchStall returns the watch of an attempt, or nil if the request could not be sent
// again after it. The context is that of the request.
func (x *exchange) watchStall(ctx context.Context, placed redwingshunt.Placed) *stallWatch {
	if !x.route.Idempotent() || x.sent+1 >= x.route.Attempts {
		return nil
	}
	s := &stallWatch{x: x, eventTimeout: max(eventPauseFactor*x.route.Pause, minEventTimeout)}
	s.watch.At = time.Now().Add(placed.Predicted + x.route.Aim + firstByteSlack)
	s.watch.Check = func() (time.Time, error) { return s.check(ctx) }
	s.probe = func() { go x.relayer.spareUnreachable(ctx, placed) }
	s.armHedge()
	return s
}

// carrierWatch returns the watch for the carrier, or nil.
func (s *stallWatch) carrierWatch() *carrier.Watch {
	if s == nil {
		return nil
	}
	return &s.watch
}

// progress restarts the timeout.
func (s *stallWatch) progress() {
	if s != nil {
		s.watch.At = time.Now().Add(s.eventTimeout)
		s.x.dropStandby(errStandbyDropped.Error())
	}
}

// cause returns the error of a read. Parsers may return another error than that of check.
func (s *stallWatch) cause(err error) error {
	switch {
	case s != nil && s.hedged:
		return errHedged
	case s != nil && s.replaced:
		return errStalled
	}
	return err
}

// check returns errStalled if another upstream has taken the request over, and otherwise
// the time of the next check.
func (s *stallWatch) check(ctx context.Context) (time.Time, error) {
	x := s.x
	if !s.stalledAt.IsZero() && s.hedging(time.Now()) {
		return s.checkHedge(ctx)
	}
	if s.probe != nil {
		s.probe()
		s.probe = nil
	}
	if x.standby == nil && !x.startStandby(ctx) {
		return time.Now().Add(stallRecheck), nil
	}
	taken, err := x.standbyState()
	switch {
	case err != nil:
		x.dropStandby(err.Error())
		return time.Now().Add(stallRecheck), nil
	case taken:
		s.replaced = true
		return time.Time{}, errStalled
	}
	return time.Now().Add(standbyPoll), nil
}

// spareUnreachable keeps new requests off a silent upstream that accepts no connection.
// Those that are running there may still complete.
func (r *Relayer) spareUnreachable(ctx context.Context, placed redwingshunt.Placed) {
	if r.options.Carrier.Alive(ctx, placed.Upstream.Address) || ctx.Err() != nil {
		return
	}
	r.options.Carrier.CloseIdle(placed.Upstream.Address)
	r.options.Placer.Pause(placed.Ticket, unreachablePause)
}

// standby is an attempt that runs beside one that makes no progress.
type standby struct {
	placed    redwingshunt.Placed
	number    int                         // of the attempt
	upstream  redwingshunt.UpstreamID     // of the attempt that makes no progress
	build     string                      // of the same
	predicted time.Duration               // of the same
	hedge     bool                        // sent before the attempt had stalled
	after     redwingshunt.Option[uint64] // number of the event after which it continues the stream
	ctx       context.Context             // of the standby
	cancel    context.CancelCauseFunc
	sentAt    atomic.Pointer[time.Time] // start of sending; nil before it

	done  chan struct{}  // closed once reply and err are set
	reply *carrier.Reply // with its header; closed if err is not nil
	err   error
}

// startStandby sends the request to another upstream as well. It reports whether there
// is one and the request may be sent again.
func (x *exchange) startStandby(ctx context.Context) bool {
	if !x.mayStandBy(ctx) {
		return false
	}
	b, err := x.placeStandby()
	if err != nil {
		return false
	}
	if !x.payRetry() {
		x.unplace(b)
		return false
	}
	x.launch(ctx, b)
	return true
}

// mayStandBy reports whether the request may be sent to another upstream as well.
func (x *exchange) mayStandBy(ctx context.Context) bool {
	if ctx.Err() != nil || x.started && x.events.partial || x.checkParts() != nil {
		return false
	}
	if !x.admitted && x.relayer.options.Suspects != nil {
		return false // the standby before died with the request
	}
	progress := x.progress()
	progress.MayHaveRun, progress.Sent = true, x.sent+1
	return progress.Obstacle() == ""
}

// placeStandby chooses the upstream of a standby.
func (x *exchange) placeStandby() (*standby, error) {
	b := &standby{upstream: x.upstream, build: x.build, predicted: x.predicted, after: x.lastRelayed(), done: make(chan struct{})}
	var err error
	if b.placed, err = x.place(); err != nil {
		x.tries--
		return nil, err
	}
	return b, nil
}

// unplace undoes the placement of a standby that is not launched.
func (x *exchange) unplace(b *standby) {
	x.relayer.options.Placer.End(b.placed.Ticket, redwingshunt.EndLeft)
	x.forget(b)
}

// launch sends a standby.
func (x *exchange) launch(ctx context.Context, b *standby) {
	b.number = x.tries
	b.ctx, b.cancel = context.WithCancelCause(ctx)
	call := x.newCall(b.placed)
	stillValid := call.StillValid
	call.StillValid = func() bool {
		if !stillValid() {
			return false
		}
		now := time.Now()
		b.sentAt.Store(&now)
		return true
	}
	go func() {
		defer close(b.done)
		defer x.recoverStandby(b)
		b.reply, b.err = x.relayer.options.Carrier.Send(b.ctx, call) //nolint:bodyclose // closed by dropStandby or exchangeWith
		if b.hedge && b.err == nil && !failsHeader(b.reply.Status) {
			b.await()
		}
	}()
	x.standby = b
}

// await waits for the first byte of the response, since an upstream may send the header
// before it begins to work.
func (b *standby) await() {
	if err := b.reply.Await(); err != nil {
		b.reply.Close()
		b.err = &carrier.Failure{Sent: true, Err: err}
	}
}

// recoverStandby turns a panic of a standby into a failure. The server recovers only
// those of the goroutine of a request.
func (x *exchange) recoverStandby(b *standby) {
	cause := recover()
	if cause == nil {
		return
	}
	b.err = &carrier.Failure{Sent: b.sentAt.Load() != nil, Err: fmt.Errorf("the attempt panicked: %v", cause)}
	x.relayer.options.Logger.Error("attempt ended by a panic", "request", x.id, "upstream", string(b.placed.Upstream.ID),
		"cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
}

// standbyState reports whether the standby has taken the request over: its response has
// begun, or it has had the request for standbyOverlap without a refusal. The error says
// why it cannot.
func (x *exchange) standbyState() (taken bool, err error) {
	b := x.standby
	if err := x.checkParts(); err != nil {
		return false, err
	}
	select {
	case <-b.done:
		if b.err != nil {
			return false, b.err
		}
		if reply := b.reply; reply.Status >= http.StatusInternalServerError || meansNotRun(reply.Status) {
			return false, errors.New("the upstream answered " + strconv.Itoa(reply.Status))
		}
		if failed := x.rejectHeader(b.reply); failed != nil {
			return false, failed.err
		}
		return true, nil
	default:
		sentAt := b.sentAt.Load()
		return sentAt != nil && time.Since(*sentAt) >= standbyOverlap, nil
	}
}

// dropStandby ends the standby, if there is one, for a reason.
func (x *exchange) dropStandby(reason string) {
	b := x.standby
	if b == nil {
		return
	}
	x.standby = nil
	result := attemptResult{end: redwingshunt.EndLeft, err: errStandbyDropped}
	select {
	case <-b.done:
		result = x.standbyResult(b)
	default:
		b.cancel(errStandbyDropped)
		<-b.done
	}
	if b.err == nil {
		b.reply.Close()
	}
	b.cancel(nil)
	result.number = b.number
	result.sent = b.sentAt.Load() != nil
	result.mayHaveBegun = result.sent && result.end != redwingshunt.EndRefused
	x.mayHaveRun = x.mayHaveRun || result.mayHaveBegun
	x.relayer.options.Placer.End(b.placed.Ticket, result.end)
	if b.hedge {
		x.hedgeWasted(b, reason)
	} else {
		x.logAttempt(b.placed, result, "the attempt before it goes on: "+reason)
	}
	x.upstream, x.build, x.predicted = b.upstream, b.build, b.predicted
	switch {
	case result.sent:
		x.sent++
		x.paid = false
	case result.end == redwingshunt.EndLeft:
		x.forget(b)
	}
}

// forget undoes the placement of a standby that was not sent and did not fail.
func (x *exchange) forget(b *standby) {
	x.tries--
	delete(x.avoid, b.placed.Upstream.ID)
	x.upstream, x.build, x.predicted = b.upstream, b.build, b.predicted
}

// standbyResult returns the result of a standby that ended by itself.
func (x *exchange) standbyResult(b *standby) attemptResult {
	var failure *carrier.Failure
	switch {
	case errors.Is(b.err, carrier.ErrStale):
		return attemptResult{end: redwingshunt.EndLeft, err: b.err}
	case errors.As(b.err, &failure):
		if failure.Sent {
			x.reportLoss(b.ctx, b.placed, b.err, loss{progress: progressOf(b.reply)})
		}
		return attemptResult{end: lostOrLeft(b.ctx, b.err), err: b.err}
	}
	x.applySignals(b.placed, b.reply)
	if failed := x.rejectHeader(b.reply); failed != nil {
		if failed.end == redwingshunt.EndRefused {
			b.reply.Drain()
		}
		return *failed
	}
	if b.reply.Status >= http.StatusInternalServerError {
		return attemptResult{end: redwingshunt.EndFailed, err: errors.New("the upstream answered " + strconv.Itoa(b.reply.Status))}
	}
	return attemptResult{end: redwingshunt.EndLeft, err: errStandbyDropped}
}

// takeStandby returns the standby as the next attempt, or nil if there is none.
func (x *exchange) takeStandby() *standby {
	b := x.standby
	x.standby = nil
	if b != nil && b.hedge {
		x.hedgeWon(b)
	}
	return b
}

// wait returns once the header of the response has arrived, like carrier.Send with a
// watch.
func (b *standby) wait(watch *carrier.Watch) (*carrier.Reply, error) {
	for watch != nil {
		timer := time.NewTimer(time.Until(watch.At))
		select {
		case <-b.done:
			timer.Stop()
			if b.err == nil {
				b.reply.Watch(watch)
			}
			return b.reply, b.err
		case <-timer.C:
		}
		next, err := watch.Check()
		if err != nil {
			b.cancel(err)
			<-b.done
			if b.err == nil {
				b.reply.Close()
			}
			return nil, &carrier.Failure{Sent: b.sentAt.Load() != nil, Err: err}
		}
		watch.At = next
	}
	<-b.done
	return b.reply, b.err
}

// progress describes the request to the retry policy.
func (x *exchange) progress() retrier.Progress {
	return retrier.Progress{
		Idempotent: x.route.Idempotent(), Resumable: x.route.Resumable, MayHaveRun: x.mayHaveRun, Started: x.started,
		Tries: x.tries, Sent: x.sent, Attempts: x.route.Attempts, Remaining: time.Until(x.deadline),
	}
}
