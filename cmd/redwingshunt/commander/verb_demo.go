package commander

import (
	"context"

	"github.com/redwingshunt/redwingshunt/demonstrator"
)

// VerbDemoSetup describes the verb demo.
var VerbDemoSetup = VerbSetup{
	Name:    "demo",
	Summary: "runs a small fleet with stand-in upstreams in this process",
	Options: &struct{}{},
	Parse:   parseVerbDemo,
	Usage: `Usage: redwingshunt demo
Runs a small fleet, stand-in upstreams and client accounts that send, all in this
process, and prints the service of each account while it runs and at the end. It
needs no file and no other process.
`,
}

// VerbDemo runs the demonstration.
type VerbDemo struct{}

func parseVerbDemo(_ *Console, arguments []string) (Verb, error) {
	_, err := parseArguments("demo", &struct{}{}, arguments, 0, 0)
	return &VerbDemo{}, err
}

// Run runs the demonstration.
func (v *VerbDemo) Run(ctx context.Context, console *Console) error {
	return demonstrator.Run(ctx, console.Out, demonstrator.Defaults())
}
