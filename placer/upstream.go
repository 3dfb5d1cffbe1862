package placer

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// learning is the weight of a new observation of speed or failure.
	learning = 0.1
	// slowest and fastest bound what is learned of speed against expectation.
	slowest, fastest = 12.0, 0.5
)

// upstream is one upstream with the work that is known to be there.
type upstream struct {
	redwingshunt.Upstream
	born time.Time

	own    work // of this router
	remote work // of all others, as told
	told   time.Time

	slow     float64       // time of first events against prediction, smoothed
	failing  float64       // share of attempts that failed, smoothed
	duration time.Duration // of a plain request, smoothed

	failures    int // in a row
	downUntil   time.Time
	fullUntil   time.Time
	sparedUntil time.Time // it asked for no new work until then
	parts       partCache
}

// work is what routers have with one upstream.
type work struct {
	unread  int64 // prompt tokens of requests without a first event
	running int64
	memory  int64 // tokens
}

func newUpstream(s redwingshunt.UpstreamState) *upstream {
	return &upstream{Upstream: s.Upstream, born: s.Born, slow: 1, duration: defaultService, parts: newPartCache()}
}

func (u *upstream) keep(prompt []redwingshunt.Part, now time.Time, limit int64) {
	for _, part := range prompt {
		u.parts.use(part, now)
	}
	u.parts.shrink(limit)
}

func (u *upstream) take(t *ticket) {
	u.own.unread += t.unread
	u.own.running++
	u.own.memory += t.memory
}

// begin learns from the time of a first event.
func (u *upstream) begin(t *ticket, took time.Duration) {
	u.own.unread -= t.unread
	t.unread = 0
	u.failures = 0
	u.failing -= u.failing * learning
	if t.memory == 0 {
		u.duration += time.Duration(float64(took-u.duration) * learning)
		return
	}
	ratio := float64(took) / float64(max(t.predicted, 20*time.Millisecond))
	u.slow += (min(max(u.slow*ratio, fastest), slowest) - u.slow) * learning
}

// end takes the work off and learns from failures.
func (u *upstream) end(t *ticket, now time.Time, end redwingshunt.PlacementEnd) {
	u.own.unread -= t.unread
	u.own.running--
	u.own.memory -= t.memory
	switch end {
	case redwingshunt.EndComplete:
		u.failures = 0
	case redwingshunt.EndRefused:
		u.fullUntil = now.Add(fullPenalty)
	case redwingshunt.EndFailed:
		u.failing += (1 - u.failing) * learning
	case redwingshunt.EndLost:
		u.failing += (1 - u.failing) * learning
		u.failures++
		pause := min(firstDown<<min(u.failures-1, 8), maxDown)
		u.downUntil = now.Add(pause)
	case redwingshunt.EndLeft:
	}
}

// speed returns the prompt tokens that it reads in a second.
func (u *upstream) speed() float64 { return defaultSpeed / u.slow }

// unread returns the tokens that wait to be read there. What others told is
// taken to shrink at the speed of the engine until they tell again.
func (u *upstream) unread(now time.Time) int64 {
	read := int64(u.speed() * now.Sub(u.told).Seconds())
	return u.own.unread + max(u.remote.unread-max(read, 0), 0)
}

func (u *upstream) running() int64 { return u.own.running + u.remote.running }

func (u *upstream) memory() int64 { return u.own.memory + u.remote.memory }
