package commander

import (
	"context"
	"fmt"

	"github.com/redwingshunt/redwingshunt"
)

// VerbRepairSetup describes the verb repair.
var VerbRepairSetup = VerbSetup{
	Name:    "repair",
	Summary: "replaces a lost voter by another instance",
	Options: &VerbRepairOptions{},
	Parse:   parseVerbRepair,
	Usage: `Usage: redwingshunt repair [OPTION]... WITH
Makes the instance WITH a voter: it is added, catches up, gets a vote, and then the
lost voter is removed. WITH must run with an empty data folder; it may be the lost one
itself, after it lost its disk. The command may be given again after it was
interrupted; it goes on where it stopped.

Options:
  --lost NAME       voter that is removed at the end; without it WITH is added
` + outputUsage + connectUsage + `
Example:
  redwingshunt repair --lost node-b node-d
`,
}

// VerbRepairOptions are the options of repair.
type VerbRepairOptions struct {
	OutputOptions
	ConnectOptions
	Lost string `long:"lost"`
}

// VerbRepair adds a voter, or replaces a lost one.
type VerbRepair struct {
	options     VerbRepairOptions
	replacement redwingshunt.InstanceID
}

// repairResult is the JSON output of repair.
type repairResult struct {
	Lost  redwingshunt.InstanceID `json:"lost,omitempty"`
	With  redwingshunt.InstanceID `json:"with"`
	Steps []string                `json:"steps"`
}

func parseVerbRepair(_ *Console, arguments []string) (Verb, error) {
	v := &VerbRepair{}
	rest, err := parseArguments("repair", &v.options, arguments, 1, 1)
	if err != nil {
		return nil, err
	}
	v.replacement = redwingshunt.InstanceID(rest[0])
	return v, nil
}

// Run replaces the voter and reports each step as progress.
func (v *VerbRepair) Run(ctx context.Context, console *Console) error {
	client, err := v.options.client(console, "repair")
	if err != nil {
		return err
	}
	defer client.Close()
	result := repairResult{Lost: redwingshunt.InstanceID(v.options.Lost), With: v.replacement, Steps: []string{}}
	err = client.Replace(ctx, result.Lost, result.With, func(text string) {
		result.Steps = append(result.Steps, text)
		console.Progress("%s", text)
	})
	if err != nil {
		return err
	}
	if v.options.JSON {
		return console.JSON(result)
	}
	fmt.Fprintf(console.Out, "%s is a voter\n", v.replacement)
	return nil
}
