package commander

import (
	"context"
	"fmt"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/administrator"
)

// VerbPlaceSetup describes the verb place.
var VerbPlaceSetup = VerbSetup{
	Name:    "place",
	Summary: "explains where a request of a route would go now",
	Options: &VerbPlaceOptions{},
	Parse:   parseVerbPlace,
	Usage: `Usage: redwingshunt place [OPTION]... HOST PATH
Asks an instance which upstream it would choose now for a request, and why. Nothing is
sent, and nothing counts. Each service of the route has a table of its upstreams, the
cheapest first and the excluded ones last. WAIT is predicted
before the upstream begins with the request, PREDICTED until its first byte or event;
COST is what upstreams are compared by; UNREAD are the prompt tokens that it has not
cached; STATE says what excludes an upstream, and for how long.

Options:
  --account NAME    the client account; otherwise none
  --prompt PARTS    parts of the prompt as ID:TOKENS,ID:TOKENS
  --output N        tokens to generate at most
` + outputUsage + connectUsage,
}

// VerbPlaceOptions are the options of place.
type VerbPlaceOptions struct {
	OutputOptions
	ConnectOptions
	Account string `long:"account"`
	Prompt  string `long:"prompt"`
	Output  uint32 `long:"output"`
}

// VerbPlace explains a placement.
type VerbPlace struct {
	options VerbPlaceOptions
	query   administrator.PlacementQuery
}

func parseVerbPlace(_ *Console, arguments []string) (Verb, error) {
	v := &VerbPlace{}
	rest, err := parseArguments("place", &v.options, arguments, 2, 2)
	if err != nil {
		return nil, err
	}
	v.query = administrator.PlacementQuery{
		Host: rest[0], Path: rest[1], Account: redwingshunt.AccountID(v.options.Account), Prompt: v.options.Prompt,
		Output: int64(v.options.Output),
	}
	return v, nil
}

// Run prints the explanation.
func (v *VerbPlace) Run(ctx context.Context, console *Console) error {
	client, err := v.options.client(console, "place")
	if err != nil {
		return err
	}
	defer client.Close()
	placements, err := client.Placement(ctx, v.query)
	if err != nil {
		return err
	}
	if v.options.JSON {
		return console.JSON(placements)
	}
	for _, p := range placements {
		if err := printPlacement(console, p); err != nil {
			return err
		}
	}
	return nil
}

// printPlacement prints the placement of one service.
func printPlacement(console *Console, p administrator.Placement) error {
	fmt.Fprintf(console.Out, "%s, route %s, service %s (weight %d): ", p.Instance, p.Route, p.Service, p.Weight)
	if p.Refusal == "" {
		fmt.Fprintf(console.Out, "goes to %s\n", p.Upstream)
	} else {
		fmt.Fprintf(console.Out, "refused with %d %s, retry after %s: %s\n", p.Status, p.Refusal, p.After, p.Detail)
	}
	if p.Share == 0 {
		fmt.Fprintf(console.Out, "account %q: %d tokens a second, no account is limited\n", p.Account, p.Admitted)
	} else {
		fmt.Fprintf(console.Out, "account %q: %d tokens a second of a share of %d, %.2f of it\n", p.Account, p.Admitted, p.Share, p.Ratio)
	}
	if p.Blind {
		fmt.Fprintln(console.Out, "the loads of other instances are not known; waits may be longer")
	}
	rows := [][]any{{"UPSTREAM", "ZONE", "WAIT", "PREDICTED", "COST", "UNREAD", "STATE"}}
	for _, c := range p.Candidates {
		state := "candidate"
		if c.Home {
			state = "home"
		}
		if c.Excluded != "" {
			state = c.Excluded
			if c.Left.Duration > 0 {
				state += " for " + c.Left.Round(time.Millisecond).String()
			}
		}
		if c.ID == p.Upstream {
			state += ", chosen"
		}
		rows = append(rows, []any{
			c.ID, c.Zone, c.Wait.Round(time.Millisecond), c.Predicted.Round(time.Millisecond), c.Cost.Round(time.Millisecond), c.Unread, state,
		})
	}
	return console.Table(rows)
}
