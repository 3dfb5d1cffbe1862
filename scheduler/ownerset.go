package scheduler

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// OwnerSet holds the owner cores of one service on one instance: one for each cell
// of the own region that the instance owns or stands by for. It derives from the
// view of the fleet which these are and who their peers are.
//
// In a region with few routers a service has one cell. In a large one it has
// several, each with a part of the upstreams and of the routers; cells exchange
// ledgers and lend slots to one another as regions do.
type OwnerSet struct {
	self    redwingshunt.Instance
	service redwingshunt.ServiceID
	settle  time.Duration
	cells   []*cellState
	members []redwingshunt.Instance
	config  Configured
	term    uint64
	home    redwingshunt.InstanceID
	routers int // in the own region
	actions []Action
}

// cellState is one cell; owner is nil as long as the instance never kept it.
type cellState struct {
	duty  Duty
	owner *Owner
}

// NewOwnerSet returns the owners of an instance that knows no other. Settle is the
// time in which routers may report to a new owner before it grants.
func NewOwnerSet(self redwingshunt.Instance, service redwingshunt.ServiceID, settle time.Duration) *OwnerSet {
	return &OwnerSet{self: self, service: service, settle: settle}
}

// Step takes an event in and returns what is to be done. The actions are valid
// until the next call.
func (s *OwnerSet) Step(now time.Time, e Event) []Action {
	s.actions = s.actions[:0]
	switch e := e.(type) {
	case Viewed:
		s.view(now, e.Members)
	case Configured:
		s.config = e
		s.all(now, e)
	case Reported:
		s.one(now, int(e.State.Cell), e)
	case Exchanged:
		s.one(now, int(e.Ledger.To), e)
	case Announced:
		s.one(now, e.Cell, e)
	default:
		s.all(now, e)
	}
	return s.actions
}

func (s *OwnerSet) one(now time.Time, cell int, e Event) {
	if cell < len(s.cells) && s.cells[cell].owner != nil {
		s.actions = append(s.actions, s.cells[cell].owner.Step(now, e)...)
	}
}

func (s *OwnerSet) all(now time.Time, e Event) {
	for cell := range s.cells {
		s.one(now, cell, e)
	}
}

// view takes the part of the instance in each cell.
func (s *OwnerSet) view(now time.Time, members []redwingshunt.Instance) {
	gone := missing(s.members, members)
	s.members = members
	s.routers = len(InRegion(members, s.self.Region))
	cells := Cells(s.routers)
	for len(s.cells) < cells {
		s.cells = append(s.cells, &cellState{})
	}
	for cell := range s.cells {
		for _, id := range gone {
			s.one(now, cell, Gone{Instance: id})
		}
		s.serve(now, cell, DutyOf(members, s.self, s.service, cell))
	}
	s.home = s.cells[CellOf(s.service, string(s.self.ID), cells)].duty.Owner
}

// serve takes the part of the instance in one cell.
func (s *OwnerSet) serve(now time.Time, cell int, duty Duty) {
	place := s.cells[cell]
	was := place.duty
	place.duty = duty
	if duty.Keeps && place.owner == nil {
		place.owner = NewOwner(OwnerOptions{
			Self: s.self.ID, Incarnation: s.self.Incarnation, Region: s.self.Region, Service: s.service, Cell: cell,
		})
		s.one(now, cell, s.config)
	}
	s.one(now, cell, Peered{Peers: duty.Peers})
	switch {
	case duty.Active && !was.Active:
		s.term = max(s.term+1, uint64(now.UnixMilli()/termStep))
		s.one(now, cell, Elected{Term: s.term, Settle: s.settle})
	case was.Active && !duty.Active:
		s.one(now, cell, Demoted{})
	}
}

// termStep is the number of milliseconds in which terms count, so that they are
// short on the wire and still grow with each start of an instance.
const termStep = 100

// missing returns the instances that were seen before and no longer are.
func missing(before, now []redwingshunt.Instance) []redwingshunt.InstanceID {
	alive := make(map[redwingshunt.InstanceID]bool, len(now))
	for _, i := range now {
		alive[i.ID] = true
	}
	var list []redwingshunt.InstanceID
	for _, old := range before {
		if !alive[old.ID] {
			list = append(list, old.ID)
		}
	}
	return list
}

// Home returns the name of the owner that the queue of this instance reports
// to, for Owned.
func (s *OwnerSet) Home() redwingshunt.InstanceID { return s.home }

// Period returns the time between the full states of the queue.
func (s *OwnerSet) Period() time.Duration { return Period(s.routers) }

// Active returns the cores of the cells that the instance owns.
func (s *OwnerSet) Active() []*Owner { return s.pick(func(d Duty) bool { return d.Active }) }

// Standby returns the cores of the cells for which the instance stands by.
func (s *OwnerSet) Standby() []*Owner {
	return s.pick(func(d Duty) bool { return d.Keeps && !d.Active })
}

func (s *OwnerSet) pick(choose func(Duty) bool) []*Owner {
	var list []*Owner
	for _, place := range s.cells {
		if place.owner != nil && choose(place.duty) {
			list = append(list, place.owner)
		}
	}
	return list
}
