package placer

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// maxPause is the longest pause that an upstream may request.
	maxPause = 10 * time.Minute
	// maxSendDelay is how long after its placement an attempt may be sent. It is
	// longer than opening a connection takes; an instance that was suspended in
	// between has to place the attempt again.
	maxSendDelay = time.Second
)

// incarnation identifies one run of an upstream process.
type incarnation struct {
	key       redwingshunt.UpstreamKey
	startedMs int64 // Unix time in milliseconds
}

func (u *upstream) incarnation() incarnation {
	return incarnation{u.Key(), u.started.UnixMilli()}
}

// Pause sends no new work to the upstream of an attempt for the given time. The
// pause applies to the incarnation, even if its announcements lapse and return.
func (c *Core) Pause(now time.Time, id uint64, pause time.Duration) {
	t := c.tickets[id]
	if t == nil || pause <= 0 {
		return
	}
	until := now.Add(min(pause, maxPause))
	u := t.upstream
	if !until.After(c.paused[u.incarnation()]) {
		return
	}
	c.paused[u.incarnation()] = until
	u.pausedUntil = until
	for i, end := range c.paused {
		if !end.After(now) {
			delete(c.paused, i)
		}
	}
}

// StillValid reports whether an attempt may still be sent: it was placed recently, and
// its upstream is still in use, not paused and not in an evacuated availability zone.
func (c *Core) StillValid(now time.Time, id uint64) bool {
	t := c.tickets[id]
	if t == nil || redwingshunt.Elapsed(t.placed, now) > maxSendDelay {
		return false
	}
	before := t.valid
	t.valid = c.upstreams[t.upstream.Key()] == t.upstream && !t.upstream.pausedUntil.After(now) &&
		!c.evacuated.Has(t.upstream.Zone) && c.tokenHolds(now, t)
	if t.valid && !before {
		c.countSent(t)
	}
	return t.valid
}

// unavailableUntil returns the time at which an upstream accepts new work again.
func (u *upstream) unavailableUntil() time.Time {
	if u.pausedUntil.After(u.ejectedUntil) {
		return u.pausedUntil
	}
	return u.ejectedUntil
}

// timeUntilAvailable returns the time until the first upstream of a service that has
// none available accepts new work again.
func timeUntilAvailable(now time.Time, s *service) time.Duration {
	shortest := noUpstreamRetryAfter
	for _, u := range s.upstreams {
		if remaining := u.unavailableUntil().Sub(now); remaining > 0 {
			shortest = min(shortest, remaining)
		}
	}
	return max(shortest, minRetryAfter)
}
