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

// grantTimeout is the time after which a grant that a router has not seen is
// taken back when its state lacks it.
const grantTimeout = time.Second

// askTimeout is the silence of a router with running work after which it is
// asked; it is longer than any period of full states.
const askTimeout = 12 * time.Second

// silentTimeout is the time after which a grant is taken back although the
// router has not told anything since.
const silentTimeout = 30 * time.Second

// router is what an owner knows of one router.
type router struct {
	id          redwingshunt.InstanceID
	zone        redwingshunt.ZoneID
	incarnation uint64
	sequence    uint64 // highest of its states
	seen        uint64 // highest grant that it has
	heard       time.Time
	last        uint64 // highest grant issued to it
	runs        map[grantKey]*run
	out         *wire.Grants // sent at the end of the step
}

// issue numbers a grant and puts it into the next message to its router.
func (o *Owner) issue(run *run, c balancer.Choice) {
	r := run.router
	r.last++
	o.issued[r.id] = r.last
	run.grant = grantKey{term: o.term, id: r.last}
	r.runs[run.grant] = run
	m := o.message(r)
	if len(m.Grants) == 0 {
		m.First = r.last
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

// report takes the state of a router in.
func (o *Owner) report(now time.Time, from redwingshunt.InstanceID, s *wire.State) {
	if !o.active {
		return
	}
	r := o.routers[from]
	if r != nil && s.Incarnation < r.incarnation {
		return
	}
	if r != nil && s.Incarnation > r.incarnation {
		o.lose(now, from) // it restarted empty
		r = nil
	}
	if r == nil {
		r = &router{id: from, incarnation: s.Incarnation, runs: map[grantKey]*run{}, last: o.issued[from]}
		r.seen = r.last
		o.routers[from] = r
	}
	r.heard = now
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
	o.running(now, r, s, newest)
	o.demand(now, r, s, newest)
}

// acknowledge marks grants that the router has.
func (o *Owner) acknowledge(r *router, s *wire.State) {
	if s.Term != o.term || s.Seen <= r.seen {
		return
	}
	for id := r.seen + 1; id <= min(s.Seen, r.last); id++ {
		run := r.runs[grantKey{term: o.term, id: id}]
		if run == nil || run.unseen == nil {
			continue
		}
		run.unseen.unseen--
		run.unseen.queued = max(0, run.unseen.queued-1)
		run.unseen = nil
		o.refresh(run.account)
	}
	r.seen = s.Seen
}

// release ends a run as the router tells.
func (o *Owner) release(now time.Time, r *router, released *wire.Released, current uint64) {
	run := r.runs[keyOf(released.Id, released.Term, current)]
	if run == nil {
		return
	}
	total := time.Duration(released.TotalMs) * time.Millisecond
	o.charge(run, redwingshunt.Cost(released.Cost))
	o.correct(run, redwingshunt.Cost(released.Cost))
	if !released.Unused {
		o.observe(run, total)
	}
	o.pool.Release(now, run.key, balancer.Ending{
		First:  time.Duration(released.FirstMs) * time.Millisecond,
		Lost:   released.Lost,
		Unused: released.Unused,
	})
	o.end(run)
}

// keyOf returns the name of a grant; a term of zero means the one that the
// router's message is about.
func keyOf(id, term, current uint64) grantKey {
	if term == 0 {
		term = current
	}
	return grantKey{term: term, id: id}
}

// running takes the list of grants in use. Grants that a full list lacks have
// been given back; grants of an earlier owner are adopted.
func (o *Owner) running(now time.Time, r *router, s *wire.State, newest bool) {
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
		lost := run.unseen != nil && now.Sub(run.started) > grantTimeout
		if !listed[key] && (run.unseen == nil || lost) {
			o.pool.Release(now, run.key, balancer.Ending{Unused: true})
			o.end(run)
		}
	}
}

func (r *router) keys() []grantKey {
	return slices.SortedFunc(maps.Keys(r.runs), func(a, b grantKey) int {
		return cmp.Or(cmp.Compare(a.term, b.term), cmp.Compare(a.id, b.id))
	})
}

// adopt takes over a run that another owner granted.
func (o *Owner) adopt(now time.Time, r *router, key grantKey, entry *wire.Running) *run {
	pool := balancer.Key{ID: redwingshunt.UpstreamID(entry.Upstream)}
	if entry.Region != "" && redwingshunt.RegionID(entry.Region) != o.options.Region {
		pool.Lender = redwingshunt.InstanceID(entry.Region) // no entry: counted by its own region
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

// demand takes the queues of a router in.
func (o *Owner) demand(now time.Time, r *router, s *wire.State, newest bool) {
	told := map[redwingshunt.AccountID]bool{}
	for _, entry := range s.Demands {
		a := o.account(redwingshunt.AccountID(entry.Account))
		told[a.id] = true
		o.demandOne(now, a, r, entry, s.Sequence)
	}
	if !s.Full || !newest {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(o.accounts)) {
		a := o.accounts[id]
		for _, d := range a.demands {
			if d.router == r && !told[id] && d.queued > 0 {
				d.queued = 0
				o.refresh(a)
				break
			}
		}
	}
}

func (o *Owner) demandOne(now time.Time, a *account, r *router, entry *wire.Demand, sequence uint64) {
	d := a.demandOf(r)
	if sequence <= d.sequence {
		return
	}
	idle := len(a.runs) == 0 && !a.backlogged() && now.Sub(a.active) >= idleTime
	d.sequence = sequence
	d.queued = int(entry.Queued)
	d.since = now.Add(-time.Duration(entry.AgeMs) * time.Millisecond)
	d.hint = redwingshunt.Cost(entry.Estimate)
	d.avoid = entry.Avoid
	if a.estimate == 0 && d.hint > 0 {
		a.estimate = float64(d.hint)
	}
	if idle && d.waiting() > 0 {
		o.wake(now, a)
	}
	o.refresh(a)
}

// clearDemands forgets what a router has queued.
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

// lose takes a router out. Its running work still loads the upstreams.
func (o *Owner) lose(now time.Time, id redwingshunt.InstanceID) {
	for _, p := range o.order {
		if instance, _ := instanceOf(p.ID); instance == id {
			o.forfeit(p)
		}
	}
	r := o.routers[id]
	if r == nil {
		return
	}
	o.drop(r, func(run *run) { o.pool.Orphan(now, run.key, now.Add(orphanTime)) })
}

// drop forgets a router; free is called for each of its runs.
func (o *Owner) drop(r *router, free func(*run)) {
	for _, key := range r.keys() {
		run := r.runs[key]
		free(run)
		o.end(run)
	}
	for _, id := range slices.Sorted(maps.Keys(o.accounts)) {
		a := o.accounts[id]
		a.dropDemand(r)
		o.refresh(a)
	}
	delete(o.routers, r.id)
}

// reclaim takes back grants that a silent router never saw, and asks silent
// routers what still runs: the message that gave a slot back may be lost.
func (o *Owner) reclaim(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(o.routers)) {
		r := o.routers[id]
		if len(r.runs) > 0 && now.Sub(r.heard) > askTimeout {
			r.heard = now
			o.message(r).Resync = true
		}
		if r.seen < r.last {
			o.reclaimFrom(now, r)
		}
	}
}

func (o *Owner) reclaimFrom(now time.Time, r *router) {
	for id := r.seen + 1; id <= r.last; id++ {
		run := r.runs[grantKey{term: o.term, id: id}]
		if run == nil || run.unseen == nil || now.Sub(run.started) <= silentTimeout {
			continue
		}
		o.pool.Orphan(now, run.key, now.Add(orphanTime))
		o.end(run)
	}
}
