package relayer

// Hedges: standbys that are sent while an attempt is merely late. Package hedger decides
// when; what follows is that of stall.go, except that the first attempt is judged as slow
// and not as silent.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/hedger"
)

// maxHedgeLinesPerSecond bounds the log lines of each kind a second.
const maxHedgeLinesPerSecond = 10

// errHedged ends an attempt that a hedge replaces.
var errHedged = fmt.Errorf("%w for longer than usual", errStalled)

// Values of Record.Hedge other than a hedger.Verdict.
const (
	HedgeWon    = "won"    // it took the request over
	HedgeWasted = "wasted" // the first attempt went on
	hedgeBudget = "budget" // none sent, for want of retry budget
	hedgeUnsent = "unsent" // no byte of it was sent before the first attempt went on, or it could not be sent
)

// hedging drives package hedger. It is safe for concurrent use.
type hedging struct {
	mu   sync.Mutex
	core *hedger.Core

	sentLog, wonLog, wastedLog, refusedLog, enabledLog refusalLog
}

func newHedging() *hedging { return &hedging{core: hedger.New()} }

// do calls a function with the core.
func (h *hedging) do(call func(now time.Time, core *hedger.Core)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	call(time.Now(), h.core)
}

// hedgePercents returns the percentages of the services whose requests may be hedged, or
// nil if there are none.
func hedgePercents(document *redwingshunt.Document, percent float64) map[redwingshunt.ServiceID]float64 {
	var percents map[redwingshunt.ServiceID]float64
	for _, s := range document.Services {
		if p := s.Hedge.Or(percent); p > 0 {
			if percents == nil {
				percents = make(map[redwingshunt.ServiceID]float64)
			}
			percents[s.Name] = p
		}
	}
	return percents
}

// hedge is the state of a request that may be hedged, until its first attempt answers or
// ends. At most one hedge is sent for a request.
type hedge struct {
	class   hedger.Class
	percent float64
	first   redwingshunt.Placed
	began   time.Time // of the first attempt
	ended   bool      // the first attempt has begun to answer or has ended
	again   time.Time // when a hedge that was due too early is due again; zero for never
	result  string    // for Record.Hedge
}

// run returns the first attempt as package hedger sees it.
func (h *hedge) run() hedger.Run {
	return hedger.Run{Elapsed: time.Since(h.began), Predicted: h.first.Predicted}
}

// beginHedging counts a request after its first placement, and lets it be hedged if the
// service allows that.
func (x *exchange) beginHedging(placed redwingshunt.Placed) {
	if x.hedgePercent <= 0 {
		return
	}
	x.relayer.hedging.do(func(now time.Time, core *hedger.Core) { core.Request(now, x.service, x.hedgePercent) })
	if !x.route.Idempotent() {
		return
	}
	tokens := int64(0)
	for _, part := range x.prompt {
		tokens += part.Tokens
	}
	x.hedge = &hedge{
		class:   hedger.Class{Service: x.service, Kind: x.route.Kind, Size: hedger.SizeOf(tokens)},
		percent: x.hedgePercent, first: placed, began: time.Now(),
	}
}

// noteRefusal tells the hedger of an error of the placer, or nil. That there is no upstream in
// the allowed regions says nothing about the capacity for other requests.
func (x *exchange) noteRefusal(err error) {
	if err == nil || x.hedgePercent <= 0 || redwingshunt.OutcomeOf(err).Reason == redwingshunt.ReasonNoRegion {
		return
	}
	x.relayer.hedging.do(func(now time.Time, core *hedger.Core) { core.Refused(now, x.service) })
}

// armHedge has the watch of a first attempt call checkHedge before it has stalled.
func (s *stallWatch) armHedge() {
	h := s.x.hedge
	if h == nil || h.ended || s.x.tries > 1 {
		return
	}
	s.x.relayer.hedging.do(func(now time.Time, core *hedger.Core) {
		delay, known := core.Due(now, h.class, h.percent, h.first.Predicted).Get()
		if due := h.began.Add(delay); known && due.Before(s.watch.At) {
			s.stalledAt, s.watch.At, s.watch.Unread = s.watch.At, due, true
		}
	})
}

// hedging reports whether a hedge may be sent or waited for: the attempt has not stalled.
func (s *stallWatch) hedging(now time.Time) bool {
	return now.Before(s.stalledAt) && s.x.hedge != nil && !s.x.hedge.ended
}

