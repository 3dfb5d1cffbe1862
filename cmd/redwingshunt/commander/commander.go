// Package commander is the operators' command line. Each verb has a file of its
// own that holds its usage text, its options, its constructor and its work; the
// lookup table in table.go names them all. A verb parses its arguments into a
// value of its own type, which then runs:
//
//	VerbStatusSetup -> parseVerbStatus -> VerbStatus -> Run
//
// Answers go to the standard output, progress and faults to the standard error.
// With --json an answer is one JSON value on one line. A fault says what to do
// next.
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

// ExitCode is the status that the program ends with.
type ExitCode int

// The exit codes. They are listed by redwingshunt help exits.
const (
	ExitDone        ExitCode = 0 // done
	ExitFindings    ExitCode = 1 // the text has findings, or what was compared differs
	ExitUsage       ExitCode = 2 // the command line is wrong
	ExitRefused     ExitCode = 3 // the instance refused; nothing was changed
	ExitUnreachable ExitCode = 4 // no instance could be asked; nothing was changed
	ExitUnknown     ExitCode = 5 // the change may or may not take effect
	ExitFailed      ExitCode = 6 // anything else
)

// Fault ends a verb with an exit code and says what to do next.
type Fault struct {
	Code ExitCode
	Text string
	Next string
}

// Error returns the text.
func (f *Fault) Error() string { return f.Text }

// usageFault is the fault of a wrong command line.
func usageFault(verb, format string, args ...any) *Fault {
	return &Fault{Code: ExitUsage, Text: fmt.Sprintf(format, args...), Next: "see redwingshunt help " + verb}
}

// errQuiet ends a verb with findings that it has printed itself.
var errQuiet = errors.New("printed already")

// Console is what a verb reads and writes.
type Console struct {
	In     io.Reader
	Out    io.Writer
	Err    io.Writer
	Getenv func(name string) string
}

// NewConsole returns the console of the process.
func NewConsole() *Console {
	return &Console{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv}
}

// JSON prints a value on one line.
func (c *Console) JSON(value any) error { return json.NewEncoder(c.Out).Encode(value) }

// Table prints rows in columns; the first row holds the headings.
func (c *Console) Table(rows [][]any) error {
	const gap = 2 // blanks between columns
	w := tabwriter.NewWriter(c.Out, 0, 0, gap, ' ', 0)
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

// Progress prints a line for a person who waits.
func (c *Console) Progress(format string, args ...any) {
	fmt.Fprintf(c.Err, format+"\n", args...)
}

// Main runs one command line and returns the exit code.
func Main(ctx context.Context, console *Console, arguments []string) ExitCode {
	err := run(ctx, console, arguments)
	if err == nil {
		return ExitDone
	}
	if errors.Is(err, errQuiet) {
		return ExitFindings
	}
	fault := faultOf(err)
	fmt.Fprintf(console.Err, "redwingshunt: %s\n", fault.Text)
	if fault.Next != "" {
		fmt.Fprintf(console.Err, "redwingshunt: %s\n", fault.Next)
	}
	return fault.Code
}

// run finds the verb of a command line and runs it.
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

// faultOf returns the fault that an error stands for.
func faultOf(err error) *Fault {
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
		return &Fault{Code: codeOf(problem), Text: problem.Error(), Next: problem.Next}
	case errors.As(err, &unreachable):
		return &Fault{
			Code: ExitUnreachable, Text: unreachable.Error(),
			Next: "check the address and that the instance runs; http:// in front asks one without TLS",
		}
	}
	return &Fault{Code: ExitFailed, Text: err.Error()}
}

// codeOf returns the exit code of a problem.
func codeOf(problem *administrator.Problem) ExitCode {
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
