// Package observer collects the metrics of an instance. A filter counts requests
// when they end, and every Period the observer samples the state of the
// instance's components into gauges and counters.
//
// Labels are names from the document, of regions and of availability zones, so
// the document bounds the number of series. Upstreams are summed by service and
// availability zone; the administration API shows them individually.
// docs/ALERTS.md lists the metrics and how to respond to them.
//
// # Usage
//
//	o := observer.New(scope, observer.Sources{Configuration: configuration, Members: members})
//	chain := redwingshunt.Chain(last, responder.Filter, o.Filter, others...)
//	go o.Run(ctx)
package observer

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/administrator"
	"github.com/redwingshunt/redwingshunt/linker"
)

// Period is the sampling interval.
const Period = 5 * time.Second

// Sources are the components that are sampled. Configuration and Members are
// required; the others may be nil.
type Sources struct {
	Configuration redwingshunt.Configuration
	Members       redwingshunt.Members
	Readiness     administrator.Readiness
	Upstreams     administrator.UpstreamReader
	Log           administrator.LogReader
	Traffic       func() []linker.Traffic
}

// Observer publishes metrics through a scope.
type Observer struct {
	scope   tally.Scope
	sources Sources
	gauges  map[series]bool           // whether the current sample set it
	traffic map[string]linker.Traffic // last sample, by kind of message

	requests *cache[accountOutcome, tally.Counter]
	outcomes *cache[serviceReason, tally.Counter]
	took     *cache[string, tally.Histogram] // by service
}

// series identifies a gauge by its name and up to two labels. An empty key means
// no label.
type series struct {
	name                             string
	key, value, otherKey, otherValue string
}

// New returns an observer that publishes the metrics of sources to scope.
func New(scope tally.Scope, sources Sources) *Observer {
	o := &Observer{
		scope: scope, sources: sources,
		gauges: make(map[series]bool), traffic: make(map[string]linker.Traffic),
	}
	o.requests = newCache(o.newRequests)
	o.outcomes = newCache(o.newOutcomes)
	o.took = newCache(o.newTook)
	return o
}

