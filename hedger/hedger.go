// Package hedger decides when a request that waits for the first byte or event of its
// response is sent to a second upstream as well, and which of the two is given up.
//
// It learns the times to the first byte of a service relative to their prediction, by
// kind of route and prompt size. A hedge is due after a quantile of them that follows
// from the limit: with a limit of 2% of the requests, the slowest 2% qualify. Times that
// other instances share (package pooler) count like its own. While too few times are known,
// no hedge is due.
//
// Three rules bound the extra work:
//
//   - A token bucket for each service, filled by its requests, empty at the start.
//   - None for some time after a request was refused for want of capacity, and none at an
//     upstream with a predicted wait, or whose wait is unknown.
//   - A hedge that is expected to answer after the first attempt is not sent, or is given
//     up in its place.
//
// Core reads no clock and sends nothing; package relayer drives it.
//
// # Usage
//
//	core := hedger.New()
//	core.Request(service, percent)
//	delay, ok := core.Due(now, class, percent, predicted).Get()
//	// after the delay without a byte
//	verdict := core.Allow(now, class.Service)
//	verdict = core.Grant(class.Service, first, second)
//	core.Answered(now, class, upstream, first) // or Replaced
//	own := core.Own(now, mayHedge)             // for other instances
//	enabled, ok := core.Learn(now, fleet)      // from other instances
package hedger

import (
	"math"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/pooler"
)

const (
	// burst is how long no hedge may have been sent for the next ones to come together, at
	// least one. Requests that turn slow come together, too; a longer one would allow a wave of
	// hedges in the moment in which all upstreams turn slow.
	burst = 200 * time.Millisecond
	// rateTimeConstant is the time constant of the rate of requests.
	rateTimeConstant = time.Second
	// refusalPause is how long no hedge is sent for a service after one of its requests was
	// refused. Loads of other instances arrive several times within it.
	refusalPause = 2 * time.Second
	// maxWaitFraction is the predicted wait at the second upstream, as a fraction of the
	// objective of the route, up to which there is headroom.
	maxWaitFraction = 0.05
	// minQuantile bounds the quantile from below: a request that is later than most others
	// only is not slow.
	minQuantile = 0.75
	// maxBeaten is the number of hedges in a row that have to take requests over from an
	// upstream until it counts as stalled. Single ones are ordinary outliers.
	maxBeaten = 3
	// maxBeatenUpstreams bounds the upstreams whose hedges are counted.
	maxBeatenUpstreams = 10_000
)

// Verdict says whether a hedge may be sent.
type Verdict string

// The verdicts.
const (
	Granted  Verdict = "granted"
	Limit    Verdict = "limit"    // the service has used up its percentage
	Headroom Verdict = "headroom" // the service has no idle capacity
	Late     Verdict = "late"     // the second upstream is not expected to answer first
)

// Run is an attempt in progress.
type Run struct {
	Elapsed   time.Duration // since its start
	Predicted time.Duration // time to the first byte or event
}

// Second describes the upstream of a hedge before it is sent.
type Second struct {
	Predicted time.Duration // time to the first byte or event
	Wait      time.Duration // part of it before the work begins
	Unknown   bool          // the loads of other instances are not known
	Objective time.Duration // of the route
	// Overlap is how long both upstreams may work on the request; zero for no limit.
	Overlap time.Duration
	// Last means that the request may be sent to no third upstream.
	Last bool
}

// Core is the state of one instance. It is used by one goroutine at a time.
type Core struct {
	services map[redwingshunt.ServiceID]*service
	classes  map[Class]*times
	beaten   map[redwingshunt.UpstreamKey]int // requests taken over in a row
	full     time.Time                        // last refusal for want of capacity of the instance
}

// service is the limit of one service.
type service struct {
	hedges  float64   // that may be sent
	rate    float64   // requests in rateTimeConstant, decaying
	counted time.Time // last request
	refused time.Time // last refusal for want of capacity
}

// New returns a core that knows no times.
func New() *Core {
	return &Core{
		services: make(map[redwingshunt.ServiceID]*service),
		classes:  make(map[Class]*times),
		beaten:   make(map[redwingshunt.UpstreamKey]int),
	}
}

func (c *Core) serviceOf(id redwingshunt.ServiceID) *service {
	s := c.services[id]
	if s == nil {
		s = &service{}
		c.services[id] = s
	}
	return s
}

// Request counts a request of a service, of which the percentage may be hedged.
func (c *Core) Request(now time.Time, id redwingshunt.ServiceID, percent float64) {
	const hundred = 100
	s := c.serviceOf(id)
	s.rate = s.rate*math.Exp(-max(now.Sub(s.counted), 0).Seconds()/rateTimeConstant.Seconds()) + 1
	s.counted = now
	together := percent / hundred * s.rate * burst.Seconds() / rateTimeConstant.Seconds()
	s.hedges = min(s.hedges+percent/hundred, max(together, 1))
}

// Refused notes that a request of a service was refused for want of capacity.
func (c *Core) Refused(now time.Time, id redwingshunt.ServiceID) { c.serviceOf(id).refused = now }

// Full notes that this instance refused a request because it serves too many.
func (c *Core) Full(now time.Time) { c.full = now }

// Due returns the delay after which a hedge is due for an attempt with the given predicted
// time, or none. A class that is not known yet has none.
func (c *Core) Due(now time.Time, class Class, percent float64, predicted time.Duration) redwingshunt.Option[time.Duration] {
	const hundred = 100
	t := c.classes[class]
	if t == nil || percent <= 0 {
		return redwingshunt.None[time.Duration]()
	}
	ratio, known := t.quantile(now, max(1-percent/hundred, minQuantile)).Get()
	if !known {
		return redwingshunt.None[time.Duration]()
	}
	return redwingshunt.Some(time.Duration(ratio * float64(atLeast(predicted))))
}

