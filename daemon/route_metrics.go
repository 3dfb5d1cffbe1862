package daemon

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/redwingshunt/redwingshunt/relayer"
)

// maxRouteSeries limits the number of routes with separate series.
const maxRouteSeries = 100

// otherRoute is the label of requests without a route and of routes above
// maxRouteSeries.
const otherRoute = "other"

// routeBuckets suit latency objectives from 200 ms to a few seconds.
var routeBuckets = tally.DurationBuckets{
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond,
	5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// routeMetrics holds the metric series of all routes.
type routeMetrics struct {
	scope tally.Scope

	mu     sync.Mutex
	routes map[string]*routeSeries
}

// routeSeries holds the metric series of one route.
type routeSeries struct {
	outcomes map[string]tally.Counter
	hedges   map[string]tally.Counter // by result
	attempts tally.Counter
	first    tally.Histogram
	total    tally.Histogram
	scope    tally.Scope
}

func newRouteMetrics(scope tally.Scope) *routeMetrics {
	return &routeMetrics{scope: scope, routes: make(map[string]*routeSeries)}
}

// observe records a finished request.
func (m *routeMetrics) observe(record relayer.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	series := m.seriesOf(string(record.Route), string(record.Service))
	counter := series.outcomes[record.Outcome]
	if counter == nil {
		counter = series.scope.Tagged(map[string]string{"outcome": record.Outcome}).Counter("route_requests")
		series.outcomes[record.Outcome] = counter
	}
	counter.Inc(1)
	series.attempts.Inc(int64(record.Attempts))
	if record.Loads > 0 { // services whose upstreams report no load have no such series
		series.scope.Counter("route_loads").Inc(int64(record.Loads))
	}
	if record.OddLoads > 0 {
		series.scope.Counter("route_odd_loads").Inc(int64(record.OddLoads))
	}
	if record.Hedge != "" {
		series.countHedge(record.Hedge)
	}
	if record.FirstByte > 0 {
		series.first.RecordDuration(record.FirstByte)
	}
	series.total.RecordDuration(record.Total)
}

// countHedge counts a request that was hedged, or that was not although a hedge was due.
func (s *routeSeries) countHedge(result string) {
	results := []string{result}
	if result == relayer.HedgeWon || result == relayer.HedgeWasted {
		results = append(results, "sent")
	}
	for _, result := range results {
		counter := s.hedges[result]
		if counter == nil {
			counter = s.scope.Tagged(map[string]string{"result": result}).Counter("route_hedges")
			s.hedges[result] = counter
		}
		counter.Inc(1)
	}
}

// seriesOf returns the series of a route, or those of otherRoute once there are
// maxRouteSeries. The caller holds mu.
func (m *routeMetrics) seriesOf(route, service string) *routeSeries {
	if route == "" {
		route = otherRoute
	}
	if series := m.routes[route]; series != nil {
		return series
	}
	if len(m.routes) >= maxRouteSeries {
		route, service = otherRoute, otherRoute
		if series := m.routes[route]; series != nil {
			return series
		}
	}
	scope := m.scope.Tagged(map[string]string{"route": route, "service": service})
	series := &routeSeries{
		outcomes: make(map[string]tally.Counter),
		hedges:   make(map[string]tally.Counter),
		attempts: scope.Counter("route_attempts"),
		first:    scope.Histogram("route_first_seconds", routeBuckets),
		total:    scope.Histogram("route_seconds", routeBuckets),
		scope:    scope,
	}
	m.routes[route] = series
	return series
}
