package administrator

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/coordinator"
	"github.com/redwingshunt/redwingshunt/scheduler"
)

// maxStates bounds the accounts and upstreams of one service.
const maxStates = 10_000

// virtualUnits is the virtual time of one unit of cost at share one.
const virtualUnits = 1024

// Scheduling reads the state of accounts and upstreams from a coordinator.
type Scheduling struct {
	Self          func() redwingshunt.Instance
	Configuration redwingshunt.Configuration
	States        func(limit int) []coordinator.State
}

// Accounts implements AccountReader. The owner of a service in its region tells
// of all accounts of the region, any other instance of those that wait on it.
func (s Scheduling) Accounts() []AccountStatus {
	all := []AccountStatus{}
	shares := s.shares()
	for _, state := range s.States(maxStates) {
		seen := len(all)
		for _, cell := range state.Cells {
			all = append(all, s.ofRegion(state, cell)...)
		}
		if len(state.Cells) == 0 {
			all = append(all, s.ofInstance(state)...)
		}
		for i := range all[seen:] {
			all[seen+i].Share = shares[all[seen+i].Account]
		}
	}
	slices.SortStableFunc(all, func(a, b AccountStatus) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Service, b.Service))
	})
	return all
}

// shares returns the shares of the document in force.
func (s Scheduling) shares() map[redwingshunt.AccountID]redwingshunt.Share {
	shares := make(map[redwingshunt.AccountID]redwingshunt.Share)
	if snapshot := s.Configuration.Current(); snapshot != nil {
		for _, account := range snapshot.Document.Accounts {
			shares[account.Name] = account.Share
		}
	}
	return shares
}

// ofRegion tells the accounts that an owner knows. How long the oldest request
// waits is known for those that wait on the owner itself.
func (s Scheduling) ofRegion(state coordinator.State, cell coordinator.Cell) []AccountStatus {
	waits := make(map[redwingshunt.AccountID]time.Duration, len(state.Lines))
	for _, line := range state.Lines {
		waits[line.Account] = line.Oldest
	}
	list := make([]AccountStatus, 0, len(cell.Accounts))
	for _, a := range cell.Accounts {
		list = append(list, AccountStatus{
			Account: a.Account, Service: state.Service, Instance: s.Self().ID, View: ViewRegion, Cell: cell.Number,
			Virtual: a.Virtual / virtualUnits, Gap: Duration{a.Gap}, Backlog: a.Waiting, Running: a.Running,
			Wait: Duration{waits[a.Account]},
		})
	}
	return list
}

// ofInstance tells the accounts that wait on this instance.
func (s Scheduling) ofInstance(state coordinator.State) []AccountStatus {
	list := make([]AccountStatus, 0, len(state.Lines))
	for _, line := range state.Lines {
		list = append(list, AccountStatus{
			Account: line.Account, Service: state.Service, Instance: s.Self().ID, View: ViewInstance,
			Backlog: line.Waiting, Wait: Duration{line.Oldest},
		})
	}
	return list
}

// Upstreams implements UpstreamReader. Only the owner of a service knows its
// upstreams, those that other regions lend among them.
func (s Scheduling) Upstreams() []UpstreamStatus {
	all := []UpstreamStatus{}
	for _, state := range s.States(maxStates) {
		for _, cell := range state.Cells {
			for _, w := range cell.Windows {
				all = append(all, describeWindow(state.Service, w))
			}
		}
	}
	return all
}

// describeWindow turns an upstream as the owner knows it into that of the API.
func describeWindow(service redwingshunt.ServiceID, w scheduler.Window) UpstreamStatus {
	status := UpstreamStatus{
		ID: w.Upstream, Service: service, Region: w.Announced.Region, Zone: w.Announced.Zone, Lender: w.Lender,
		Version: w.Announced.Version, Slots: w.Announced.Slots, Window: w.Window, Running: w.Running,
		Lent: w.Lent, Foreign: w.Foreign, Health: HealthAlive,
	}
	if w.Announced.Address.IsValid() {
		status.Address = w.Announced.Address.String()
	}
	switch {
	case w.Leaving:
		status.Health = HealthLeaving
	case w.Ejected:
		status.Health = HealthEjected
	}
	return status
}
