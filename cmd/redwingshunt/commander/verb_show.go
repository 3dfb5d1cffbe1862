package commander

import (
	"context"
	"fmt"

	"github.com/redwingshunt/redwingshunt"
)

// VerbShowSetup describes the verb show.
var VerbShowSetup = VerbSetup{
	Name:    "show",
	Summary: "prints the document in force, or one section of it",
	Options: &VerbShowOptions{},
	Parse:   parseVerbShow,
	Usage: `Usage: redwingshunt show [OPTION]...
Prints the document as YAML. Its first line names the revision, which submit
takes as the base of a change.

Options:
  --section NAME    this section alone: teams, regions, services, accounts, once
                    or fleet
  --revision N      as it was at an earlier revision, see history
` + outputUsage + connectUsage + `
Example:
  redwingshunt show --section accounts > accounts.yaml
`,
}

// VerbShowOptions are the options of show.
type VerbShowOptions struct {
	OutputOptions
	ConnectOptions
	Section  string `long:"section"`
	Revision uint64 `long:"revision"`
}

// VerbShow prints the document.
type VerbShow struct {
	options VerbShowOptions
}

// showResult is the JSON output of show.
type showResult struct {
	Revision redwingshunt.Revision `json:"revision"`
	Section  redwingshunt.Section  `json:"section,omitempty"`
	Text     string                `json:"text"` // YAML
}

// baseLineFormat is the format of the first line that show prints.
const baseLineFormat = "# base: %d\n"

func parseVerbShow(_ *Console, arguments []string) (Verb, error) {
	v := &VerbShow{}
	_, err := parseArguments("show", &v.options, arguments, 0, 0)
	return v, err
}

// Run prints the document or the section.
func (v *VerbShow) Run(ctx context.Context, console *Console) error {
	client, err := v.options.client(console, "show")
	if err != nil {
		return err
	}
	defer client.Close()
	section := redwingshunt.Section(v.options.Section)
	text, revision, err := client.Document(ctx, section, redwingshunt.Revision(v.options.Revision))
	if err != nil {
		return err
	}
	if v.options.JSON {
		return console.JSON(showResult{Revision: revision, Section: section, Text: string(text)})
	}
	fmt.Fprintf(console.Out, baseLineFormat+"%s", revision, text)
	return nil
}