// Run samples the sources every Period until ctx is done.
func (o *Observer) Run(ctx context.Context) {
	ticker := time.NewTicker(Period)
	defer ticker.Stop()
	for {
		o.Observe(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Observe samples the sources once. It must not be called concurrently.
func (o *Observer) Observe(now time.Time) {
	for s := range o.gauges {
		o.gauges[s] = false
	}
	o.observeInstance(now)
	o.observeUpstreams()
	o.observeLogs()
	o.observeTraffic()
	for s, set := range o.gauges {
		if !set {
			o.tagged(s).Gauge(s.name).Update(0) // what it measured no longer exists
			delete(o.gauges, s)
		}
	}
}

// set sets a gauge.
func (o *Observer) set(s series, value float64) {
	o.gauges[s] = true
	o.tagged(s).Gauge(s.name).Update(value)
}

// tagged returns the scope with the labels of a series.
func (o *Observer) tagged(s series) tally.Scope {
	if s.key == "" {
		return o.scope
	}
	tags := map[string]string{s.key: s.value}
	if s.otherKey != "" {
		tags[s.otherKey] = s.otherValue
	}
	return o.scope.Tagged(tags)
}

func (o *Observer) observeInstance(now time.Time) {
	live := make(map[redwingshunt.RegionID]int)
	for _, member := range o.sources.Members.Live() {
		live[member.Region]++
	}
	for region, count := range live {
		o.set(series{name: "instances", key: "region", value: string(region)}, float64(count))
	}
	ready := o.sources.Readiness == nil || o.sources.Readiness.Ready() == ""
	if snapshot := o.sources.Configuration.Current(); snapshot != nil {
		o.set(series{name: "revision"}, float64(snapshot.Revision))
		o.set(series{name: "revision_age_seconds"}, now.Sub(snapshot.At).Seconds())
		o.set(series{name: "evacuations_revision"}, float64(snapshot.Evacuations))
		for _, zone := range snapshot.Document.Evacuated {
			o.set(series{name: "evacuated", key: "zone", value: string(zone)}, 1)
		}
	} else {
		ready = false
	}
	o.set(series{name: "ready"}, boolGauge(ready))
}

// named returns a series with the given name and the same labels.
func (s series) named(name string) series {
	s.name = name
	return s
}

func (o *Observer) observeUpstreams() {
	if o.sources.Upstreams == nil {
		return
	}
	sums := make(map[series]int)
	for _, u := range o.sources.Upstreams.Upstreams() {
		if u.Lender != "" {
			continue // counted by the instances of its own region
		}
		service := series{key: "service", value: string(u.Service), otherKey: "zone", otherValue: string(u.Zone)}
		sums[service.named("upstream_slots")] += u.Slots
		sums[service.named("upstream_window")] += u.Window
		sums[service.named("upstream_running")] += u.Running
		sums[service.named("upstream_lent")] += u.Lent
		sums[service.named("upstream_foreign")] += u.Foreign
		sums[series{name: "upstreams", key: "service", value: string(u.Service), otherKey: "health", otherValue: u.Health}]++
	}
	for s, sum := range sums {
		o.set(s, float64(sum))
	}
}

func (o *Observer) observeLogs() {
	if o.sources.Log == nil {
		return
	}
	self := o.sources.Members.Self().ID
	for _, l := range o.sources.Log.Logs() {
		group := series{key: "group", value: groupName(l.Group)}
		o.set(group.named("log_term"), float64(l.Term))
		o.set(group.named("log_commit"), float64(l.Commit))
		o.set(group.named("log_last"), float64(l.Last))
		o.set(group.named("log_voters"), float64(len(l.Voters())))
		o.set(group.named("log_leader_known"), boolGauge(l.Leader != ""))
		o.set(group.named("log_leading"), boolGauge(l.Leader == self))
		if l.Survives != nil {
			survives := group.named("log_survives")
			survives.otherKey, survives.otherValue = "loss", "zone"
			o.set(survives, boolGauge(l.Survives.Zone))
			survives.otherValue = "region"
			o.set(survives, boolGauge(l.Survives.Region))
		}
		if l.Leader == self {
			silent, lag := followerLag(l)
			o.set(group.named("log_silent"), float64(silent))
			o.set(group.named("log_lag"), float64(lag))
		}
	}
}

// Joined records the time from the start of this instance until it was a voter.
func (o *Observer) Joined(took time.Duration) {
	o.scope.Gauge("log_join_seconds").Update(took.Seconds())
}

// SeatMoved counts a seat that this voter gave up to a better placed instance.
func (o *Observer) SeatMoved() { o.scope.Counter("log_seats_moved").Inc(1) }

// followerLag returns the number of members that the leader does not hear from,
// and the largest lag of the others.
func followerLag(l administrator.LogStatus) (silent int, lag uint64) {
	for _, m := range l.Members {
		switch {
		case m.Instance == l.Leader:
		case !m.Alive:
			silent++
		default:
			lag = max(lag, m.Lag)
		}
	}
	return silent, lag
}

func (o *Observer) observeTraffic() {
	if o.sources.Traffic == nil {
		return
	}
	for _, t := range o.sources.Traffic() {
		before := o.traffic[t.Kind]
		o.traffic[t.Kind] = t
		o.count(t.Kind, "inside", t.Messages-before.Messages, t.Bytes-before.Bytes)
		o.count(t.Kind, "across", t.CrossRegionMessages-before.CrossRegionMessages, t.CrossRegionBytes-before.CrossRegionBytes)
		o.count(t.Kind, "received", t.Received-before.Received, t.ReceivedBytes-before.ReceivedBytes)
		kind := o.scope.Tagged(map[string]string{"kind": t.Kind})
		kind.Counter("link_dropped").Inc(int64(t.Dropped - before.Dropped))
		kind.Counter("link_saved_bytes").Inc(int64(t.Saved - before.Saved))
	}
}

// count adds to the counters of one kind of message and one direction.
func (o *Observer) count(kind, way string, messages, bytes uint64) {
	scope := o.scope.Tagged(map[string]string{"kind": kind, "way": way})
	scope.Counter("link_messages").Inc(int64(messages))
	scope.Counter("link_bytes").Inc(int64(bytes))
}

// boolGauge returns the value of a boolean gauge: 1 for true, 0 for false.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
