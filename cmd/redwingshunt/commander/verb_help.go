package commander

import (
	"context"
	"fmt"
)

// VerbHelpSetup describes the verb help.
var VerbHelpSetup = VerbSetup{
	Name:    "help",
	Summary: "describes a verb, or lists them all",
	Options: &struct{}{},
	Parse:   parseVerbHelp,
	Usage: `Usage: redwingshunt help [VERB | exits | connect]
Describes a verb, the exit codes, or the ways to name an instance and a key.
`,
}

// exitsUsage is the text of the help topic exits.
const exitsUsage = `Exit codes:
  0  done
  1  the text has findings, or what was compared differs
  2  the command line is wrong
  3  the instance refused; nothing was changed
  4  no instance could be asked; nothing was changed
  5  it is unknown whether the change takes effect; resend it with the same --id
  6  anything else
`

// topics holds the help texts that do not belong to a verb.
var topics = map[string]string{
	"exits":   exitsUsage,
	"connect": "Options that name an instance and a key:" + connectUsage,
}

// VerbHelp prints a help text.
type VerbHelp struct {
	topic string // empty for the list of verbs
}

func parseVerbHelp(_ *Console, arguments []string) (Verb, error) {
	rest, err := parseArguments("help", &struct{}{}, arguments, 0, 1)
	if err != nil || len(rest) == 0 {
		return &VerbHelp{}, err
	}
	return &VerbHelp{topic: rest[0]}, nil
}

// Run prints the help text.
func (v *VerbHelp) Run(_ context.Context, console *Console) error {
	text, ok := topics[v.topic]
	if setup := lookup(v.topic); setup != nil {
		text, ok = setup.Usage, true
	}
	if v.topic == "" {
		text, ok = mainUsage(), true
	}
	if !ok {
		return &Fault{Code: ExitUsage, Text: fmt.Sprintf("there is no verb %q", v.topic), Next: "see redwingshunt help"}
	}
	_, err := fmt.Fprint(console.Out, text)
	return err
}
