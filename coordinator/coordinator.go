// Package coordinator runs the queues and owners of package scheduler on one
// instance: it passes them messages, announcements and clock ticks as events, sends
// the resulting messages over the links, and blocks callers until their request may
// run.
//
// Each service of the document has a state: the queue of this router and, while
// this instance is the owner of the service in its region or its standby, the
// Owner. One goroutine at a time uses a state, under its lock. It never waits for
// another service or for the network.
//
// # Usage
//
//	c := coordinator.New(coordinator.Options{
//		Members: members, Link: link, Configuration: configuration, Clock: clock,
//	})
//	go c.Run(ctx)
//	grant, err := c.Acquire(ctx, request, nil)
//	if err != nil {
//		return err // not run
//	}
//	defer c.Release(grant, result)
package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/scheduler"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	tickPeriod      = 50 * time.Millisecond
	idleTickDivisor = 10 // ticks per tick of an idle service
	viewPeriod      = 50 * time.Millisecond
	metricsPeriod   = 5 * time.Second
	// settleTime is the time that routers have to report to a new owner before it
	// grants slots.
	settleTime = 500 * time.Millisecond
)

// Options are the dependencies of a Coordinator. Logger and Metrics may be nil.
type Options struct {
	Members       redwingshunt.Members
	Link          redwingshunt.Link
	Configuration redwingshunt.Configuration
	Clock         redwingshunt.Clock
	Logger        *slog.Logger
	Metrics       tally.Scope
}

// Coordinator connects the queues and owners of all services to links, members,
// configuration and clock. It implements redwingshunt.Scheduler,
// redwingshunt.Directory and redwingshunt.Dumper.
type Coordinator struct {
	options Options
	tickets atomic.Uint64
	bounds  *bounds // shared by all services

	mu       sync.Mutex // guards the fields below; never held during the step of a service
	services map[redwingshunt.ServiceID]*serviceState
	view     []redwingshunt.Instance
}

var (
	_ redwingshunt.Scheduler = (*Coordinator)(nil)
	_ redwingshunt.Directory = (*Coordinator)(nil)
	_ redwingshunt.Dumper    = (*Coordinator)(nil)
)

// New returns a coordinator that receives messages immediately and schedules
// requests as soon as there is a configuration.
func New(options Options) *Coordinator {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.Metrics == nil {
		options.Metrics = tally.NoopScope
	}
	c := &Coordinator{options: options, services: map[redwingshunt.ServiceID]*serviceState{}, bounds: newBounds()}
	link := options.Link
	link.Handle(redwingshunt.KindDemand, c.receiveState)
	link.Handle(redwingshunt.KindCharge, c.receiveState)
	link.Handle(redwingshunt.KindGrant, c.receiveGrants)
	link.Handle(redwingshunt.KindLedger, c.receiveLedger)
	link.Handle(redwingshunt.KindAnnounce, c.receiveAnnouncement)
	c.configure()
	return c
}

// Run passes clock ticks, members and configuration to all services until the
// context ends, and returns the context's error.
func (c *Coordinator) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	view := time.NewTicker(viewPeriod)
	defer view.Stop()
	metrics := time.NewTicker(metricsPeriod)
	defer metrics.Stop()
	for ticks := 0; ; {
		changed := c.options.Configuration.Watch()
		c.configure()
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-changed:
				waiting = false
			case <-ticker.C:
				ticks++
				c.forEach(func(d *serviceState) { d.tick(ticks%idleTickDivisor == 0) })
			case <-view.C:
				c.updateMembers()
			case <-metrics.C:
				c.forEach(func(d *serviceState) { d.reportMetrics(c.options.Metrics) })
			}
		}
	}
}

// Acquire implements redwingshunt.Scheduler.
func (c *Coordinator) Acquire(ctx context.Context, r *redwingshunt.Request, avoid redwingshunt.Set[redwingshunt.UpstreamID]) (redwingshunt.Grant, error) {
	snapshot := c.options.Configuration.Current()
	if snapshot == nil {
		return redwingshunt.Grant{}, redwingshunt.NotRun(redwingshunt.ReasonNoConfiguration,
			http.StatusServiceUnavailable, "this instance has no configuration yet").After(time.Second)
	}
	d := c.lookup(r.Service)
	if d == nil {
		return redwingshunt.Grant{}, redwingshunt.NotRun(redwingshunt.ReasonUnknownService,
			http.StatusNotFound, "the configuration has no such service")
	}
	ticket := c.tickets.Add(1)
	answer := d.arrive(ticket, r, avoid)
	select {
	case a := <-answer:
		return a.grant, a.err()
	case <-ctx.Done():
	}
	d.cancel(ticket)
	return redwingshunt.Grant{}, waitError(ctx)
}

