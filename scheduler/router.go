package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/balancer"
	"github.com/redwingshunt/redwingshunt/wire"
)

// grantTimeout is the time after which an unacknowledged grant is reclaimed when
// the full state of its router does not list it.
const grantTimeout = time.Second

// resyncTimeout is the time without a message after which a router with running
// requests is asked for a full state. It is longer than any period of full states.
const resyncTimeout = 12 * time.Second

// unackedGrantTimeout is the time after which an unacknowledged grant is reclaimed
// although its router has not reported anything since.
const unackedGrantTimeout = 30 * time.Second

// router is an owner's state of one router.
type router struct {
	id          redwingshunt.InstanceID
	zone        redwingshunt.ZoneID
	incarnation uint64
	sequence    uint64 // highest sequence of its states
	seen        uint64 // highest grant ID that it has acknowledged
	lastHeard   time.Time
	lastIssued  uint64 // highest grant ID issued to it
	runs        map[grantKey]*run
	outgoing    *wire.Grants // message to send at the end of the step
}

// issue assigns an ID to a grant and adds it to the next message to its router.
func (o *Owner) issue(run *run, c balancer.Choice) {
	r := run.router
	r.lastIssued++
	o.issued[r.id] = r.lastIssued
	run.grant = grantKey{term: o.term, id: r.lastIssued}
	r.runs[run.grant] = run
	m := o.message(r)
	if len(m.Grants) == 0 {
		m.First = r.lastIssued
	}
	address, _ := c.Upstream.Address.MarshalBinary()
	granted := &wire.Granted{
		Account: string(run.account.id), Upstream: string(c.Upstream.ID),
		Address: address, Zone: string(c.Upstream.Zone), Only: c.Only,
	}
	if c.Upstream.Region != o.options.Region {
		granted.Region = string(c.Upstream.Region)
	}
	m.Grants = append(m.Grants, granted)
}

// handleState processes the state message of a router.
func (o *Owner) handleState(now time.Time, from redwingshunt.InstanceID, s *wire.State) {
	if !o.active {
		return
	}
	r := o.routers[from]
	if r != nil && s.Incarnation < r.incarnation {
		return
	}
	if r != nil && s.Incarnation > r.incarnation {
		o.removeInstance(now, from) // it has restarted without state
		r = nil
	}
	if r == nil {
		r = &router{id: from, incarnation: s.Incarnation, runs: map[grantKey]*run{}, lastIssued: o.issued[from]}
		r.seen = r.lastIssued
		o.routers[from] = r
	}
	r.lastHeard = now
	if s.Full {
		r.zone = redwingshunt.ZoneID(s.Zone)
	}
	o.acknowledge(r, s)
	for _, released := range s.Released {
		o.release(now, r, released, s.Term)
	}
	newest := s.Sequence > r.sequence
	if newest {
		r.sequence = s.Sequence
	}
	o.mergeRunning(now, r, s, newest)
	o.mergeDemands(now, r, s, newest)
}

// acknowledge marks the grants that the router has received.
func (o *Owner) acknowledge(r *router, s *wire.State) {
	if s.Term != o.term || s.Seen <= r.seen {
		return
	}
	for id := r.seen + 1; id <= min(s.Seen, r.lastIssued); id++ {
		run := r.runs[grantKey{term: o.term, id: id}]
		if run == nil || run.unacked == nil {
			continue
		}
		run.unacked.unacked--
		run.unacked.queued = max(0, run.unacked.queued-1)
		run.unacked = nil
		o.refresh(run.account)
	}
	r.seen = s.Seen
}

// release ends a run that the router has released.
func (o *Owner) release(now time.Time, r *router, released *wire.Released, current uint64) {
	run := r.runs[keyOf(released.Id, released.Term, current)]
	if run == nil {
		return
	}
	total := time.Duration(released.TotalMs) * time.Millisecond
	o.charge(run, redwingshunt.Cost(released.Cost))
	o.refund(run, redwingshunt.Cost(released.Cost))
	if !released.Unused {
		o.observe(run, total)
	}
	o.pool.Release(now, run.key, balancer.Ending{
		First:  time.Duration(released.FirstMs) * time.Millisecond,
		Lost:   released.Lost,
		Unused: released.Unused,
	})
	o.endRun(run)
}

// keyOf returns the key of a grant. A term of zero stands for the current term of
// the router's message.
func keyOf(id, term, current uint64) grantKey {
	if term == 0 {
		term = current
	}
	return grantKey{term: term, id: id}
}

// mergeRunning processes the grants in use. Grants that a full state does not list
// have been released; grants of an earlier owner are adopted.
func (o *Owner) mergeRunning(now time.Time, r *router, s *wire.State, newest bool) {
	listed := map[grantKey]bool{}
	for _, entry := range s.Running {
		key := keyOf(entry.Id, entry.Term, s.Term)
		listed[key] = true
		run := r.runs[key]
		if run == nil && newest && entry.Upstream != "" {
			run = o.adopt(now, r, key, entry)
		}
		if run == nil && newest {
			o.message(r).Resync = true
		}
		if run != nil {
			if entry.Cost > int64(run.cost) {
				run.account.progress(redwingshunt.Cost(entry.Cost), now.Sub(run.started))
			}
			o.charge(run, redwingshunt.Cost(entry.Cost))
			o.reserve(now, run)
			o.refresh(run.account)
		}
	}
	if !s.Full || !newest {
		return
	}
	for _, key := range r.keys() {
		run := r.runs[key]
		lost := run.unacked != nil && now.Sub(run.started) > grantTimeout
		if !listed[key] && (run.unacked == nil || lost) {
			o.pool.Release(now, run.key, balancer.Ending{Unused: true})
			o.endRun(run)
		}
	}
}

