package placer

import (
	"math"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// candidate is an upstream with the prediction for an attempt on it.
type candidate struct {
	upstream    *upstream
	wait        time.Duration // queueing delay before prefill starts
	serviceTime time.Duration // prefill of uncached tokens, or duration of a plain request
	roundTrip   time.Duration // network round trip
	unread      int64         // prompt tokens to prefill
	rate        float64       // prompt tokens a second; zero for a plain request
	cost        time.Duration // weighted sum by which candidates are compared
}

// lookup holds the values that are computed once per request.
type lookup struct {
	service      *service
	placement    *redwingshunt.Placement
	tokens       int64 // prompt length
	home, second *upstream
}

func newLookup(now time.Time, s *service, p *redwingshunt.Placement) lookup {
	home, second := homes(now, s, p)
	return lookup{service: s, placement: p, tokens: p.Tokens(), home: home, second: second}
}

// best returns the candidate with the lowest cost, with a preference for the homes of
// the request.
func (c *Core) best(now time.Time, l lookup) candidate {
	return c.cheapest(now, l, preferHomes(now, l))
}

// soonest returns the candidate with the shortest predicted time to the answer.
func (c *Core) soonest(now time.Time, l lookup) candidate {
	return c.cheapest(now, l, preference{weight: 1})
}

// cheapest returns the candidate with the lowest cost among the available upstreams,
// to which prefer adds. It returns a zero candidate when no upstream is available.
func (c *Core) cheapest(now time.Time, l lookup, prefer preference) candidate {
	var cheapest candidate
	limited := l.service.ramp > 0
	for _, u := range l.service.upstreams {
		if l.placement.Avoid.Has(u.ID) || u.unavailableUntil().After(now) || limited && c.keptFrom(now, l, u) {
			continue
		}
		o := c.predict(now, l.service, l.placement, l.tokens, u, u == l.home)
		o.cost += prefer.cost(o)
		if cheapest.upstream == nil || o.cost < cheapest.cost || o.cost == cheapest.cost && u.ID < cheapest.upstream.ID {
			cheapest = o
		}
	}
	return cheapest
}

// forUnderserved returns a candidate for a request that admission control would
// refuse although its account gets far less than another one. It returns the best
// candidate, or else the one with the shortest time to the answer, if the wait there
// is within the bound of an account that has used none of its share. In this case
// the homes of the account's prompts are overloaded while those of the other
// account have capacity. It returns a zero candidate if neither fits.
func (c *Core) forUnderserved(now time.Time, l lookup, best candidate) candidate {
	if !l.service.isEngine || c.shares.capacity == 0 || !c.shares.isBehind(now, l.placement.Account) {
		return candidate{}
	}
	if c.admit(now, l.service, l.placement, best, 0) == nil {
		return best
	}
	if soonest := c.soonest(now, l); c.admit(now, l.service, l.placement, soonest, 0) == nil {
		return soonest
	}
	return candidate{}
}

// besideUnderserved returns the best candidate in the regions that no underserved account
// may use, for a request that admission control refuses at the best of all regions because
// its account is beyond its share and another one is underserved there. Otherwise upstreams
// would idle while requests with a home elsewhere are refused. It returns a zero candidate
// if there is none that fits.
func (c *Core) besideUnderserved(now time.Time, l lookup, best candidate, shareRatio float64) candidate {
	if !c.shares.limits(best.upstream.Region, shareRatio) || c.shares.underservedEverywhere() {
		return candidate{}
	}
	rest := l.service.only(func(u *upstream) bool { return !c.shares.anyUnderserved(u.Region) })
	if len(rest.upstreams) == 0 {
		return candidate{}
	}
	best = c.best(now, newLookup(now, rest, l.placement))
	if best.upstream == nil || c.admit(now, rest, l.placement, best, shareRatio) != nil {
		return candidate{}
	}
	return best
}

// objectiveOf returns the latency objective of a route, or the default one.
func objectiveOf(route *redwingshunt.Route) time.Duration {
	if route.Aim == 0 {
		return defaultObjective
	}
	return route.Aim
}

// predict predicts the outcome of an attempt on an upstream.
func (c *Core) predict(now time.Time, s *service, p *redwingshunt.Placement, tokens int64, u *upstream, home bool) candidate {
	o := candidate{upstream: u}
	if u.Region != c.options.Region {
		o.roundTrip = c.options.RegionRoundTrip
	}
	if s.isEngine && len(p.Prompt) > 0 {
		predictEngine(now, s, p, tokens, &o, home)
	} else {
		predictPlain(now, &o)
	}
	if u.fullUntil.After(now) {
		o.wait += fullPenalty
	}
	// The failure rate adds the time that failed attempts are expected to waste.
	o.cost = o.wait + o.roundTrip + time.Duration(u.failureRate*float64(objectiveOf(p.Route))*2)
	return o
}

func predictEngine(now time.Time, s *service, p *redwingshunt.Placement, tokens int64, o *candidate, home bool) {
	u := o.upstream
	cached := u.parts.cached(p.Prompt)
	if home {
		cached = max(cached, tokens-p.Prompt[len(p.Prompt)-1].Tokens)
	}
	o.unread = tokens - cached
	rate := u.tokensPerSecond(now)
	o.rate = rate
	o.wait = time.Duration(float64(u.unread(now, rate)) / rate * float64(time.Second))
	o.serviceTime = time.Duration(float64(o.unread) / rate * float64(time.Second))
	if slots, running := u.slots(s.engine.Slots), u.running(now); slots > 0 && running >= slots {
		// The request waits for a free slot. The time is unknown; a usual slot time per full
		// set of slots is assumed.
		o.wait += time.Duration(float64(running-slots+1) / float64(slots) * float64(u.slotTime(now)))
	}
	if limit := int64(float64(s.engine.Memory) * maxMemoryFraction); limit > 0 && u.memory()+tokens+p.Output > limit {
		o.wait += time.Second
	}
}

func predictPlain(now time.Time, o *candidate) {
	u := o.upstream
	slots, running := max(u.slots(u.Slots), 1), u.running(now)
	o.serviceTime = u.duration
	if u.report != nil {
		o.serviceTime = time.Duration(float64(u.duration) * u.report.paceFactor(now))
	}
	o.wait = time.Duration(float64(running) / float64(slots) * float64(o.serviceTime) / 4)
	if over := running - slots + 1; over > 0 {
		o.wait += time.Duration(float64(over) / float64(slots) * float64(o.serviceTime))
	}
}

// admit returns a refusal if the predicted wait of a candidate exceeds the bound for
// an account with the given share ratio, or nil. A retry has been admitted before,
// so only its deadline limits it.
func (c *Core) admit(now time.Time, s *service, p *redwingshunt.Placement, o candidate, shareRatio float64) *Refusal {
	left := p.Deadline.Sub(now)
	predicted := o.wait + o.serviceTime + o.roundTrip
	if !p.Deadline.IsZero() && predicted >= left {
		return queueFullRefusal(o.wait, left, 0)
	}
	if p.Attempt > 1 || !s.isEngine {
		return nil
	}
	objective := objectiveOf(p.Route)
	bound := waitBound(objective, o.serviceTime+o.roundTrip, shareRatio)
	if c.shares.limits(o.upstream.Region, shareRatio) {
		// The cause of the other account's shortfall may lie outside the engines,
		// in which case the wait at them does not show it.
		bound = 0
	}
	if o.wait > bound || bound <= 0 {
		refusal := queueFullRefusal(o.wait, bound, shareRatio)
		refusal.OverShare = o.wait <= waitBound(objective, o.serviceTime+o.roundTrip, 0)
		return refusal
	}
	return nil
}

// The wait bound of a request, as fractions of the latency objective. Wait,
// prefill and round trip together may take maxWaitFraction. Each request may wait
// minWaitFraction in any case, so that large prompts, which have a long prefill, are
// not starved.
const (
	maxWaitFraction = 0.85
	minWaitFraction = 0.5
	// An account has the full bound up to a share ratio of fullBoundRatio, and
	// minBoundFraction of it from minBoundRatio on. The bound falls linearly in
	// between, so that accounts settle near their shares without oscillating.
	fullBoundRatio   = 0.9
	minBoundRatio    = 1.2
	minBoundFraction = 0.08
)

// waitBound returns how long a request with the given unloaded latency, prefill and
// round trip, may wait, for an account with the given share ratio.
func waitBound(objective, unloaded time.Duration, shareRatio float64) time.Duration {
	bound := max(time.Duration(maxWaitFraction*float64(objective))-unloaded, time.Duration(minWaitFraction*float64(objective)))
	fraction := (minBoundRatio - shareRatio) / (minBoundRatio - fullBoundRatio)
	return time.Duration(float64(bound) * min(max(fraction, minBoundFraction), 1))
}

func queueFullRefusal(wait, bound time.Duration, shareRatio float64) *Refusal {
	return &Refusal{
		Reason: redwingshunt.ReasonQueueFull, Wait: wait, Bound: bound, ShareRatio: shareRatio,
		After: min(max(wait-bound, timeUntilShare(shareRatio), minRetryAfter), maxRetryAfter),
	}
}

// timeUntilShare returns the time until the rate of an account has decayed to its
// share, provided that it sends nothing in between.
func timeUntilShare(shareRatio float64) time.Duration {
	if shareRatio <= 1 {
		return 0
	}
	return time.Duration(float64(rateTimeConstant) * math.Log(shareRatio))
}
