package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/administrator"
	"github.com/redwingshunt/redwingshunt/coordinator"
	"github.com/redwingshunt/redwingshunt/observer"
	"github.com/redwingshunt/redwingshunt/reporter"
)

// adminHeaderTimeout limits the time for reading the header of a request to the
// administration API, the metrics or the readiness check.
const adminHeaderTimeout = 5 * time.Second

// adminReadTimeout limits the time for reading a whole request to the
// administration API; adminHeaderBytes limits the size of its header.
const (
	adminReadTimeout = time.Minute
	adminHeaderBytes = 64 << 10
)

// wallClock is the system clock.
type wallClock struct{}

// Now returns the current time.
func (wallClock) Now() time.Time { return time.Now() }

// parts returns the components that the administration API uses.
func (d *Daemon) parts() administrator.Parts {
	parts := administrator.Parts{
		Version:       redwingshunt.Version,
		Members:       d.members,
		Configuration: d.configuration,
		Bootstrap:     d.settings.Bootstrap,
		Readiness:     d,
		Fleet:         d,
		Accounts:      d.schedulingStates(),
		Upstreams:     d.schedulingStates(),
		Log:           d.control,
		History:       d.control,
		Repairer:      d.control,
		Archiver:      d.control,
		Dumpers: map[string]redwingshunt.Dumper{
			"members":    d.members,
			"links":      d.linker,
			"dispatcher": d.dispatcher,
			"answers":    d.guarantees.keeper,
			"suspects":   d.guarantees.notifier,
			"prompts":    d.guarantees.correlator,
			"scheduling": d.scheduling,
			"log":        d.control.recorder,
			"document":   d.control.subscription,
			"roll":       d.enroller,
			"gatherer":   d.gatherer,
			"origins":    d.custodian,
		},
		Drainer: d,
	}
	if d.routeServer != nil {
		parts.Placements = d.routeServer
	}
	if d.sockets.metrics == nil {
		parts.Metrics = d.metrics.handler
	}
	if d.fixed == nil {
		parts.Submitter = d.control.submitter
		parts.Texts = d.control.subscription
		parts.Evacuator = d
	}
	return parts
}

// schedulingStates returns the view of the scheduler for the administration API
// and the metrics.
func (d *Daemon) schedulingStates() administrator.Scheduling {
	return administrator.Scheduling{
		Self:          d.members.Self,
		Configuration: d.configuration,
		States:        func(limit int) []coordinator.State { return d.scheduling.States(limit) },
	}
}

// Ready returns the reason why the instance does not serve callers, or "" if it
// does.
func (d *Daemon) Ready() string {
	switch {
	case d.listener.Leaving():
		return "the instance is shutting down"
	case d.routeServer != nil && d.routeServer.relayer.Leaving():
		return "the instance is shutting down"
	case d.routeServer != nil && !d.routeServer.hasSeenUpstreams():
		return "the instance has heard of no upstream yet"
	case d.configuration.Current() == nil:
		return "the instance has no configuration yet"
	default:
		return ""
	}
}

// Drain begins a graceful shutdown.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.drain) }) }

// surveyTimeout limits the wait for the revisions of other instances.
const surveyTimeout = 500 * time.Millisecond

// Fleet returns the status of the live instances, with the revisions that they
// report in time.
func (d *Daemon) Fleet() []administrator.InstanceStatus {
	revisions := d.surveyor.Ask(context.Background(), surveyTimeout)
	var fleet []administrator.InstanceStatus
	for _, i := range d.members.Live() {
		fleet = append(fleet, administrator.InstanceStatus{
			Instance: i.ID, Region: i.Region, Zone: i.Zone, Link: i.Address.String(),
			Voter: i.Voter, Leaving: i.Leaving, Revision: revisions[i.ID],
		})
	}
	return fleet
}

// metrics holds the metrics scope of the daemon and the components that record
// in it.
type metrics struct {
	scope    tally.Scope
	observer *observer.Observer
	routes   *routeMetrics
	handler  http.Handler
	closer   io.Closer
}

func newMetrics(d *Daemon) *metrics {
	scope, handler, closer := reporter.New()
	return &metrics{
		scope:  scope,
		routes: newRouteMetrics(scope),
		observer: observer.New(scope, observer.Sources{
			Configuration: d.configuration,
			Members:       d.members,
			Readiness:     d,
			Upstreams:     d.schedulingStates(),
			Log:           d.control,
			Traffic:       d.linker.Traffic,
		}),
		handler: handler,
		closer:  closer,
	}
}

// serve serves the metrics on a separate socket until ctx ends. The socket is served
// through guard.
func (m *metrics) serve(ctx context.Context, socket net.Listener, guard func(*http.Server, net.Listener) net.Listener) error {
	router := http.NewServeMux()
	router.Handle("/metrics", m.handler)
	server := &http.Server{
		Handler: router, ReadHeaderTimeout: adminHeaderTimeout, ReadTimeout: adminReadTimeout, MaxHeaderBytes: adminHeaderBytes,
	}
	return serveUntil(ctx, server, guard(server, socket))
}

// run updates the metrics until ctx ends.
func (m *metrics) run(ctx context.Context) {
	m.observer.Run(ctx)
	_ = m.closer.Close()
}
