package balancer

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// This file applies evacuations of availability zones. An evacuated upstream has a limit
// of zero, so its slots are neither granted, nor lent, nor counted. It stays in the pool
// with its window and its running requests. Its health is not kept: while it gets no
// requests it does not count among the upstreams of which half are not ejected.

// Evacuate sets the availability zones whose upstreams get no new requests, borrowed ones
// included.
func (p *Pool) Evacuate(now time.Time, zones []redwingshunt.ZoneID) {
	if len(zones) == 0 && len(p.evacuatedZones) == 0 {
		return
	}
	p.evacuatedZones = redwingshunt.NewSet(zones...)
	for _, e := range p.sorted {
		p.updateHealth(e)
	}
	p.updateLimits(now)
}

// Evacuated returns the number of upstreams of the local region that get no requests
// because of an evacuation.
func (p *Pool) Evacuated() int { return p.evacuated }

// isEvacuated reports whether the availability zone of an upstream is evacuated.
func (p *Pool) isEvacuated(e *entry) bool { return p.evacuatedZones.Has(e.upstream.Zone) }

// updateHealth adds an upstream to the health core, unless it gets no requests anyway.
func (p *Pool) updateHealth(e *entry) {
	if e.leaving || p.isEvacuated(e) {
		p.health(e.key).Leave(e.key.health())
		return
	}
	p.health(e.key).Add(e.key.health())
}
