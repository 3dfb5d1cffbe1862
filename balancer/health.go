package balancer

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/ejector"
)

// This file applies the health of upstreams to their windows. The limit of an
// upstream is its window times the weight that package ejector gives it. All
// counts of slots are taken from the limit, so that slots of an ejected upstream
// are neither free, nor spare for a peer, nor part of what the region has.
//
// Example: an upstream with a window of 40 fails three requests in a row. Its
// limit is 0 for two seconds, then 4, and grows to 40 within ten seconds.

// health returns the core that knows an upstream.
func (p *Pool) health(k Key) *ejector.Core {
	if k.Lender == "" {
		return p.home
	}
	return p.abroad
}

// health returns the name of an upstream in its core. An ID means the same
// upstream in a service, whoever lends it; each lender's slots count apart.
func (k Key) health() redwingshunt.UpstreamKey {
	return redwingshunt.UpstreamKey{Service: redwingshunt.ServiceID(k.Lender), ID: k.ID}
}

// setLeaving changes whether an upstream ends.
func (p *Pool) setLeaving(e *entry, leaving bool) {
	e.leaving = leaving
	if !leaving {
		p.health(e.key).Add(e.key.health())
		return
	}
	p.health(e.key).Leave(e.key.health())
	p.tidy(e)
}

// judge takes the result of a request into the health of its upstream. One that
// ended before a byte came, without a failure, tells nothing.
func (p *Pool) judge(now time.Time, e *entry, end Ending) {
	if end.Unused || (end.First == 0 && !end.Lost) {
		return
	}
	p.health(e.key).Observe(now, e.key.health(), redwingshunt.Result{First: end.First, Lost: end.Lost})
	if end.Lost {
		p.weigh(now)
	}
}

// weigh computes all limits and counts anew: time passes, and what one upstream
// loses may bring another one back.
func (p *Pool) weigh(now time.Time) {
	for _, e := range p.sorted {
		p.limit(now, e)
	}
	p.count()
}

// limit computes the limit of one upstream. An upstream that takes work takes
// one request at least.
func (p *Pool) limit(now time.Time, e *entry) {
	weight := p.health(e.key).Weight(now, e.key.health())
	e.limit = int(weight * float64(e.window))
	if weight > 0 && e.window > 0 {
		e.limit = max(1, e.limit)
	}
}

// View is the state of one upstream for dumps and lending.
type View struct {
	Key      Key
	Upstream redwingshunt.Upstream
	Window   int
	Limit    int // the part of the window that its health allows
	Own      int
	Lent     int
	Foreign  int
	Room     int
	Leaving  bool
	Ejected  bool // failed lately, gets nothing for a time
}

// Views returns the state of all upstreams, ordered by key.
func (p *Pool) Views() []View {
	views := make([]View, 0, len(p.sorted))
	for _, e := range p.sorted {
		views = append(views, View{
			Key: e.key, Upstream: e.upstream, Window: e.window, Limit: e.limit, Own: e.own,
			Lent: e.lentSum, Foreign: e.foreign, Room: e.room(), Leaving: e.leaving,
			Ejected: !e.leaving && e.window > 0 && e.limit == 0,
		})
	}
	return views
}
