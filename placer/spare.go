package placer

// What upstreams ask for themselves, and how long a choice holds.

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// spareMost bounds how long an upstream may keep itself free of new work.
	spareMost = 10 * time.Minute
	// holdLimit is how long a choice may take to be sent: longer than it takes to
	// open a connection. An instance that was stopped meanwhile chooses anew.
	holdLimit = time.Second
)

// incarnation is one start of an upstream.
type incarnation struct {
	key  redwingshunt.UpstreamKey
	born int64 // Unix time in milliseconds
}

func (u *upstream) incarnation() incarnation {
	return incarnation{u.Key(), u.born.UnixMilli()}
}

// Spare keeps new work from the upstream of an attempt for a while. It holds for
// the incarnation, also when that is not announced in between.
func (c *Core) Spare(now time.Time, number uint64, pause time.Duration) {
	t := c.tickets[number]
	if t == nil || pause <= 0 {
		return
	}
	until := now.Add(min(pause, spareMost))
	u := t.upstream
	if !until.After(c.spared[u.incarnation()]) {
		return
	}
	c.spared[u.incarnation()] = until
	u.sparedUntil = until
	for i, at := range c.spared {
		if !at.After(now) {
			delete(c.spared, i)
		}
	}
}

// Holds reports whether an attempt may still be sent.
func (c *Core) Holds(now time.Time, number uint64) bool {
	t := c.tickets[number]
	if t == nil || redwingshunt.Elapsed(t.placed, now) > holdLimit {
		return false
	}
	return c.upstreams[t.upstream.Key()] == t.upstream && !t.upstream.sparedUntil.After(now)
}

// awayUntil returns when an upstream takes new work again.
func (u *upstream) awayUntil() time.Time {
	if u.sparedUntil.After(u.downUntil) {
		return u.sparedUntil
	}
	return u.downUntil
}

// returnOf returns the time until the first upstream of a service takes new work
// again that none takes now.
func returnOf(now time.Time, s *service) time.Duration {
	soonest := noUpstreamAfter
	for _, u := range s.upstreams {
		if away := u.awayUntil().Sub(now); away > 0 {
			soonest = min(soonest, away)
		}
	}
	return max(soonest, retryLeast)
}
