package measurer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/scheduler"
	"github.com/redwingshunt/redwingshunt/wire"
)

// leavingGrace is the time during which a leaving upstream may still get requests.
const leavingGrace = 2 * time.Second

// updateViews updates the view of the fleet on every live instance.
func (f *Fleet) updateViews() {
	for _, n := range f.nodes {
		if n.alive {
			f.updateView(n)
		}
	}
}

func (f *Fleet) updateView(n *node) {
	var view []redwingshunt.Instance
	for _, other := range f.nodes {
		if other.alive && other.side == n.side {
			instance := other.instance
			instance.Region = other.coreRegion
			view = append(view, instance)
		}
	}
	n.view = view
	f.stepOwners(n, scheduler.MembersChanged{Members: view})
	period := n.ownerSet.StatePeriod()
	if f.scenario.Retells > 0 {
		period = f.scenario.Retells
	}
	n.queue.SetPeriod(period)
	f.stepQueue(n, scheduler.OwnerChanged{ID: n.ownerSet.QueueOwner()})
}

// owns reports whether an instance owns the service in its region.
func (n *node) owns() bool { return len(n.ownerSet.Active()) > 0 }

// announce sends the announcement of an upstream to a random router of its region.
func (f *Fleet) announce(e *engine) {
	f.after(announcePeriod, func() { f.announce(e) })
	load := e.report(f.now, f.scenario.Lag)
	if f.scenario.Lag < 0 { // reports are missing
		load = redwingshunt.LoadReport{}
	}
	if e.crashed || e.leaving() {
		return
	}
	n := f.anyNode(e.upstream.Region)
	if n == nil {
		return
	}
	f.relay(n, &wire.Announcement{
		Id: string(e.upstream.ID), Service: string(service), Region: string(e.upstream.Region),
		Zone: string(e.upstream.Zone), Address: e.upstream.Address.String(), Slots: uint32(e.slots),
		Running: uint32(load.Running), Waiting: uint32(load.Waiting),
		TtlMs: uint32(announceTTL / time.Millisecond),
	})
}

