package commander

import (
	"context"
	"time"

	"github.com/redwingshunt/redwingshunt/administrator"
)

// VerbAccountsSetup is the verb accounts.
var VerbAccountsSetup = VerbSetup{
	Name:    "accounts",
	Summary: "shows service, gap and backlog of each client account",
	Options: &VerbAccountsOptions{},
	Parse:   parseVerbAccounts,
	Usage: `Usage: redwingshunt accounts [OPTION]...
Shows how the client accounts are served, as the asked instance knows it:
the service received in the unit of the service, the gap behind the most served
backlogged account in that unit a share, the requests that wait and run, and how
long the oldest has waited.

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

// VerbAccounts shows client accounts.
type VerbAccounts struct {
	options VerbAccountsOptions
}

func parseVerbAccounts(_ *Console, arguments []string) (Verb, error) {
	v := &VerbAccounts{}
	_, err := parse("accounts", &v.options, arguments, 0, 0)
	return v, err
}

// Run prints the accounts.
func (v *VerbAccounts) Run(ctx context.Context, console *Console) error {
	client, err := v.options.client(console, "accounts")
	if err != nil {
		return err
	}
	defer client.Close()
	all, err := client.Accounts(ctx)
	if err != nil {
		return err
	}
	chosen := filter(all, func(a administrator.AccountStatus) bool {
		return matches(v.options.Service, string(a.Service)) && matches(v.options.Account, string(a.Account))
	})
	if v.options.JSON {
		return console.JSON(chosen)
	}
	return printAccounts(console, chosen)
}

// printAccounts prints a table of accounts.
func printAccounts(console *Console, accounts []administrator.AccountStatus) error {
	rows := [][]any{{"ACCOUNT", "SERVICE", "SHARE", "RECEIVED", "GAP", "BACKLOG", "RUNNING", "WAIT"}}
	for _, a := range accounts {
		rows = append(rows, []any{a.Account, a.Service, a.Share, a.Received, a.Gap, a.Backlog, a.Running, a.Wait.Round(time.Millisecond)})
	}
	return console.Table(rows)
}

// filter returns the items that a function accepts; never nil.
func filter[T any](items []T, accept func(T) bool) []T {
	chosen := make([]T, 0, len(items))
	for _, item := range items {
		if accept(item) {
			chosen = append(chosen, item)
		}
	}
	return chosen
}

// matches reports whether a value is the wanted one, if any is wanted.
func matches(wanted, value string) bool { return wanted == "" || wanted == value }
