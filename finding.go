package redwingshunt

import (
	"fmt"
	"strings"
)

// Finding is an error in a settings file or a document, with its position.
type Finding struct {
	File   string `json:"file"`             // file name, or "-" for standard input
	Line   int    `json:"line,omitempty"`   // from 1; zero if unknown
	Column int    `json:"column,omitempty"` // from 1
	Path   string `json:"path"`             // path of keys, for example accounts[3].share
	Text   string `json:"text"`             // what is wrong and what is expected
}

// String formats the finding as file:line:column: path: text. Unknown parts are
// omitted.
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

// Findings are all the errors found in one text.
type Findings []Finding

// Error returns the findings, one per line.
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

// maxFindings bounds the findings of one text. A text of 8 MiB may have one for every
// few bytes, which would take many times its memory.
const maxFindings = 1000

// Reporter returns a function that appends a finding for a path within the file. After
// maxFindings, it only notes that there are more.
func (f *Findings) Reporter(file string) func(path, format string, values ...any) {
	return func(path, format string, values ...any) {
		if len(*f) > maxFindings {
			return
		}
		if len(*f) == maxFindings {
			path, format, values = "", "there are more findings, which are not listed", nil
		}
		*f = append(*f, Finding{File: file, Path: path, Text: fmt.Sprintf(format, values...)})
	}
}
