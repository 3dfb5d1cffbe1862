package balancer

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/ejector"
)

// This file applies the health of upstreams to their windows. The limit of an
// upstream is its window times the weight that package ejector gives it. All slot
// counts are based on the limit, so the slots of an ejected upstream are neither
// free, nor spare for a peer, nor counted as slots of the region.
//
// Example: an upstream with a window of 40 fails three requests in a row. Its
// limit is 0 for two seconds, then 4, and grows to 40 within ten seconds.

// health returns the core that holds the health of an upstream.
func (p *Pool) health(k Key) *ejector.Core {
	if k.Lender == "" {
		return p.localHealth
	}
	return p.borrowedHealth
}

// health returns the key of an upstream in its core. An ID stands for the same
// upstream of the service whoever lends it, but the slots of each lender are counted
// separately.
func (k Key) health() redwingshunt.UpstreamKey {
	return redwingshunt.UpstreamKey{Service: redwingshunt.ServiceID(k.Lender), ID: k.ID}
}

// setLeaving sets whether an upstream is leaving.
func (p *Pool) setLeaving(e *entry, leaving bool) {
	e.leaving = leaving
	p.updateHealth(e)
	p.removeDrained(e)
}

// observeHealth updates the health of an upstream with the result of a request. A
// request that ended without a failure before the first byte says nothing about the
// upstream.
func (p *Pool) observeHealth(now time.Time, e *entry, end Ending) {
	if end.Unused || (end.First == 0 && !end.Lost) {
		return
	}
	p.health(e.key).Observe(now, e.key.health(), redwingshunt.Result{First: end.First, Lost: end.Lost})
	if end.Lost {
		p.updateLimits(now)
	}
}

// updateLimits recomputes all limits and counts. Weights change with time, and the
// ejection of one upstream may end that of another.
func (p *Pool) updateLimits(now time.Time) {
	for _, e := range p.sorted {
		p.limit(now, e)
	}
	p.count()
}

// limit recomputes the limit of one upstream. It is at least one for an
// upstream that takes requests.
func (p *Pool) limit(now time.Time, e *entry) {
	if p.isEvacuated(e) {
		e.limit = 0
		return
	}
	weight := p.health(e.key).Weight(now, e.key.health())
	e.limit = int(weight * float64(e.window))
	if weight > 0 && e.window > 0 {
		e.limit = max(1, e.limit)
	}
}

// View is the state of one upstream for dumps and lending.
type View struct {
	Key       Key
	Upstream  redwingshunt.Upstream
	Window    int
	Limit     int // part of the window that the upstream's health allows
	Own       int
	Lent      int
	Foreign   int
	Room      int
	Leaving   bool
	Ejected   bool // has failed recently and gets no requests for a time
	Evacuated bool // its availability zone is
}

// Views returns the state of all upstreams, ordered by key.
func (p *Pool) Views() []View {
	views := make([]View, 0, len(p.sorted))
	for _, e := range p.sorted {
		evacuated := p.isEvacuated(e)
		views = append(views, View{
			Key: e.key, Upstream: e.upstream, Window: e.window, Limit: e.limit, Own: e.own,
			Lent: e.lentSum, Foreign: e.foreign, Room: e.room(), Leaving: e.leaving,
			Ejected:   !e.leaving && !evacuated && e.window > 0 && e.limit == 0,
			Evacuated: evacuated,
		})
	}
	return views
}
