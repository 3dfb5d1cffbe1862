package allocator

// Cold upstreams: what package placer is told of the fleet, and what it reports.

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/admitter"
	"github.com/redwingshunt/redwingshunt/placer"
)

const (
	// observePeriod is how often the core is told which instances serve routes. It is
	// short compared with the times of package admitter.
	observePeriod = 250 * time.Millisecond
	// maxLoggedCold is the maximum number of services, and of changes, that are logged in
	// a period.
	maxLoggedCold = 20
)

// coldSeries are the metric series of a service with a ramp.
type coldSeries struct {
	upstreams               tally.Gauge
	admitted, kept, refused tally.Counter
}

// observeFleet tells the core which instances serve routes and whether this one is in
// contact with a quorum of the voters, and logs upstreams that have turned cold or warm.
func (a *Allocator) observeFleet() {
	now := a.options.Clock.Now()
	var fleet admitter.Fleet
	for _, member := range a.options.Members.Live() {
		if member.Routes && !member.Leaving {
			fleet.Routers = append(fleet.Routers, member.ID)
		}
	}
	if a.options.Contact != nil {
		fleet.Contact = a.options.Contact()
	}
	a.mu.Lock()
	var changes []placer.ColdChange
	if a.core.ObserveFleet(now, fleet) {
		changes = a.core.ColdChanges(now)
	}
	a.mu.Unlock()
	for i, change := range changes {
		if i == maxLoggedCold {
			a.options.Logger.Info("more upstreams turned cold or warm", "upstreams", len(changes)-i)
			return
		}
		a.logColdChange(now, change)
	}
}

func (a *Allocator) logColdChange(now time.Time, change placer.ColdChange) {
	upstream, service := string(change.Upstream.ID), string(change.Upstream.Service)
	if change.Until.IsZero() {
		a.options.Logger.Info("upstream turned warm", "upstream", upstream, "service", service)
		return
	}
	a.options.Logger.Info("upstream turned cold", "upstream", upstream, "service", service,
		"zone", string(change.Upstream.Zone), "remaining", change.Until.Sub(now).String(), "admits", change.Admits)
}

// reportCold logs and counts the requests that were kept from cold upstreams.
func (a *Allocator) reportCold() {
	now := a.options.Clock.Now()
	a.mu.Lock()
	states := a.core.ColdStates(now)
	a.mu.Unlock()
	for _, series := range a.coldMetrics {
		series.upstreams.Update(0) // of a service whose ramp is gone
	}
	for i, s := range states {
		series := a.coldSeriesOf(s.Service)
		series.upstreams.Update(float64(s.Upstreams))
		series.admitted.Inc(int64(s.Counts.Admitted))
		series.kept.Inc(int64(s.Counts.Kept))
		series.refused.Inc(int64(s.Counts.Refused))
		if s.Counts.Kept > 0 && i < maxLoggedCold {
			a.options.Logger.Info("requests kept from cold upstreams", "service", string(s.Service), "cold", s.Upstreams,
				"kept", s.Counts.Kept, "refused", s.Counts.Refused, "admitted", s.Counts.Admitted)
		}
	}
}

func (a *Allocator) coldSeriesOf(service redwingshunt.ServiceID) *coldSeries {
	series := a.coldMetrics[service]
	if series == nil {
		scope := a.options.Metrics.Tagged(map[string]string{"service": string(service)})
		series = &coldSeries{
			upstreams: scope.Gauge("cold_upstreams"), admitted: scope.Counter("cold_admitted"),
			kept: scope.Counter("cold_kept"), refused: scope.Counter("cold_refused"),
		}
		a.coldMetrics[service] = series
	}
	return series
}
