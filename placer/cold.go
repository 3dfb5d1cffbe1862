package placer

// Cold upstreams, which get only the requests that package admitter admits.

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/admitter"
)

// coldMargin is how much longer than announced an upstream is treated as cold. It is the
// difference that package enroller does not pass on.
const coldMargin = 500 * time.Millisecond

// ColdCounts counts the requests of a service for which cold upstreams mattered.
type ColdCounts struct {
	Admitted int // sent to a cold upstream
	Kept     int // kept from at least one cold upstream without a token
	Refused  int // refused, since only cold upstreams without a token were left
}

// ColdState is the state of the cold upstreams of one service.
type ColdState struct {
	Service   redwingshunt.ServiceID
	Upstreams int        // cold ones
	Counts    ColdCounts // since the last report
}

// ColdChange is an upstream that has turned cold or warm.
type ColdChange struct {
	Upstream redwingshunt.Upstream
	Until    time.Time // zero if it is warm
	Admits   bool      // this instance may send it requests
}

// applyCold determines until when each upstream is treated as cold.
func (c *Core) applyCold() {
	for _, u := range c.upstreams {
		if u.started.UnixMilli() > 0 && (c.oldestBorn.IsZero() || u.started.Before(c.oldestBorn)) {
			c.oldestBorn = u.started
		}
	}
	for _, s := range c.services {
		if s.ramp == 0 {
			continue
		}
		for _, u := range s.upstreams {
			u.coldUntil = time.Time{}
			switch {
			case !u.announced.IsZero():
				u.coldUntil = u.announced.Add(coldMargin)
			case u.coldUnknown && c.servedBefore(u.started.Add(-s.warmup)):
				u.coldUntil = u.started.Add(s.warmup)
			}
		}
	}
}

// servedBefore reports whether the fleet had upstreams before a time. All upstreams of a
// fleet that starts are new, and none of them is known to be cold.
func (c *Core) servedBefore(at time.Time) bool {
	return !c.oldestBorn.IsZero() && c.oldestBorn.Before(at)
}

// isCold reports whether an upstream of the service is treated as cold.
func (s *service) isCold(now time.Time, u *upstream) bool {
	return s.ramp > 0 && (u.coldUntil.After(now) || u.lostUntil.After(now))
}

// presumeCold records the loss of an upstream. It may have started anew, which a router
// without contact to the rest of the fleet does not hear of.
func (c *Core) presumeCold(now time.Time, u *upstream, end redwingshunt.PlacementEnd) {
	s := c.services[u.Service]
	if end == redwingshunt.EndLost && s != nil && s.ramp > 0 && !c.options.Admitter.InContact() {
		u.lostUntil = now.Add(s.warmup)
	}
}

// keptFrom reports whether a request is kept from an upstream because it is cold and
// there is no token, or the request is for warm ones only.
func (c *Core) keptFrom(now time.Time, l lookup, u *upstream) bool {
	s := l.service
	switch {
	case !s.isCold(now, u):
		return false
	case l.placement.Warm:
		return true
	}
	next, admits := c.options.Admitter.Next(now, u.Key(), s.ramp)
	if admits && !next.After(now) {
		return false
	}
	c.kept = true
	return true
}

// takeToken takes a token for an attempt if its upstream is cold.
func (c *Core) takeToken(now time.Time, s *service, t *ticket) {
	if s.isCold(now, t.upstream) {
		t.token = c.options.Admitter.Take(now, t.upstream.Key(), s.ramp)
	}
}

// countSent counts an attempt that is about to be sent with a token.
func (c *Core) countSent(t *ticket) {
	if s := c.services[t.upstream.Service]; s != nil && !t.token.IsZero() {
		s.cold.Admitted++
	}
}

// returnToken gives back the token of an attempt of which no byte was sent: StillValid
// never allowed it, and it ended in a way that needs no response.
func (c *Core) returnToken(t *ticket, end redwingshunt.PlacementEnd) {
	unsent := !t.valid && !t.begun && (end == redwingshunt.EndLeft || end == redwingshunt.EndLost)
	if unsent && !t.token.IsZero() {
		c.options.Admitter.Return(t.token)
	}
}

// tokenHolds reports whether an attempt that has not been sent may be sent as far as cold
// upstreams are concerned: the upstream is warm, or there is a recent token.
func (c *Core) tokenHolds(now time.Time, t *ticket) bool {
	s := c.services[t.upstream.Service]
	if s == nil || !s.isCold(now, t.upstream) {
		return true
	}
	return !t.token.IsZero() && redwingshunt.Elapsed(t.placed, now) <= admitter.MaxDelay
}

// noCandidate returns the refusal of a request for which no upstream is available.
func (c *Core) noCandidate(now time.Time, l lookup) *Refusal {
	refusal := noUpstreamRefusal(l.placement, timeUntilAvailable(now, l.service))
	if l.placement.Warm {
		return refusal
	}
	for _, u := range l.service.upstreams {
		if !l.service.isCold(now, u) || l.placement.Avoid.Has(u.ID) || u.unavailableUntil().After(now) {
			continue
		}
		refusal.Reason = redwingshunt.ReasonCold
		if next, admits := c.options.Admitter.Next(now, u.Key(), l.service.ramp); admits {
			refusal.After = max(min(refusal.After, next.Sub(now)), minRetryAfter)
		}
	}
	return refusal
}

// countCold counts the last decision.
func (c *Core) countCold(s *service, refusal *Refusal) {
	if c.kept {
		s.cold.Kept++
	}
	if refusal != nil && refusal.Reason == redwingshunt.ReasonCold {
		s.cold.Refused++
	}
}

// ColdStates returns the services with a ramp and their counts since the last call.
func (c *Core) ColdStates(now time.Time) []ColdState {
	var states []ColdState
	for name, s := range c.services {
		if s.ramp == 0 {
			continue
		}
		state := ColdState{Service: name, Counts: s.cold}
		for _, u := range s.upstreams {
			if s.isCold(now, u) {
				state.Upstreams++
			}
		}
		s.cold = ColdCounts{}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b ColdState) int {
		return cmp.Or(cmp.Compare(b.Counts.Kept, a.Counts.Kept), cmp.Compare(a.Service, b.Service))
	})
	return states
}

// ColdChanges returns the upstreams that have turned cold or warm since the last call.
func (c *Core) ColdChanges(now time.Time) []ColdChange {
	var changes []ColdChange
	for _, s := range c.services {
		for _, u := range s.upstreams {
			cold := s.isCold(now, u)
			if cold == u.logged {
				continue
			}
			u.logged = cold
			change := ColdChange{Upstream: u.Upstream}
			if cold {
				change.Until = u.coldUntil
				if u.lostUntil.After(u.coldUntil) {
					change.Until = u.lostUntil
				}
				_, change.Admits = c.options.Admitter.Next(now, u.Key(), s.ramp)
			}
			changes = append(changes, change)
		}
	}
	slices.SortFunc(changes, func(a, b ColdChange) int { return cmp.Compare(a.Upstream.ID, b.Upstream.ID) })
	return changes
}

// ObserveFleet passes what this router knows about the fleet to the admitter, and
// reports whether any service has a ramp.
func (c *Core) ObserveFleet(now time.Time, fleet admitter.Fleet) bool {
	if c.options.Admitter == nil {
		return false
	}
	c.options.Admitter.Observe(now, fleet)
	for _, s := range c.services {
		if s.ramp > 0 {
			return true
		}
	}
	return false
}
