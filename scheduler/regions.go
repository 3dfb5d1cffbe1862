package scheduler

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// This file applies the regions of client accounts. An account that may not use the
// upstreams of a region counts in no decision on the slots of that region: neither as
// waiting work there, nor as one that lags, nor in what is asked of a peer there. While no
// account is limited, all accounts count everywhere.

// anyReady reports whether requests wait for a slot that may use upstreams of a region.
func (o *Owner) anyReady(region redwingshunt.RegionID) bool {
	if !o.limited {
		return len(o.ready) > 0
	}
	return slices.ContainsFunc(o.ready, func(a *account) bool { return a.rule.Regions.Has(region) })
}

// waitingFor returns the number of waiting requests that may use upstreams of a region.
func (o *Owner) waitingFor(region redwingshunt.RegionID) int {
	if !o.limited {
		return o.waiting
	}
	n := 0
	for _, a := range o.accounts {
		if a.waiting > 0 && a.rule.Regions.Has(region) {
			n += a.waiting
		}
	}
	return n
}

// depends reports whether an account may use upstreams of another region, but not those of
// the local one.
func (o *Owner) depends(region redwingshunt.RegionID) bool {
	if !o.limited {
		return false
	}
	for _, a := range o.accounts {
		if a.rule.Regions.Has(region) && !a.rule.Regions.Has(o.options.Region) {
			return true
		}
	}
	return false
}

// noteBorrowed records the use of a borrowed slot for reservedLoan. The requests of a limited
// account may be too short and too rare to run while a ledger is composed.
func (o *Owner) noteBorrowed(now time.Time, lender redwingshunt.InstanceID) {
	if !o.limited || lender == "" {
		return
	}
	p := o.peers[lender]
	if p == nil {
		return
	}
	if used := o.pool.OwnOf(lender); used >= p.peakUsed {
		p.peakUsed, p.peakAt = used, now
	}
}

// slotDeficit returns the number of slots of a peer's region that are guaranteed to
// accounts beyond the slots of the local region. Accounts that may not use the local ones
// lack all that is guaranteed to them.
func (o *Owner) slotDeficit(p *peer) int {
	due, shared, lacking := 0, 0, 0.0
	for _, a := range o.ready {
		local, remote := a.rule.Regions.Has(o.options.Region), a.rule.Regions.Has(p.Region)
		switch {
		case local:
			due += a.guaranteedRuns
			if remote {
				shared += a.guaranteedRuns
			}
		case remote && a.guaranteedRuns > 0:
			lacking += float64(a.guaranteedRuns) * o.lenderRatio(a)
		}
	}
	return min(shared, max(0, due-o.pool.Slots())) + int(lacking)
}

// lenderRatio returns the number of slots of all regions per slot that an account may use
// elsewhere. A lender gives its part of a deficit among the slots of all regions.
func (o *Owner) lenderRatio(a *account) float64 {
	all, allowed := o.pool.Slots(), 0
	for _, p := range o.sortedPeers {
		if p.Standby {
			continue
		}
		all += p.slots
		if a.rule.Regions.Has(p.Region) {
			allowed += p.slots
		}
	}
	return float64(all) / float64(max(1, allowed))
}

// refuseOutside tells routers at once to refuse the waiting requests of accounts without
// an upstream in their regions.
func (o *Owner) refuseOutside(now time.Time) {
	if !o.limited || !o.active || o.waiting == 0 || now.Sub(o.electedAt) < noUpstreamGrace {
		return
	}
	var outside []*account
	for _, a := range o.ready {
		if a.rule.Regions.Limited() && !o.servedIn(now, a.rule.Regions) {
			outside = append(outside, a)
		}
	}
	for _, a := range outside {
		for _, d := range a.demands {
			if d.queued > 0 {
				d.queued = 0
				m := o.message(d.router)
				m.NoRegion = append(m.NoRegion, string(a.id))
			}
		}
		o.refresh(a)
	}
}

// servedIn reports whether an upstream in one of the allowed regions takes requests, as far
// as known.
func (o *Owner) servedIn(now time.Time, allowed redwingshunt.AllowedRegions) bool {
	return slices.ContainsFunc(o.sortedPeers, func(p *peer) bool {
		return p.mayLend(now) && allowed.Has(p.Region)
	}) || o.pool.AliveIn(allowed) > 0
}

// refuseAccounts refuses the waiting requests of accounts without an upstream in their
// regions.
func (q *Queue) refuseAccounts(now time.Time, accounts []string) {
	for _, id := range accounts {
		l := q.queues[redwingshunt.AccountID(id)]
		if l == nil {
			continue
		}
		l.changed = true
		refusal := noRegion(q.regions[l.account])
		for _, t := range slices.Clone(l.tickets) {
			q.remove(now, t)
			q.refuse(t.Ticket, refusal)
		}
	}
}

// noRegion returns the refusal of a request without an upstream in the allowed regions.
func noRegion(allowed redwingshunt.AllowedRegions) *redwingshunt.OutcomeError {
	detail := fmt.Sprintf("no upstream of this service in the allowed regions takes requests: %s", allowed)
	return redwingshunt.NotRun(redwingshunt.ReasonNoRegion, http.StatusServiceUnavailable, detail).After(time.Second)
}
