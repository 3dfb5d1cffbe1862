package scheduler

import (
	"slices"
	"time"
)

// refuseEvacuated tells routers at once to refuse their waiting requests if the only
// upstreams of the service are in evacuated availability zones. Unlike refuseWaiting it
// does not wait for the news of an upstream in another region, since an evacuation lasts.
func (o *Owner) refuseEvacuated(now time.Time) {
	if !o.active || o.waiting == 0 || o.pool.Evacuated() == 0 || o.pool.Alive() ||
		now.Sub(o.electedAt) < noUpstreamGrace {
		return
	}
	if !slices.ContainsFunc(o.sortedPeers, func(p *peer) bool { return p.mayLend(now) }) {
		o.refuseAll()
	}
}

// mayLend reports whether a peer has slots, as far as known. One that was just added, since
// it has become the owner in its region, may have some until its first ledger. A standby
// has the upstreams of this owner.
func (p *peer) mayLend(now time.Time) bool {
	return !p.Standby && (p.slots > 0 || p.received == 0 && now.Sub(p.addedAt) < noUpstreamGrace)
}

// Evacuated returns the number of upstreams of the cell that get no requests because of
// an evacuation.
func (o *Owner) Evacuated() int { return o.pool.Evacuated() }
