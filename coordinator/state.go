package coordinator

import (
	"cmp"
	"slices"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/scheduler"
)

// State is what this instance knows of one service.
type State struct {
	Service redwingshunt.ServiceID
	Lines   []scheduler.Line // accounts that wait on this instance
	Cells   []Cell           // that this instance owns
}

// Cell is what the owner of a cell of a service knows.
type Cell struct {
	Number   int
	Accounts []scheduler.Standing
	Windows  []scheduler.Window // upstreams of the cell, and those that others lend
}

// States returns what this instance knows of each service, ordered by name,
// with at most limit entries in each list.
func (c *Coordinator) States(limit int) []State {
	var list []State
	c.each(func(d *serviceState) { list = append(list, d.state(limit)) })
	slices.SortFunc(list, func(a, b State) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// state returns what is known of the service, of all cells that the instance owns.
func (d *serviceState) state(limit int) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := State{Service: d.service, Lines: d.queue.Lines(d.now(), limit)}
	for _, owner := range d.ownerSet.Active() {
		s.Cells = append(s.Cells, Cell{
			Number: owner.Cell(), Accounts: owner.Standings(limit), Windows: owner.Windows(limit),
		})
	}
	return s
}
