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

// checkPeriod is the least time between two looks at what a peer lacks.
const checkPeriod = 100 * time.Millisecond

// liftRepeat is the time in which a lift is told again with each full ledger.
const liftRepeat = 15 * time.Second

// exchange sends ledgers to the peers that lack something.
func (o *Owner) exchange(now time.Time) {
	for _, p := range o.order {
		if now.Sub(p.sent) < returnPeriod || now.Sub(p.checked) < checkPeriod {
			continue
		}
		p.checked = now
		if !o.active && !p.answer {
			continue
		}
		if now.Sub(p.sent) < exchangePeriod && !p.lentNew && o.holds(p) >= p.using {
			continue
		}
		ask := o.want(now, p)
		if o.lacks(now, p, ask) {
			o.send(now, p, ask)
		}
	}
}

// lacks reports whether a ledger is due.
func (o *Owner) lacks(now time.Time, p *peer, ask int) bool {
	if p.hello || p.answer || p.lentNew || p.reply || o.holds(p) < p.using {
		return true
	}
	if (ask == 0) != (p.asked == 0) || ask > 2*p.asked || 2*ask < p.asked {
		return true
	}
	refresh := now.Sub(p.sent) >= exchangeRefresh
	if (p.lentAt > p.acked || p.owes()) && refresh {
		return true
	}
	if o.standing(now).differs(p.told, o.units(o.gap)/sendParts) {
		return true
	}
	least := max(1, o.units(o.gap)/sendParts)
	if refresh {
		least = max(1, o.units(o.gap)/levelParts)
	}
	for id, a := range o.accounts {
		if o.moved(p, a, least) || o.ledger.Floor(id) != p.accounts[id].floor {
			return true
		}
	}
	return false
}

// holds returns the slots of a peer that may be in use here.
func (o *Owner) holds(p *peer) int {
	n := 0
	if p.using == 0 {
		return 0
	}
	for _, v := range o.pool.Views() {
		if v.Key.Lender == p.ID {
			n += max(v.Own, v.Window)
		}
	}
	return n
}

// owes reports whether the peer has not confirmed that it gave loans back.
func (p *peer) owes() bool {
	for id, n := range p.held {
		if n > p.lent[id] {
			return true
		}
	}
	return false
}

// standing returns what a ledger says of the whole service.
func (o *Owner) standing(now time.Time) told {
	t := told{free: o.pool.Free() > 0, slots: o.pool.Slots()}
	t.level, t.backlogged = o.level(now)
	return t
}

// differs reports whether the difference matters to a peer.
func (t told) differs(last told, step exchanger.Units) bool {
	if t.backlogged != last.backlogged || t.free != last.free || t.slots != last.slots {
		return true
	}
	return t.backlogged && t.level-last.level >= max(1, step)
}

// moved reports whether the peer's knowledge of an account is out of date.
func (o *Owner) moved(p *peer, a *account, least exchanger.Units) bool {
	difference := o.ledger.Own(a.id) + a.reserved - p.accounts[a.id].units
	return difference >= least || -difference >= least
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
		Hello:       p.hello,
		Shift:       o.shift(),
		Free:        uint32(o.pool.Free()),
		Slots:       uint32(o.pool.Slots()),
		Ask:         uint32(ask),
		Due:         uint32(o.lacking()),
		Horizon:     uint32(o.longest / horizonStep),
	}
	p.told = o.standing(now)
	if p.told.backlogged {
		m.Level = 1 + uint64(max(0, p.told.level)>>m.Shift)
	}
	full := p.hello || p.answer || now.Sub(p.full) >= exchangeRefresh
	if full {
		p.full = now
	}
	o.putAccounts(now, p, m, full)
	if p.answer {
		o.putSnapshot(m)
	}
	o.putLoans(p, m)
	p.sent, p.asked = now, ask
	p.hello, p.answer, p.reply, p.lentNew = false, false, false, false
	o.actions = append(o.actions, SendLedger{To: to, Ledger: m})
}

// shift returns by how many bits virtual times are shortened on the wire.
func (o *Owner) shift() uint32 {
	step := uint64(o.units(o.gap) / levelParts)
	if step == 0 {
		return 0
	}
	return uint32(bits.Len64(step) - 1)
}

func (o *Owner) putAccounts(now time.Time, p *peer, m *wire.Ledger, full bool) {
	least := max(1, o.units(o.gap)/entryParts)
	if full {
		least = max(1, o.units(o.gap)/levelParts)
	}
	sparse := &sparseLists{}
	for _, id := range slices.Sorted(maps.Keys(o.accounts)) {
		a := o.accounts[id]
		last := p.accounts[id]
		own := o.ledger.Own(id)
		next := entry{
			units: own + a.reserved, pending: o.pending(now, a), floor: o.ledger.Floor(id), queued: a.waiting > 0, idle: len(a.runs) == 0,
		}
		if !p.answer && !o.moved(p, a, least) && last.floor == next.floor &&
			last.queued == next.queued && last.idle == next.idle {
			continue
		}
		m.Accounts = append(m.Accounts, exchanger.Hash(id))
		m.Units = append(m.Units, uint64(own)>>m.Shift)
		floor := uint64(0)
		if next.floor != last.floor || (full && now.Sub(a.lifted) < liftRepeat) {
			floor = 1 + uint64(max(0, o.ledger.Virtual(id)))>>m.Shift
		}
		sparse.add(a.waiting, len(a.runs), uint64(next.pending)>>m.Shift, floor)
		p.accounts[id] = next
	}
	sparse.put(m)
}

