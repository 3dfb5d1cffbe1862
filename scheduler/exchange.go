package scheduler

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/exchanger"
	"github.com/redwingshunt/redwingshunt/wire"
)

// checkPeriod is the minimum time between two checks whether a peer needs a ledger.
const checkPeriod = 100 * time.Millisecond

// liftRepeatTime is the time for which a lift is repeated in each full ledger.
const liftRepeatTime = 15 * time.Second

// exchange sends ledgers to the peers that need one.
func (o *Owner) exchange(now time.Time) {
	for _, p := range o.sortedPeers {
		if o.active && p.summary.slots == 0 && o.pool.Slots() > 0 && now.Sub(o.electedAt) >= noUpstreamGrace {
			// Requests may be refused there for want of any upstream.
			o.send(now, p, o.slotsToAsk(now, p))
			continue
		}
		if now.Sub(p.sentAt) < loanExchangePeriod || now.Sub(p.checkedAt) < checkPeriod {
			continue
		}
		p.checkedAt = now
		if !o.active && !p.sendSnapshot {
			continue
		}
		if now.Sub(p.sentAt) < exchangePeriod && !p.lentChanged && o.borrowed(p) >= p.reportedHeld {
			continue
		}
		ask := o.slotsToAsk(now, p)
		if o.ledgerDue(now, p, ask) {
			o.send(now, p, ask)
		}
	}
}

// ledgerDue reports whether a ledger to a peer is due.
func (o *Owner) ledgerDue(now time.Time, p *peer, ask int) bool {
	if p.requestSnapshot || p.sendSnapshot || p.lentChanged || p.confirmLoans || o.borrowed(p) < p.reportedHeld {
		return true
	}
	if (ask == 0) != (p.lastAsk == 0) || ask > 2*p.lastAsk || 2*ask < p.lastAsk {
		return true
	}
	refresh := now.Sub(p.sentAt) >= exchangeRefreshPeriod
	if (p.lentSequence > p.acked || p.unreturned()) && refresh {
		return true
	}
	if o.currentSummary(now, p).differs(p.summary, o.units(o.gap)/sendDivisor) {
		return true
	}
	threshold := max(1, o.units(o.gap)/sendDivisor)
	if refresh {
		threshold = max(1, o.units(o.gap)/levelDivisor)
	}
	for id, a := range o.accounts {
		if o.outdated(p, a, threshold) || o.ledger.Floor(id) != p.accounts[id].floor {
			return true
		}
	}
	return false
}

// borrowed returns the number of slots of a peer that may be in use here.
func (o *Owner) borrowed(p *peer) int {
	n := 0
	if p.reportedHeld == 0 {
		return 0
	}
	for _, v := range o.pool.Views() {
		if v.Key.Lender == p.ID {
			n += max(v.Own, v.Window)
		}
	}
	return n
}

// unreturned reports whether the peer has not yet confirmed the return of a loan.
func (p *peer) unreturned() bool {
	for id, n := range p.held {
		if n > p.lent[id] {
			return true
		}
	}
	return false
}

// currentSummary returns the current state of the whole service for ledgers to a peer. The
// level is that of the accounts that may use its slots.
func (o *Owner) currentSummary(now time.Time, p *peer) summary {
	t := summary{free: o.pool.Free() > 0, slots: o.pool.Slots()}
	t.level, t.backlogged = o.level(now, p.Region)
	return t
}

// differs reports whether the difference from the last summary is relevant to a
// peer. Step is the threshold of the level.
func (t summary) differs(last summary, step exchanger.Units) bool {
	if t.backlogged != last.backlogged || t.free != last.free || t.slots != last.slots {
		return true
	}
	return t.backlogged && t.level-last.level >= max(1, step)
}

// outdated reports whether an account has changed by threshold or more since the
// last ledger to the peer.
func (o *Owner) outdated(p *peer, a *account, threshold exchanger.Units) bool {
	difference := o.ledger.Own(a.id) + a.reserved - p.accounts[a.id].units
	return difference >= threshold || -difference >= threshold
}

