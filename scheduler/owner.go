package scheduler

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/balancer"
	"github.com/redwingshunt/redwingshunt/exchanger"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// leastHorizon and mostHorizon bound the time of a slot that a running
	// request reserves.
	leastHorizon = time.Second
	mostHorizon  = 15 * time.Second
	// emptyGrace is the time after an election in which upstreams may announce
	// themselves before requests are refused for want of one.
	emptyGrace = 2 * time.Second
	// refreshPeriod is the time between two computations of all reservations.
	refreshPeriod = 200 * time.Millisecond
	// rateWeight is the weight of one request in the rate of a slot.
	rateWeight = 0.05
	// idleTime is the time without work after which an account counts as idle.
	idleTime = 2 * time.Second
	// leastPart is the part of its fair rate that an account gets in each region
	// where it has work waiting.
	leastPart = 0.75
	// defaultGap is the gap between regions when none is configured.
	defaultGap = time.Second
	// orphanTime bounds how long the work of a lost router keeps its slots.
	orphanTime = 60 * time.Second
)

// OwnerOptions describes an owner.
type OwnerOptions struct {
	Self        redwingshunt.InstanceID
	Incarnation redwingshunt.Incarnation
	Region      redwingshunt.RegionID
	Service     redwingshunt.ServiceID
	Cell        int
}

// Owner grants the slots of one service in one region. Before it is elected it
// only keeps upstreams and ledger, as a standby.
type Owner struct {
	options  OwnerOptions
	pool     *balancer.Pool
	ledger   *exchanger.Ledger
	accounts map[redwingshunt.AccountID]*account
	hashes   map[uint32]redwingshunt.AccountID
	ready    accountHeap
	routers  map[redwingshunt.InstanceID]*router
	issued   map[redwingshunt.InstanceID]uint64 // highest grant of this term
	touched  []*router                          // with a message to send
	peers    map[redwingshunt.InstanceID]*peer
	order    []*peer // peers, ordered by ID

	now     time.Time // of the step
	active  bool
	term    uint64
	elected time.Time
	settled time.Time // no grant before

	gap     time.Duration
	share   float64       // mean share of the configured accounts
	rate    float64       // cost that one slot gives a second; zero when unknown
	longest time.Duration // usual time of the longest requests of this region
	horizon time.Duration // of reservations
	waiting int           // requests of all accounts
	fresh   time.Time
	actions []Action
}

// NewOwner returns an owner that has not been elected.
func NewOwner(options OwnerOptions) *Owner {
	origin := exchanger.Origin{Instance: ownerName(options.Self, options.Cell), Incarnation: options.Incarnation}
	return &Owner{
		options:  options,
		pool:     balancer.New(rand.New(rand.NewPCG(uint64(options.Incarnation), uint64(options.Cell)))),
		ledger:   exchanger.NewLedger(origin),
		accounts: map[redwingshunt.AccountID]*account{},
		hashes:   map[uint32]redwingshunt.AccountID{},
		routers:  map[redwingshunt.InstanceID]*router{},
		issued:   map[redwingshunt.InstanceID]uint64{},
		peers:    map[redwingshunt.InstanceID]*peer{},
		gap:      defaultGap,
		horizon:  leastHorizon,
		share:    1,
	}
}

// Step takes an event in and returns what is to be done. The actions are valid
// until the next call.
func (o *Owner) Step(now time.Time, e Event) []Action {
	o.actions = o.actions[:0]
	o.now = now
	o.take(now, e)
	if o.active && !now.Before(o.settled) {
		o.dispatch(now)
	}
	o.flush()
	o.exchange(now)
	return o.actions
}

func (o *Owner) take(now time.Time, e Event) {
	switch e := e.(type) {
	case Configured:
		o.configure(e)
	case Elected:
		o.elect(now, e)
	case Demoted:
		o.demote(now)
	case Announced:
		o.pool.Announce(now, e.Upstream, e.Load, e.TTL)
	case Left:
		o.pool.Leave(now, e.ID)
	case Reported:
		o.report(now, e.From, e.State)
	case Gone:
		o.lose(now, e.Instance)
	case Peered:
		o.peered(e.Peers)
	case Exchanged:
		o.merge(now, e.From, e.Ledger)
	case Ticked:
		o.tick(now)
	}
}

func (o *Owner) configure(e Configured) {
	o.gap = cmp.Or(e.Gap, defaultGap)
	clear(o.hashes)
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(e.Accounts)) {
		o.hashes[exchanger.Hash(id)] = id
		a := o.account(id)
		a.rule = e.Accounts[id]
		sum += float64(max(1, a.rule.Share))
		o.ready.place(a)
	}
	o.share = 1
	if len(e.Accounts) > 0 {
		o.share = sum / float64(len(e.Accounts))
	}
	for _, id := range slices.Sorted(maps.Keys(o.accounts)) {
		if _, ok := e.Accounts[id]; !ok {
			o.forget(o.accounts[id])
		}
	}
}

// forget drops an account that is not configured and has no work.
func (o *Owner) forget(a *account) {
	if a.waiting > 0 || len(a.runs) > 0 {
		return
	}
	delete(o.accounts, a.id)
	o.ledger.Forget(a.id)
}

func (o *Owner) elect(now time.Time, e Elected) {
	o.active = true
	o.term = e.Term
	clear(o.issued)
	o.elected = now
	o.settled = now.Add(e.Settle)
	for _, p := range o.order {
		p.hello = true
	}
}

