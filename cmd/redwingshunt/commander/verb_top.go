package commander

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/redwingshunt/redwingshunt/administrator"
	"github.com/redwingshunt/redwingshunt/requester"
)

// VerbTopSetup describes the verb top.
var VerbTopSetup = VerbSetup{
	Name:    "top",
	Summary: "shows accounts and upstreams again and again",
	Options: &VerbTopOptions{},
	Parse:   parseVerbTop,
	Usage: `Usage: redwingshunt top [OPTION]...
Shows the client accounts and upstreams in the terminal and refreshes them. End it
with an interrupt (control-C). With --json it prints one JSON value a refresh.

Options:
  --every DURATION  time between refreshes, 1s unless given
  --count N         refreshes before it ends; without end unless given
` + outputUsage + connectUsage,
}

// VerbTopOptions are the options of top.
type VerbTopOptions struct {
	OutputOptions
	ConnectOptions
	Every time.Duration `long:"every" default:"1s"`
	Count int           `long:"count"`
}

// VerbTop shows accounts and upstreams and refreshes them periodically.
type VerbTop struct {
	options VerbTopOptions
}

// topView is the JSON output of top for one refresh.
type topView struct {
	Status    administrator.Status           `json:"status"`
	Accounts  []administrator.AccountStatus  `json:"accounts"`
	Upstreams []administrator.UpstreamStatus `json:"upstreams"`
}

const (
	clearScreen        = "\x1b[H\x1b[2J"        // ANSI: cursor home, erase display
	minRefreshInterval = 100 * time.Millisecond // minimum interval between refreshes
)

func parseVerbTop(_ *Console, arguments []string) (Verb, error) {
	v := &VerbTop{}
	if _, err := parseArguments("top", &v.options, arguments, 0, 0); err != nil {
		return nil, err
	}
	if v.options.Every < minRefreshInterval {
		return nil, usageFault("top", "--every is %s; must be at least %s", v.options.Every, minRefreshInterval)
	}
	return v, nil
}

// Run refreshes the view until the count is reached or the context is canceled.
func (v *VerbTop) Run(ctx context.Context, console *Console) error {
	client, err := v.options.client(console, "top")
	if err != nil {
		return err
	}
	defer client.Close()
	ticker := time.NewTicker(v.options.Every)
	defer ticker.Stop()
	for refreshes := 1; ; refreshes++ {
		if err := v.refresh(ctx, console, client); err != nil {
			return err
		}
		if refreshes == v.options.Count {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// refresh queries the instances and prints the view once.
func (v *VerbTop) refresh(ctx context.Context, console *Console, client *requester.Client) error {
	var view topView
	var err error
	if view.Status, err = client.Status(ctx); err != nil {
		return err
	}
	if view.Accounts, err = queryAccounts(ctx, console, client); ignoreNotAvailable(err) != nil {
		return err
	}
	if view.Upstreams, err = queryUpstreams(ctx, console, client); ignoreNotAvailable(err) != nil {
		return err
	}
	if v.options.JSON {
		return console.JSON(view)
	}
	return view.print(console.Out)
}

// ignoreNotAvailable returns nil for the error of an instance that does not serve a
// part of the API, and any other error unchanged.
func ignoreNotAvailable(err error) error {
	var problem *administrator.Problem
	if errors.As(err, &problem) && problem.Reason == administrator.ReasonNotAvailable {
		return nil
	}
	return err
}

// print writes the view with a single call to avoid flicker.
func (t topView) print(out io.Writer) error {
	var page bytes.Buffer
	console := &Console{Out: &page}
	fmt.Fprintf(&page, "%s%s in %s/%s, revision %d, %d live instances\n\n", clearScreen,
		t.Status.Instance, t.Status.Region, t.Status.Zone, t.Status.Revision, len(t.Status.Fleet))
	if err := printAccounts(console, t.Accounts); err != nil {
		return err
	}
	fmt.Fprintln(&page)
	if err := printUpstreams(console, t.Upstreams); err != nil {
		return err
	}
	_, err := out.Write(page.Bytes())
	return err
}
