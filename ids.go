package redwingshunt

import (
	"net/netip"
	"strconv"
	"time"
)

// AccountID is the name of a client account in the document.
type AccountID string

// ServiceID is the name of a service in the document.
type ServiceID string

// UpstreamID identifies an upstream process. The upstream chooses it; it is
// unique within its service.
type UpstreamID string

// InstanceID identifies an instance of the fleet; it does not change on restart.
type InstanceID string

// RegionID is the name of a region.
type RegionID string

// ZoneID is the name of an availability zone.
type ZoneID string

// TeamID is the name of a team that owns sections of the document.
type TeamID string

// Revision is the number of an accepted configuration. Revisions increase
// monotonically; zero means that no configuration has been accepted yet.
type Revision uint64

// String returns the revision in decimal.
func (r Revision) String() string { return strconv.FormatUint(uint64(r), 10) }

// Epoch numbers the successive holders of a role. The larger epoch takes
// precedence.
type Epoch uint64

// Incarnation numbers the starts of an instance. It increases with each restart.
type Incarnation uint64

// Cost is an amount of service in the unit of the service: tokens for an
// engine, microseconds or requests for a plain service.
type Cost int64

// Share is the weight of a client account; capacity is divided in proportion.
type Share uint32

// Instance describes a live daemon of the fleet.
type Instance struct {
	ID          InstanceID
	Incarnation Incarnation
	Region      RegionID
	Zone        ZoneID
	Address     netip.AddrPort // where the instance accepts connections of other instances
	Voter       bool           // the instance has a data folder and stores the log
	Leaving     bool           // a graceful shutdown is in progress
	Routes      bool           // the instance serves callers of routes
}

// Upstream describes a process that serves requests of one service.
type Upstream struct {
	ID      UpstreamID
	Service ServiceID
	Region  RegionID
	Zone    ZoneID
	Address netip.AddrPort
	Slots   int // maximum concurrent requests
	Version string
}

// LoadReport is the load that an upstream reports; it lags behind the actual
// load.
type LoadReport struct {
	Running int // requests in the batch
	Waiting int // requests admitted and not yet in the batch
	At      time.Time
}

// UpstreamKey identifies an upstream across services.
type UpstreamKey struct {
	Service ServiceID
	ID      UpstreamID
}

// Key returns the upstream's identity across services.
func (u Upstream) Key() UpstreamKey { return UpstreamKey{Service: u.Service, ID: u.ID} }
