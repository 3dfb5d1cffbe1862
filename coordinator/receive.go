package coordinator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/limiter"
	"github.com/redwingshunt/redwingshunt/scheduler"
	"github.com/redwingshunt/redwingshunt/wire"
)

func (c *Coordinator) receiveState(from redwingshunt.InstanceID, payload []byte) {
	m := &wire.State{}
	if d := c.parse(from, payload, m, m.GetService); d != nil {
		d.stepOwner(scheduler.StateReceived{From: from, State: m})
	}
}

func (c *Coordinator) receiveGrants(from redwingshunt.InstanceID, payload []byte) {
	m := &wire.Grants{}
	if d := c.parse(from, payload, m, m.GetService); d != nil {
		d.step(scheduler.Granted{From: from, Grants: m})
	}
}

func (c *Coordinator) receiveLedger(from redwingshunt.InstanceID, payload []byte) {
	m := &wire.Ledger{}
	if d := c.parse(from, payload, m, m.GetService); d != nil {
		d.stepOwner(scheduler.LedgerReceived{From: from, Ledger: m})
	}
}

func (c *Coordinator) receiveAnnouncement(from redwingshunt.InstanceID, payload []byte) {
	m := &wire.Announcement{}
	if d := c.parse(from, payload, m, m.GetService); d != nil {
		c.applyAnnouncement(m)
	}
}

// parse decodes a message and returns the state of its service, or nil when the
// message is invalid or the service unknown.
func (c *Coordinator) parse(from redwingshunt.InstanceID, payload []byte, m proto.Message, service func() string) *serviceState {
	if err := proto.Unmarshal(payload, m); err != nil {
		c.options.Logger.Warn("a message could not be decoded", "from", from, "error", err)
		return nil
	}
	return c.lookup(redwingshunt.ServiceID(service()))
}

// applyAnnouncement passes an announcement to the owner on this instance.
func (c *Coordinator) applyAnnouncement(m *wire.Announcement) {
	d := c.lookup(redwingshunt.ServiceID(m.Service))
	if d == nil {
		return
	}
	id := redwingshunt.UpstreamID(m.Id)
	if m.TtlMs == 0 {
		d.stepOwner(scheduler.UpstreamLeft{ID: id})
		return
	}
	address, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		c.options.Logger.Warn("an upstream announced an invalid address", "upstream", id, "error", err)
		return
	}
	d.stepOwner(scheduler.Announced{
		Upstream: redwingshunt.Upstream{
			ID: id, Service: d.service, Region: redwingshunt.RegionID(m.Region),
			Zone: redwingshunt.ZoneID(m.Zone), Address: address, Slots: int(m.Slots), Version: m.Version,
		},
		Load: redwingshunt.LoadReport{Running: int(m.Running), Waiting: int(m.Waiting), At: c.options.Clock.Now()},
		TTL:  time.Duration(m.TtlMs) * time.Millisecond,
		Cell: int(m.Cell),
	})
}

// configure applies the document in force and creates the state of new services.
func (c *Coordinator) configure() {
	snapshot := c.options.Configuration.Current()
	if snapshot == nil || snapshot.Document == nil {
		return
	}
	document := snapshot.Document
	config := schedulerConfig(document)
	added := false
	for _, s := range document.Services {
		c.mu.Lock()
		d := c.services[s.Name]
		if d == nil {
			d = newServiceState(c, s.Name)
			c.services[s.Name] = d
			added = true
		}
		c.mu.Unlock()
		d.configure(s, config)
	}
	c.prune(document)
	if added {
		c.mu.Lock()
		c.view = nil
		c.mu.Unlock()
	}
	c.updateMembers()
}

// prune removes services that are no longer in the document and have no work.
func (c *Coordinator) prune(document *redwingshunt.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, d := range c.services {
		known := slices.ContainsFunc(document.Services, func(s redwingshunt.Service) bool { return s.Name == id })
		if !known && d.idle() {
			delete(c.services, id)
		}
	}
}

// idle reports whether the queue has no waiting or running requests.
func (d *serviceState) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Waiting()+d.queue.Running() == 0
}

func schedulerConfig(document *redwingshunt.Document) scheduler.Configured {
	config := scheduler.Configured{
		Gap:       document.Fleet.Gap,
		Evacuated: document.Evacuated,
		Accounts:  make(map[redwingshunt.AccountID]scheduler.AccountRule, len(document.Accounts)),
	}
	regions := document.AccountRegions()
	for _, a := range document.Accounts {
		config.Accounts[a.Name] = scheduler.AccountRule{
			Share:    max(1, a.Share),
			Parallel: a.Parallel,
			Bound:    limiter.Bound{Requests: a.Queue, Bytes: a.Bytes},
			Regions:  regions[a.Name],
		}
	}
	return config
}

// updateMembers passes the live instances to all services when they have changed.
func (c *Coordinator) updateMembers() {
	members := c.options.Members.Live()
	c.mu.Lock()
	same := slices.Equal(c.view, members)
	c.view = slices.Clone(members)
	c.mu.Unlock()
	if !same {
		c.forEach(func(d *serviceState) { d.updateMembers(members) })
	}
}

// Dump implements redwingshunt.Dumper.
func (c *Coordinator) Dump() any {
	var list []serviceDump
	c.forEach(func(d *serviceState) {
		if len(list) < dumpLimit {
			list = append(list, d.dump())
		}
	})
	slices.SortFunc(list, func(a, b serviceDump) int { return cmp.Compare(a.Service, b.Service) })
	return map[string]any{"services": list}
}
