package commander

import (
	"context"

	"github.com/redwingshunt/redwingshunt/measurer"
)

// VerbMeasureSetup describes the verb measure.
var VerbMeasureSetup = VerbSetup{
	Name:    "measure",
	Summary: "measures the fair service on simulated fleets",
	Options: &VerbMeasureOptions{},
	Parse:   parseVerbMeasure,
	Usage: `Usage: redwingshunt measure [OPTION]...
Runs the scheduler of simulated fleets, today's and larger ones, and prints tables
in Markdown: the gap between client accounts, slots in use while work waits, waits,
control bytes and processor time. No instance is asked. It takes minutes.

Options:
  --small           only the sizes of today
  --seed N          seed of all scenarios, 1 unless given
`,
}

// VerbMeasureOptions are the options of measure.
type VerbMeasureOptions struct {
	Small bool   `long:"small"`
	Seed  uint64 `long:"seed" default:"1"`
}

// VerbMeasure runs the measurements.
type VerbMeasure struct {
	options VerbMeasureOptions
}

func parseVerbMeasure(_ *Console, arguments []string) (Verb, error) {
	v := &VerbMeasure{}
	_, err := parseArguments("measure", &v.options, arguments, 0, 0)
	return v, err
}

// Run runs the simulations and prints the results.
func (v *VerbMeasure) Run(ctx context.Context, console *Console) error {
	return measurer.Run(ctx, measurer.Options{Small: v.options.Small, Seed: v.options.Seed}, console.Out)
}
