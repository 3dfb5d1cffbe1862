package commander

import (
	"context"
	"fmt"
	"strings"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/parser"
	"github.com/redwingshunt/redwingshunt/requester"
)

// VerbDiffSetup describes the verb diff.
var VerbDiffSetup = VerbSetup{
	Name:    "diff",
	Summary: "compares a file with the document in force, or two revisions",
	Options: &VerbDiffOptions{},
	Parse:   parseVerbDiff,
	Usage: `Usage: redwingshunt diff [OPTION]... [FILE]
Prints what a file would change in the document in force, or what changed between
two revisions. Lines that go begin with -, lines that come with +. Defaults are
written out on both sides, so that only what has an effect is shown. The exit code
is 1 when there is a difference.

Options:
  --from N          an earlier revision in place of the one in force
  --to N            a later revision in place of FILE
` + outputUsage + connectUsage + `
Examples:
  redwingshunt diff accounts.yaml
  redwingshunt diff --from 11 --to 12
`,
}

// VerbDiffOptions are the options of diff.
type VerbDiffOptions struct {
	OutputOptions
	ConnectOptions
	From uint64 `long:"from"`
	To   uint64 `long:"to"`
}

// VerbDiff compares two versions of the document.
type VerbDiff struct {
	options VerbDiffOptions
	file    string
}

// diffResult is the JSON output of diff.
type diffResult struct {
	Removed []string `json:"removed"`
	Added   []string `json:"added"`
}

func parseVerbDiff(_ *Console, arguments []string) (Verb, error) {
	v := &VerbDiff{}
	rest, err := parseArguments("diff", &v.options, arguments, 0, 1)
	if err != nil {
		return nil, err
	}
	if len(rest) == 1 {
		v.file = rest[0]
	}
	if (v.file == "") == (v.options.To == 0) {
		return nil, usageFault("diff", "give either FILE or --to")
	}
	return v, nil
}

// Run prints the differences.
func (v *VerbDiff) Run(ctx context.Context, console *Console) error {
	client, err := v.options.client(console, "diff")
	if err != nil {
		return err
	}
	defer client.Close()
	before, err := v.revision(ctx, client, v.options.From)
	if err != nil {
		return err
	}
	var after *redwingshunt.Document
	if v.file == "" {
		after, err = v.revision(ctx, client, v.options.To)
	} else {
		after, err = v.merge(console, before)
	}
	if err != nil {
		return err
	}
	beforeText, err := parser.Encode(before, "")
	if err != nil {
		return err
	}
	afterText, err := parser.Encode(after, "")
	if err != nil {
		return err
	}
	return v.print(console, diffLines(splitLines(beforeText), splitLines(afterText)))
}

// revision returns the document at a revision; 0 means the revision in force.
func (v *VerbDiff) revision(ctx context.Context, client *requester.Client, revision uint64) (*redwingshunt.Document, error) {
	text, _, err := client.Document(ctx, "", redwingshunt.Revision(revision))
	if err != nil {
		return nil, err
	}
	document, findings := parser.Document("from "+client.Target().String(), text)
	return document, findings.Err()
}

// merge returns the document that results from applying the file to whole.
func (v *VerbDiff) merge(console *Console, whole *redwingshunt.Document) (*redwingshunt.Document, error) {
	text, err := readFile(console, v.file)
	if err != nil {
		return nil, err
	}
	if section := onlySection(text); section != "" {
		document, findings := parser.Section(v.file, section, text, whole)
		return document, findings.Err()
	}
	document, findings := parser.Document(v.file, text)
	return document, findings.Err()
}

// print prints the changed lines.
func (v *VerbDiff) print(console *Console, changes []lineChange) error {
	result := diffResult{Removed: []string{}, Added: []string{}}
	for _, change := range changes {
		if change.sign == '-' {
			result.Removed = append(result.Removed, change.text)
		} else {
			result.Added = append(result.Added, change.text)
		}
		if !v.options.JSON {
			fmt.Fprintf(console.Out, "%c%s\n", change.sign, change.text)
		}
	}
	if v.options.JSON {
		if err := console.JSON(result); err != nil {
			return err
		}
	}
	if len(changes) > 0 {
		return errReported
	}
	return nil
}

// lineChange is a removed or added line.
type lineChange struct {
	sign byte // '-' for a removed line, '+' for an added one
	text string
}

// splitLines returns the lines of a text without their line endings.
func splitLines(text []byte) []string {
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

// diffLines returns the shortest list of removed and added lines that turns a into b.
// The common prefix and suffix are skipped before the rest is compared.
func diffLines(a, b []string) []lineChange {
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	lengths := lcsLengths(a, b)
	var changes []lineChange
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && lengths[i+1][j] >= lengths[i][j+1]:
			changes = append(changes, lineChange{'-', a[i]})
			i++
		default:
			changes = append(changes, lineChange{'+', b[j]})
			j++
		}
	}
	return changes
}

// lcsLengths returns a table that holds at [i][j] the length of the longest common
// subsequence of a[i:] and b[j:].
func lcsLengths(a, b []string) [][]int32 {
	lengths := make([][]int32, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}
