package scheduler

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// OwnerSet holds the owners of one service on one instance: one for each cell of
// the local region that the instance owns or is the standby of. It derives the
// cells and their peers from the list of live instances.
//
// In a region with few routers a service has one cell. In a large region it has
// several, each with a part of the upstreams and of the routers. Cells exchange
// ledgers and lend slots to each other as regions do.
type OwnerSet struct {
	self       redwingshunt.Instance
	service    redwingshunt.ServiceID
	settle     time.Duration
	cells      []*cellState
	members    []redwingshunt.Instance
	config     Configured
	term       uint64
	queueOwner redwingshunt.InstanceID
	routers    int // in the local region
	actions    []Action
}

// cellState is one cell. Owner is nil until the instance becomes its owner or
// standby for the first time.
type cellState struct {
	duty  Role
	owner *Owner
}

// NewOwnerSet returns a set without owners, for an instance that knows no other
// instance yet. Settle is the time that routers have to report to a new owner
// before it grants slots.
func NewOwnerSet(self redwingshunt.Instance, service redwingshunt.ServiceID, settle time.Duration) *OwnerSet {
	return &OwnerSet{self: self, service: service, settle: settle}
}

// Step processes an event and returns the resulting actions. The slice is valid
// until the next call.
func (s *OwnerSet) Step(now time.Time, e Event) []Action {
	s.actions = s.actions[:0]
	switch e := e.(type) {
	case MembersChanged:
		s.updateMembers(now, e.Members)
	case Configured:
		s.config = e
		s.stepAll(now, e)
	case StateReceived:
		s.stepCell(now, int(e.State.Cell), e)
	case LedgerReceived:
		s.stepCell(now, int(e.Ledger.To), e)
	case Announced:
		s.stepCell(now, e.Cell, e)
	default:
		s.stepAll(now, e)
	}
	return s.actions
}

func (s *OwnerSet) stepCell(now time.Time, cell int, e Event) {
	if cell < len(s.cells) && s.cells[cell].owner != nil {
		s.actions = append(s.actions, s.cells[cell].owner.Step(now, e)...)
	}
}

func (s *OwnerSet) stepAll(now time.Time, e Event) {
	for cell := range s.cells {
		s.stepCell(now, cell, e)
	}
}

// updateMembers recomputes the role of the instance in each cell.
func (s *OwnerSet) updateMembers(now time.Time, members []redwingshunt.Instance) {
	gone := departed(s.members, members)
	s.members = members
	s.routers = len(InRegion(members, s.self.Region))
	cells := CellCount(s.routers)
	for len(s.cells) < cells {
		s.cells = append(s.cells, &cellState{})
	}
	for cell := range s.cells {
		for _, id := range gone {
			s.stepCell(now, cell, InstanceLost{Instance: id})
		}
		s.applyDuty(now, cell, RoleOf(members, s.self, s.service, cell))
	}
	s.queueOwner = s.cells[CellOf(s.service, string(s.self.ID), cells)].duty.Owner
}

// applyDuty sets the role of the instance in one cell.
func (s *OwnerSet) applyDuty(now time.Time, cell int, duty Role) {
	state := s.cells[cell]
	was := state.duty
	state.duty = duty
	if duty.Holds && state.owner == nil {
		state.owner = NewOwner(OwnerOptions{
			Self: s.self.ID, Incarnation: s.self.Incarnation, Region: s.self.Region, Service: s.service, Cell: cell,
		})
		s.stepCell(now, cell, s.config)
	}
	s.stepCell(now, cell, PeersChanged{Peers: duty.Peers})
	switch {
	case duty.Active && !was.Active:
		s.term = max(s.term+1, uint64(now.UnixMilli()/termUnitMillis))
		s.stepCell(now, cell, Elected{Term: s.term, Settle: s.settle})
	case was.Active && !duty.Active:
		s.stepCell(now, cell, Demoted{})
	}
}

// termUnitMillis is the unit of terms, in milliseconds. It keeps terms short on the
// wire, and they still grow with each start of an instance.
const termUnitMillis = 100

// departed returns the instances that are in before and not in after.
func departed(before, after []redwingshunt.Instance) []redwingshunt.InstanceID {
	alive := make(map[redwingshunt.InstanceID]bool, len(after))
	for _, i := range after {
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

// QueueOwner returns the name of the owner that the queue of this instance reports
// to, as OwnerChanged takes it.
func (s *OwnerSet) QueueOwner() redwingshunt.InstanceID { return s.queueOwner }

// StatePeriod returns the time between two full states of the queue.
func (s *OwnerSet) StatePeriod() time.Duration { return StatePeriod(s.routers) }

// Active returns the owners of the cells that the instance owns.
func (s *OwnerSet) Active() []*Owner { return s.filter(func(d Role) bool { return d.Active }) }

// Standby returns the owners of the cells that the instance is the standby of.
func (s *OwnerSet) Standby() []*Owner {
	return s.filter(func(d Role) bool { return d.Holds && !d.Active })
}

func (s *OwnerSet) filter(match func(Role) bool) []*Owner {
	var list []*Owner
	for _, state := range s.cells {
		if state.owner != nil && match(state.duty) {
			list = append(list, state.owner)
		}
	}
	return list
}
