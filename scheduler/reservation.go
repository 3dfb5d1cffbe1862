package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/exchanger"
)

// reserve recomputes the reservation of a running request: the service that it
// has received beyond its reported cost, plus one slot for the horizon. The
// horizon is the same for all accounts, so equal virtual times mean equal service
// and equal numbers of slots, whatever the length of the requests. It is as long as
// the longest requests run, since a slot granted to one of them cannot be
// reclaimed sooner: a shorter horizon would give a lagging account more slots than
// it needs.
func (o *Owner) reserve(now time.Time, r *run) {
	a := r.account
	estimate := a.estimate
	if estimate == 0 {
		estimate = 1
	}
	reserve := max(0, estimate-float64(r.cost))
	if o.rate > 0 {
		reserve = o.unreported(now, r) + o.rateOf(a)*o.horizon.Seconds()
	}
	u := exchanger.UnitsOf(redwingshunt.Cost(reserve), a.rule.Share)
	a.reserved += u - r.reserve
	r.reserve = u
}

// unreported estimates the service that a running request has received beyond its
// reported cost.
func (o *Owner) unreported(now time.Time, r *run) float64 {
	predicted := min(r.account.estimate, o.rateOf(r.account)*now.Sub(r.started).Seconds())
	return max(0, predicted-float64(r.cost))
}

// rateOf returns the typical cost per second of one slot of an account.
func (o *Owner) rateOf(a *account) float64 {
	if a.rate > 0 {
		return a.rate
	}
	return o.rate
}

// updateHorizon recomputes the horizon of reservations.
func (o *Owner) updateHorizon() {
	o.longestRun = minHorizon
	for _, a := range o.accounts {
		if o.rate > 0 && (a.waiting > 0 || len(a.runs) > 0) {
			typical := time.Duration(a.estimate / o.rateOf(a) * float64(time.Second))
			o.longestRun = max(o.longestRun, min(typical, maxHorizon))
		}
	}
	o.horizon = o.longestRun
	for _, p := range o.sortedPeers {
		if !p.Standby && p.slots > 0 {
			o.horizon = max(o.horizon, p.horizon)
		}
	}
}

// limitLag bounds the lag of backlogged accounts behind the one with the highest
// virtual time. Without the bound, an account that received too little during a
// partition would catch up at the expense of the others for as long as the
// partition lasted.
func (o *Owner) limitLag(now time.Time) {
	if o.rate == 0 || len(o.ready) == 0 {
		return
	}
	highest, largest := exchanger.Units(0), exchanger.Units(0)
	for _, a := range o.accounts {
		if a.backlogged() {
			highest = max(highest, o.ledger.Virtual(a.id))
			largest = max(largest, exchanger.UnitsOf(redwingshunt.Cost(a.estimate), a.rule.Share))
		}
	}
	bound := max(o.units(o.gap), o.units(time.Second)) + largest
	for _, a := range slices.Clone(o.ready) {
		o.lift(now, a, highest-bound)
		o.refresh(a)
	}
}

// extrapolate estimates the service that an account has received or reserved at
// peers beyond what their ledgers count.
func (o *Owner) extrapolate(now time.Time, a *account) {
	a.peerReserved = 0
	for _, r := range a.remote {
		elapsed := min(now.Sub(r.at), exchangeRefreshPeriod).Seconds()
		extrapolated := float64(r.running) * o.rateOf(a) * (max(0, elapsed) + o.horizon.Seconds())
		a.peerReserved += r.pending + exchanger.UnitsOf(redwingshunt.Cost(extrapolated), a.rule.Share)
	}
}

// backloggedShares returns the sum of the shares of all backlogged accounts.
func (o *Owner) backloggedShares() float64 {
	sum := 0.0
	for _, a := range o.accounts {
		if a.backlogged() {
			sum += float64(max(1, a.rule.Share))
		}
	}
	return sum
}

// guarantee sets the rate of grants that an account gets here whatever its virtual
// time. Service in other regions may keep the virtual time of an account ahead for
// as long as requests wait there, which would starve its requests here. It is
// therefore guaranteed guaranteedFraction of its fair rate, in proportion to the
// part of its backlog that is here.
func (o *Owner) guarantee(now time.Time, a *account, shares float64) {
	queued := a.waiting
	for _, r := range a.remote {
		queued += r.queued
	}
	if a.waiting == 0 || queued == a.waiting || o.rate == 0 {
		a.guarantee(now, 0, 0)
		return
	}
	serviceRate := float64(o.units(time.Second)) * o.meanShare / exchanger.Scale // cost per second
	fairRate := serviceRate * float64(max(1, a.rule.Share)) / max(shares, 1)
	guaranteedRate := max(1, fairRate*float64(a.waiting)/float64(queued)*guaranteedFraction)
	interval := time.Duration(a.estimate / guaranteedRate * float64(time.Second))
	a.guarantee(now, interval, int(math.Ceil(guaranteedRate/o.rateOf(a))))
}

// units returns the virtual time by which the whole service advances in d, if all
// accounts have the mean share.
func (o *Owner) units(d time.Duration) exchanger.Units {
	slots := o.pool.Slots()
	for _, p := range o.sortedPeers {
		if !p.Standby {
			slots += p.slots
		}
	}
	return exchanger.Units(o.rate * float64(slots) * d.Seconds() * exchanger.Scale / o.meanShare)
}

// liftIdle lifts an account that returns from idle to the lowest virtual time of
// the backlogged accounts, or to the highest of all when none is backlogged.
// Reservations do not count: the account is granted slots until it has as many as
// the others.
func (o *Owner) liftIdle(now time.Time, a *account) {
	least, most, found := exchanger.Units(0), exchanger.Units(0), false
	for _, other := range o.accounts {
		if other == a {
			continue
		}
		v := o.ledger.Virtual(other.id)
		most = max(most, v)
		if other.backlogged() && (!found || v < least) {
			least, found = v, true
		}
	}
	if !found {
		least = most
	}
	o.lift(now, a, least)
}

// lift raises the virtual time of an account to a level, unless it is higher.
func (o *Owner) lift(now time.Time, a *account, level exchanger.Units) {
	if o.ledger.Lift(a.id, level) {
		a.liftedAt = now
	}
}
