package commander

import (
	"cmp"
	"context"
	"slices"

	"github.com/redwingshunt/redwingshunt/administrator"
	"github.com/redwingshunt/redwingshunt/requester"
)

// VerbUpstreamsSetup describes the verb upstreams.
var VerbUpstreamsSetup = VerbSetup{
	Name:    "upstreams",
	Summary: "shows the upstreams, their windows and health",
	Options: &VerbUpstreamsOptions{},
	Parse:   parseVerbUpstreams,
	Usage: `Usage: redwingshunt upstreams [OPTION]...
Shows the upstreams as the owners of their services know them, among the instances
that --admin names. SLOTS is what an upstream announced, WINDOW how many requests may
be with it at once, RUNNING those of the owner's region, LENT the slots lent to other
regions, FOREIGN other requests that its load reports show.

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

// VerbUpstreams shows the state of upstreams.
type VerbUpstreams struct {
	options VerbUpstreamsOptions
}

func parseVerbUpstreams(_ *Console, arguments []string) (Verb, error) {
	v := &VerbUpstreams{}
	_, err := parseArguments("upstreams", &v.options, arguments, 0, 0)
	return v, err
}

// Run prints the upstreams.
func (v *VerbUpstreams) Run(ctx context.Context, console *Console) error {
	client, err := v.options.client(console, "upstreams")
	if err != nil {
		return err
	}
	defer client.Close()
	upstreams, err := queryUpstreams(ctx, console, client)
	if err != nil {
		return err
	}
	selected := filter(upstreams, func(u administrator.UpstreamStatus) bool {
		return matches(v.options.Service, string(u.Service))
	})
	if v.options.JSON {
		return console.JSON(selected)
	}
	return printUpstreams(console, selected)
}

// queryUpstreams queries each instance and sorts the upstreams by service, ID and
// lender.
func queryUpstreams(ctx context.Context, console *Console, client *requester.Client) ([]administrator.UpstreamStatus, error) {
	results, err := queryEach(console, client, func(instance *requester.Client) ([]administrator.UpstreamStatus, error) {
		return instance.Upstreams(ctx)
	})
	upstreams := slices.Concat(results...)
	slices.SortFunc(upstreams, func(a, b administrator.UpstreamStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Lender, b.Lender))
	})
	return upstreams, err
}

// printUpstreams prints a table of upstreams.
func printUpstreams(console *Console, upstreams []administrator.UpstreamStatus) error {
	rows := [][]any{{"SERVICE", "UPSTREAM", "ZONE", "ADDRESS", "SLOTS", "WINDOW", "RUNNING", "LENT", "FOREIGN", "HEALTH"}}
	for _, u := range upstreams {
		health := u.Health
		if u.Lender != "" {
			health += ", lent by " + string(u.Lender)
		}
		rows = append(rows, []any{u.Service, u.ID, u.Zone, u.Address, u.Slots, u.Window, u.Running, u.Lent, u.Foreign, health})
	}
	return console.Table(rows)
}
