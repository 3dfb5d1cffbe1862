package coordinator

import (
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/scheduler"
	"github.com/redwingshunt/redwingshunt/wire"
)

// handoverLife is how long an upstream that was handed over is kept without an
// announcement of its own.
const handoverLife = 6 * time.Second

// look takes a new view of the fleet. When another instance comes to keep a
// cell that is owned here, it is told the upstreams at once, since their next
// announcements may be seconds away and it could grant nothing until then.
func (d *serviceState) look(members []redwingshunt.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	owned := d.ownerSet.Active()
	d.feedOwner(scheduler.Viewed{Members: members})
	for _, owner := range d.ownerSet.Active() {
		if !slices.Contains(owned, owner) {
			owned = append(owned, owner)
		}
	}
	for _, owner := range owned {
		d.handOver(owner, d.members, members)
	}
	d.members = members
	d.queue.SetPeriod(d.ownerSet.Period())
	home := d.ownerSet.Home()
	if home != d.home {
		d.coordinator.options.Logger.Info("owner of a service changed", "service", string(d.service),
			"before", string(d.home), "owner", string(home), "live", len(members))
		d.home = home
	}
	d.feed(scheduler.Owned{ID: home})
}

// handOver announces the upstreams of a cell to instances that did not keep it
// in the view before.
func (d *serviceState) handOver(owner *scheduler.Owner, before, after []redwingshunt.Instance) {
	self := d.coordinator.options.Members.Self()
	known := scheduler.Keepers(before, self.Region, d.service, owner.Cell())
	for _, keeper := range scheduler.Keepers(after, self.Region, d.service, owner.Cell()) {
		restarted := func(k redwingshunt.Instance) bool {
			return k.ID == keeper.ID && k.Incarnation == keeper.Incarnation
		}
		if keeper.ID != self.ID && !slices.ContainsFunc(known, restarted) {
			d.announceAll(owner, keeper.ID)
		}
	}
}

// announceAll announces the own upstreams of a cell to one instance.
func (d *serviceState) announceAll(owner *scheduler.Owner, to redwingshunt.InstanceID) {
	for _, w := range owner.Windows(windowsLimit) {
		if w.Lender != "" || w.Leaving {
			continue
		}
		m := announcementOf(w.Announced, redwingshunt.LoadReport{Running: w.Running}, handoverLife)
		m.Cell = uint32(owner.Cell())
		d.coordinator.send(to, redwingshunt.KindAnnounce, m)
	}
}

// windowsLimit bounds the upstreams of a cell that are handed over.
const windowsLimit = 10_000

// announcementOf encodes an announcement.
func announcementOf(u redwingshunt.Upstream, load redwingshunt.LoadReport, ttl time.Duration) *wire.Announcement {
	address, err := u.Address.MarshalText()
	if err != nil {
		address = nil // refused by the receiver
	}
	return &wire.Announcement{
		Id: string(u.ID), Service: string(u.Service), Region: string(u.Region), Zone: string(u.Zone),
		Address: string(address), Slots: uint32(max(0, u.Slots)), Version: u.Version,
		Running: uint32(max(0, load.Running)), Waiting: uint32(max(0, load.Waiting)),
		TtlMs: uint32(max(time.Millisecond, ttl) / time.Millisecond),
	}
}
