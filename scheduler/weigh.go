package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/exchanger"
)

// reserve computes the reservation of a running request: what it has received
// beyond its reported cost, and one slot for the horizon. The horizon is the
// same for all accounts, so equal virtual times mean equal service and equal
// numbers of slots, however long the requests are. It is as long as the longest
// requests run, since a slot given to one of them cannot be taken back sooner:
// a shorter one would give a lagging account more slots than it needs.
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

// unreported estimates what a running request has received beyond its reported
// cost.
func (o *Owner) unreported(now time.Time, r *run) float64 {
	predicted := min(r.account.estimate, o.rateOf(r.account)*now.Sub(r.started).Seconds())
	return max(0, predicted-float64(r.cost))
}

// rateOf returns the cost that one slot gives an account a second.
func (o *Owner) rateOf(a *account) float64 {
	if a.rate > 0 {
		return a.rate
	}
	return o.rate
}

// look sets the horizon.
func (o *Owner) look() {
	o.longest = leastHorizon
	for _, a := range o.accounts {
		if o.rate > 0 && (a.waiting > 0 || len(a.runs) > 0) {
			usual := time.Duration(a.estimate / o.rateOf(a) * float64(time.Second))
			o.longest = max(o.longest, min(usual, mostHorizon))
		}
	}
	o.horizon = o.longest
	for _, p := range o.order {
		if !p.Standby && p.slots > 0 {
			o.horizon = max(o.horizon, p.horizon)
		}
	}
}

// clamp bounds the lag of backlogged accounts behind the foremost one, so that
// what was missed during a partition is not made up for at the cost of others
// for as long as the partition lasted.
func (o *Owner) clamp(now time.Time) {
	if o.rate == 0 || len(o.ready) == 0 {
		return
	}
	foremost, largest := exchanger.Units(0), exchanger.Units(0)
	for _, a := range o.accounts {
		if a.backlogged() {
			foremost = max(foremost, o.ledger.Virtual(a.id))
			largest = max(largest, exchanger.UnitsOf(redwingshunt.Cost(a.estimate), a.rule.Share))
		}
	}
	bound := max(o.units(o.gap), o.units(time.Second)) + largest
	for _, a := range slices.Clone(o.ready) {
		o.lift(now, a, foremost-bound)
		o.refresh(a)
	}
}

// extrapolate estimates what the peers have given an account, or are about to
// give it, beyond what their ledgers count.
func (o *Owner) extrapolate(now time.Time, a *account) {
	a.away = 0
	for _, r := range a.remote {
		elapsed := min(now.Sub(r.at), exchangeRefresh).Seconds()
		since := float64(r.running) * o.rateOf(a) * (max(0, elapsed) + o.horizon.Seconds())
		a.away += r.pending + exchanger.UnitsOf(redwingshunt.Cost(since), a.rule.Share)
	}
}

// weights returns the sum of the shares of all backlogged accounts.
func (o *Owner) weights() float64 {
	sum := 0.0
	for _, a := range o.accounts {
		if a.backlogged() {
			sum += float64(max(1, a.rule.Share))
		}
	}
	return sum
}

// pace sets what is due to an account here whatever its virtual time. An account
// that has work waiting in other regions too may be kept ahead by the service
// there; so that its work here does not wait for as long as that lasts, it gets
// leastPart of its fair rate here, in proportion to what waits here.
func (o *Owner) pace(now time.Time, a *account, weights float64) {
	queued := a.waiting
	for _, r := range a.remote {
		queued += r.queued
	}
	if a.waiting == 0 || queued == a.waiting || o.rate == 0 {
		a.pace(now, 0, 0)
		return
	}
	whole := float64(o.units(time.Second)) * o.share / exchanger.Scale // cost a second
	fair := whole * float64(max(1, a.rule.Share)) / max(weights, 1)
	here := max(1, fair*float64(a.waiting)/float64(queued)*leastPart)
	interval := time.Duration(a.estimate / here * float64(time.Second))
	a.pace(now, interval, int(math.Ceil(here/o.rateOf(a))))
}

// units returns the virtual time that the whole service advances in d when all
// accounts have the mean share.
func (o *Owner) units(d time.Duration) exchanger.Units {
	slots := o.pool.Slots()
	for _, p := range o.order {
		if !p.Standby {
			slots += p.slots
		}
	}
	return exchanger.Units(o.rate * float64(slots) * d.Seconds() * exchanger.Scale / o.share)
}

// wake lifts an account that returns from idle to the least virtual time among
// the backlogged, or to the foremost when nothing is backlogged. Reservations
// do not count: the account takes slots until it has as many as the others.
func (o *Owner) wake(now time.Time, a *account) {
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

// lift raises the virtual time of an account.
func (o *Owner) lift(now time.Time, a *account, level exchanger.Units) {
	if o.ledger.Lift(a.id, level) {
		a.lifted = now
	}
}
