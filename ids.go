package redwingshunt

import (
	"net/netip"
	"strconv"
	"time"
)

// AccountID names a client account, as the document spells it.
type AccountID string

// ServiceID names a service, as the document spells it.
type ServiceID string

// UpstreamID names one upstream process; it is chosen by the upstream and is
// unique within its service.
type UpstreamID string

// InstanceID names one instance of the fleet; it survives restarts.
type InstanceID string

// RegionID names a region.
type RegionID string

// ZoneID names an availability zone.
type ZoneID string

// TeamID names a team that owns sections of the document.
type TeamID string

// Revision numbers an accepted configuration. Revisions only grow; zero means
// that no configuration has been accepted yet.
type Revision uint64

// String returns the revision in decimal.
func (r Revision) String() string { return strconv.FormatUint(uint64(r), 10) }

// Epoch numbers successive holders of one responsibility. A larger epoch wins.
type Epoch uint64

// Incarnation numbers the starts of one instance. It is larger after a restart.
type Incarnation uint64

// Cost is an amount of service in the unit of the service: tokens for an
// engine, microseconds or requests for a plain service.
type Cost int64

// Share is the weight of a client account; service is divided in proportion.
type Share uint32

// Instance describes a live daemon of the fleet.
type Instance struct {
	ID          InstanceID
	Incarnation Incarnation
	Region      RegionID
	Zone        ZoneID
	Address     netip.AddrPort // where the instance accepts links
	Voter       bool           // the instance has a data folder and keeps the log
	Leaving     bool           // a graceful shutdown has begun
}

// Upstream describes a process that answers requests of one service.
type Upstream struct {
	ID      UpstreamID
	Service ServiceID
	Region  RegionID
	Zone    ZoneID
	Address netip.AddrPort
	Slots   int // requests that it runs at once
	Version string
}

// LoadReport is what an upstream tells of itself; it lags behind the truth.
type LoadReport struct {
	Running int // requests in the batch
	Waiting int // requests admitted and not yet in the batch
	At      time.Time
}

// UpstreamKey names an upstream across services.
type UpstreamKey struct {
	Service ServiceID
	ID      UpstreamID
}

// Key returns the name of the upstream across services.
func (u Upstream) Key() UpstreamKey { return UpstreamKey{Service: u.Service, ID: u.ID} }
