package commander

import (
	"context"
	"time"
)

// VerbHistorySetup describes the verb history.
var VerbHistorySetup = VerbSetup{
	Name:    "history",
	Summary: "lists who changed what and when",
	Options: &VerbHistoryOptions{},
	Parse:   parseVerbHistory,
	Usage: `Usage: redwingshunt history [OPTION]...
Lists the accepted changes of the document, newest first.

Options:
  --limit N         at most this many, 20 unless given
` + outputUsage + connectUsage,
}

// VerbHistoryOptions are the options of history.
type VerbHistoryOptions struct {
	OutputOptions
	ConnectOptions
	Limit int `long:"limit" default:"20"`
}

// VerbHistory lists the accepted changes.
type VerbHistory struct {
	options VerbHistoryOptions
}

func parseVerbHistory(_ *Console, arguments []string) (Verb, error) {
	v := &VerbHistory{}
	_, err := parseArguments("history", &v.options, arguments, 0, 0)
	return v, err
}

// Run prints the changes.
func (v *VerbHistory) Run(ctx context.Context, console *Console) error {
	client, err := v.options.client(console, "history")
	if err != nil {
		return err
	}
	defer client.Close()
	changes, err := client.History(ctx, v.options.Limit)
	if err != nil {
		return err
	}
	if v.options.JSON {
		return console.JSON(changes)
	}
	rows := [][]any{{"REVISION", "SECTION", "TEAM", "AT", "SUBMISSION"}}
	for _, c := range changes {
		section := c.Section
		if section == "" {
			section = "(all)"
		}
		rows = append(rows, []any{c.Revision, section, c.Team, c.At.UTC().Format(time.RFC3339), c.ID})
	}
	return console.Table(rows)
}
