package scheduler

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/exchanger"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// exchangePeriod is the minimum time between two ledgers to one peer.
	exchangePeriod = time.Second
	// moveDivisor bounds the number of slots that move between borrowers at once:
	// all slots divided by moveDivisor, plus one.
	moveDivisor = 32
	// loanExchangePeriod is the minimum time between two ledgers when loans change.
	loanExchangePeriod = 250 * time.Millisecond
	// exchangeRefreshPeriod is the time after which smaller changes are sent too,
	// down to gap/levelDivisor.
	exchangeRefreshPeriod = 5 * time.Second
	// catchUpTime is the time in which a change of the loans closes the lag that
	// exceeds the allowed gap.
	catchUpTime = 4 * time.Second
	// lastingBacklogAge is the age from which a backlog counts for loans. Younger
	// requests wait for the next free slot.
	lastingBacklogAge = time.Second
	// sendDivisor and entryDivisor divide the allowed gap into thresholds: a ledger
	// is sent when an account has changed by gap/sendDivisor, and includes the
	// accounts that have changed by gap/entryDivisor.
	sendDivisor  = 4
	entryDivisor = 16
	// levelDivisor divides the allowed gap into the steps in which virtual times
	// are sent.
	levelDivisor = 64
	// horizonStep is the step in which the horizon is sent.
	horizonStep = 100 * time.Millisecond
	// reservedLoanTime is the time for which a region without upstreams keeps
	// borrowed slots that it does not use.
	reservedLoanTime = 15 * time.Second
	// maxAskedSlots bounds the number of slots that are asked of one peer.
	maxAskedSlots = 256
)

// peer is an owner's state of one of its peers.
type peer struct {
	Peer
	addedAt         time.Time
	incarnation     uint64
	received        uint64 // highest sequence received from the peer
	sequence        uint64 // of the last ledger sent to the peer
	acked           uint64 // highest sequence that the peer has acknowledged
	sentAt          time.Time
	checkedAt       time.Time
	full            time.Time // time of the last full ledger
	requestSnapshot bool      // request a snapshot
	sendSnapshot    bool      // send a snapshot
	backlogged      bool
	level           exchanger.Units // lowest virtual time with a backlog there
	free            int
	slots           int
	horizon         time.Duration
	deficit         int // slots guaranteed to its accounts beyond its own
	ask             int // slots that the peer asks of this owner
	lastAsk         int // slots last asked of the peer
	peakUsed        int // largest number of borrowed slots used recently
	peakAt          time.Time
	reportedHeld    int     // borrowed slots in the last ledger to the peer
	summary         summary // of the last ledger to the peer

	lent         map[redwingshunt.UpstreamID]int // slots that the peer may use
	held         map[redwingshunt.UpstreamID]int // slots that the peer may be using
	target       int                             // number of slots that the peer should have
	targetSetAt  time.Time                       // when the target was last set
	lentSequence uint64                          // sequence of the ledger with the last change of lent
	lentChanged  bool                            // lent has changed since the last ledger
	confirmLoans bool                            // confirm a change of the peer's loans
	accounts     map[redwingshunt.AccountID]accountEntry
}

// summary is the state of the whole service in a ledger.
type summary struct {
	backlogged bool
	free       bool
	slots      int
	level      exchanger.Units
}

// accountEntry is the state of an account in the last ledger to a peer.
type accountEntry struct {
	units   exchanger.Units // service plus reservations
	pending exchanger.Units
	floor   exchanger.Units
	queued  bool
	idle    bool // no request was running
}

func newPeer(now time.Time, p Peer) *peer {
	return &peer{
		Peer: p, addedAt: now, requestSnapshot: true,
		lent:     map[redwingshunt.UpstreamID]int{},
		held:     map[redwingshunt.UpstreamID]int{},
		accounts: map[redwingshunt.AccountID]accountEntry{},
	}
}