func (r *router) keys() []grantKey {
	return slices.SortedFunc(maps.Keys(r.runs), func(a, b grantKey) int {
		return cmp.Or(cmp.Compare(a.term, b.term), cmp.Compare(a.id, b.id))
	})
}

// adopt adds a run that another owner granted.
func (o *Owner) adopt(now time.Time, r *router, key grantKey, entry *wire.Running) *run {
	pool := balancer.Key{ID: redwingshunt.UpstreamID(entry.Upstream)}
	if entry.Region != "" && redwingshunt.RegionID(entry.Region) != o.options.Region {
		pool.Lender = redwingshunt.InstanceID(entry.Region) // not in the pool: counted by its own region
	}
	a := o.account(redwingshunt.AccountID(entry.Account))
	run := &run{account: a, router: r, key: pool, grant: key, started: now, cost: redwingshunt.Cost(entry.Cost)}
	a.runs[run] = struct{}{}
	r.runs[key] = run
	if !o.pool.Adopt(now, pool) {
		run.key = balancer.Key{} // no slot is counted for it
	}
	return run
}

// mergeDemands processes the queues of a router. A full state lists all queues that
// are not empty.
func (o *Owner) mergeDemands(now time.Time, r *router, s *wire.State, newest bool) {
	listed := map[redwingshunt.AccountID]bool{}
	for _, entry := range s.Demands {
		a := o.account(redwingshunt.AccountID(entry.Account))
		listed[a.id] = true
		o.mergeDemand(now, a, r, entry, s.Sequence)
	}
	if !s.Full || !newest {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(o.accounts)) {
		a := o.accounts[id]
		for _, d := range a.demands {
			if d.router == r && !listed[id] && d.queued > 0 {
				d.queued = 0
				o.refresh(a)
				break
			}
		}
	}
}

func (o *Owner) mergeDemand(now time.Time, a *account, r *router, entry *wire.Demand, sequence uint64) {
	d := a.demandOf(r)
	if sequence <= d.sequence {
		return
	}
	idle := len(a.runs) == 0 && !a.backlogged() && now.Sub(a.lastEnd) >= idleTime
	d.sequence = sequence
	d.queued = int(entry.Queued)
	d.oldestSince = now.Add(-time.Duration(entry.AgeMs) * time.Millisecond)
	d.costHint = redwingshunt.Cost(entry.Estimate)
	d.avoid = entry.Avoid
	if a.estimate == 0 && d.costHint > 0 {
		a.estimate = float64(d.costHint)
	}
	if idle && d.waiting() > 0 {
		o.liftIdle(now, a)
	}
	o.refresh(a)
}

// clearDemands clears the queues of a router and reports whether any was not empty.
func (o *Owner) clearDemands(r *router) bool {
	cleared := false
	for _, id := range slices.Sorted(maps.Keys(o.accounts)) {
		a := o.accounts[id]
		for _, d := range a.demands {
			if d.router == r && d.queued > 0 {
				d.queued = 0
				cleared = true
			}
		}
		o.refresh(a)
	}
	return cleared
}

// removeInstance handles the loss of an instance, as a peer and as a router. Its
// running requests still occupy their upstreams.
func (o *Owner) removeInstance(now time.Time, id redwingshunt.InstanceID) {
	for _, p := range o.sortedPeers {
		if instance, _ := instanceOf(p.ID); instance == id {
			o.endLoans(p)
		}
	}
	r := o.routers[id]
	if r == nil {
		return
	}
	o.removeRouter(r, func(run *run) { o.pool.Orphan(now, run.key, now.Add(orphanTimeout)) })
}

// removeRouter removes a router and calls free for each of its runs.
func (o *Owner) removeRouter(r *router, free func(*run)) {
	for _, key := range r.keys() {
		run := r.runs[key]
		free(run)
		o.endRun(run)
	}
	for _, id := range slices.Sorted(maps.Keys(o.accounts)) {
		a := o.accounts[id]
		a.dropDemand(r)
		o.refresh(a)
	}
	delete(o.routers, r.id)
}

// reclaim reclaims grants that a silent router has never acknowledged. It asks
// silent routers for their running requests, since the message that released a
// slot may have been lost.
func (o *Owner) reclaim(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(o.routers)) {
		r := o.routers[id]
		if len(r.runs) > 0 && now.Sub(r.lastHeard) > resyncTimeout {
			r.lastHeard = now
			o.message(r).Resync = true
		}
		if r.seen < r.lastIssued {
			o.reclaimFrom(now, r)
		}
	}
}

func (o *Owner) reclaimFrom(now time.Time, r *router) {
	for id := r.seen + 1; id <= r.lastIssued; id++ {
		run := r.runs[grantKey{term: o.term, id: id}]
		if run == nil || run.unacked == nil || now.Sub(run.started) <= unackedGrantTimeout {
			continue
		}
		o.pool.Orphan(now, run.key, now.Add(orphanTimeout))
		o.endRun(run)
	}
}