// checkHedge is check for an attempt that is late and has not stalled.
func (s *stallWatch) checkHedge(ctx context.Context) (time.Time, error) {
	x := s.x
	if x.standby == nil {
		if sent, again := x.startHedge(ctx, s.stalledAt); !sent {
			return again, nil
		}
		s.probe()
	}
	taken, err := x.hedgeState()
	switch {
	case err != nil:
		x.dropStandby(err.Error())
		return s.stalledAt, nil
	case taken:
		s.replaced, s.hedged = true, true
		return time.Time{}, errHedged
	}
	next := time.Now().Add(standbyPoll)
	if next.After(s.stalledAt) {
		next = s.stalledAt
	}
	return next, nil
}

// startHedge sends the request to a second upstream. It reports whether it has, and
// otherwise the time of the next check, at the latest when the attempt has stalled.
func (x *exchange) startHedge(ctx context.Context, stalledAt time.Time) (sent bool, next time.Time) {
	h := x.hedge
	if h.result != "" || x.started || x.tries != 1 || callerGone(ctx) || x.relayer.leaving.Load() || !x.mayStandBy(ctx) {
		return false, stalledAt
	}
	if suspects := x.relayer.options.Suspects; suspects != nil && suspects.Suspected(x.fingerprint) {
		return false, stalledAt
	}
	result, b := x.chooseHedge()
	if result == string(hedger.Late) && h.again.After(time.Now()) && h.again.Before(stalledAt) {
		return false, h.again
	}
	if result != string(hedger.Granted) {
		h.result = result
		if logged, suppressed := x.relayer.hedging.refusedLog.allow(time.Now(), maxHedgeLinesPerSecond); logged {
			x.relayer.options.Logger.Info("hedge refused", "request", x.id, "service", string(x.service), "reason", result,
				"elapsed", time.Since(h.began).String(), "first", string(h.first.Upstream.ID), "untold", suppressed)
		}
		return false, stalledAt
	}
	b.hedge = true
	x.launch(ctx, b)
	if logged, suppressed := x.relayer.hedging.sentLog.allow(time.Now(), maxHedgeLinesPerSecond); logged {
		x.relayer.options.Logger.Info("hedge sent", "request", x.id, "service", string(x.service),
			"elapsed", time.Since(h.began).String(), "first", string(b.upstream), "predicted", h.first.Predicted.String(),
			"upstream", string(b.placed.Upstream.ID), "needs", b.placed.Predicted.String(), "untold", suppressed)
	}
	return true, time.Time{}
}

// chooseHedge chooses the upstream of a hedge and takes it from the limit and the retry
// budget. The result is hedger.Granted, or why there is none.
func (x *exchange) chooseHedge() (result string, b *standby) {
	h := x.hedge
	verdict := hedger.Granted
	x.relayer.hedging.do(func(now time.Time, core *hedger.Core) { verdict = core.Allow(now, x.service) })
	if verdict != hedger.Granted {
		return string(verdict), nil
	}
	version := x.version
	second := hedger.Second{Objective: x.route.Aim}
	if x.route.Kind == redwingshunt.RouteStream {
		x.version = redwingshunt.Some(h.first.Upstream.Version)
		second.Overlap = standbyOverlap
	}
	x.warmOnly = true // a cold upstream is slow, and its few requests are for those that need it
	b, err := x.placeStandby()
	x.version, x.warmOnly = version, false
	if err != nil {
		return string(hedger.Headroom), nil
	}
	second.Predicted, second.Wait, second.Unknown = b.placed.Predicted, b.placed.Wait, b.placed.Blind
	second.Last = x.sent+2 >= x.route.Attempts
	x.relayer.hedging.do(func(_ time.Time, core *hedger.Core) { verdict = core.Grant(x.service, h.run(), second) })
	result = string(verdict)
	if verdict == hedger.Granted && !x.payRetry() {
		x.relayer.hedging.do(func(_ time.Time, core *hedger.Core) { core.Return(x.service) })
		result = hedgeBudget
	}
	if result == string(hedger.Granted) {
		return result, b
	}
	if verdict == hedger.Late && !second.Last && h.again.IsZero() {
		h.again = h.began.Add(h.first.Predicted + second.Predicted)
	}
	x.unplace(b)
	return result, nil
}

