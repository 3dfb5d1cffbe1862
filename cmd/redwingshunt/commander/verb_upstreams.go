package commander

import (
	"context"

	"github.com/redwingshunt/redwingshunt/administrator"
)

// VerbUpstreamsSetup is the verb upstreams.
var VerbUpstreamsSetup = VerbSetup{
	Name:    "upstreams",
	Summary: "shows the upstreams, their windows and health",
	Options: &VerbUpstreamsOptions{},
	Parse:   parseVerbUpstreams,
	Usage: `Usage: redwingshunt upstreams [OPTION]...
Shows the upstreams that the asked instance knows: how many requests each says it
can run, how many the fleet lets run there (window), and what it reported last.

Options:
  --service NAME    this service alone
` + outputUsage + connectUsage,
}

// VerbUpstreamsOptions are the options of upstreams.
type VerbUpstreamsOptions struct {
	OutputOptions
	ConnectOptions
	Service string `long:"service"`
}

// VerbUpstreams shows upstreams.
type VerbUpstreams struct {
	options VerbUpstreamsOptions
}

func parseVerbUpstreams(_ *Console, arguments []string) (Verb, error) {
	v := &VerbUpstreams{}
	_, err := parse("upstreams", &v.options, arguments, 0, 0)
	return v, err
}

// Run prints the upstreams.
func (v *VerbUpstreams) Run(ctx context.Context, console *Console) error {
	client, err := v.options.client(console, "upstreams")
	if err != nil {
		return err
	}
	defer client.Close()
	all, err := client.Upstreams(ctx)
	if err != nil {
		return err
	}
	chosen := filter(all, func(u administrator.UpstreamStatus) bool {
		return matches(v.options.Service, string(u.Service))
	})
	if v.options.JSON {
		return console.JSON(chosen)
	}
	return printUpstreams(console, chosen)
}

// printUpstreams prints a table of upstreams.
func printUpstreams(console *Console, upstreams []administrator.UpstreamStatus) error {
	rows := [][]any{{"UPSTREAM", "SERVICE", "ZONE", "ADDRESS", "SLOTS", "WINDOW", "RUNNING", "WAITING", "HEALTH"}}
	for _, u := range upstreams {
		rows = append(rows, []any{u.ID, u.Service, u.Zone, u.Address, u.Slots, u.Window, u.Running, u.Waiting, u.Health})
	}
	return console.Table(rows)
}
