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
	// exchangePeriod is the least time between two ledgers to one peer.
	exchangePeriod = time.Second
	// movedParts bounds the part of the slots that moves between borrowers at once.
	movedParts = 32
	// returnPeriod is the least time between two ledgers when loans change.
	returnPeriod = 250 * time.Millisecond
	// exchangeRefresh is the time after which changes too small to matter are
	// sent all the same.
	exchangeRefresh = 5 * time.Second
	// catchUp is the time in which a change of the loans closes what is beyond
	// the allowed gap.
	catchUp = 4 * time.Second
	// lastingWait is the time after which waiting work counts for loans; what
	// waits for a shorter time just waits for the next free slot.
	lastingWait = time.Second
	// sendParts and entryParts divide the allowed gap: a ledger is sent when an
	// account moved by one of sendParts, with the accounts that moved by one of
	// entryParts.
	sendParts  = 4
	entryParts = 16
	// levelParts divides the allowed gap into the steps in which it is told.
	levelParts = 64
	// horizonStep is the step in which the horizon is told.
	horizonStep = 100 * time.Millisecond
	// spareTime is the time for which a region without upstreams keeps slots that
	// it does not use.
	spareTime = 15 * time.Second
	// maxAsk bounds the slots that are asked of one peer.
	maxAsk = 256
)

// peer is what an owner knows of another one.
type peer struct {
	Peer
	incarnation uint64
	received    uint64 // highest sequence from the peer
	sequence    uint64 // of the last ledger to the peer
	acked       uint64 // highest sequence that the peer has received
	sent        time.Time
	checked     time.Time
	full        time.Time // when all changes were last sent
	hello       bool      // ask for a snapshot
	answer      bool      // send a snapshot
	backlogged  bool
	level       exchanger.Units // least virtual time with work waiting there
	free        int
	slots       int
	horizon     time.Duration
	due         int // slots due to its accounts beyond its own
	ask         int // slots that the peer wants of this owner
	asked       int // slots last asked of the peer
	peak        int // slots used lately
	peaked      time.Time
	using       int // slots last told to be held of the peer
	told        told

	lent     map[redwingshunt.UpstreamID]int // slots that the peer may use
	held     map[redwingshunt.UpstreamID]int // slots that the peer may be using
	goal     int                             // slots that the peer is to have
	aimed    time.Time                       // when the goal was set
	lentAt   uint64                          // sequence that tells the last change of lent
	lentNew  bool                            // lent changed since the last ledger
	reply    bool                            // the loans of the peer changed; confirm them
	accounts map[redwingshunt.AccountID]entry
}

// told is what the last ledger to a peer said.
type told struct {
	backlogged bool
	free       bool
	slots      int
	level      exchanger.Units
}

// entry is what a peer was last told of an account.
type entry struct {
	units   exchanger.Units // service and reservations
	pending exchanger.Units
	floor   exchanger.Units
	queued  bool
	idle    bool // nothing was running
}

func newPeer(p Peer) *peer {
	return &peer{
		Peer: p, hello: true,
		lent:     map[redwingshunt.UpstreamID]int{},
		held:     map[redwingshunt.UpstreamID]int{},
		accounts: map[redwingshunt.AccountID]entry{},
	}
}

// peered replaces the set of peers.
func (o *Owner) peered(peers []Peer) {
	keep := map[redwingshunt.InstanceID]bool{}
	for _, p := range peers {
		keep[p.ID] = true
		known := o.peers[p.ID]
		if known == nil {
			o.peers[p.ID] = newPeer(p)
			continue
		}
		known.Peer = p
	}
	for _, p := range o.order {
		if !keep[p.ID] {
			o.forfeit(p)
			delete(o.peers, p.ID)
		}
	}
	o.order = o.order[:0]
	for _, p := range o.peers {
		o.order = append(o.order, p)
	}
	slices.SortFunc(o.order, func(a, b *peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// forfeit ends all loans from and to a peer. Work of a lost borrower shows in
// the load reports of the upstreams.
func (o *Owner) forfeit(p *peer) {
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
	p.backlogged, p.free, p.ask, p.due = false, 0, 0, 0
	for _, a := range o.accounts {
		delete(a.remote, p.ID)
	}
	p.told = told{}
}

// merge takes the ledger of a peer in.
func (o *Owner) merge(now time.Time, instance redwingshunt.InstanceID, m *wire.Ledger) {
	from := ownerName(instance, int(m.Cell))
	p := o.peers[from]
	origin := exchanger.Origin{Instance: from, Incarnation: redwingshunt.Incarnation(m.Incarnation)}
	o.mergeCounters(now, origin, p, m)
	if p == nil || m.Incarnation < p.incarnation {
		return
	}
	if m.Incarnation > p.incarnation {
		o.restarted(p, m.Incarnation)
	}
	p.answer = p.answer || m.Hello
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
	p.ask, p.due = int(m.Ask), int(m.Due)
	o.takeHeld(p, m)
	if m.Loans {
		o.takeLent(p, m)
	}
}

// restarted forgets what was agreed with an earlier incarnation of a peer.
func (o *Owner) restarted(p *peer, incarnation uint64) {
	if p.incarnation > 0 {
		o.forfeit(p)
	}
	p.incarnation = incarnation
	p.received, p.acked = 0, 0
	clear(p.accounts)
}

// mergeCounters takes service and levels; older and repeated ledgers do no harm.
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

// at returns a value of a parallel list that may be shorter.
func at[T any](list []T, i int) T {
	if i < len(list) {
		return list[i]
	}
	var zero T
	return zero
}

// takeHeld learns which loans the peer may still be using. A ledger from before
// the last change of the loans can only add.
func (o *Owner) takeHeld(p *peer, m *wire.Ledger) {
	held := map[redwingshunt.UpstreamID]int{}
	for _, l := range m.Held {
		held[redwingshunt.UpstreamID(l.Upstream)] = int(l.Count)
	}
	current := m.Seen >= p.lentAt && !p.lentNew
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

// takeLent learns which slots of the peer may be used.
func (o *Owner) takeLent(p *peer, m *wire.Ledger) {
	lent := map[redwingshunt.UpstreamID]bool{}
	for _, l := range m.Lent {
		u := redwingshunt.Upstream{
			ID: redwingshunt.UpstreamID(l.Upstream), Service: o.options.Service,
			Region: p.Region, Zone: redwingshunt.ZoneID(l.Zone), Slots: int(l.Count),
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
	p.reply = true
}
