package commander

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/administrator"
	"github.com/redwingshunt/redwingshunt/requester"
)

// VerbAccountsSetup describes the verb accounts.
var VerbAccountsSetup = VerbSetup{
	Name:    "accounts",
	Summary: "shows service, gap and backlog of each client account",
	Options: &VerbAccountsOptions{},
	Parse:   parseVerbAccounts,
	Usage: `Usage: redwingshunt accounts [OPTION]...
Shows how the client accounts are served, as the instances that --admin names know
it. The owner of a service in a region knows all accounts of its region; when it is
among those asked, it is shown in place of what waits on single instances.

VIRTUAL is the service received a share, in the unit of the service, where idle time
counts as served. GAP is how far the account is ahead of the least served backlogged
one, in time of the service's whole capacity. WAIT is how long the oldest request on
the instance has waited.

Options:
  --service NAME    this service alone
  --account NAME    this account alone
` + outputUsage + connectUsage,
}

// VerbAccountsOptions are the options of accounts.
type VerbAccountsOptions struct {
	OutputOptions
	ConnectOptions
	Service string `long:"service"`
	Account string `long:"account"`
}

// VerbAccounts shows the state of client accounts.
type VerbAccounts struct {
	options VerbAccountsOptions
}

func parseVerbAccounts(_ *Console, arguments []string) (Verb, error) {
	v := &VerbAccounts{}
	_, err := parseArguments("accounts", &v.options, arguments, 0, 0)
	return v, err
}

// Run prints the accounts.
func (v *VerbAccounts) Run(ctx context.Context, console *Console) error {
	client, err := v.options.client(console, "accounts")
	if err != nil {
		return err
	}
	defer client.Close()
	accounts, err := queryAccounts(ctx, console, client)
	if err != nil {
		return err
	}
	selected := filter(accounts, func(a administrator.AccountStatus) bool {
		return matches(v.options.Service, string(a.Service)) && matches(v.options.Account, string(a.Account))
	})
	if v.options.JSON {
		return console.JSON(selected)
	}
	return printAccounts(console, selected)
}

// queryAccounts queries each instance and merges the views that they return.
func queryAccounts(ctx context.Context, console *Console, client *requester.Client) ([]administrator.AccountStatus, error) {
	results, err := queryEach(console, client, func(instance *requester.Client) ([]administrator.AccountStatus, error) {
		return instance.Accounts(ctx)
	})
	return preferRegionViews(slices.Concat(results...)), err
}

// preferRegionViews drops the views of single instances for services that also have
// a view of the region, and sorts the rest by service, account and instance.
func preferRegionViews(accounts []administrator.AccountStatus) []administrator.AccountStatus {
	regional := make(redwingshunt.Set[redwingshunt.ServiceID])
	for _, a := range accounts {
		if a.View == administrator.ViewRegion {
			regional.Add(a.Service)
		}
	}
	accounts = filter(accounts, func(a administrator.AccountStatus) bool {
		return a.View == administrator.ViewRegion || !regional.Has(a.Service)
	})
	slices.SortFunc(accounts, func(a, b administrator.AccountStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Instance, b.Instance))
	})
	return accounts
}

// printAccounts prints a table of accounts.
func printAccounts(console *Console, accounts []administrator.AccountStatus) error {
	rows := [][]any{{"SERVICE", "ACCOUNT", "SHARE", "SEEN BY", "VIRTUAL", "GAP", "BACKLOG", "RUNNING", "WAIT"}}
	for _, a := range accounts {
		seen := string(a.Instance) + " (" + a.View + ")"
		if a.Cell > 0 {
			seen = fmt.Sprintf("%s (%s, cell %d)", a.Instance, a.View, a.Cell)
		}
		rows = append(rows, []any{
			a.Service, a.Account, a.Share, seen, a.Virtual, a.Gap.Round(time.Millisecond),
			a.Backlog, a.Running, a.Wait.Round(time.Millisecond),
		})
	}
	return console.Table(rows)
}

// filter returns the items that accept reports true for. The result is never nil.
func filter[T any](items []T, accept func(T) bool) []T {
	selected := make([]T, 0, len(items))
	for _, item := range items {
		if accept(item) {
			selected = append(selected, item)
		}
	}
	return selected
}

// matches reports whether a value equals the wanted one; an empty wanted matches any
// value.
func matches(wanted, value string) bool { return wanted == "" || wanted == value }
