// Package ejector detects failing upstreams of one service from the results of
// requests (passive health checks, outlier ejection).
//
//   - An upstream that loses lossThreshold requests in a row is ejected, for a
//     time that doubles with each ejection, up to maxEjection.
//   - At most half of the upstreams are ejected or in slow start. Beyond that,
//     those that return first have their full weight, so half of the capacity
//     stays whatever fails. The last upstream is never ejected.
//   - On its return an upstream is in slow start: its weight grows over
//     slowStartTime. A loss before its first success ejects it again.
//   - An upstream that is leaving gets no requests.
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
	// lossThreshold is the number of losses in a row that ejects an upstream.
	lossThreshold = 3
	// minEjection and maxEjection bound the duration of an ejection before jitter.
	minEjection = 2 * time.Second
	maxEjection = time.Minute
	// maxJitter is the largest fraction of the duration that is added at random.
	maxJitter = 0.2
	// slowStartTime is the time in which the weight of an upstream grows to one after
	// an ejection.
	slowStartTime = 10 * time.Second
	// minWeight is the weight at the end of an ejection.
	minWeight = 0.1
	// forgetTime is the time after the end of an ejection from which a success
	// resets the number of ejections.
	forgetTime = 5 * time.Minute
)

// state is the health of one upstream.
type state struct {
	key         redwingshunt.UpstreamKey
	losses      int // in a row
	ejections   int // number of ejections that still count
	returnsAt   time.Time
	leaving     bool
	onProbation bool // no request has succeeded since the return
}

// Core holds the health of the upstreams of one service. It is not safe for
// concurrent use.
type Core struct {
	rand   *rand.Rand
	states map[redwingshunt.UpstreamKey]*state
}

// New returns a core without upstreams. The source adds jitter to ejections.
func New(source *rand.Rand) *Core {
	return &Core{rand: source, states: make(map[redwingshunt.UpstreamKey]*state)}
}

// Add adds an upstream. The state of a known upstream does not change, unless it was
// leaving: then it starts over.
func (c *Core) Add(key redwingshunt.UpstreamKey) {
	if s := c.states[key]; s != nil && !s.leaving {
		return
	}
	c.states[key] = &state{key: key}
}

// Leave stops new requests for an upstream that is leaving.
func (c *Core) Leave(key redwingshunt.UpstreamKey) {
	if s := c.states[key]; s != nil {
		s.leaving = true
	}
}

// Remove removes an upstream and its state.
func (c *Core) Remove(key redwingshunt.UpstreamKey) { delete(c.states, key) }

// Eligible reports whether an upstream may get requests.
func (c *Core) Eligible(now time.Time, key redwingshunt.UpstreamKey) bool {
	s := c.states[key]
	if s == nil || s.leaving {
		return false
	}
	if !s.ejectedAt(now) {
		return true
	}
	return c.rank(now, s) >= c.ejectionLimit()
}

// Weight returns the fraction of its window that an upstream should get, from 0 to 1.
// It is zero for an upstream that is not eligible, and one for an upstream that is
// not ejected because half of the upstreams already are.
func (c *Core) Weight(now time.Time, key redwingshunt.UpstreamKey) float64 {
	if !c.Eligible(now, key) {
		return 0
	}
	s := c.states[key]
	if !s.reduced(now) || c.rank(now, s) >= c.ejectionLimit() {
		return 1
	}
	grown := float64(now.Sub(s.returnsAt)) / float64(slowStartTime)
	return min(1, max(minWeight, grown))
}

// Observe records the result of a request.
func (c *Core) Observe(now time.Time, key redwingshunt.UpstreamKey, r redwingshunt.Result) {
	s := c.states[key]
	if s == nil {
		return
	}
	if !r.Lost {
		s.losses = 0
		s.onProbation = s.onProbation && s.ejectedAt(now)
		if now.Sub(s.returnsAt) >= forgetTime {
			s.ejections = 0
		}
		return
	}
	s.losses++
	if s.ejectedAt(now) {
		return // the request started before the ejection
	}
	if s.losses >= lossThreshold || s.onProbation {
		c.eject(now, s)
	}
}

// eject ejects an upstream and doubles the duration of its next ejection.
func (c *Core) eject(now time.Time, s *state) {
	d := min(minEjection<<min(s.ejections, 10), maxEjection)
	d += time.Duration(c.rand.Float64() * maxJitter * float64(d))
	s.ejections++
	s.losses = 0
	s.returnsAt = now.Add(d)
	s.onProbation = true
}

// ejectionLimit returns the number of upstreams that may be ejected at the same time.
func (c *Core) ejectionLimit() int {
	present := 0
	for _, s := range c.states {
		if !s.leaving {
			present++
		}
	}
	return present / 2
}

// rank returns the number of upstreams, ejected or in slow start, that return after
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

// ejectedAt reports whether the upstream's ejection has not ended at the given time.
func (s *state) ejectedAt(now time.Time) bool { return now.Before(s.returnsAt) }

// reduced reports whether the upstream is ejected or in slow start.
func (s *state) reduced(now time.Time) bool {
	return !s.returnsAt.IsZero() && now.Before(s.returnsAt.Add(slowStartTime))
}

// compare orders upstreams by the end of their ejection.
func (s *state) compare(t *state) int {
	return cmp.Or(s.returnsAt.Compare(t.returnsAt), cmp.Compare(s.key.ID, t.key.ID))
}

// Ejected returns the upstreams that get no requests because of an ejection, ordered
// by ID.
func (c *Core) Ejected(now time.Time) []redwingshunt.UpstreamKey {
	var ejected []redwingshunt.UpstreamKey
	for key := range c.states {
		if !c.states[key].leaving && !c.Eligible(now, key) {
			ejected = append(ejected, key)
		}
	}
	slices.SortFunc(ejected, func(a, b redwingshunt.UpstreamKey) int { return cmp.Compare(a.ID, b.ID) })
	return ejected
}
