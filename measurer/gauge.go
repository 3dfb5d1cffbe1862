package measurer

import (
	"math"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// Result holds the measurements of a scenario.
type Result struct {
	Gap         float64 // largest weighted gap between two backlogged accounts, in seconds of total capacity
	Excess      float64 // the gap minus the largest request of each account
	Utilisation float64 // busy slots while requests are queued, 0 to 1
	Wait        time.Duration
	Ratio       float64 // longest wait over its fair wait, both at least the duration of an average request
	Sent        float64 // control bytes per second that a daemon sends on average
	Most        float64 // control bytes per second of the daemon that sends most
	Across      float64 // control bytes per second of a region pair, both directions
	Busiest     float64 // control bytes per second of the busiest daemon, sent and received
	Moved       float64 // fraction of the requests that ran in another region
	Requests    int
	Refused     int
	RefusedWait time.Duration // longest wait of a refused request that arrived in steady state
	Overfull    int           // most requests queued within one upstream
	Late        int           // requests sent to upstreams more than leavingGrace after they announced that they leave
	Excluded    int           // requests sent outside the regions of their account, or to an evacuated upstream after orderTime
	Kinds       map[redwingshunt.MessageKind]int
}

// pair holds the difference in service of two accounts when both became backlogged.
type pair struct{ base float64 }

// gauge collects the measurements of a fleet.
type gauge struct {
	fleet         *Fleet
	pairs         map[[2]int]*pair
	backlog       []bool
	busy          float64
	slots         float64
	gap           float64
	excess        float64
	wait          time.Duration
	ratio         float64
	insideBytes   int
	acrossBytes   int
	requests      int
	refused       int
	refusedWait   time.Duration
	excluded      int
	overfull      int
	offered       float64 // cost that the upstreams could have given so far
	offeredUntil  time.Time
	late          int
	movedRequests int
	kinds         map[redwingshunt.MessageKind]int
	scale         float64
	weightSum     float64
}

func newGauge(f *Fleet) *gauge {
	g := &gauge{fleet: f, pairs: map[[2]int]*pair{}, kinds: map[redwingshunt.MessageKind]int{}}
	for _, l := range f.scenario.Loads {
		g.weightSum += float64(l.Share)
	}
	g.scale = g.weightSum / float64(max(1, len(f.scenario.Loads)))
	g.backlog = make([]bool, len(f.scenario.Loads))
	return g
}

func (g *gauge) warmingUp() bool { return g.fleet.now.Sub(g.fleet.start) < g.fleet.scenario.Warm }

// Forget restarts the measurement of the gap.
func (f *Fleet) Forget() {
	clear(f.gauge.pairs)
	f.gauge.gap, f.gauge.excess = 0, 0
}

func (g *gauge) queued(r *request) {
	acc := g.fleet.tokens[r.load.Account]
	acc.waiting++
	acc.queued += float64(r.tokens)
	r.requiredCost = acc.queued * g.weightSum / float64(r.load.Share)
	r.offeredAtArrival = g.capacity()
}

// capacity returns the cost that the upstreams could have given so far.
func (g *gauge) capacity() float64 {
	now := g.fleet.now
	if g.offeredUntil.IsZero() {
		g.offeredUntil = now
	}
	g.offered += now.Sub(g.offeredUntil).Seconds() * g.fleet.liveCapacity()
	g.offeredUntil = now
	return g.offered
}

func (g *gauge) unqueued(r *request) {
	acc := g.fleet.tokens[r.load.Account]
	acc.waiting--
	acc.queued -= float64(r.tokens)
	r.waiting = false
}

func (g *gauge) assigned(r *request) {
	g.unqueued(r)
	if g.warmingUp() {
		return
	}
	g.requests++
	if r.arrived.Sub(g.fleet.start) < g.fleet.scenario.Warm {
		return
	}
	wait := g.fleet.now.Sub(r.arrived)
	g.wait = max(g.wait, wait)
	least := g.fleet.scenario.capacity() * g.fleet.scenario.averageRequestSeconds()
	g.ratio = max(g.ratio, max(least, g.capacity()-r.offeredAtArrival)/max(least, r.requiredCost))
}

func (g *gauge) countMessage(from, to *node, kind redwingshunt.MessageKind, bytes int) {
	if g.warmingUp() {
		return
	}
	g.kinds[kind] += bytes
	from.sent += bytes
	to.received += bytes
	if from.instance.Region == to.instance.Region {
		g.insideBytes += bytes
		return
	}
	g.acrossBytes += bytes
}

// countMoved counts a request that runs in another region.
func (g *gauge) countMoved(n *node, e *engine) {
	if !g.warmingUp() && n.instance.Region != e.upstream.Region {
		g.movedRequests++
	}
}

// countRefusedWait updates the longest wait of a refused request. Requests that were queued
// before an evacuation was in force and known in all regions don't count.
func (g *gauge) countRefusedWait(r *request) {
	if r.arrived.Sub(g.fleet.start) >= g.fleet.scenario.Warm && r.arrived.Sub(g.fleet.orderedAt) >= 2*time.Second {
		g.refusedWait = max(g.refusedWait, g.fleet.now.Sub(r.arrived))
	}
}

// sample records the state of the fakes.
func (g *gauge) sample() {
	f := g.fleet
	if g.warmingUp() {
		return
	}
	waiting := false
	service := make([]float64, len(f.scenario.Loads))
	for i, l := range f.scenario.Loads {
		acc := f.tokens[l.Account]
		waiting = waiting || acc.waiting > 0
		service[i] = acc.done
		for r := range acc.active {
			service[i] += r.engine.served(f.now, r.job)
		}
		service[i] *= g.scale / float64(l.Share)
		g.backlog[i] = acc.waiting > 0
	}
	g.compare(service)
	for _, e := range f.engines {
		g.overfull = max(g.overfull, len(e.waiting))
		if waiting && e.acceptsRequests() {
			g.busy += float64(len(e.running))
			g.slots += float64(e.slots)
		}
	}
}

// compare updates the gap of each pair of backlogged accounts.
func (g *gauge) compare(service []float64) {
	capacity := g.fleet.scenario.capacity()
	for i := range service {
		for k := range i {
			key := [2]int{k, i}
			if !g.backlog[i] || !g.backlog[k] {
				delete(g.pairs, key)
				continue
			}
			difference := service[i] - service[k]
			p := g.pairs[key]
			if p == nil {
				p = &pair{base: difference}
				g.pairs[key] = p
			}
			gap := math.Abs(difference - p.base)
			g.gap = max(g.gap, gap/capacity)
			g.excess = max(g.excess, (gap-g.largestRequest(i)-g.largestRequest(k))/capacity)
		}
	}
}

// largestRequest returns the weighted cost of the largest request of an account.
func (g *gauge) largestRequest(i int) float64 {
	l := g.fleet.scenario.Loads[i]
	return float64(l.Most) * g.scale / float64(l.Share)
}

func (g *gauge) result() Result {
	f := g.fleet
	seconds := (f.scenario.Length - f.scenario.Warm).Seconds()
	r := Result{
		Gap: g.gap, Excess: g.excess, Wait: g.wait, Ratio: g.ratio,
		Requests: g.requests, Refused: g.refused, Overfull: g.overfull, Late: g.late, Kinds: g.kinds,
		RefusedWait: g.refusedWait, Excluded: g.excluded,
	}
	r.Moved = float64(g.movedRequests) / float64(max(1, g.requests))
	if g.slots > 0 {
		r.Utilisation = g.busy / g.slots
	}
	r.Sent = float64(g.insideBytes+g.acrossBytes) / seconds / float64(len(f.nodes))
	if places := len(f.scenario.Places); places > 1 {
		r.Across = float64(g.acrossBytes) / seconds / float64(places*(places-1)/2)
	}
	busiest := slices.MaxFunc(f.nodes, func(a, b *node) int { return a.sent + a.received - b.sent - b.received })
	most := slices.MaxFunc(f.nodes, func(a, b *node) int { return a.sent - b.sent })
	r.Most = float64(most.sent) / seconds
	r.Busiest = float64(busiest.sent+busiest.received) / seconds
	return r
}
