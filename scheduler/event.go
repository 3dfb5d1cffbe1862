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

// Configured gives the accounts and limits in force, to owners and queues.
type Configured struct {
	Accounts map[redwingshunt.AccountID]AccountRule
	Gap      time.Duration // allowed between regions
}

// AccountRule is what the document says of one account.
type AccountRule struct {
	Share    redwingshunt.Share
	Parallel int // running requests on the fleet; zero is unlimited
	Bound    limiter.Bound
}

// Elected makes the core the owner. Settle is the time in which routers may
// report their running work before the first grant.
type Elected struct {
	Term   uint64 // larger at each election of this instance
	Settle time.Duration
}

// Demoted takes the ownership away; upstreams and ledger stay known.
type Demoted struct{}

// Announced adds or renews an upstream of the region.
type Announced struct {
	Upstream redwingshunt.Upstream
	Load     redwingshunt.LoadReport
	TTL      time.Duration
	Cell     int
}

// Left stops new work for an upstream.
type Left struct{ ID redwingshunt.UpstreamID }

// Reported is a state message of a router.
type Reported struct {
	From  redwingshunt.InstanceID
	State *wire.State
}

// Gone tells that an instance is no longer alive.
type Gone struct{ Instance redwingshunt.InstanceID }

// Peer is another instance that keeps a ledger of the service.
type Peer struct {
	ID      redwingshunt.InstanceID
	Region  redwingshunt.RegionID
	Standby bool // shares the region: no loans
}

// Peered gives the owners in other regions and the standby.
type Peered struct{ Peers []Peer }

// Exchanged is a ledger message of a peer.
type Exchanged struct {
	From   redwingshunt.InstanceID
	Ledger *wire.Ledger
}

// Viewed gives OwnerSet the view of the fleet.
type Viewed struct{ Members []redwingshunt.Instance }

// Ticked lets time pass. Any cadence is correct; a few a second suit.
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

// Cancelled takes a waiting request out of a queue.
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

// Owned names the owner of the service, or none when ID is empty.
type Owned struct{ ID redwingshunt.InstanceID }

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

// SendState sends a message to the owner. Demand tells whether it carries
// demand and not only service received.
type SendState struct {
	To     redwingshunt.InstanceID
	State  *wire.State
	Demand bool
}

// Assign lets a request run.
type Assign struct {
	Ticket   uint64
	Upstream redwingshunt.Upstream
	Owner    redwingshunt.InstanceID
}

// Refuse ends a request that has not run.
type Refuse struct {
	Ticket uint64
	Err    *redwingshunt.OutcomeError
}

func (Configured) event() {}
func (Elected) event()    {}
func (Demoted) event()    {}
func (Announced) event()  {}
func (Left) event()       {}
func (Reported) event()   {}
func (Gone) event()       {}
func (Peered) event()     {}
func (Exchanged) event()  {}
func (Viewed) event()     {}
func (Ticked) event()     {}
func (Arrived) event()    {}
func (Cancelled) event()  {}
func (Granted) event()    {}
func (Charged) event()    {}
func (Released) event()   {}
func (Owned) event()      {}

func (SendGrants) action() {}
func (SendLedger) action() {}
func (SendState) action()  {}
func (Assign) action()     {}
func (Refuse) action()     {}
