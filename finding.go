package redwingshunt

import (
	"fmt"
	"strings"
)

// Finding is one fault in a settings file or a document, with its place.
type Finding struct {
	File   string `json:"file"`             // name of the file, or "-" for standard input
	Line   int    `json:"line,omitempty"`   // from 1; zero when the fault has no line
	Column int    `json:"column,omitempty"` // from 1
	Path   string `json:"path"`             // path of keys, as in accounts[3].share
	Text   string `json:"text"`             // what is wrong and what is expected
}

// String returns the finding in one line: file:line:column: path: text.
// A part that is not known is left out.
func (f Finding) String() string {
	place := f.File
	if f.Line != 0 {
		place = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	if f.Path != "" {
		place += ": " + f.Path
	}
	return place + ": " + f.Text
}

// Findings are all the faults of one text, reported together.
type Findings []Finding

// Error returns one finding a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil when there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Reporter returns a function that adds a finding about a file at a path within
// it.
func (f *Findings) Reporter(file string) func(path, format string, values ...any) {
	return func(path, format string, values ...any) {
		*f = append(*f, Finding{File: file, Path: path, Text: fmt.Sprintf(format, values...)})
	}
}
