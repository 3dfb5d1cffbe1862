package scheduler

import (
	"math"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/exchanger"
)

// lend adjusts the loans to all peers.
func (o *Owner) lend(now time.Time) {
	for _, p := range o.sortedPeers {
		if p.Standby || (p.ask == 0 && len(p.lent) == 0) {
			continue
		}
		o.lendTo(now, p)
	}
}

func (o *Owner) lendTo(now time.Time, p *peer) {
	lent := 0
	for _, id := range sortedKeys(p.lent) {
		if !o.pool.TakesRequests(id) {
			o.setLent(p, id, 0)
			continue
		}
		lent += p.lent[id]
	}
	if !o.anyReady(o.options.Region) && o.onlyBorrower(p) {
		p.target = p.ask // limited by the spare slots
	} else if now.Sub(p.targetSetAt) >= exchangePeriod {
		p.targetSetAt = now
		p.target = o.targetLoan(now, p, lent)
	}
	p.target = min(p.target, p.ask, o.lendable(p))
	for ; lent < p.target; lent++ {
		id, ok := o.pool.MostFree()
		if !ok {
			break
		}
		o.setLent(p, id, p.lent[id]+1)
	}
	for ; lent > p.target; lent-- {
		id := sortedKeys(p.lent)[0]
		o.setLent(p, id, p.lent[id]-1)
	}
}

// lendable returns the largest number of slots that may be lent to one peer. Slots
// guaranteed to accounts here are not lent. If an account is limited to some regions, the
// guarantees may exceed the slots: then the peer gets its part of the slots.
func (o *Owner) lendable(p *peer) int {
	slots := o.pool.Slots()
	guaranteed := 0
	for _, a := range o.ready {
		if a.rule.Regions.Has(o.options.Region) {
			guaranteed += a.guaranteedRuns
		}
	}
	if part := o.guaranteedLoan(p); o.limited && part > 0 {
		guaranteed = min(guaranteed, slots-slots*part/(guaranteed+part))
	}
	slots -= guaranteed
	for _, other := range o.sortedPeers {
		if other == p {
			continue
		}
		for _, n := range other.lent {
			slots -= n
		}
	}
	return max(0, slots)
}

// setLent changes a loan. After a decrease, the slots stay busy until the peer
// confirms it.
func (o *Owner) setLent(p *peer, id redwingshunt.UpstreamID, n int) {
	p.lent[id] = n
	if n == 0 {
		delete(p.lent, id)
	}
	p.lentChanged = true
	p.held[id] = max(p.held[id], n)
	o.pool.Lend(p.ID, id, p.held[id])
}

// targetLoan returns the number of slots that the peer should have while requests
// wait here. It keeps the lag of the peer between a quarter and a half of the
// allowed gap, and covers this owner's part of the slots that the peer lacks for
// its guaranteed grants.
func (o *Owner) targetLoan(now time.Time, p *peer, lent int) int {
	return max(o.guaranteedLoan(p), o.fairLoan(now, p, lent))
}

// guaranteedLoan returns this owner's part of the slots that the peer lacks for its
// guaranteed grants, in proportion to the slots of all possible lenders.
func (o *Owner) guaranteedLoan(p *peer) int {
	slots := o.pool.Slots()
	if p.deficit == 0 || slots == 0 {
		return 0
	}
	all := slots
	for _, other := range o.sortedPeers {
		if other != p && !other.Standby {
			all += other.slots
		}
	}
	return (p.deficit*slots + all - 1) / all
}

