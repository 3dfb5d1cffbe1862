package commander

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/administrator"
	"github.com/redwingshunt/redwingshunt/requester"
)

// VerbSubmitSetup describes the verb submit.
var VerbSubmitSetup = VerbSetup{
	Name:    "submit",
	Summary: "submits a section or the whole document",
	Options: &VerbSubmitOptions{},
	Parse:   parseVerbSubmit,
	Usage: `Usage: redwingshunt submit [OPTION]... FILE
Submits a text and returns once it is committed or refused. A file with one
section changes that section; any other file is the whole document. FILE may be -
for the standard input.

The change is refused when the section changed since its base, the revision that
was edited. Without --base it is read from the line "# base: N" that show prints.
While it is unknown whether the change was committed, the submission is resent
with the same ID, which is never applied twice.

Options:
  --base N          revision that was edited; 0 for the first document
  --id ID           ID of the submission, to resend an earlier one
  --dry             check only
  --limit DURATION  how long to resend, 30s unless given
` + outputUsage + connectUsage + `
Examples:
  redwingshunt submit --base 0 fleet.yaml
  redwingshunt show --section accounts > accounts.yaml
  redwingshunt submit accounts.yaml
`,
}

// VerbSubmitOptions are the options of submit.
type VerbSubmitOptions struct {
	OutputOptions
	ConnectOptions
	Base  *uint64       `long:"base"`
	ID    string        `long:"id"`
	Dry   bool          `long:"dry"`
	Limit time.Duration `long:"limit" default:"30s"`
}

// VerbSubmit submits a text.
type VerbSubmit struct {
	options      VerbSubmitOptions
	file         string
	skippedLines int // leading lines of the file that are not submitted
}

// resendDelay is the delay before a submission is resent.
const resendDelay = 500 * time.Millisecond

func parseVerbSubmit(_ *Console, arguments []string) (Verb, error) {
	v := &VerbSubmit{}
	rest, err := parseArguments("submit", &v.options, arguments, 1, 1)
	if err != nil {
		return nil, err
	}
	v.file = rest[0]
	return v, nil
}

// Run submits the text and prints the receipt.
func (v *VerbSubmit) Run(ctx context.Context, console *Console) error {
	client, err := v.options.client(console, "submit")
	if err != nil {
		return err
	}
	defer client.Close()
	submission, err := v.submission(console)
	if err != nil {
		return err
	}
	receipt, err := v.submitWithRetry(ctx, console, client, submission)
	if err != nil {
		return v.reportRefusal(console, submission, err)
	}
	if v.options.JSON {
		return console.JSON(receipt)
	}
	if v.options.Dry {
		fmt.Fprintln(console.Out, "no findings; nothing was changed")
		return nil
	}
	fmt.Fprintf(console.Out, "accepted as revision %d\n", receipt.Revision)
	return nil
}

// submission builds the submission from the file and the options.
func (v *VerbSubmit) submission(console *Console) (redwingshunt.Submission, error) {
	text, err := readFile(console, v.file)
	if err != nil {
		return redwingshunt.Submission{}, err
	}
	base, text, ok := cutBaseLine(text)
	if ok {
		v.skippedLines = 1
	}
	if v.options.Base != nil {
		base, ok = *v.options.Base, true
	}
	if !ok {
		return redwingshunt.Submission{}, usageFault("submit", `the base is not known; give --base N, or keep the line "# base: N" of show`)
	}
	id := v.options.ID
	if id == "" {
		id = rand.Text()
	}
	return redwingshunt.Submission{
		ID: id, Section: onlySection(text), Base: redwingshunt.Revision(base), Text: text, DryRun: v.options.Dry,
	}, nil
}

// cutBaseLine removes the first line as printed by show and returns the revision that
// it contains. If there is no such line, ok is false and rest is the whole text.
func cutBaseLine(text []byte) (base uint64, rest []byte, ok bool) {
	line, rest, _ := bytes.Cut(text, []byte("\n"))
	n, err := fmt.Sscanf(string(line)+"\n", baseLineFormat, &base)
	if err != nil || n != 1 {
		return 0, text, false
	}
	return base, rest, true
}

// onlySection returns the section of a text that consists of one section, or an
// empty section for any other text.
func onlySection(text []byte) redwingshunt.Section {
	var keys map[redwingshunt.Section]yaml.Node
	if err := yaml.Unmarshal(text, &keys); err != nil || len(keys) != 1 {
		return ""
	}
	for key := range keys {
		if slices.Contains(redwingshunt.Sections(), key) {
			return key
		}
	}
	return ""
}

// submitWithRetry submits repeatedly until the outcome is known or the time limit
// expires.
func (v *VerbSubmit) submitWithRetry(ctx context.Context, console *Console, client *requester.Client, s redwingshunt.Submission) (redwingshunt.Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, v.options.Limit)
	defer cancel()
	mayHaveCommitted := false // an earlier attempt may have been committed
	for {
		receipt, err := client.Submit(ctx, s)
		if !isRetryable(err) {
			return receipt, err
		}
		mayHaveCommitted = mayHaveCommitted || mayBeCommitted(err)
		console.Progress("not known yet (%v); resending %s", err, s.ID)
		select {
		case <-time.After(resendDelay):
			continue
		case <-ctx.Done():
		}
		if mayHaveCommitted {
			err = &Fault{
				Code: ExitUnknown, Text: "it is unknown whether the change was committed: " + err.Error(),
				Next: "resend it with --id " + s.ID + ": it is never applied twice",
			}
		}
		return receipt, err
	}
}

// isRetryable reports whether another attempt may have a different outcome.
func isRetryable(err error) bool {
	var problem *administrator.Problem
	if errors.As(err, &problem) {
		return problem.Reason == administrator.ReasonUnknown || problem.Reason == administrator.ReasonNotCommitted
	}
	return err != nil
}

// mayBeCommitted reports whether a failed attempt may still take effect. An instance
// may have received the text before the connection to it failed.
func mayBeCommitted(err error) bool {
	var problem *administrator.Problem
	return !errors.As(err, &problem) || problem.Reason == administrator.ReasonUnknown
}

// reportRefusal prints the findings of a refused submission with their position in
// the file and returns the error to report.
func (v *VerbSubmit) reportRefusal(console *Console, s redwingshunt.Submission, err error) error {
	var problem *administrator.Problem
	if !errors.As(err, &problem) || problem.Receipt == nil {
		return err
	}
	for i := range problem.Receipt.Findings {
		finding := &problem.Receipt.Findings[i]
		finding.File = v.file
		if finding.Line > 0 {
			finding.Line += v.skippedLines
		}
	}
	if v.options.JSON {
		if err := console.JSON(problem.Receipt); err != nil {
			return err
		}
	} else if len(problem.Receipt.Findings) > 0 {
		fmt.Fprintln(console.Out, problem.Receipt.Findings.Error())
	}
	return &Fault{Code: exitCodeFor(problem), Text: fmt.Sprintf("%s (submission %s)", problem.Detail, s.ID), Next: problem.Next}
}
