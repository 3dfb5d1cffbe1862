package scheduler

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/limiter"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Event is an input of Owner.Step or Queue.Step.
type Event interface{ event() }

// Action is an output of Owner.Step or Queue.Step.
type Action interface{ action() }

// Configured sets the accounts and limits in force, of owners and queues.
type Configured struct {
	Accounts  map[redwingshunt.AccountID]AccountRule
	Gap       time.Duration         // allowed lag between regions, in time of the whole service
	Evacuated []redwingshunt.ZoneID // availability zones whose upstreams get no new requests
}

// AccountRule is the configuration of one account.
type AccountRule struct {
	Share    redwingshunt.Share
	Parallel int // maximum number of running requests in the fleet; zero is unlimited
	Bound    limiter.Bound
	Regions  redwingshunt.AllowedRegions // of the upstreams that may get its requests
}

// Elected activates the owner. Settle is the time that routers have to report their
// running requests before the first grant.
type Elected struct {
	Term   uint64 // grows with each election of this instance
	Settle time.Duration
}

// Demoted makes the owner a standby. It keeps its upstreams and its ledger.
type Demoted struct{}

// Announced adds an upstream of the region or renews its TTL.
type Announced struct {
	Upstream redwingshunt.Upstream
	Load     redwingshunt.LoadReport
	TTL      time.Duration
	Cell     int
}

// UpstreamLeft stops new requests for an upstream.
type UpstreamLeft struct{ ID redwingshunt.UpstreamID }

// StateReceived is a state message of a router.
type StateReceived struct {
	From  redwingshunt.InstanceID
	State *wire.State
}

// InstanceLost reports that an instance is no longer alive.
type InstanceLost struct{ Instance redwingshunt.InstanceID }

// Peer is another owner of the service or a standby, which keep ledgers too.
type Peer struct {
	ID      redwingshunt.InstanceID
	Region  redwingshunt.RegionID
	Standby bool // of the same cell; there are no loans with it
}

// PeersChanged sets the peers of an owner: the other owners and the standby.
type PeersChanged struct{ Peers []Peer }

// LedgerReceived is a ledger message of a peer.
type LedgerReceived struct {
	From   redwingshunt.InstanceID
	Ledger *wire.Ledger
}

// MembersChanged sets the live instances, for OwnerSet.
type MembersChanged struct{ Members []redwingshunt.Instance }

// Ticked reports that time has passed. Any interval is correct; a few ticks per
// second are sufficient.
type Ticked struct{}

// Arrived adds a request to a queue. Tickets are unique within a queue.
type Arrived struct {
	Ticket   uint64
	Account  redwingshunt.AccountID
	Bytes    int64
	Estimate redwingshunt.Cost
	Deadline time.Time // zero for none
	Avoid    []string  // IDs of upstreams
}

// Cancelled removes a waiting request from a queue.
type Cancelled struct{ Ticket uint64 }

// Granted is a grants message of an instance that owns the service.
type Granted struct {
	From   redwingshunt.InstanceID
	Grants *wire.Grants
}

// Charged adds service to a running request.
type Charged struct {
	Ticket uint64
	Delta  redwingshunt.Cost
}

// Released ends a running request.
type Released struct {
	Ticket uint64
	Result redwingshunt.Result
}

// OwnerChanged sets the owner that a queue reports to; an empty ID means none.
type OwnerChanged struct{ ID redwingshunt.InstanceID }

// SendGrants sends a message to a router.
type SendGrants struct {
	To     redwingshunt.InstanceID
	Grants *wire.Grants
}

// SendLedger sends a message to a peer.
type SendLedger struct {
	To     redwingshunt.InstanceID
	Ledger *wire.Ledger
}

// SendState sends a message to the owner. Demand reports whether the message has
// demands.
type SendState struct {
	To     redwingshunt.InstanceID
	State  *wire.State
	Demand bool
}

// Assign starts a request on an upstream.
type Assign struct {
	Ticket   uint64
	Upstream redwingshunt.Upstream
	Owner    redwingshunt.InstanceID
}

// Refuse ends a request that has not been run.
type Refuse struct {
	Ticket uint64
	Err    *redwingshunt.OutcomeError
}

func (Configured) event()     {}
func (Elected) event()        {}
func (Demoted) event()        {}
func (Announced) event()      {}
func (UpstreamLeft) event()   {}
func (StateReceived) event()  {}
func (InstanceLost) event()   {}
func (PeersChanged) event()   {}
func (LedgerReceived) event() {}
func (MembersChanged) event() {}
func (Ticked) event()         {}
func (Arrived) event()        {}
func (Cancelled) event()      {}
func (Granted) event()        {}
func (Charged) event()        {}
func (Released) event()       {}
func (OwnerChanged) event()   {}

func (SendGrants) action() {}
func (SendLedger) action() {}
func (SendState) action()  {}
func (Assign) action()     {}
func (Refuse) action()     {}
