package administrator

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/coordinator"
	"github.com/redwingshunt/redwingshunt/scheduler"
)

// maxStates limits the accounts and the upstreams that are read of one service.
const maxStates = 10_000

// virtualTimePerCost is the virtual time that one unit of cost takes at a share of 1.
const virtualTimePerCost = 1024

// Scheduling reads the state of accounts and upstreams from a coordinator.
type Scheduling struct {
	Self          func() redwingshunt.Instance
	Configuration redwingshunt.Configuration
	States        func(limit int) []coordinator.State
}

// Accounts implements AccountReader. The owner of a service in its region reports
// all accounts of the region. Any other instance reports only the accounts whose
// requests are queued on it.
func (s Scheduling) Accounts() []AccountStatus {
	all := []AccountStatus{}
	shares := s.shares()
	for _, state := range s.States(maxStates) {
		first := len(all)
		for _, cell := range state.Cells {
			all = append(all, s.regionAccounts(state, cell)...)
		}
		if len(state.Cells) == 0 {
			all = append(all, s.instanceAccounts(state)...)
		}
		for i := range all[first:] {
			all[first+i].Share = shares[all[first+i].Account]
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

// regionAccounts returns the accounts that an owner knows. The wait of the oldest
// request is known only for requests that are queued on the owner itself.
func (s Scheduling) regionAccounts(state coordinator.State, cell coordinator.Cell) []AccountStatus {
	oldestWaits := make(map[redwingshunt.AccountID]time.Duration, len(state.Lines))
	for _, line := range state.Lines {
		oldestWaits[line.Account] = line.Oldest
	}
	list := make([]AccountStatus, 0, len(cell.Accounts))
	for _, a := range cell.Accounts {
		list = append(list, AccountStatus{
			Account: a.Account, Service: state.Service, Instance: s.Self().ID, View: ViewRegion, Cell: cell.Number,
			Virtual: a.Virtual / virtualTimePerCost, Gap: Duration{a.Gap}, Backlog: a.Waiting, Running: a.Running,
			Wait: Duration{oldestWaits[a.Account]},
		})
	}
	return list
}

// instanceAccounts returns the accounts whose requests are queued on this instance.
func (s Scheduling) instanceAccounts(state coordinator.State) []AccountStatus {
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
// upstreams, including those lent by other regions.
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

// describeWindow converts the state of an upstream to that of the API.
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
	case w.Evacuated:
		status.Health = HealthEvacuated
	case w.Ejected:
		status.Health = HealthEjected
	}
	return status
}