func (o *Owner) demote(now time.Time) {
	o.active = false
	for _, id := range slices.Sorted(maps.Keys(o.routers)) {
		o.drop(o.routers[id], func(r *run) { o.pool.Release(now, r.key, balancer.Ending{Unused: true}) })
	}
	for _, p := range o.order {
		o.forfeit(p)
	}
}

// account returns the state of an account, made when missing.
func (o *Owner) account(id redwingshunt.AccountID) *account {
	a := o.accounts[id]
	if a == nil {
		a = &account{
			id: id, rule: AccountRule{Share: 1}, index: -1,
			runs: map[*run]struct{}{}, remote: map[redwingshunt.InstanceID]remote{},
		}
		o.accounts[id] = a
		o.hashes[exchanger.Hash(id)] = id
	}
	return a
}

// refresh computes the place of an account anew.
func (o *Owner) refresh(a *account) {
	a.key = o.ledger.Virtual(a.id) + a.reserved + a.away
	before := a.waiting
	a.recount()
	o.waiting += a.waiting - before
	if before == 0 && a.waiting > 0 {
		a.since = o.now
	}
	o.ready.place(a)
}

// dispatch grants free slots to the accounts with the least virtual time.
func (o *Owner) dispatch(now time.Time) {
	o.lend(now)
	var skipped []*account
	for o.pool.Free() > 0 && len(o.ready) > 0 {
		a := o.ready[0]
		if o.grant(now, a) {
			continue
		}
		// No upstream fits the head of this account; the others go on.
		skipped = append(skipped, a)
		o.ready.remove(a)
	}
	for _, a := range skipped {
		o.ready.place(a)
	}
}

// grant gives one slot to an account.
func (o *Owner) grant(now time.Time, a *account) bool {
	d := a.oldest()
	choice, ok := o.pool.Pick(now, d.router.zone, d.avoid)
	if !ok {
		return false
	}
	o.pool.Acquire(now, choice.Key)
	r := &run{account: a, router: d.router, key: choice.Key, started: now, unseen: d}
	o.issue(r, choice)
	a.runs[r] = struct{}{}
	d.unseen++
	d.advance(now)
	a.served(now)
	o.reserve(now, r)
	o.refresh(a)
	return true
}

// charge counts service that a running request has received.
func (o *Owner) charge(r *run, total redwingshunt.Cost) {
	if total <= r.cost {
		return
	}
	a := r.account
	u := exchanger.UnitsOf(total-r.cost, a.rule.Share)
	used := min(u, a.credit)
	a.credit -= used
	o.ledger.Charge(a.id, u-used)
	r.cost = total
}

// correct turns a cost that was charged in excess into a credit. Counters only
// grow, so the credit is used up by later charges.
func (o *Owner) correct(r *run, total redwingshunt.Cost) {
	if total < r.cost {
		r.account.credit += exchanger.UnitsOf(r.cost-total, r.account.rule.Share)
		r.cost = total
	}
}

// end gives the slot of a run back.
func (o *Owner) end(r *run) {
	a := r.account
	a.reserved -= r.reserve
	delete(a.runs, r)
	a.active = o.now
	delete(r.router.runs, r.grant)
	if r.unseen != nil {
		r.unseen.unseen--
		r.unseen = nil
	}
	o.refresh(a)
}

// observe learns from a finished request.
func (o *Owner) observe(r *run, total time.Duration) {
	if r.cost <= 0 || total <= 0 {
		return
	}
	r.account.observe(r.cost, total)
	rate := float64(r.cost) / total.Seconds()
	if o.rate == 0 {
		o.rate = rate
	}
	o.rate += rateWeightOf(total) * (rate - o.rate)
}

func (o *Owner) tick(now time.Time) {
	o.pool.Expire(now)
	o.ledger.Fold(now)
	if now.Sub(o.fresh) < refreshPeriod {
		return
	}
	o.reclaim(now)
	o.fresh = now
	o.look()
	weights := o.weights()
	for _, a := range o.accounts {
		if len(a.runs) == 0 && a.waiting == 0 {
			continue
		}
		o.extrapolate(now, a)
		for r := range a.runs {
			o.reserve(now, r)
		}
		o.pace(now, a, weights)
		o.refresh(a)
	}
	o.clamp(now)
	o.refuse(now)
}

// refuse tells routers that no upstream is alive anywhere.
func (o *Owner) refuse(now time.Time) {
	if !o.active || o.waiting == 0 || now.Sub(o.elected) < emptyGrace || o.pool.Alive() {
		return
	}
	for _, p := range o.order {
		if p.slots > 0 {
			return
		}
	}
	for _, id := range slices.Sorted(maps.Keys(o.routers)) {
		r := o.routers[id]
		if o.clearDemands(r) {
			o.message(r).Empty = true
		}
	}
}

// flush sends the grants that were issued in this step.
func (o *Owner) flush() {
	for _, r := range o.touched {
		if r.out == nil {
			continue
		}
		o.actions = append(o.actions, SendGrants{To: r.id, Grants: r.out})
		r.out = nil
	}
	o.touched = o.touched[:0]
}

// message returns the message to a router that is sent at the end of the step.
func (o *Owner) message(r *router) *wire.Grants {
	if r.out == nil {
		r.out = &wire.Grants{
			Service: string(o.options.Service), Term: o.term, Incarnation: r.incarnation, Cell: uint32(o.options.Cell),
		}
		o.touched = append(o.touched, r)
	}
	return r.out
}