// anyNode returns a random live instance of a region, or nil.
func (f *Fleet) anyNode(region redwingshunt.RegionID) *node {
	var list []*node
	for _, n := range f.nodes {
		if n.alive && n.instance.Region == region {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[f.random.IntN(len(list))]
}

// relay passes an announcement to the owner and to its standby.
func (f *Fleet) relay(n *node, m *wire.Announcement) {
	if !f.usesCores() {
		return
	}
	cells := scheduler.CellCount(len(scheduler.InRegion(n.view, n.coreRegion)))
	cell := scheduler.CellOf(service, m.Id, cells)
	m.Cell = uint32(cell)
	ranked := scheduler.Rank(n.view, n.coreRegion, service, cell)
	life := time.Duration(m.TtlMs) * time.Millisecond
	for i, target := range ranked[:min(2, len(ranked))] {
		ttl, ok := scheduler.SampleAnnouncement(f.now, redwingshunt.UpstreamID(m.Id), life, i, len(ranked))
		if !ok && life > 0 {
			continue
		}
		m.TtlMs = uint32(ttl / time.Millisecond)
		f.send(n, target.ID, redwingshunt.KindAnnounce, m)
	}
}

func (f *Fleet) receiveAnnouncement(n *node, m *wire.Announcement) {
	id := redwingshunt.UpstreamID(m.Id)
	if m.TtlMs == 0 {
		f.stepOwners(n, scheduler.UpstreamLeft{ID: id})
		return
	}
	address, _ := netip.ParseAddrPort(m.Address)
	f.stepOwners(n, scheduler.Announced{
		Upstream: redwingshunt.Upstream{
			ID: id, Service: service, Region: f.coreRegionOf(redwingshunt.RegionID(m.Region)),
			Zone: redwingshunt.ZoneID(m.Zone), Address: address, Slots: int(m.Slots),
		},
		Load: redwingshunt.LoadReport{Running: int(m.Running), Waiting: int(m.Waiting)},
		TTL:  time.Duration(m.TtlMs) * time.Millisecond, Cell: int(m.Cell),
	})
}

// startClients starts the clients of an account.
func (f *Fleet) startClients(l *Load) {
	for _, index := range l.Routers {
		for range l.Clients {
			f.after(l.From+time.Duration(f.random.Int64N(int64(10*time.Millisecond+l.Think))), func() { f.arrive(l, index) })
		}
	}
}

// arrive sends the next request of one client.
func (f *Fleet) arrive(l *Load, index int) {
	if l.Until > 0 && f.now.Sub(f.start) >= l.Until {
		return
	}
	n := f.nodes[index]
	for !n.alive { // the load balancer in front of the routers selects another one
		index = (index + 1) % len(f.nodes)
		n = f.nodes[index]
	}
	r := &request{load: l, tokens: l.Least + f.random.IntN(l.Most-l.Least+1), arrived: f.now}
	f.enqueue(n, r)
}

// enqueue puts a request into the queue of an instance.
func (f *Fleet) enqueue(n *node, r *request) {
	f.tickets++
	r.ticket, r.node, r.waiting, r.job, r.charged = f.tickets, n, true, nil, 0
	n.requests[r.ticket] = r
	f.gauge.queued(r)
	if !f.usesCores() {
		n.localRouter.arrive(r)
		return
	}
	f.stepQueue(n, scheduler.Arrived{
		Ticket: r.ticket, Account: r.load.Account, Bytes: 1000,
		Estimate: redwingshunt.Cost((r.load.Least + r.load.Most) / 2), Avoid: r.avoid,
	})
}

// refused schedules a retry of the client after 100 ms.
func (f *Fleet) refused(n *node, a scheduler.Refuse) {
	r := n.requests[a.Ticket]
	if r == nil {
		return
	}
	delete(n.requests, a.Ticket)
	f.gauge.unqueued(r)
	f.gauge.refused++
	f.gauge.countRefusedWait(r)
	f.after(100*time.Millisecond, func() { f.arrive(r.load, n.index) })
}

// assign sends a request to the upstream that it was granted.
func (f *Fleet) assign(n *node, a scheduler.Assign) {
	r := n.requests[a.Ticket]
	e := f.engineByID[a.Upstream.ID]
	f.dispatch(n, r, e)
}

func (f *Fleet) dispatch(n *node, r *request, e *engine) {
	f.gauge.assigned(r)
	if e.leaving() && f.now.Sub(e.leavingSince) > leavingGrace {
		f.gauge.late++
	}
	if f.excludes(r, e) {
		f.gauge.excluded++
	}
	f.gauge.countMoved(n, e)
	r.engine = e
	r.job = &job{request: r, router: n}
	r.sent = f.now
	f.tokens[r.load.Account].active[r] = struct{}{}
	job := r.job
	f.after(f.delay(n.instance.Region, e.upstream.Region), func() { f.admit(e, job) })
}

// admit hands a job to an upstream.
func (f *Fleet) admit(e *engine, j *job) {
	if e.crashed {
		f.after(time.Second, func() { f.failJob(j) })
		return
	}
	if e.failing {
		f.after(f.delay(e.upstream.Region, j.router.instance.Region), func() { f.failJob(j) })
		return
	}
	if len(e.running) >= e.slots {
		e.waiting = append(e.waiting, j)
		return
	}
	e.running = append(e.running, j)
	j.started = f.now
	f.after(e.duration(j), func() { f.finish(e, j) })
}

// finish ends a job and starts the next one of the upstream.
func (f *Fleet) finish(e *engine, j *job) {
	if e.crashed || j.ended {
		return
	}
	j.ended = true
	e.running = slices.DeleteFunc(e.running, func(other *job) bool { return other == j })
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		f.admit(e, next)
	}
	f.after(f.delay(e.upstream.Region, j.router.instance.Region), func() { f.completeJob(j) })
}

// completeJob notifies the router that an answer is complete.
func (f *Fleet) completeJob(j *job) {
	r := j.request
	acc := f.tokens[r.load.Account]
	if _, ok := acc.active[r]; ok && r.job == j {
		delete(acc.active, r)
		acc.done += float64(r.tokens)
	}
	n := j.router
	if !n.alive || n.requests[r.ticket] != r {
		return // the router stopped; its client resends through another one
	}
	delete(n.requests, r.ticket)
	f.releaseSlot(n, r, redwingshunt.Result{
		Cost: redwingshunt.Cost(r.tokens), Total: f.now.Sub(r.sent), First: j.started.Sub(r.sent) + prefill,
	})
	if r.load.Think == 0 {
		f.arrive(r.load, n.index)
		return
	}
	pause := time.Duration(f.random.ExpFloat64() * float64(r.load.Think))
	f.after(pause, func() { f.arrive(r.load, n.index) })
}

// failJob notifies the router that an upstream was lost and requeues the request.
func (f *Fleet) failJob(j *job) {
	r, n := j.request, j.router
	acc := f.tokens[r.load.Account]
	delete(acc.active, r)
	acc.done += r.charged
	if j.ended || !n.alive || n.requests[r.ticket] != r {
		return
	}
	j.ended = true
	delete(n.requests, r.ticket)
	f.releaseSlot(n, r, redwingshunt.Result{Cost: redwingshunt.Cost(r.charged), Total: f.now.Sub(r.sent), Lost: true})
	r.avoid = []string{string(r.engine.upstream.ID)}
	r.arrived = f.now
	f.enqueue(n, r)
}

func (f *Fleet) releaseSlot(n *node, r *request, result redwingshunt.Result) {
	if !f.usesCores() {
		n.localRouter.release(r, result)
		return
	}
	f.stepQueue(n, scheduler.Released{Ticket: r.ticket, Result: result})
}

// liveCapacity returns the cost per second of the upstreams that accept requests.
func (f *Fleet) liveCapacity() float64 {
	sum := 0.0
	for _, e := range f.engines {
		if e.acceptsRequests() {
			sum += float64(e.slots) * e.rate
		}
	}
	return sum
}

// Leaks returns the number of slots that the owners count as taken although no
// request runs on them.
func (f *Fleet) Leaks() int {
	taken := 0
	for _, n := range f.nodes {
		if !n.alive {
			continue
		}
		for _, owner := range n.ownerSet.Active() {
			taken += owner.Taken()
		}
	}
	for _, e := range f.engines {
		taken -= len(e.running) + len(e.waiting)
	}
	return taken
}

// Kill stops an instance abruptly. Its clients resend through other instances.
func (f *Fleet) Kill(index int) {
	n := f.nodes[index]
	n.alive = false
	for _, ticket := range sortedTickets(n.requests) {
		r := n.requests[ticket]
		if r.job == nil {
			f.gauge.unqueued(r)
		} else {
			acc := f.tokens[r.load.Account]
			delete(acc.active, r)
			acc.done += r.charged
		}
		f.after(200*time.Millisecond, func() { f.arrive(r.load, index) })
	}
	f.after(detectionDelay, f.updateViews)
}

// Restart starts an instance with no state.
func (f *Fleet) Restart(index int) {
	f.boot(f.nodes[index])
	f.after(detectionDelay/4, f.updateViews)
}

// Partition moves the instances of a region to the given side of a partition.
func (f *Fleet) Partition(region redwingshunt.RegionID, side int) {
	for _, n := range f.nodes {
		if n.instance.Region == region {
			n.side = side
		}
	}
	f.after(detectionDelay, f.updateViews)
}

// Crash stops an upstream, which loses all its requests.
func (f *Fleet) Crash(index int) {
	e := f.engines[index]
	f.gauge.capacity()
	e.crashed = true
	for _, j := range slices.Concat(e.running, e.waiting) {
		f.after(time.Second, func() { f.failJob(j) })
	}
	e.running, e.waiting = nil, nil
}

// Fail makes an upstream fail every new request immediately. It continues to
// announce itself.
func (f *Fleet) Fail(index int) {
	f.gauge.capacity()
	f.engines[index].failing = true
}

// Leave makes an upstream announce that it is leaving.
func (f *Fleet) Leave(index int) {
	e := f.engines[index]
	f.gauge.capacity()
	e.leavingSince = f.now
	if n := f.anyNode(e.upstream.Region); n != nil {
		f.relay(n, &wire.Announcement{Id: string(e.upstream.ID), Service: string(service), Region: string(e.upstream.Region)})
	}
}

// Drain makes an instance announce that it is leaving.
func (f *Fleet) Drain(index int) {
	f.nodes[index].instance.Leaving = true
	f.after(detectionDelay/4, f.updateViews)
}

func sortedTickets(m map[uint64]*request) []uint64 {
	list := make([]uint64, 0, len(m))
	for t := range m {
		list = append(list, t)
	}
	slices.Sort(list)
	return list
}
