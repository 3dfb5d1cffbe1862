package coordinator

import (
	"cmp"
	"slices"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/scheduler"
)

// State is this instance's state of one service.
type State struct {
	Service redwingshunt.ServiceID
	Lines   []scheduler.AccountQueue // queues on this instance that are not empty
	Cells   []Cell                   // cells that this instance owns
}

// Cell is the state of the owner of one cell of a service.
type Cell struct {
	Number   int
	Accounts []scheduler.AccountStatus
	Windows  []scheduler.Window // upstreams of the cell, and borrowed ones
}

// States returns the state of each service, ordered by name, with at most limit
// entries in each list.
func (c *Coordinator) States(limit int) []State {
	var list []State
	c.forEach(func(d *serviceState) { list = append(list, d.state(limit)) })
	slices.SortFunc(list, func(a, b State) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// state returns the state of the service and of all cells that the instance owns.
func (d *serviceState) state(limit int) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := State{Service: d.service, Lines: d.queue.Lines(d.now(), limit)}
	for _, owner := range d.ownerSet.Active() {
		s.Cells = append(s.Cells, Cell{
			Number: owner.Cell(), Accounts: owner.AccountStatuses(limit), Windows: owner.Windows(limit),
		})
	}
	return s
}
