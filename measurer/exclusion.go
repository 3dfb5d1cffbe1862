package measurer

import (
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// orderTime is the time after which an evacuation is in force on all instances. Each
// instance gets it at a random time before.
const orderTime = 500 * time.Millisecond

// Evacuate evacuates availability zones, and no others.
func (f *Fleet) Evacuate(zones ...redwingshunt.ZoneID) {
	f.gauge.capacity()
	f.evacuated, f.orderedAt = zones, f.now
	for _, e := range f.engines {
		switch {
		case !slices.Contains(zones, e.upstream.Zone):
			e.evacuatedAt = time.Time{}
		case e.evacuatedAt.IsZero():
			e.evacuatedAt = f.now
		}
	}
	for _, n := range f.nodes {
		f.after(time.Duration(f.random.Int64N(int64(orderTime))), func() {
			if n.alive {
				f.stepQueue(n, f.configuration())
				f.stepOwners(n, f.configuration())
			}
		})
	}
}

// excludes reports whether a request must not be sent to an upstream: it is outside the
// regions of the account, or has been evacuated for orderTime.
func (f *Fleet) excludes(r *request, e *engine) bool {
	if !redwingshunt.NewAllowedRegions(r.load.Regions...).Has(e.upstream.Region) {
		return true
	}
	return !e.evacuatedAt.IsZero() && f.now.Sub(e.evacuatedAt) > orderTime+f.scenario.Across
}
