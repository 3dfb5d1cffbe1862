package placer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingshunt/redwingshunt"
)

// option is an upstream with what is predicted of an attempt there.
type option struct {
	upstream *upstream
	wait     time.Duration // until the engine begins to read
	read     time.Duration // of what it does not keep
	trip     time.Duration // there and back
	unread   int64         // tokens to read
	cost     time.Duration // by which options are compared
}

// Reading counts longer than it takes, since all requests behind it wait too:
// leastRead times while engines are idle, and more the longer requests wait at
// all of them, up to mostRead times at a mean wait of a latency objective. So a
// request leaves its home for an idle engine, but not when that only moves the
// wait and adds the reading.
const (
	leastRead = 1.5
	mostRead  = 9
	// secondRead is the part of the weight at the second home: requests that
	// leave their home meet there, and the part is soon kept at both.
	secondRead = 0.4
)

// lookup is what is looked up once for a request.
type lookup struct {
	service      *service
	placement    *redwingshunt.Placement
	tokens       int64 // of the prompt
	home, second *upstream
}

func newLookup(now time.Time, s *service, p *redwingshunt.Placement) lookup {
	home, second := homes(now, s, p)
	return lookup{service: s, placement: p, tokens: p.Tokens(), home: home, second: second}
}

// best returns the option with the least cost, with a weight on reading that
// keeps requests at their homes.
func (c *Core) best(now time.Time, l lookup) option {
	weight := readWeight(now, l.service, l.placement)
	return c.cheapest(now, l, func(u *upstream) float64 {
		if u == l.second {
			return secondRead * weight
		}
		return weight
	})
}

// soonest returns the option with the least time until the answer.
func (c *Core) soonest(now time.Time, l lookup) option {
	return c.cheapest(now, l, func(*upstream) float64 { return 1 })
}

// cheapest returns the option with the least cost among those that are up, when
// reading counts so many times.
func (c *Core) cheapest(now time.Time, l lookup, weight func(*upstream) float64) option {
	var cheapest option
	for _, u := range l.service.upstreams {
		if l.placement.Avoid.Has(u.ID) || u.awayUntil().After(now) {
			continue
		}
		o := c.weigh(now, l.service, l.placement, l.tokens, u, u == l.home)
		o.cost += time.Duration(weight(u) * float64(o.read))
		if cheapest.upstream == nil || o.cost < cheapest.cost || o.cost == cheapest.cost && u.ID < cheapest.upstream.ID {
			cheapest = o
		}
	}
	return cheapest
}

// forDeprived returns an option for a request that is refused although its
// account gets far less than another: the best one or else that with the least
// time until the answer, if the wait there is within the bound of an account
// that has had nothing. The homes of its prompts are too busy then, while those
// of the other account have room.
func (c *Core) forDeprived(now time.Time, l lookup, best option) option {
	if !l.service.model || c.shares.capacity == 0 || !c.shares.deprived(now, l.placement.Account) {
		return option{}
	}
	if c.admit(now, l.service, l.placement, best, 0) == nil {
		return best
	}
	if soonest := c.soonest(now, l); c.admit(now, l.service, l.placement, soonest, 0) == nil {
		return soonest
	}
	return option{}
}

// homes returns the upstream that keeps what the request shares with others and
// the one that comes next, or nil when it shares nothing. An upstream that is
// spared for a moment stays a home: its things would else be read again
// elsewhere and then there.
func homes(now time.Time, s *service, p *redwingshunt.Placement) (home, second *upstream) {
	key := affinity(p.Prompt)
	if key == "" {
		return nil, nil
	}
	var highest, next uint64
	for _, u := range s.upstreams {
		if u.awayUntil().Sub(now) > firstDown {
			continue
		}
		switch weight := rendezvous(key, u.ID); {
		case home == nil || weight > highest:
			home, highest, second, next = u, weight, home, highest
		case second == nil || weight > next:
			second, next = u, weight
		}
	}
	return home, second
}

// readWeight returns how many times reading counts under the present load.
func readWeight(now time.Time, s *service, p *redwingshunt.Placement) float64 {
	if !s.model || len(s.upstreams) == 0 {
		return 1
	}
	total := 0.0
	for _, u := range s.upstreams {
		total += float64(u.unread(now)) / u.speed()
	}
	mean := total / float64(len(s.upstreams))
	return min(leastRead+(mostRead-leastRead)*mean/aimOf(p.Route).Seconds(), mostRead)
}

// aimOf returns the latency objective of a route.
func aimOf(route *redwingshunt.Route) time.Duration {
	if route.Aim == 0 {
		return defaultAim
	}
	return route.Aim
}