// send composes the ledger for one peer.
func (o *Owner) send(now time.Time, p *peer, ask int) {
	p.sequence++
	to, cell := instanceOf(p.ID)
	m := &wire.Ledger{
		Cell:        uint32(o.options.Cell),
		To:          uint32(cell),
		Service:     string(o.options.Service),
		Incarnation: uint64(o.options.Incarnation),
		Sequence:    p.sequence,
		Seen:        p.received,
		Hello:       p.requestSnapshot,
		Shift:       o.shift(),
		Free:        uint32(o.pool.Free()),
		Slots:       uint32(o.pool.Slots()),
		Ask:         uint32(ask),
		Due:         uint32(o.slotDeficit(p)),
		Horizon:     uint32(o.longestRun / horizonStep),
	}
	p.summary = o.currentSummary(now, p)
	if p.summary.backlogged {
		m.Level = 1 + uint64(max(0, p.summary.level)>>m.Shift)
	}
	full := p.requestSnapshot || p.sendSnapshot || now.Sub(p.full) >= exchangeRefreshPeriod
	if full {
		p.full = now
	}
	o.putAccounts(now, p, m, full)
	if p.sendSnapshot {
		o.putSnapshot(m)
	}
	o.putLoans(p, m)
	p.sentAt, p.lastAsk = now, ask
	p.requestSnapshot, p.sendSnapshot, p.confirmLoans, p.lentChanged = false, false, false, false
	o.actions = append(o.actions, SendLedger{To: to, Ledger: m})
}

// shift returns the number of bits by which virtual times are shortened on the
// wire.
func (o *Owner) shift() uint32 {
	step := uint64(o.units(o.gap) / levelDivisor)
	if step == 0 {
		return 0
	}
	return uint32(bits.Len64(step) - 1)
}

func (o *Owner) putAccounts(now time.Time, p *peer, m *wire.Ledger, full bool) {
	threshold := max(1, o.units(o.gap)/entryDivisor)
	if full {
		threshold = max(1, o.units(o.gap)/levelDivisor)
	}
	sparse := &sparseLists{}
	for _, id := range slices.Sorted(maps.Keys(o.accounts)) {
		a := o.accounts[id]
		last := p.accounts[id]
		own := o.ledger.Own(id)
		next := accountEntry{
			units: own + a.reserved, pending: o.pending(now, a), floor: o.ledger.Floor(id), queued: a.waiting > 0, idle: len(a.runs) == 0,
		}
		if !p.sendSnapshot && !o.outdated(p, a, threshold) && last.floor == next.floor &&
			last.queued == next.queued && last.idle == next.idle {
			continue
		}
		m.Accounts = append(m.Accounts, exchanger.Hash(id))
		m.Units = append(m.Units, uint64(own)>>m.Shift)
		floor := uint64(0)
		if next.floor != last.floor || (full && now.Sub(a.liftedAt) < liftRepeatTime) {
			floor = 1 + uint64(max(0, o.ledger.Virtual(id)))>>m.Shift
		}
		sparse.add(a.waiting, len(a.runs), uint64(next.pending)>>m.Shift, floor)
		p.accounts[id] = next
	}
	sparse.put(m)
}

// pending returns the service that the running requests of an account have received
// beyond their reported cost.
func (o *Owner) pending(now time.Time, a *account) exchanger.Units {
	sum := 0.0
	for r := range a.runs {
		sum += o.unreported(now, r)
	}
	return exchanger.UnitsOf(redwingshunt.Cost(sum), a.rule.Share)
}

// sparseLists collects values parallel to the list of accounts. Zeros at the end of
// a list are not sent.
type sparseLists struct {
	queued, running []uint32
	pending, floors []uint64
}

func (s *sparseLists) add(queued, running int, pending, floor uint64) {
	s.queued = append(s.queued, uint32(queued))
	s.running = append(s.running, uint32(running))
	s.pending = append(s.pending, pending)
	s.floors = append(s.floors, floor)
}

func (s *sparseLists) put(m *wire.Ledger) {
	m.Queued = trim(s.queued)
	m.Running = trim(s.running)
	m.Pending = trim(s.pending)
	m.Floors = trim(s.floors)
}

// trim removes zeros from the end of a list.
func trim[T cmp.Ordered](list []T) []T {
	var zero T
	for len(list) > 0 && list[len(list)-1] == zero {
		list = list[:len(list)-1]
	}
	return list
}

// putSnapshot adds the levels, parallel to the accounts, and the columns of other
// origins, for a peer without history.
func (o *Owner) putSnapshot(m *wire.Ledger) {
	for _, hash := range m.Accounts {
		m.Levels = append(m.Levels, uint64(max(0, o.ledger.Virtual(o.hashes[hash]))))
	}
	for _, origin := range o.ledger.Origins() {
		c := &wire.Column{Instance: string(origin.Instance), Incarnation: uint64(origin.Incarnation)}
		units := o.ledger.Column(origin)
		for _, id := range slices.Sorted(maps.Keys(units)) {
			c.Accounts = append(c.Accounts, exchanger.Hash(id))
			c.Units = append(c.Units, uint64(units[id]))
		}
		if len(c.Accounts) > 0 {
			m.Columns = append(m.Columns, c)
		}
	}
}

