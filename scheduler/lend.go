package scheduler

import (
	"math"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/exchanger"
)

// lend adjusts the slots that peers may use.
func (o *Owner) lend(now time.Time) {
	for _, p := range o.order {
		if p.Standby || (p.ask == 0 && len(p.lent) == 0) {
			continue
		}
		o.lendTo(now, p)
	}
}

func (o *Owner) lendTo(now time.Time, p *peer) {
	lent := 0
	for _, id := range sortedKeys(p.lent) {
		if !o.pool.Takes(id) {
			o.setLent(p, id, 0)
			continue
		}
		lent += p.lent[id]
	}
	if len(o.ready) == 0 && o.onlyBorrower(p) {
		p.goal = p.ask // limited by what is spare
	} else if now.Sub(p.aimed) >= exchangePeriod {
		p.aimed = now
		p.goal = o.target(now, p, lent)
	}
	p.goal = min(p.goal, p.ask, o.lendable(p))
	for ; lent < p.goal; lent++ {
		id, ok := o.pool.Spare()
		if !ok {
			break
		}
		o.setLent(p, id, p.lent[id]+1)
	}
	for ; lent > p.goal; lent-- {
		id := sortedKeys(p.lent)[0]
		o.setLent(p, id, p.lent[id]-1)
	}
}

// lendable returns the slots that one peer may have at most. What is due to the
// accounts here stays.
func (o *Owner) lendable(p *peer) int {
	slots := o.pool.Slots()
	for _, a := range o.ready {
		slots -= a.enough
	}
	for _, other := range o.order {
		if other == p {
			continue
		}
		for _, n := range other.lent {
			slots -= n
		}
	}
	return max(0, slots)
}

// setLent changes a loan. Slots stay busy until the peer confirms a decrease.
func (o *Owner) setLent(p *peer, id redwingshunt.UpstreamID, n int) {
	p.lent[id] = n
	if n == 0 {
		delete(p.lent, id)
	}
	p.lentNew = true
	p.held[id] = max(p.held[id], n)
	o.pool.Lend(p.ID, id, p.held[id])
}

// target returns how many slots the peer should have while work waits here.
// The lag of the peer is kept between a quarter and a half of the allowed gap,
// and it gets this owner's part of what is due to its accounts.
func (o *Owner) target(now time.Time, p *peer, lent int) int {
	return max(o.dueTo(p), o.fairTo(now, p, lent))
}

// dueTo returns this owner's part of the slots that the peer lacks for what is
// due to its accounts, in proportion to the slots of all that could lend.
func (o *Owner) dueTo(p *peer) int {
	slots := o.pool.Slots()
	if p.due == 0 || slots == 0 {
		return 0
	}
	all := slots
	for _, other := range o.order {
		if other != p && !other.Standby {
			all += other.slots
		}
	}
	return (p.due*slots + all - 1) / all
}

// lacking returns the slots that are due to accounts beyond the own slots.
func (o *Owner) lacking() int {
	due := 0
	for _, a := range o.ready {
		due += a.enough
	}
	return max(0, due-o.pool.Slots())
}

func (o *Owner) fairTo(now time.Time, p *peer, lent int) int {
	if len(o.ready) == 0 {
		return o.part(p, lent)
	}
	if !p.backlogged {
		return max(0, lent-o.waiting)
	}
	level, ok := o.level(now)
	if !ok {
		return lent // nothing waits for long
	}
	gap := o.units(o.gap)
	lag := level - p.level
	switch {
	case lag > gap/2:
		return lent + o.slotsFor(lag-gap/2)
	case lag < gap/4:
		return max(0, lent-o.slotsFor(gap/4-lag))
	}
	return lent
}

// onlyBorrower reports whether no other peer asks for slots.
func (o *Owner) onlyBorrower(p *peer) bool {
	for _, other := range o.order {
		if other != p && !other.Standby && other.ask > 0 {
			return false
		}
	}
	return true
}

// part divides slots without work among the peers that ask. They share what is
// free evenly; slots move between them only while their virtual times differ by
// more than a quarter of the allowed gap, since each move leaves a slot idle
// for a moment.
func (o *Owner) part(p *peer, lent int) int {
	askers, sum := 0, exchanger.Units(0)
	for _, other := range o.order {
		if !other.Standby && other.ask > 0 {
			askers++
			sum += other.level
		}
	}
	behind := sum/exchanger.Units(askers) - p.level
	dead := o.units(o.gap) / 4
	step := 1 + o.pool.Slots()/movedParts
	switch {
	case behind > dead:
		return lent + max(o.pool.Free(), min(step, o.slotsFor(behind-dead)))
	case behind < -dead && lent > 0:
		return max(0, lent-min(step, o.slotsFor(-behind-dead)))
	}
	return lent + (o.pool.Free()+askers-1)/askers
}

// slotsFor returns how many slots give the service in catchUp.
func (o *Owner) slotsFor(u exchanger.Units) int {
	slot := o.rate * catchUp.Seconds() * exchanger.Scale / o.share
	return int(math.Ceil(float64(u) / max(slot, 1)))
}

// level returns the least virtual time of the accounts that wait for long.
func (o *Owner) level(now time.Time) (exchanger.Units, bool) {
	level, ok := exchanger.Units(0), false
	for _, a := range o.ready {
		if now.Sub(a.since) < lastingWait {
			continue
		}
		if l := o.levelOf(a); !ok || l < level {
			level, ok = l, true
		}
	}
	return level, ok
}

// levelOf returns the virtual time of an account as regions compare it: its
// running requests reserve no more than catchUp, the time in which loans act.
func (o *Owner) levelOf(a *account) exchanger.Units {
	running := len(a.runs)
	for _, r := range a.remote {
		running += r.running
	}
	beyond := max(0, o.horizon-catchUp).Seconds() * o.rateOf(a) * float64(running)
	return a.key - exchanger.UnitsOf(redwingshunt.Cost(beyond), a.rule.Share)
}

// want returns how many slots to ask of a peer.
func (o *Owner) want(now time.Time, p *peer) int {
	if p.Standby || !o.active {
		return 0
	}
	used, may := 0, 0
	for _, v := range o.pool.Views() {
		if v.Key.Lender == p.ID {
			used += v.Own
			may += v.Window
		}
	}
	if len(o.ready) == 0 {
		return min(may, max(used, o.spared(now, p, used)))
	}
	if !p.backlogged {
		return min(maxAsk, may+min(o.waiting, p.slots))
	}
	return min(maxAsk, max(may+o.lagging(now, p.level-o.units(o.gap)/4), o.lacking()))
}

// lagging returns the requests that wait for long below a virtual time.
func (o *Owner) lagging(now time.Time, below exchanger.Units) int {
	n := 0
	for _, a := range o.ready {
		if o.levelOf(a) < below && now.Sub(a.since) >= lastingWait {
			n += a.waiting
		}
	}
	return n
}

// spared returns the slots of a peer to keep without work. A region without
// upstreams keeps what it used lately, so that a request does not wait for an
// exchange with another region.
func (o *Owner) spared(now time.Time, p *peer, used int) int {
	if used >= p.peak || now.Sub(p.peaked) > spareTime {
		p.peak, p.peaked = used, now
	}
	if o.pool.Slots() > 0 {
		return 0
	}
	return p.peak
}
