package coordinator

import (
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/scheduler"
	"github.com/redwingshunt/redwingshunt/wire"
)

// handoverTTL is the TTL of an upstream that was handed over and has not announced
// itself yet.
const handoverTTL = 6 * time.Second

// updateMembers updates the live instances. An instance that becomes the owner or the
// standby of a cell that is owned here gets the upstreams of the cell immediately,
// since their next announcements may be seconds away and it could not grant any slot
// until then.
func (d *serviceState) updateMembers(members []redwingshunt.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	owned := d.ownerSet.Active()
	d.stepOwnerLocked(scheduler.MembersChanged{Members: members})
	for _, owner := range d.ownerSet.Active() {
		if !slices.Contains(owned, owner) {
			owned = append(owned, owner)
		}
	}
	for _, owner := range owned {
		d.handOver(owner, d.members, members)
	}
	d.members = members
	d.queue.SetPeriod(d.ownerSet.StatePeriod())
	queueOwner := d.ownerSet.QueueOwner()
	if queueOwner != d.queueOwner {
		d.coordinator.options.Logger.Info("owner of a service changed", "service", string(d.service),
			"before", string(d.queueOwner), "owner", string(queueOwner), "live", len(members))
		d.queueOwner = queueOwner
	}
	d.stepLocked(scheduler.OwnerChanged{ID: queueOwner})
}

// handOver announces the upstreams of a cell to instances that have become its owner
// or standby, or have restarted since.
func (d *serviceState) handOver(owner *scheduler.Owner, before, after []redwingshunt.Instance) {
	self := d.coordinator.options.Members.Self()
	known := scheduler.OwnerAndStandby(before, self.Region, d.service, owner.Cell())
	for _, keeper := range scheduler.OwnerAndStandby(after, self.Region, d.service, owner.Cell()) {
		unchanged := func(k redwingshunt.Instance) bool {
			return k.ID == keeper.ID && k.Incarnation == keeper.Incarnation
		}
		if keeper.ID != self.ID && !slices.ContainsFunc(known, unchanged) {
			d.announceAll(owner, keeper.ID)
		}
	}
}

// announceAll announces the upstreams of a cell, without borrowed ones, to one
// instance.
func (d *serviceState) announceAll(owner *scheduler.Owner, to redwingshunt.InstanceID) {
	for _, w := range owner.Windows(maxHandoverUpstreams) {
		if w.Lender != "" || w.Leaving {
			continue
		}
		m := announcementOf(w.Announced, redwingshunt.LoadReport{Running: w.Running}, handoverTTL)
		m.Cell = uint32(owner.Cell())
		d.coordinator.send(to, redwingshunt.KindAnnounce, m)
	}
}

// maxHandoverUpstreams bounds the upstreams of a cell that are handed over.
const maxHandoverUpstreams = 10_000

// announcementOf returns the message that announces an upstream.
func announcementOf(u redwingshunt.Upstream, load redwingshunt.LoadReport, ttl time.Duration) *wire.Announcement {
	address, err := u.Address.MarshalText()
	if err != nil {
		address = nil // rejected by the receiver
	}
	return &wire.Announcement{
		Id: string(u.ID), Service: string(u.Service), Region: string(u.Region), Zone: string(u.Zone),
		Address: string(address), Slots: uint32(max(0, u.Slots)), Version: u.Version,
		Running: uint32(max(0, load.Running)), Waiting: uint32(max(0, load.Waiting)),
		TtlMs: uint32(max(time.Millisecond, ttl) / time.Millisecond),
	}
}
