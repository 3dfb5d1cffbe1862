// Package ejector decides from the results of requests which upstreams of one
// service get work (passive health checks).
//
//   - An upstream that loses threshold requests in a row is ejected, for a
//     time that doubles with each ejection up to longest.
//   - At most half of the upstreams are ejected or start slowly; beyond that,
//     those that return first have their full weight, so that half of the
//     capacity stays whatever fails. The last upstream is never ejected.
//   - On its return an upstream starts slowly: its weight grows over ramp, and
//     one more loss ejects it again.
//   - An upstream that is leaving gets nothing.
//
// # Usage
//
//	core := ejector.New(rand.New(rand.NewPCG(1, 2)))
//	core.Add(key)
//	if core.Eligible(now, key) {
//		window = int(float64(slots) * core.Weight(now, key))
//	}
//	core.Observe(now, key, result)
package ejector

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// threshold is the number of losses in a row that ejects an upstream.
	threshold = 3
	// shortest and longest bound an ejection, before jitter.
	shortest = 2 * time.Second
	longest  = time.Minute
	// jitter is the largest part of an ejection added at random.
	jitter = 0.2
	// ramp is how long an upstream takes to its full weight after an ejection.
	ramp = 10 * time.Second
	// minWeight is the weight on return.
	minWeight = 0.1
	// forgiveness is how long an upstream must do well for its past ejections
	// not to count.
	forgiveness = 5 * time.Minute
)

// state is the health of one upstream.
type state struct {
	key      redwingshunt.UpstreamKey
	losses   int // in a row
	ejected  int // times, not forgiven
	returns  time.Time
	leaving  bool
	returned bool // the first result since its return is not in
}

// Core holds the health of the upstreams of one service. It is not safe for
// concurrent use.
type Core struct {
	rand   *rand.Rand
	states map[redwingshunt.UpstreamKey]*state
}

// New returns a core without upstreams.
func New(source *rand.Rand) *Core {
	return &Core{rand: source, states: make(map[redwingshunt.UpstreamKey]*state)}
}

// Add adds an upstream; one that is known stays as it is, unless it was
// leaving.
func (c *Core) Add(key redwingshunt.UpstreamKey) {
	if s := c.states[key]; s != nil && !s.leaving {
		return
	}
	c.states[key] = &state{key: key}
}

// Leave stops new work for an upstream that ends.
func (c *Core) Leave(key redwingshunt.UpstreamKey) {
	if s := c.states[key]; s != nil {
		s.leaving = true
	}
}

// Remove forgets an upstream.
func (c *Core) Remove(key redwingshunt.UpstreamKey) { delete(c.states, key) }

// Eligible reports whether an upstream may get work.
func (c *Core) Eligible(now time.Time, key redwingshunt.UpstreamKey) bool {
	s := c.states[key]
	if s == nil || s.leaving {
		return false
	}
	if !s.out(now) {
		return true
	}
	return c.rank(now, s) >= c.quota()
}

// Weight returns the part of its window that an upstream should get, from 0
// to 1. It is zero for an upstream that is not eligible, and one for an upstream
// that the floor keeps.
func (c *Core) Weight(now time.Time, key redwingshunt.UpstreamKey) float64 {
	if !c.Eligible(now, key) {
		return 0
	}
	s := c.states[key]
	if !s.reduced(now) || c.rank(now, s) >= c.quota() {
		return 1
	}
	grown := float64(now.Sub(s.returns)) / float64(ramp)
	return min(1, max(minWeight, grown))
}

// Observe takes the result of a request in.
func (c *Core) Observe(now time.Time, key redwingshunt.UpstreamKey, r redwingshunt.Result) {
	s := c.states[key]
	if s == nil {
		return
	}
	if !r.Lost {
		s.losses = 0
		s.returned = s.returned && s.out(now)
		if now.Sub(s.returns) >= forgiveness {
			s.ejected = 0
		}
		return
	}
	s.losses++
	if s.out(now) {
		return // a request from before the ejection
	}
	if s.losses >= threshold || s.returned {
		c.eject(now, s)
	}
}

// eject takes an upstream out for a time.
func (c *Core) eject(now time.Time, s *state) {
	d := min(shortest<<min(s.ejected, 10), longest)
	d += time.Duration(c.rand.Float64() * jitter * float64(d))
	s.ejected++
	s.losses = 0
	s.returns = now.Add(d)
	s.returned = true
}

// quota returns how many upstreams may be out at once.
func (c *Core) quota() int {
	present := 0
	for _, s := range c.states {
		if !s.leaving {
			present++
		}
	}
	return present / 2
}

// rank returns how many upstreams that are ejected or start slowly return after
// this one.
func (c *Core) rank(now time.Time, s *state) int {
	rank := 0
	for _, other := range c.states {
		if other.reduced(now) && !other.leaving && other.compare(s) > 0 {
			rank++
		}
	}
	return rank
}

// out reports whether the time of an ejection has not passed.
func (s *state) out(now time.Time) bool { return now.Before(s.returns) }

// reduced reports whether the upstream is out or starts slowly.
func (s *state) reduced(now time.Time) bool {
	return !s.returns.IsZero() && now.Before(s.returns.Add(ramp))
}

// compare orders upstreams by their return.
func (s *state) compare(t *state) int {
	return cmp.Or(s.returns.Compare(t.returns), cmp.Compare(s.key.ID, t.key.ID))
}

// Ejected returns the upstreams that are out, ordered by ID.
func (c *Core) Ejected(now time.Time) []redwingshunt.UpstreamKey {
	var out []redwingshunt.UpstreamKey
	for key := range c.states {
		if !c.states[key].leaving && !c.Eligible(now, key) {
			out = append(out, key)
		}
	}
	slices.SortFunc(out, func(a, b redwingshunt.UpstreamKey) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
