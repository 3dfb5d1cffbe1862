package placer

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// averageWeight is the weight of a new observation in the moving averages.
	averageWeight = 0.1
	// maxSlowdown and minSlowdown bound the measured slowdown of an engine.
	maxSlowdown, minSlowdown = 12.0, 0.5
)

// upstream is one upstream with its known outstanding work.
type upstream struct {
	redwingshunt.Upstream
	started time.Time

	own      work // of this router
	remote   work // of all other routers, as reported
	remoteAt time.Time
	report   *report // nil if it has reported no load

	slowdown    float64       // moving average of time to first event against the prediction
	failureRate float64       // moving average of the fraction of failed attempts
	duration    time.Duration // moving average for a plain request
	meanUnread  float64       // moving average of the tokens to prefill
	held        time.Duration // moving average from placement to end of a request on an engine; zero if unknown

	failures     int // consecutive
	ejectedUntil time.Time
	fullUntil    time.Time
	pausedUntil  time.Time // end of the pause that the upstream requested
	parts        partCache

	announced   time.Time // until when it is cold, as announced
	coldUnknown bool
	coldUntil   time.Time // until when it is treated as cold
	lostUntil   time.Time // the same, since it was lost while this router heard of no start
	logged      bool      // ColdChanges reported it as cold
}

// work is the outstanding work of routers on one upstream.
type work struct {
	unread  int64 // prompt tokens of requests without a first event
	running int64
	memory  int64 // tokens
}

func newUpstream(s redwingshunt.UpstreamState) *upstream {
	return &upstream{Upstream: s.Upstream, started: s.Born, slowdown: 1, duration: defaultDuration, parts: newPartCache()}
}

// cache notes that a prompt is about to be cached, and returns the parts that were not.
func (u *upstream) cache(prompt []redwingshunt.Part, now time.Time, limit int64) (added []redwingshunt.Part) {
	for _, part := range prompt {
		if u.parts.touch(part, now) {
			added = append(added, part)
		}
	}
	u.parts.evict(limit)
	return added
}

func (u *upstream) book(t *ticket) {
	u.own.unread += t.unread
	u.meanUnread += (float64(t.unread) - u.meanUnread) * averageWeight
	u.own.running++
	u.own.memory += t.memory
}

// begin records the first event of an attempt and updates the averages with the
// time that it took.
func (u *upstream) begin(t *ticket, elapsed time.Duration) {
	u.own.unread -= t.unread
	t.unread = 0
	u.failures = 0
	u.failureRate -= u.failureRate * averageWeight
	u.observe(t, elapsed)
}

// observe updates the averages with the time until the first event of an attempt.
func (u *upstream) observe(t *ticket, elapsed time.Duration) {
	if t.memory == 0 {
		u.duration += time.Duration(float64(elapsed-u.duration) * averageWeight)
		return
	}
	ratio := float64(elapsed) / float64(max(t.predicted, 20*time.Millisecond))
	u.slowdown += (min(max(u.slowdown*ratio, minSlowdown), maxSlowdown) - u.slowdown) * averageWeight
}

// end removes the work of an attempt and updates the failure state.
func (u *upstream) end(t *ticket, now time.Time, end redwingshunt.PlacementEnd) {
	u.own.unread -= t.unread
	u.own.running--
	u.own.memory -= t.memory
	switch end {
	case redwingshunt.EndComplete:
		u.failures = 0
		u.measureHeld(t, now)
	case redwingshunt.EndRefused:
		u.fullUntil = now.Add(fullPenalty)
	case redwingshunt.EndFailed:
		u.failureRate += (1 - u.failureRate) * averageWeight
	case redwingshunt.EndLost, redwingshunt.EndStalled:
		u.failureRate += (1 - u.failureRate) * averageWeight
		// Attempts that stall together show one silence.
		if end == redwingshunt.EndLost || u.failures == 0 || t.placed.After(u.ejectedUntil) {
			u.failures++
		}
		ejection := min(baseEjection<<min(u.failures-1, 8), maxEjection)
		u.ejectedUntil = now.Add(ejection)
	case redwingshunt.EndSlow:
		// It would have taken longer. Without this the averages would lack the longest times.
		if !t.begun {
			u.observe(t, now.Sub(t.placed))
		}
	case redwingshunt.EndLeft:
	}
}

// measureHeld updates the time for which a request holds a slot.
func (u *upstream) measureHeld(t *ticket, now time.Time) {
	if t.memory == 0 || !t.begun {
		return
	}
	held := max(now.Sub(t.placed)-t.wait, time.Millisecond) // the wait may have been shorter than predicted
	if u.held == 0 {
		u.held = held
	}
	u.held += time.Duration(float64(held-u.held) * averageWeight)
}

// tokensPerSecond returns the estimated prefill rate.
func (u *upstream) tokensPerSecond(now time.Time) float64 {
	if u.report == nil {
		return defaultTokensPerSecond / u.slowdown
	}
	return defaultTokensPerSecond / (u.slowdown * u.report.paceFactor(now))
}

// unread returns the prompt tokens that wait for prefill on the upstream. Between
// two reports of other routers, their part is assumed to shrink at the prefill
// rate, which the caller computes once for each upstream.
func (u *upstream) unread(now time.Time, tokensPerSecond float64) int64 {
	done := int64(tokensPerSecond * now.Sub(u.remoteAt).Seconds())
	unread := u.own.unread + max(u.remote.unread-max(done, 0), 0)
	if u.report != nil {
		unread += u.unknownUnread(now)
	}
	return unread
}

func (u *upstream) running(now time.Time) int64 {
	running := u.own.running + u.remote.running
	if u.report != nil {
		running += u.unknown(now)
	}
	return running
}

func (u *upstream) memory() int64 { return u.own.memory + u.remote.memory }