// waitError returns the error for a caller whose context ended while it waited.
func waitError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return redwingshunt.NotRun(redwingshunt.ReasonDeadline, http.StatusGatewayTimeout,
			"the deadline passed while the request waited for an upstream")
	}
	ending := redwingshunt.EndingOf(ctx)
	return redwingshunt.NotRun(ending.Reason, ending.Status, ending.Detail+" while the request waited")
}

// Charge implements redwingshunt.Scheduler.
func (c *Coordinator) Charge(g redwingshunt.Grant, delta redwingshunt.Cost) {
	if d := c.lookup(g.Service); d != nil {
		d.step(scheduler.Charged{Ticket: g.ID, Delta: delta})
	}
}

// Release implements redwingshunt.Scheduler.
func (c *Coordinator) Release(g redwingshunt.Grant, r redwingshunt.Result) {
	if d := c.lookup(g.Service); d != nil {
		d.step(scheduler.Released{Ticket: g.ID, Result: r})
	}
}

// Announce implements redwingshunt.Directory: it forwards the announcement to the
// owner of the service in the region of the upstream, and to the standby.
func (c *Coordinator) Announce(u redwingshunt.Upstream, load redwingshunt.LoadReport, ttl time.Duration) {
	c.forward(announcementOf(u, load, ttl))
}

// Leave implements redwingshunt.Directory: it notifies the owners of all regions,
// since the key does not include the region.
func (c *Coordinator) Leave(key redwingshunt.UpstreamKey) {
	for _, region := range scheduler.Regions(c.options.Members.Live()) {
		c.forward(&wire.Announcement{Id: string(key.ID), Service: string(key.Service), Region: string(region)})
	}
}

// forward sends an announcement to the owner and the standby of its cell.
func (c *Coordinator) forward(m *wire.Announcement) {
	members := c.options.Members.Live()
	region, service := redwingshunt.RegionID(m.Region), redwingshunt.ServiceID(m.Service)
	if regions := scheduler.Regions(members); !slices.Contains(regions, region) && len(regions) > 0 {
		region = regions[0] // no instance in the region of the upstream
	}
	cells := scheduler.CellCount(len(scheduler.InRegion(members, region)))
	cell := scheduler.CellOf(service, m.Id, cells)
	m.Cell = uint32(cell)
	ranked := scheduler.Rank(members, region, service, cell)
	announcedTTL := time.Duration(m.TtlMs) * time.Millisecond
	for i, target := range ranked[:min(2, len(ranked))] {
		ttl, ok := scheduler.SampleAnnouncement(c.options.Clock.Now(), redwingshunt.UpstreamID(m.Id), announcedTTL, i, len(ranked))
		if !ok && announcedTTL > 0 {
			continue
		}
		m.TtlMs = uint32(ttl / time.Millisecond)
		if target.ID == c.options.Members.Self().ID {
			c.applyAnnouncement(m)
			continue
		}
		c.send(target.ID, redwingshunt.KindAnnounce, m)
	}
}

func (c *Coordinator) send(to redwingshunt.InstanceID, kind redwingshunt.MessageKind, m proto.Message) {
	payload, err := proto.Marshal(m)
	if err != nil {
		c.options.Logger.Error("a message could not be encoded", "kind", kind.String(), "error", err)
		return
	}
	c.options.Link.Send(to, redwingshunt.Message{Kind: kind, Payload: payload})
}

// lookup returns the state of a service, or nil when there is none.
func (c *Coordinator) lookup(id redwingshunt.ServiceID) *serviceState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.services[id]
}

// forEach calls visit for all services, one after the other, without holding the
// lock.
func (c *Coordinator) forEach(visit func(*serviceState)) {
	c.mu.Lock()
	services := make([]*serviceState, 0, len(c.services))
	for _, d := range c.services {
		services = append(services, d)
	}
	c.mu.Unlock()
	for _, d := range services {
		visit(d)
	}
}
