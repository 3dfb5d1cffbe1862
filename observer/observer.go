// Package observer turns what an instance does into metrics. It has two halves:
// a filter that counts requests as they end, and a look every Period at the state
// of the parts, of which the numbers become gauges.
//
// Labels are names out of the document, of regions and of zones, so that the
// number of series is bounded by the document. Upstreams are added up by service
// and availability zone; one of them alone is seen in the administration API.
// docs/ALERTS.md lists the metrics and what to do about them.
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

// Period is the time between two looks at the parts.
const Period = 5 * time.Second

// Sources are the parts that are looked at. Configuration and Members must be
// given; every other part may be absent.
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
	gauges  map[series]bool           // whether the last look set it
	traffic map[string]linker.Traffic // of the last look, by kind

	requests *cache[accountOutcome, tally.Counter]
	outcomes *cache[serviceReason, tally.Counter]
	took     *cache[string, tally.Histogram] // by service
}

// series is a gauge with its labels as two keys and values, of which the second
// may be empty.
type series struct {
	name                         string
	key, value, other, otherSays string
}

// New returns an observer that has seen nothing yet.
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

// Run looks at the parts until the context ends.
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

// Observe looks at the parts once. It must not be called twice at the same time.
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
			o.tagged(s).Gauge(s.name).Update(0) // what it counted is gone
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
	if s.other != "" {
		tags[s.other] = s.otherSays
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
	} else {
		ready = false
	}
	o.set(series{name: "ready"}, oneIf(ready))
}

// named returns the series of another name with the same labels.
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
			continue // its own region counts it
		}
		service := series{key: "service", value: string(u.Service), other: "zone", otherSays: string(u.Zone)}
		sums[service.named("upstream_slots")] += u.Slots
		sums[service.named("upstream_window")] += u.Window
		sums[service.named("upstream_running")] += u.Running
		sums[service.named("upstream_lent")] += u.Lent
		sums[service.named("upstream_foreign")] += u.Foreign
		sums[series{name: "upstreams", key: "service", value: string(u.Service), other: "health", otherSays: u.Health}]++
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
		o.set(group.named("log_leader_known"), oneIf(l.Leader != ""))
		o.set(group.named("log_leading"), oneIf(l.Leader == self))
		if l.Leader == self {
			silent, lag := follow(l)
			o.set(group.named("log_silent"), float64(silent))
			o.set(group.named("log_lag"), float64(lag))
		}
	}
}

// follow returns how many members the leader does not hear of, and the largest
// lag of the others.
func follow(l administrator.LogStatus) (silent int, lag uint64) {
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
		o.count(t.Kind, "across", t.AcrossMessages-before.AcrossMessages, t.AcrossBytes-before.AcrossBytes)
		o.count(t.Kind, "received", t.Received-before.Received, t.ReceivedBytes-before.ReceivedBytes)
		o.scope.Tagged(map[string]string{"kind": t.Kind}).Counter("link_dropped").Inc(int64(t.Dropped - before.Dropped))
	}
}

// count adds to the counters of one kind of message and one way.
func (o *Observer) count(kind, way string, messages, bytes uint64) {
	scope := o.scope.Tagged(map[string]string{"kind": kind, "way": way})
	scope.Counter("link_messages").Inc(int64(messages))
	scope.Counter("link_bytes").Inc(int64(bytes))
}

// oneIf returns a truth value as a gauge has it.
func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