// pending returns what the running requests of an account have received beyond
// their reported cost.
func (o *Owner) pending(now time.Time, a *account) exchanger.Units {
	sum := 0.0
	for r := range a.runs {
		sum += o.unreported(now, r)
	}
	return exchanger.UnitsOf(redwingshunt.Cost(sum), a.rule.Share)
}

// sparseLists collects values that run parallel to the accounts. A list of
// zeros is left out.
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

// trim cuts zeros off the end.
func trim[T cmp.Ordered](list []T) []T {
	var zero T
	for len(list) > 0 && list[len(list)-1] == zero {
		list = list[:len(list)-1]
	}
	return list
}

// putSnapshot adds what a peer without history needs. Levels run parallel to
// the accounts.
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

// putLoans adds the slots lent to the peer and those held of it.
func (o *Owner) putLoans(p *peer, m *wire.Ledger) {
	if p.Standby {
		return
	}
	if p.lentNew {
		p.lentAt = p.sequence
	}
	if p.lentAt > p.acked || p.owes() {
		m.Loans = true
		for _, id := range sortedKeys(p.lent) {
			u := o.pool.Upstream(id)
			address, _ := u.Address.MarshalBinary()
			m.Lent = append(m.Lent, &wire.Loan{
				Upstream: string(id), Count: uint32(p.lent[id]), Address: address, Zone: string(u.Zone),
			})
		}
	}
	p.using = 0
	for _, v := range o.pool.Views() {
		if held := max(v.Own, v.Window); v.Key.Lender == p.ID && held > 0 {
			p.using += held
			m.Held = append(m.Held, &wire.Loan{Upstream: string(v.Key.ID), Count: uint32(held)})
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Taken returns the number of slots that are in use, lent or thought so.
func (o *Owner) Taken() int { return o.pool.Taken() }

// Cell returns the cell that the owner serves.
func (o *Owner) Cell() int { return o.options.Cell }

// Waiting returns the number of requests that wait for a slot.
func (o *Owner) Waiting() int { return o.waiting }

// Slots returns the number of slots of the region.
func (o *Owner) Slots() int { return o.pool.Slots() }

// Standing is the state of one account for metrics and dumps.
type Standing struct {
	Account redwingshunt.AccountID `json:"account"`
	Virtual int64                  `json:"virtual"` // units of virtual time
	Gap     time.Duration          `json:"gap"`     // ahead of the least backlogged account, in time of the whole service
	Waiting int                    `json:"waiting"`
	Running int                    `json:"running"`
}

// Standings returns the state of up to limit accounts, busiest first.
func (o *Owner) Standings(limit int) []Standing {
	list := make([]Standing, 0, len(o.accounts))
	second := max(1, o.units(time.Second))
	for _, id := range sortedKeys(o.accounts) {
		a := o.accounts[id]
		s := Standing{
			Account: id, Virtual: int64(o.ledger.Virtual(id)), Waiting: a.waiting, Running: len(a.runs),
		}
		if len(o.ready) > 0 && a.waiting > 0 {
			s.Gap = time.Duration(float64(a.key-o.ready.least()) / float64(second) * float64(time.Second))
		}
		list = append(list, s)
	}
	slices.SortStableFunc(list, func(a, b Standing) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Running, a.Running))
	})
	return list[:min(limit, len(list))]
}

// Window is the state of one upstream for dumps.
type Window struct {
	Upstream redwingshunt.UpstreamID `json:"upstream"`
	Lender   redwingshunt.InstanceID `json:"lender,omitempty"` // owner of the region that lends it
	Window   int                     `json:"window"`
	Running  int                     `json:"running"`
	Lent     int                     `json:"lent,omitempty"`
	Foreign  int                     `json:"foreign,omitempty"`
	Leaving  bool                    `json:"leaving,omitempty"`
	Ejected  bool                    `json:"ejected,omitempty"` // failed lately, gets nothing for a time

	Announced redwingshunt.Upstream `json:"-"` // as it was announced last
}

// Windows returns the state of up to limit upstreams.
func (o *Owner) Windows(limit int) []Window {
	views := o.pool.Views()
	list := make([]Window, 0, min(limit, len(views)))
	for _, v := range views[:min(limit, len(views))] {
		list = append(list, Window{
			Upstream: v.Key.ID, Lender: v.Key.Lender, Window: v.Limit, Running: v.Own,
			Lent: v.Lent, Foreign: v.Foreign, Leaving: v.Leaving, Ejected: v.Ejected, Announced: v.Upstream,
		})
	}
	return list
}