// putLoans adds the slots lent to the peer and those borrowed from it.
func (o *Owner) putLoans(p *peer, m *wire.Ledger) {
	if p.Standby {
		return
	}
	if p.lentChanged {
		p.lentSequence = p.sequence
	}
	if p.lentSequence > p.acked || p.unreturned() {
		m.Loans = true
		for _, id := range sortedKeys(p.lent) {
			u := o.pool.Upstream(id)
			address, _ := u.Address.MarshalBinary()
			loan := &wire.Loan{
				Upstream: string(id), Count: uint32(p.lent[id]), Address: address, Zone: string(u.Zone),
			}
			if u.Region != o.options.Region {
				loan.Region = string(u.Region)
			}
			m.Lent = append(m.Lent, loan)
		}
	}
	p.reportedHeld = 0
	for _, v := range o.pool.Views() {
		if held := max(v.Own, v.Window); v.Key.Lender == p.ID && held > 0 {
			p.reportedHeld += held
			m.Held = append(m.Held, &wire.Loan{Upstream: string(v.Key.ID), Count: uint32(held)})
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Taken returns the number of slots of the region that are in use or lent, as far as
// known.
func (o *Owner) Taken() int { return o.pool.Taken() }

// Cell returns the number of the cell that the owner serves.
func (o *Owner) Cell() int { return o.options.Cell }

// Waiting returns the number of requests without a grant.
func (o *Owner) Waiting() int { return o.waiting }

// Slots returns the number of slots of the region.
func (o *Owner) Slots() int { return o.pool.Slots() }

// AccountStatus is the state of one account for metrics and dumps.
type AccountStatus struct {
	Account redwingshunt.AccountID `json:"account"`
	Virtual int64                  `json:"virtual"` // units of virtual time
	Gap     time.Duration          `json:"gap"`     // lead over the backlogged account with the lowest virtual time, in time of the whole service
	Waiting int                    `json:"waiting"`
	Running int                    `json:"running"`
}

// AccountStatuses returns the state of up to limit accounts, those with the most waiting
// requests first.
func (o *Owner) AccountStatuses(limit int) []AccountStatus {
	list := make([]AccountStatus, 0, len(o.accounts))
	second := max(1, o.units(time.Second))
	for _, id := range sortedKeys(o.accounts) {
		a := o.accounts[id]
		s := AccountStatus{
			Account: id, Virtual: int64(o.ledger.Virtual(id)), Waiting: a.waiting, Running: len(a.runs),
		}
		if len(o.ready) > 0 && a.waiting > 0 {
			s.Gap = time.Duration(float64(a.orderKey-o.ready.minKey()) / float64(second) * float64(time.Second))
		}
		list = append(list, s)
	}
	slices.SortStableFunc(list, func(a, b AccountStatus) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Running, a.Running))
	})
	return list[:min(limit, len(list))]
}

// Window is the state of one upstream for dumps.
type Window struct {
	Upstream  redwingshunt.UpstreamID `json:"upstream"`
	Lender    redwingshunt.InstanceID `json:"lender,omitempty"` // owner that lends its slots
	Window    int                     `json:"window"`
	Running   int                     `json:"running"`
	Lent      int                     `json:"lent,omitempty"`
	Foreign   int                     `json:"foreign,omitempty"`
	Leaving   bool                    `json:"leaving,omitempty"`
	Ejected   bool                    `json:"ejected,omitempty"`   // has failed recently and gets no requests for a time
	Evacuated bool                    `json:"evacuated,omitempty"` // its availability zone is

	Announced redwingshunt.Upstream `json:"-"` // as last announced
}

// Windows returns the state of up to limit upstreams.
func (o *Owner) Windows(limit int) []Window {
	views := o.pool.Views()
	list := make([]Window, 0, min(limit, len(views)))
	for _, v := range views[:min(limit, len(views))] {
		list = append(list, Window{
			Upstream: v.Key.ID, Lender: v.Key.Lender, Window: v.Limit, Running: v.Own,
			Lent: v.Lent, Foreign: v.Foreign, Leaving: v.Leaving, Ejected: v.Ejected, Evacuated: v.Evacuated,
			Announced: v.Upstream,
		})
	}
	return list
}
