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
	// minHorizon and maxHorizon bound the slot time that is reserved for a
	// running request.
	minHorizon = time.Second
	maxHorizon = 15 * time.Second
	// noUpstreamGrace is the time that upstreams have after an election to
	// announce themselves before requests are refused because there is none.
	noUpstreamGrace = 2 * time.Second
	// newsTime is how long requests wait for the news of an upstream that was just
	// announced in another region before they are refused.
	newsTime = 300 * time.Millisecond
	// refreshPeriod is the time between two recomputations of all reservations.
	refreshPeriod = 200 * time.Millisecond
	// rateWeight is the weight of one sample in the moving average of the rate of
	// a slot; see rateWeightOf.
	rateWeight = 0.05
	// idleTime is the time without work after which an account is idle.
	idleTime = 2 * time.Second
	// guaranteedFraction is the fraction of its fair rate that an account is
	// guaranteed in each region where it has waiting requests.
	guaranteedFraction = 0.75
	// defaultGap is the allowed gap between regions when none is configured.
	defaultGap = time.Second
	// orphanTimeout bounds how long the requests of a lost router keep their slots.
	orphanTimeout = 60 * time.Second
)

// OwnerOptions configures an Owner.
type OwnerOptions struct {
	Self        redwingshunt.InstanceID
	Incarnation redwingshunt.Incarnation
	Region      redwingshunt.RegionID
	Service     redwingshunt.ServiceID
	Cell        int
}

// Owner grants the slots of one service in one region, or in one cell of a large
// region. Until it is elected it is a standby and only keeps the upstreams and the
// ledger up to date.
type Owner struct {
	options     OwnerOptions
	pool        *balancer.Pool
	ledger      *exchanger.Ledger
	accounts    map[redwingshunt.AccountID]*account
	hashes      map[uint32]redwingshunt.AccountID
	ready       accountHeap
	routers     map[redwingshunt.InstanceID]*router
	issued      map[redwingshunt.InstanceID]uint64 // highest grant ID of this term
	outbox      []*router                          // routers that this step sends a message to
	peers       map[redwingshunt.InstanceID]*peer
	sortedPeers []*peer // all peers, ordered by ID

	now       time.Time // of the current step
	active    bool
	term      uint64
	electedAt time.Time
	// waitingSince is when requests began to wait while no region has an upstream.
	waitingSince time.Time
	settledAt    time.Time // no grants before

	gap         time.Duration
	limited     bool          // an account may not use the upstreams of all regions
	meanShare   float64       // of the configured accounts
	rate        float64       // typical cost per second of one slot; zero when unknown
	longestRun  time.Duration // typical duration of the longest requests of this region
	horizon     time.Duration // of reservations
	waiting     int           // requests of all accounts
	refreshedAt time.Time
	actions     []Action
}

// NewOwner returns an owner that has not been elected.
func NewOwner(options OwnerOptions) *Owner {
	origin := exchanger.Origin{Instance: ownerName(options.Self, options.Cell), Incarnation: options.Incarnation}
	return &Owner{
		options:   options,
		pool:      balancer.New(rand.New(rand.NewPCG(uint64(options.Incarnation), uint64(options.Cell)))),
		ledger:    exchanger.NewLedger(origin),
		accounts:  map[redwingshunt.AccountID]*account{},
		hashes:    map[uint32]redwingshunt.AccountID{},
		routers:   map[redwingshunt.InstanceID]*router{},
		issued:    map[redwingshunt.InstanceID]uint64{},
		peers:     map[redwingshunt.InstanceID]*peer{},
		gap:       defaultGap,
		horizon:   minHorizon,
		meanShare: 1,
	}
}

// Step processes an event and returns the resulting actions. The slice is valid
// until the next call.
func (o *Owner) Step(now time.Time, e Event) []Action {
	o.actions = o.actions[:0]
	o.now = now
	o.handle(now, e)
	if o.active && !now.Before(o.settledAt) {
		o.dispatch(now)
	}
	o.refuseOutside(now)
	o.refuseEvacuated(now)
	o.flush()
	o.exchange(now)
	return o.actions
}

func (o *Owner) handle(now time.Time, e Event) {
	switch e := e.(type) {
	case Configured:
		o.configure(now, e)
	case Elected:
		o.elect(now, e)
	case Demoted:
		o.demote(now)
	case Announced:
		o.pool.Announce(now, e.Upstream, e.Load, e.TTL)
	case UpstreamLeft:
		o.pool.Leave(now, e.ID)
	case StateReceived:
		o.handleState(now, e.From, e.State)
	case InstanceLost:
		o.removeInstance(now, e.Instance)
	case PeersChanged:
		o.setPeers(e.Peers)
	case LedgerReceived:
		o.mergeLedger(now, e.From, e.Ledger)
	case Ticked:
		o.tick(now)
	}
}

func (o *Owner) configure(now time.Time, e Configured) {
	o.pool.Evacuate(now, e.Evacuated)
	o.gap = cmp.Or(e.Gap, defaultGap)
	clear(o.hashes)
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(e.Accounts)) {
		o.hashes[exchanger.Hash(id)] = id
		a := o.account(id)
		a.rule = e.Accounts[id]
		sum += float64(max(1, a.rule.Share))
		o.ready.update(a)
	}
	o.meanShare = 1
	if len(e.Accounts) > 0 {
		o.meanShare = sum / float64(len(e.Accounts))
	}
	for _, id := range slices.Sorted(maps.Keys(o.accounts)) {
		if _, ok := e.Accounts[id]; !ok {
			o.forget(o.accounts[id])
		}
	}
	o.limited = false
	for _, a := range o.accounts {
		o.limited = o.limited || a.rule.Regions.Limited()
	}
}