// fairLoan returns the number of slots with which the lag of the peer stays within
// the allowed gap.
func (o *Owner) fairLoan(now time.Time, p *peer, lent int) int {
	if !o.anyReady(o.options.Region) {
		return o.idleLoan(p, lent)
	}
	if !p.backlogged {
		return max(0, lent-o.waitingFor(o.options.Region))
	}
	level, ok := o.level(now, o.options.Region)
	if !ok {
		return lent // no long-lasting backlog
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
	for _, other := range o.sortedPeers {
		if other != p && !other.Standby && other.ask > 0 {
			return false
		}
	}
	return true
}

// idleLoan returns a peer's part of the slots that have no work here. Peers that
// ask get equal parts of the free slots. Slots move between borrowers only while
// their virtual times differ by more than a quarter of the allowed gap, since each
// move leaves a slot idle for a moment.
func (o *Owner) idleLoan(p *peer, lent int) int {
	askers, sum := 0, exchanger.Units(0)
	for _, other := range o.sortedPeers {
		if !other.Standby && other.ask > 0 {
			askers++
			sum += other.level
		}
	}
	behind := sum/exchanger.Units(askers) - p.level
	deadband := o.units(o.gap) / 4
	step := 1 + o.pool.Slots()/moveDivisor
	switch {
	case behind > deadband:
		return lent + max(o.pool.Free(), min(step, o.slotsFor(behind-deadband)))
	case behind < -deadband && lent > 0:
		return max(0, lent-min(step, o.slotsFor(-behind-deadband)))
	}
	return lent + (o.pool.Free()+askers-1)/askers
}

// slotsFor returns the number of slots that give the service within catchUpTime.
func (o *Owner) slotsFor(u exchanger.Units) int {
	slot := o.rate * catchUpTime.Seconds() * exchanger.Scale / o.meanShare
	return int(math.Ceil(float64(u) / max(slot, 1)))
}

// level returns the lowest virtual time of the accounts with a long-lasting
// backlog that may use upstreams of a region. It reports false when there is none.
func (o *Owner) level(now time.Time, region redwingshunt.RegionID) (exchanger.Units, bool) {
	level, ok := exchanger.Units(0), false
	for _, a := range o.ready {
		if now.Sub(a.backlogSince) < lastingBacklogAge || !a.rule.Regions.Has(region) {
			continue
		}
		if l := o.levelOf(a); !ok || l < level {
			level, ok = l, true
		}
	}
	return level, ok
}

// levelOf returns the virtual time of an account as regions compare it: its
// running requests reserve no more than catchUpTime, in which loans take effect.
func (o *Owner) levelOf(a *account) exchanger.Units {
	running := len(a.runs)
	for _, r := range a.remote {
		running += r.running
	}
	beyond := max(0, o.horizon-catchUpTime).Seconds() * o.rateOf(a) * float64(running)
	return a.orderKey - exchanger.UnitsOf(redwingshunt.Cost(beyond), a.rule.Share)
}

// slotsToAsk returns the number of slots to ask of a peer.
func (o *Owner) slotsToAsk(now time.Time, p *peer) int {
	if p.Standby || !o.active {
		return 0
	}
	used, window := 0, 0
	for _, v := range o.pool.Views() {
		if v.Key.Lender == p.ID {
			used += v.Own
			window += v.Window
		}
	}
	if !o.anyReady(p.Region) {
		return min(window, max(used, o.reservedLoan(now, p, used)))
	}
	if !p.backlogged {
		return min(maxAskedSlots, window+min(o.waitingFor(p.Region), p.slots))
	}
	return min(maxAskedSlots, max(window+o.laggingRequests(now, p.Region, p.level-o.units(o.gap)/4), o.slotDeficit(p)))
}

// laggingRequests returns the number of waiting requests of accounts with a
// long-lasting backlog and a virtual time below the given one that may use upstreams of a
// region.
func (o *Owner) laggingRequests(now time.Time, region redwingshunt.RegionID, below exchanger.Units) int {
	n := 0
	for _, a := range o.ready {
		if a.rule.Regions.Has(region) && o.levelOf(a) < below && now.Sub(a.backlogSince) >= lastingBacklogAge {
			n += a.waiting
		}
	}
	return n
}

// reservedLoan returns the number of borrowed slots to keep without work. A region
// without upstreams keeps as many as it used recently, so that a request does not
// wait for an exchange with another region. The same holds with an account that may use
// the upstreams of the peer, but not those of the local region.
func (o *Owner) reservedLoan(now time.Time, p *peer, used int) int {
	if used >= p.peakUsed || now.Sub(p.peakAt) > reservedLoanTime {
		p.peakUsed, p.peakAt = used, now
	}
	if o.pool.Slots() > 0 && !o.depends(p.Region) {
		return 0
	}
	return p.peakUsed
}
