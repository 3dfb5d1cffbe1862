package commander

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/redwingshunt/redwingshunt/requester"
)

// VerbDrainSetup describes the verb drain.
var VerbDrainSetup = VerbSetup{
	Name:    "drain",
	Summary: "begins a graceful shutdown of instances",
	Options: &VerbDrainOptions{},
	Parse:   parseVerbDrain,
	Usage: `Usage: redwingshunt drain [OPTION]...
Begins a graceful shutdown of each instance that --admin names, one after the
other: it takes no new requests, ends those in flight and stops. The process has
stopped when its API no longer answers.

Options:
  --wait            return once each has stopped, before the next begins
  --limit DURATION  how long to wait for each, 60s unless given
` + outputUsage + connectUsage,
}

// VerbDrainOptions are the options of drain.
type VerbDrainOptions struct {
	OutputOptions
	ConnectOptions
	Wait  bool          `long:"wait"`
	Limit time.Duration `long:"limit" default:"60s"`
}

// VerbDrain shuts instances down gracefully.
type VerbDrain struct {
	options VerbDrainOptions
}

// drainResult is the JSON output of drain for one instance.
type drainResult struct {
	Address string `json:"address"`
	Stopped bool   `json:"stopped"` // always false without --wait
}

func parseVerbDrain(_ *Console, arguments []string) (Verb, error) {
	v := &VerbDrain{}
	_, err := parseArguments("drain", &v.options, arguments, 0, 0)
	return v, err
}

// Run shuts the instances down one after the other.
func (v *VerbDrain) Run(ctx context.Context, console *Console) error {
	client, err := v.options.client(console, "drain")
	if err != nil {
		return err
	}
	defer client.Close()
	for _, instance := range client.Each() {
		result := drainResult{Address: instance.Target().String(), Stopped: v.options.Wait}
		if err := v.drain(ctx, console, instance); err != nil {
			return err
		}
		if v.options.JSON {
			if err := console.JSON(result); err != nil {
				return err
			}
			continue
		}
		state := "is draining"
		if result.Stopped {
			state = "has stopped"
		}
		fmt.Fprintln(console.Out, result.Address, state)
	}
	return nil
}

// drain starts the shutdown of one instance and, with --wait, waits until it has
// stopped.
func (v *VerbDrain) drain(ctx context.Context, console *Console, client *requester.Client) error {
	if err := client.Drain(ctx); err != nil || !v.options.Wait {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, v.options.Limit)
	defer cancel()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		var unreachable *requester.UnreachableError
		if _, err := client.Status(ctx); errors.As(err, &unreachable) && ctx.Err() == nil {
			return nil
		}
		console.Progress("%s still answers", client.Target())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return &Fault{
				Code: ExitFailed, Text: fmt.Sprintf("%s still answers after %s", client.Target(), v.options.Limit),
				Next: "see its dump for the requests in flight; the shutdown goes on",
			}
		}
	}
}