// setPeers replaces the set of peers.
func (o *Owner) setPeers(peers []Peer) {
	keep := map[redwingshunt.InstanceID]bool{}
	for _, p := range peers {
		keep[p.ID] = true
		known := o.peers[p.ID]
		if known == nil {
			o.peers[p.ID] = newPeer(o.now, p)
			continue
		}
		known.Peer = p
	}
	for _, p := range o.sortedPeers {
		if !keep[p.ID] {
			o.endLoans(p)
			delete(o.peers, p.ID)
		}
	}
	o.sortedPeers = o.sortedPeers[:0]
	for _, p := range o.peers {
		o.sortedPeers = append(o.sortedPeers, p)
	}
	slices.SortFunc(o.sortedPeers, func(a, b *peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// endLoans ends all loans from and to a peer. Requests of a lost borrower still
// show in the load reports of the upstreams.
func (o *Owner) endLoans(p *peer) {
	for id := range p.held {
		o.pool.Lend(p.ID, id, 0)
	}
	clear(p.lent)
	clear(p.held)
	for _, v := range o.pool.Views() {
		if v.Key.Lender == p.ID {
			o.pool.Borrow(o.now, p.ID, v.Upstream, 0)
		}
	}
	p.backlogged, p.free, p.ask, p.deficit = false, 0, 0, 0
	for _, a := range o.accounts {
		delete(a.remote, p.ID)
	}
	p.summary = summary{}
}

// mergeLedger processes a ledger from a peer.
func (o *Owner) mergeLedger(now time.Time, instance redwingshunt.InstanceID, m *wire.Ledger) {
	from := ownerName(instance, int(m.Cell))
	p := o.peers[from]
	origin := exchanger.Origin{Instance: from, Incarnation: redwingshunt.Incarnation(m.Incarnation)}
	o.mergeCounters(now, origin, p, m)
	if p == nil || m.Incarnation < p.incarnation {
		return
	}
	if m.Incarnation > p.incarnation {
		o.resetPeer(p, m.Incarnation)
	}
	p.sendSnapshot = p.sendSnapshot || m.Hello
	if m.Sequence <= p.received {
		return
	}
	p.received = m.Sequence
	p.acked = max(p.acked, m.Seen)
	p.backlogged = m.Level > 0
	p.level = exchanger.Units(max(1, m.Level)-1) << m.Shift
	p.free, p.slots = int(m.Free), int(m.Slots)
	p.horizon = time.Duration(m.Horizon) * horizonStep
	if !o.active || p.Standby {
		return
	}
	p.ask, p.deficit = int(m.Ask), int(m.Due)
	o.mergeHeld(p, m)
	if m.Loans {
		o.mergeLent(p, m)
	}
}

// resetPeer discards the state shared with an earlier incarnation of a peer.
func (o *Owner) resetPeer(p *peer, incarnation uint64) {
	if p.incarnation > 0 {
		o.endLoans(p)
	}
	p.incarnation = incarnation
	p.received, p.acked = 0, 0
	clear(p.accounts)
}

// mergeCounters merges service counters and levels. It is idempotent and accepts
// ledgers in any order.
func (o *Owner) mergeCounters(now time.Time, origin exchanger.Origin, p *peer, m *wire.Ledger) {
	for i, hash := range m.Accounts {
		id, ok := o.hashes[hash]
		if !ok {
			continue
		}
		o.ledger.Merge(now, origin, id, exchanger.Units(at(m.Units, i))<<m.Shift)
		if floor := at(m.Floors, i); floor > 0 {
			o.ledger.Raise(id, exchanger.Units(floor-1)<<m.Shift)
		}
		if p != nil && m.Sequence > p.received {
			a := o.account(id)
			a.remote[p.ID] = remote{
				queued: int(at(m.Queued, i)), running: int(at(m.Running, i)),
				pending: exchanger.Units(at(m.Pending, i)) << m.Shift, at: now,
			}
			o.extrapolate(now, a)
		}
	}
	for _, c := range m.Columns {
		from := exchanger.Origin{
			Instance:    redwingshunt.InstanceID(c.Instance),
			Incarnation: redwingshunt.Incarnation(c.Incarnation),
		}
		for i, hash := range c.Accounts {
			if id, ok := o.hashes[hash]; ok {
				o.ledger.Merge(now, from, id, exchanger.Units(at(c.Units, i)))
			}
		}
	}
	for i, hash := range m.Accounts {
		if id, ok := o.hashes[hash]; ok && len(m.Levels) > 0 {
			o.ledger.Raise(id, exchanger.Units(at(m.Levels, i)))
		}
	}
	for _, hash := range m.Accounts {
		if id, ok := o.hashes[hash]; ok {
			o.refresh(o.account(id))
		}
	}
}

// at returns an element of a parallel list, or zero beyond the end of the list.
func at[T any](list []T, i int) T {
	if i < len(list) {
		return list[i]
	}
	var zero T
	return zero
}

// mergeHeld updates the loans that the peer may still be using. A ledger that was
// sent before the peer received the last change of the loans can only add to them.
func (o *Owner) mergeHeld(p *peer, m *wire.Ledger) {
	held := map[redwingshunt.UpstreamID]int{}
	for _, l := range m.Held {
		held[redwingshunt.UpstreamID(l.Upstream)] = int(l.Count)
	}
	current := m.Seen >= p.lentSequence && !p.lentChanged
	for id, n := range p.held {
		if !current {
			held[id] = max(held[id], n)
		}
	}
	for id, n := range p.lent {
		held[id] = max(held[id], n)
	}
	for id := range p.held {
		if _, ok := held[id]; !ok {
			o.pool.Lend(p.ID, id, 0)
		}
	}
	p.held = held
	for id, n := range held {
		o.pool.Lend(p.ID, id, n)
	}
}

// mergeLent updates the slots of the peer that may be used here.
func (o *Owner) mergeLent(p *peer, m *wire.Ledger) {
	lent := map[redwingshunt.UpstreamID]bool{}
	for _, l := range m.Lent {
		u := redwingshunt.Upstream{
			ID: redwingshunt.UpstreamID(l.Upstream), Service: o.options.Service,
			Region: p.Region, Zone: redwingshunt.ZoneID(l.Zone), Slots: int(l.Count),
		}
		if l.Region != "" {
			u.Region = redwingshunt.RegionID(l.Region)
		}
		var address netip.AddrPort
		if address.UnmarshalBinary(l.Address) == nil {
			u.Address = address
		}
		lent[u.ID] = true
		o.pool.Borrow(o.now, p.ID, u, int(l.Count))
	}
	for _, v := range o.pool.Views() {
		if v.Key.Lender == p.ID && !lent[v.Key.ID] && v.Window > 0 {
			o.pool.Borrow(o.now, p.ID, v.Upstream, 0)
		}
	}
	p.confirmLoans = true
}