// hedgeState is standbyState for a hedge. Two upstreams may work on a stream for
// standbyOverlap; then the one that is expected to answer later is given up, which the
// error says for the hedge. The first is kept if the hedge is the last attempt, which may
// still fail. A plain request has no such limit: both may run until one of them begins to
// answer.
func (x *exchange) hedgeState() (taken bool, err error) {
	b := x.standby
	taken, err = x.standbyState()
	if err != nil || !taken {
		return false, err
	}
	select {
	case <-b.done: // since then
		return x.standbyState()
	default:
	}
	if x.route.Kind != redwingshunt.RouteStream {
		return false, nil
	}
	second := hedger.Run{Elapsed: b.age(), Predicted: b.placed.Predicted}
	x.relayer.hedging.do(func(now time.Time, core *hedger.Core) {
		taken = core.Overtakes(now, x.hedge.class, x.hedge.run(), second)
	})
	if !taken || x.sent+2 >= x.route.Attempts {
		return false, errors.New("the first attempt is expected to answer before the hedge")
	}
	return true, nil
}

// firstAnswered records that the first attempt has begun to answer, and drops the hedge.
func (x *exchange) firstAnswered() {
	h := x.hedge
	if h == nil || h.ended {
		return
	}
	h.ended = true
	x.relayer.hedging.do(func(now time.Time, core *hedger.Core) {
		core.Answered(now, h.class, h.first.Upstream.Key(), h.run())
	})
	x.dropStandby(errStandbyDropped.Error())
}

// firstEnded records the end of the first attempt, and returns how its placement ends.
func (x *exchange) firstEnded(result attemptResult) redwingshunt.PlacementEnd {
	h := x.hedge
	if h == nil {
		return result.end
	}
	if result.end == redwingshunt.EndRefused {
		x.relayer.hedging.do(func(now time.Time, core *hedger.Core) { core.Refused(now, x.service) })
	}
	hedged := errors.Is(result.err, errHedged)
	if h.ended {
		return result.end
	}
	h.ended = true
	if !result.sent || !errors.Is(result.err, errStalled) && result.end != redwingshunt.EndLeft {
		return result.end
	}
	stalled := !hedged
	x.relayer.hedging.do(func(now time.Time, core *hedger.Core) {
		core.Unanswered(now, h.class, h.percent, h.run())
		if hedged {
			stalled = core.Beaten(h.first.Upstream.Key())
		}
	})
	if hedged && !stalled {
		return redwingshunt.EndSlow // not ejected
	}
	return result.end
}

// hedgeWon records that a hedge becomes the next attempt.
func (x *exchange) hedgeWon(b *standby) {
	x.hedge.result = HedgeWon
	if logged, suppressed := x.relayer.hedging.wonLog.allow(time.Now(), maxHedgeLinesPerSecond); logged {
		x.relayer.options.Logger.Info("hedge won", "request", x.id, "service", string(x.service),
			"elapsed", time.Since(x.hedge.began).String(), "first", string(b.upstream),
			"upstream", string(b.placed.Upstream.ID), "age", b.age().String(), "untold", suppressed)
	}
}

// hedgeWasted records that a hedge is dropped for a reason.
func (x *exchange) hedgeWasted(b *standby, reason string) {
	x.hedge.result = HedgeWasted
	if b.sentAt.Load() == nil {
		x.hedge.result = hedgeUnsent
		x.relayer.hedging.do(func(_ time.Time, core *hedger.Core) { core.Return(x.service) })
	}
	if logged, suppressed := x.relayer.hedging.wastedLog.allow(time.Now(), maxHedgeLinesPerSecond); logged {
		x.relayer.options.Logger.Info("hedge wasted", "request", x.id, "service", string(x.service),
			"elapsed", time.Since(x.hedge.began).String(), "first", string(b.upstream),
			"upstream", string(b.placed.Upstream.ID), "age", b.age().String(), "reason", reason, "untold", suppressed)
	}
}

// age returns the time since the standby was sent; zero if it was not.
func (b *standby) age() time.Duration {
	if sentAt := b.sentAt.Load(); sentAt != nil {
		return time.Since(*sentAt)
	}
	return 0
}

// failsHeader reports whether the status of a response says that the upstream could not
// serve the request, so that its time tells nothing.
func failsHeader(status int) bool {
	return status >= http.StatusInternalServerError || meansNotRun(status)
}