// forget removes an account that is no longer configured, unless it has work.
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
	o.electedAt = now
	o.settledAt = now.Add(e.Settle)
	for _, p := range o.sortedPeers {
		p.requestSnapshot = true
	}
}

func (o *Owner) demote(now time.Time) {
	o.active = false
	for _, id := range slices.Sorted(maps.Keys(o.routers)) {
		o.removeRouter(o.routers[id], func(r *run) { o.pool.Release(now, r.key, balancer.Ending{Unused: true}) })
	}
	for _, p := range o.sortedPeers {
		o.endLoans(p)
	}
}

// account returns the state of an account and creates it if it is missing.
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

// refresh recomputes the backlog of an account and its place in the heap.
func (o *Owner) refresh(a *account) {
	a.orderKey = o.ledger.Virtual(a.id) + a.reserved + a.peerReserved
	before := a.waiting
	a.recount()
	o.waiting += a.waiting - before
	if before == 0 && a.waiting > 0 {
		a.backlogSince = o.now
	}
	o.ready.update(a)
}

// dispatch grants free slots to the accounts with the lowest virtual time.
func (o *Owner) dispatch(now time.Time) {
	o.lend(now)
	var skipped []*account
	for o.pool.Free() > 0 && len(o.ready) > 0 {
		a := o.ready[0]
		if o.grant(now, a) {
			continue
		}
		// No free upstream suits the oldest request of this account; try the
		// other accounts.
		skipped = append(skipped, a)
		o.ready.remove(a)
	}
	for _, a := range skipped {
		o.ready.update(a)
	}
}

// grant grants one slot to an account. It reports false when no free upstream
// suits the oldest request of the account.
func (o *Owner) grant(now time.Time, a *account) bool {
	d := a.oldest()
	choice, ok := o.pool.Pick(now, d.router.zone, d.avoid, a.rule.Regions)
	if !ok {
		return false
	}
	o.pool.Acquire(now, choice.Key)
	o.noteBorrowed(now, choice.Key.Lender)
	r := &run{account: a, router: d.router, key: choice.Key, started: now, unacked: d}
	o.issue(r, choice)
	a.runs[r] = struct{}{}
	d.unacked++
	d.advance(now)
	a.scheduleNextGrant(now)
	o.reserve(now, r)
	o.refresh(a)
	return true
}

// charge raises the service that a running request has received to total.
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

// refund turns an overcharge into a credit. Counters of the ledger never decrease,
// so the credit is offset against later charges.
func (o *Owner) refund(r *run, total redwingshunt.Cost) {
	if total < r.cost {
		r.account.credit += exchanger.UnitsOf(r.cost-total, r.account.rule.Share)
		r.cost = total
	}
}

// endRun removes a run and its reservation. The caller releases the slot.
func (o *Owner) endRun(r *run) {
	a := r.account
	a.reserved -= r.reserve
	delete(a.runs, r)
	a.lastEnd = o.now
	delete(r.router.runs, r.grant)
	if r.unacked != nil {
		r.unacked.unacked--
		r.unacked = nil
	}
	o.refresh(a)
}

// observe updates the average rates and costs from a finished request.
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
	if now.Sub(o.refreshedAt) < refreshPeriod {
		return
	}
	o.reclaim(now)
	o.refreshedAt = now
	o.updateHorizon()
	backloggedShares := o.backloggedShares()
	for _, a := range o.accounts {
		if len(a.runs) == 0 && a.waiting == 0 {
			continue
		}
		o.extrapolate(now, a)
		for r := range a.runs {
			o.reserve(now, r)
		}
		o.guarantee(now, a, backloggedShares)
		o.refresh(a)
	}
	o.limitLag(now)
	o.refuseWaiting(now)
}

// hasUpstream reports whether any region has an upstream, as far as known.
func (o *Owner) hasUpstream() bool {
	return o.pool.Alive() || slices.ContainsFunc(o.sortedPeers, func(p *peer) bool { return p.slots > 0 })
}

// refuseWaiting tells routers with waiting requests that no upstream is alive in
// any region.
func (o *Owner) refuseWaiting(now time.Time) {
	if !o.active || o.waiting == 0 || now.Sub(o.electedAt) < noUpstreamGrace || o.hasUpstream() {
		o.waitingSince = time.Time{}
		return
	}
	if o.waitingSince.IsZero() {
		o.waitingSince = now
	}
	if now.Sub(o.waitingSince) < newsTime {
		return
	}
	o.refuseAll()
}

// refuseAll tells the routers with waiting requests to refuse them.
func (o *Owner) refuseAll() {
	for _, id := range slices.Sorted(maps.Keys(o.routers)) {
		r := o.routers[id]
		if o.clearDemands(r) {
			o.message(r).Empty = true
		}
	}
}

// flush adds the messages of this step to routers to the actions.
func (o *Owner) flush() {
	for _, r := range o.outbox {
		if r.outgoing == nil {
			continue
		}
		o.actions = append(o.actions, SendGrants{To: r.id, Grants: r.outgoing})
		r.outgoing = nil
	}
	o.outbox = o.outbox[:0]
}

// message returns the message that is sent to a router at the end of the step,
// and creates it if it is missing.
func (o *Owner) message(r *router) *wire.Grants {
	if r.outgoing == nil {
		r.outgoing = &wire.Grants{
			Service: string(o.options.Service), Term: o.term, Incarnation: r.incarnation, Cell: uint32(o.options.Cell),
		}
		o.outbox = append(o.outbox, r)
	}
	return r.outgoing
}