// affinity returns the part by which requests about one thing are kept
// together: the last one that is shared.
func affinity(prompt []redwingshunt.Part) string {
	switch len(prompt) {
	case 0:
		return ""
	case 1:
		return prompt[0].ID
	}
	return prompt[len(prompt)-2].ID
}

// rendezvous returns the weight of an upstream for a key.
func rendezvous(key string, id redwingshunt.UpstreamID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key) // never fails
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

// weigh predicts an attempt at an upstream.
func (c *Core) weigh(now time.Time, s *service, p *redwingshunt.Placement, tokens int64, u *upstream, home bool) option {
	o := option{upstream: u}
	if u.Region != c.options.Region {
		o.trip = c.options.Away
	}
	if s.model && len(p.Prompt) > 0 {
		weighEngine(now, s, p, tokens, &o, home)
	} else {
		weighPlain(&o)
	}
	if u.fullUntil.After(now) {
		o.wait += fullPenalty
	}
	// An upstream that fails a share of its requests costs the time that those
	// have spent in vain.
	o.cost = o.wait + o.trip + time.Duration(u.failing*float64(aimOf(p.Route))*2)
	return o
}

func weighEngine(now time.Time, s *service, p *redwingshunt.Placement, tokens int64, o *option, home bool) {
	u := o.upstream
	found := u.parts.found(p.Prompt)
	if home {
		found = max(found, tokens-p.Prompt[len(p.Prompt)-1].Tokens)
	}
	o.unread = tokens - found
	o.wait = time.Duration(float64(u.unread(now)) / u.speed() * float64(time.Second))
	o.read = time.Duration(float64(o.unread) / u.speed() * float64(time.Second))
	if slots := int64(s.engine.Slots); slots > 0 && u.running() >= slots {
		// A request waits for the end of another one; how long is not known.
		o.wait += time.Duration(float64(u.running()-slots+1) / float64(slots) * float64(time.Second))
	}
	if room := int64(float64(s.engine.Memory) * memoryShare); room > 0 && u.memory()+tokens+p.Output > room {
		o.wait += time.Second
	}
}

func weighPlain(o *option) {
	u := o.upstream
	slots := max(int64(u.Slots), 1)
	o.read = u.duration
	o.wait = time.Duration(float64(u.running()) / float64(slots) * float64(u.duration) / 4)
	if over := u.running() - slots + 1; over > 0 {
		o.wait += time.Duration(float64(over) / float64(slots) * float64(u.duration))
	}
}

// admit refuses a request for which the wait of an option is beyond the bound of
// an account that has been given so much of its share. A repeat has been admitted
// before and is bound by its deadline alone.
func (c *Core) admit(now time.Time, s *service, p *redwingshunt.Placement, o option, excess float64) *Refusal {
	left := p.Deadline.Sub(now)
	predicted := o.wait + o.read + o.trip
	if !p.Deadline.IsZero() && predicted >= left {
		return refuse(o.wait, left, 0)
	}
	if p.Attempt > 1 || !s.model {
		return nil
	}
	aim := aimOf(p.Route)
	bound := admission(aim, o.read+o.trip, excess)
	if c.shares.short && excess > beyondShare {
		// What keeps the deprived account short may not be the engines, so that a
		// wait does not show it.
		bound = 0
	}
	if o.wait > bound || bound <= 0 {
		return refuse(o.wait, bound, excess)
	}
	return nil
}

// The shares of the latency objective that a request may wait before an engine
// reads it. A large prompt takes longer to read; it may wait at least as long
// as a small one with leastWait, so that the largest are not starved.
const (
	mostWait  = 0.85
	leastWait = 0.5
	// An account has the whole bound up to withinShare of its share, and only
	// overWait of it from beyondShare on; in between the bound falls evenly, so
	// that accounts settle near their shares without swinging.
	withinShare = 0.9
	beyondShare = 1.2
	overWait    = 0.08
)

// admission returns how long a request may wait of an account that has been
// given so much of its share.
func admission(aim, own time.Duration, excess float64) time.Duration {
	bound := max(time.Duration(mostWait*float64(aim))-own, time.Duration(leastWait*float64(aim)))
	part := (beyondShare - excess) / (beyondShare - withinShare)
	return time.Duration(float64(bound) * min(max(part, overWait), 1))
}

func refuse(wait, bound time.Duration, excess float64) *Refusal {
	return &Refusal{
		Reason: redwingshunt.ReasonQueueFull, Wait: wait, Bound: bound, Excess: excess,
		After: min(max(wait-bound, untilShare(excess), retryLeast), retryMost),
	}
}

// untilShare returns when an account beyond its share will be within it, should
// it send nothing meanwhile.
func untilShare(excess float64) time.Duration {
	if excess <= 1 {
		return 0
	}
	return time.Duration(float64(rateWindow) * math.Log(excess))
}
