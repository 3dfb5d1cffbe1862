package commander

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/parser"
)

// VerbCheckSetup describes the verb check.
var VerbCheckSetup = VerbSetup{
	Name:    "check",
	Summary: "checks a document or settings and prints all findings with their place",
	Options: &VerbCheckOptions{},
	Parse:   parseVerbCheck,
	Usage: `Usage: redwingshunt check [OPTION]... FILE...
Checks documents, or settings with --settings, and prints every finding as
file:line:column: path: text. FILE may be - for the standard input. The exit
code is 1 when there is any finding. No instance is asked.

Options:
  --settings        the files are settings of an instance
  --section NAME    the files hold this section alone
  --whole FILE      document that the section is checked with
` + outputUsage + `
Example:
  redwingshunt check examples/saddlery.yaml
`,
}

// VerbCheckOptions are the options of check.
type VerbCheckOptions struct {
	OutputOptions
	Settings bool   `long:"settings"`
	Section  string `long:"section"`
	Whole    string `long:"whole"`
}

// VerbCheck checks files.
type VerbCheck struct {
	options VerbCheckOptions
	files   []string
}

// maxFiles is the maximum number of files that check and dump accept.
const maxFiles = 1000

func parseVerbCheck(_ *Console, arguments []string) (Verb, error) {
	v := &VerbCheck{}
	var err error
	if v.files, err = parseArguments("check", &v.options, arguments, 1, maxFiles); err != nil {
		return nil, err
	}
	if v.options.Settings && v.options.Section != "" {
		return nil, usageFault("check", "--settings contradicts --section")
	}
	return v, nil
}

// Run checks the files one after the other.
func (v *VerbCheck) Run(_ context.Context, console *Console) error {
	whole, err := v.readWhole(console)
	if err != nil {
		return err
	}
	findings := redwingshunt.Findings{}
	for _, file := range v.files {
		text, err := readFile(console, file)
		if err != nil {
			return err
		}
		findings = append(findings, v.check(file, text, whole)...)
	}
	return v.print(console, findings)
}

// readWhole returns the document that a section is checked against, or nil if none
// is given.
func (v *VerbCheck) readWhole(console *Console) (*redwingshunt.Document, error) {
	if v.options.Whole == "" {
		return nil, nil
	}
	text, err := readFile(console, v.options.Whole)
	if err != nil {
		return nil, err
	}
	document, findings := parser.Document(v.options.Whole, text)
	return document, findings.Err()
}

// check returns the findings of one file.
func (v *VerbCheck) check(file string, text []byte, whole *redwingshunt.Document) (findings redwingshunt.Findings) {
	switch {
	case v.options.Settings:
		_, findings = parser.Settings(file, text)
	case v.options.Section != "":
		_, findings = parser.Section(file, redwingshunt.Section(v.options.Section), text, whole)
	default:
		_, findings = parser.Document(file, text)
	}
	return findings
}

// print prints the findings and their number.
func (v *VerbCheck) print(console *Console, findings redwingshunt.Findings) error {
	if v.options.JSON {
		if err := console.JSON(findings); err != nil {
			return err
		}
	} else {
		for _, finding := range findings {
			fmt.Fprintln(console.Out, finding)
		}
		console.Progress("files: %d, findings: %d", len(v.files), len(findings))
	}
	if len(findings) > 0 {
		return errReported
	}
	return nil
}

// readFile reads a file, or the standard input if the name is "-".
func readFile(console *Console, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(console.In)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, &Fault{Code: ExitUsage, Text: err.Error(), Next: "give the path of a file that can be read"}
	}
	return text, nil
}
