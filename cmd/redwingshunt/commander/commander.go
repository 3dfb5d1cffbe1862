// Package commander implements the operators' command line. Each verb has its own
// file, which holds its usage text, options, constructor and implementation; the
// lookup table in table.go lists all verbs. A verb parses its arguments into a
// value of its own type, which is then run:
//
//	VerbStatusSetup -> parseVerbStatus -> VerbStatus -> Run
//
// Results are written to the standard output, progress and errors to the standard
// error. With --json a result is one JSON value on one line. An error message is
// followed by a hint on what to do next.
//
// # Usage
//
//	os.Exit(commander.Main(context.Background(), commander.NewConsole(), os.Args[1:]))
package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/administrator"
	"github.com/redwingshunt/redwingshunt/requester"
)

// ExitCode is the exit status of the program.
type ExitCode int

// The exit codes, as listed by redwingshunt help exits.
const (
	ExitDone        ExitCode = 0 // done
	ExitFindings    ExitCode = 1 // the checked text has findings, or a comparison found differences
	ExitUsage       ExitCode = 2 // the command line is wrong
	ExitRefused     ExitCode = 3 // the instance refused; nothing was changed
	ExitUnreachable ExitCode = 4 // no instance could be reached; nothing was changed
	ExitUnknown     ExitCode = 5 // the change may or may not take effect
	ExitFailed      ExitCode = 6 // any other failure
)

// Fault is an error that ends a verb with an exit code and a hint on what to do next.
type Fault struct {
	Code ExitCode
	Text string // error message
	Next string // hint on what to do next; may be empty
}

// Error returns the error message without the hint.
func (f *Fault) Error() string { return f.Text }

// usageFault returns the fault for an invalid command line of a verb.
func usageFault(verb, format string, args ...any) *Fault {
	return &Fault{Code: ExitUsage, Text: fmt.Sprintf(format, args...), Next: "see redwingshunt help " + verb}
}

// errReported ends a verb with ExitFindings; the verb has already printed the
// findings.
var errReported = errors.New("findings already printed")

// Console holds the input, the outputs and the environment of a verb.
type Console struct {
	In     io.Reader
	Out    io.Writer
	Err    io.Writer
	Getenv func(name string) string
}

// NewConsole returns the console that uses the streams and environment of the process.
func NewConsole() *Console {
	return &Console{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv}
}

// JSON prints a value as JSON on one line.
func (c *Console) JSON(value any) error { return json.NewEncoder(c.Out).Encode(value) }

// Table prints rows in aligned columns; the first row holds the headings.
func (c *Console) Table(rows [][]any) error {
	const padding = 2 // spaces between columns
	w := tabwriter.NewWriter(c.Out, 0, 0, padding, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// Progress prints a progress line to the standard error.
func (c *Console) Progress(format string, args ...any) {
	fmt.Fprintf(c.Err, format+"\n", args...)
}

// Main runs one command line and returns the exit code.
func Main(ctx context.Context, console *Console, arguments []string) ExitCode {
	err := run(ctx, console, arguments)
	if err == nil {
		return ExitDone
	}
	if errors.Is(err, errReported) {
		return ExitFindings
	}
	fault := toFault(err)
	fmt.Fprintf(console.Err, "redwingshunt: %s\n", fault.Text)
	if fault.Next != "" {
		fmt.Fprintf(console.Err, "redwingshunt: %s\n", fault.Next)
	}
	return fault.Code
}

// run looks up the verb of a command line and runs it.
func run(ctx context.Context, console *Console, arguments []string) error {
	if len(arguments) == 0 {
		fmt.Fprint(console.Err, mainUsage())
		return &Fault{Code: ExitUsage, Text: "no verb is given", Next: "try redwingshunt demo"}
	}
	name := arguments[0]
	switch name {
	case "--help", "-h":
		name = "help"
	case "--version":
		name = "version"
	}
	setup := lookup(name)
	if setup == nil {
		return &Fault{Code: ExitUsage, Text: fmt.Sprintf("there is no verb %q", name), Next: "see redwingshunt help"}
	}
	for _, argument := range arguments[1:] {
		if argument == "--help" || argument == "-h" {
			fmt.Fprint(console.Out, setup.Usage)
			return nil
		}
	}
	verb, err := setup.Parse(console, arguments[1:])
	if err != nil {
		return err
	}
	return verb.Run(ctx, console)
}

// toFault converts an error to a fault.
func toFault(err error) *Fault {
	var fault *Fault
	var problem *administrator.Problem
	var unreachable *requester.UnreachableError
	var findings redwingshunt.Findings
	switch {
	case errors.As(err, &fault):
		return fault
	case errors.As(err, &findings):
		return &Fault{Code: ExitFindings, Text: findings.Error()}
	case errors.As(err, &problem):
		return &Fault{Code: exitCodeFor(problem), Text: problem.Error(), Next: problem.Next}
	case errors.As(err, &unreachable):
		return &Fault{
			Code: ExitUnreachable, Text: unreachable.Error(),
			Next: "check the address and that the instance runs; http:// in front asks one without TLS",
		}
	}
	return &Fault{Code: ExitFailed, Text: err.Error()}
}

// exitCodeFor returns the exit code for a problem that an instance reported.
func exitCodeFor(problem *administrator.Problem) ExitCode {
	switch problem.Reason {
	case administrator.ReasonFindings:
		return ExitFindings
	case administrator.ReasonUnknown:
		return ExitUnknown
	case administrator.ReasonFailed:
		return ExitFailed
	}
	return ExitRefused
}