// Allow returns whether a hedge may be sent for a service at all, before an upstream is
// chosen for it. It takes nothing from the limit.
func (c *Core) Allow(now time.Time, id redwingshunt.ServiceID) Verdict {
	s := c.serviceOf(id)
	switch {
	case now.Sub(s.refused) < refusalPause || now.Sub(c.full) < refusalPause:
		return Headroom
	case s.hedges < 1:
		return Limit
	}
	return Granted
}

// Grant returns whether a hedge may be sent to a second upstream, and takes it from the
// limit if so.
//
// If the second cannot answer within the overlap, one of the two has to be given up before
// either has answered. That is worth it only once the first is late by more than the second
// takes from its start, and safe only if the request may be sent on if the second fails.
func (c *Core) Grant(id redwingshunt.ServiceID, first Run, second Second) Verdict {
	s := c.serviceOf(id)
	blind := second.Overlap > 0 && second.Predicted > second.Overlap
	switch {
	case s.hedges < 1:
		return Limit
	case second.Unknown || second.Wait > time.Duration(maxWaitFraction*float64(second.Objective)):
		return Headroom
	case blind && (second.Last || first.Elapsed-first.Predicted < second.Predicted):
		return Late
	}
	s.hedges--
	return Granted
}

// Return gives back a hedge that was granted and is not sent.
func (c *Core) Return(id redwingshunt.ServiceID) {
	c.serviceOf(id).hedges++
}

// Overtakes reports whether the second of two attempts is expected to answer before the
// first, by the times that requests like these took.
func (c *Core) Overtakes(now time.Time, class Class, first, second Run) bool {
	return c.remaining(now, class, second) < c.remaining(now, class, first)
}

// remaining returns the median time until an attempt answers.
func (c *Core) remaining(now time.Time, class Class, run Run) time.Duration {
	if t := c.classes[class]; t != nil {
		if remaining, known := t.remaining(now, run).Get(); known {
			return remaining
		}
	}
	// An attempt that has outlasted all known ones is expected to take as long again.
	return max(run.Elapsed, run.Predicted-run.Elapsed)
}

// Answered records the time in which the first attempt of a request began to answer.
func (c *Core) Answered(now time.Time, class Class, upstream redwingshunt.UpstreamKey, run Run) {
	delete(c.beaten, upstream)
	if t := c.timesOf(now, class); t != nil {
		t.record(now, run)
	}
}

// timesOf returns the times of a class, or nil if there are too many classes.
func (c *Core) timesOf(now time.Time, class Class) *times {
	t := c.classes[class]
	if t == nil {
		if len(c.classes) >= maxClasses {
			c.dropIdle(now)
		}
		if len(c.classes) >= maxClasses {
			return nil
		}
		t = newTimes(now)
		c.classes[class] = t
	}
	return t
}

// Unanswered records a first attempt that ended without an answer for another reason than
// its upstream, as that the caller left or a hedge replaced it. Its time would have been
// longer, so only one that is late counts: a shorter one says nothing, and counting it
// would make hedges due ever earlier.
func (c *Core) Unanswered(now time.Time, class Class, percent float64, run Run) {
	due, known := c.Due(now, class, percent, run.Predicted).Get()
	if known && run.Elapsed >= due {
		c.classes[class].record(now, run)
	}
}

// Beaten records that a hedge took a request over from an upstream. It reports whether
// the upstream counts as stalled: it has answered nothing since several of them.
func (c *Core) Beaten(upstream redwingshunt.UpstreamKey) bool {
	if len(c.beaten) >= maxBeatenUpstreams {
		clear(c.beaten)
	}
	c.beaten[upstream]++
	return c.beaten[upstream] >= maxBeaten
}

// dropIdle removes the classes without a time in the current windows.
func (c *Core) dropIdle(now time.Time) {
	for class, t := range c.classes {
		t.rotate(now)
		if t.expireFleet(now); t.count() == 0 && t.fleet == (pooler.Counts{}) {
			delete(c.classes, class)
		}
	}
}

// Own returns the recent times of this instance, for services that may be hedged, to be
// shared with other instances.
func (c *Core) Own(now time.Time, mayHedge func(redwingshunt.ServiceID) bool) []pooler.Times {
	var own []pooler.Times
	for class, t := range c.classes {
		if !mayHedge(class.Service) {
			continue
		}
		if counts := t.own(now); counts != (pooler.Counts{}) {
			own = append(own, pooler.Times{Class: class, Counts: counts})
		}
	}
	return own
}

// Learn takes the times of a class at all other instances, in place of those before. It
// reports whether hedges of the class are possible by them and were not without. There are
// too many classes if ok is not set.
func (c *Core) Learn(now time.Time, fleet pooler.Times) (enabled, ok bool) {
	if fleet.Counts == (pooler.Counts{}) && c.classes[fleet.Class] == nil {
		return false, true
	}
	t := c.timesOf(now, fleet.Class)
	if t == nil {
		return false, false
	}
	t.rotate(now)
	t.expireFleet(now)
	own := t.count()
	before := own + t.fleet.Total()
	t.fleet, t.fleetAt = fleet.Counts, now
	return before < minTimes && own+t.fleet.Total() >= minTimes, true
}
