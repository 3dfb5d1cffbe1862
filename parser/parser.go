// Package parser reads the configuration document of a fleet and the settings
// of an instance. It is strict: unknown and duplicate keys, wrong types, values
// out of range and dangling references are findings. All findings of a text are
// reported together, each with its file, line, column and path of keys.
//
// A text is read in three steps. The YAML library turns it into nodes; tables
// of fields (document.go, settings.go) decode the nodes into the types of the
// root package and fill in defaults; checks over the whole value (check.go)
// resolve references between sections. Each step reports its findings, and the
// next step continues with the values that could be decoded.
//
// Durations are written as 30s, sizes as 4MiB or as a number of bytes, addresses
// as an IP address with a port. Anchors and aliases are refused: a section is
// submitted alone and must mean the same outside the document.
//
// # Usage
//
//	document, findings := parser.Document("fleet.yaml", text)
//	if err := findings.Err(); err != nil {
//		return err // one finding per line
//	}
//
// A section on its own has the same form as in the document, including its key:
//
//	accounts:
//	  - {name: tower-bakery, key: "sha256:...", share: 3, home: north}
//
//	merged, findings := parser.Section("-", redwingshunt.SectionAccounts, text, document)
package parser

import (
	"fmt"
	"slices"

	"go.yaml.in/yaml/v3"

	"github.com/redwingshunt/redwingshunt"
)

// maxTextBytes is the maximum size of a text, in bytes.
const maxTextBytes = 8 << 20

// Document reads a whole document. The name stands for the text in findings. The
// document is nil when there are findings.
func Document(name string, text []byte) (*redwingshunt.Document, redwingshunt.Findings) {
	r := newReader(name)
	document := Empty()
	if node := r.root(text); node != nil {
		documentObject(r, "", node, &document)
		checkDocument(&document, r.report)
	}
	return result(r, &document)
}

// Section reads one section and returns it merged into a copy of whole, which
// may be nil. The merged document is checked as a whole; a finding outside the
// section has no line. The document is nil when there are findings.
func Section(name string, section redwingshunt.Section, text []byte, whole *redwingshunt.Document) (*redwingshunt.Document, redwingshunt.Findings) {
	r := newReader(name)
	document := Empty()
	if whole != nil {
		document = *whole
	}
	if !slices.Contains(redwingshunt.Sections(), section) {
		r.report("", "there is no section %q; %s", section, listExpected(redwingshunt.Sections()))
		return result(r, &document)
	}
	if node := r.root(text); node != nil {
		resetSection(&document, section)
		sectionObject(section)(r, "", node, &document)
		checkDocument(&document, r.report)
	}
	return result(r, &document)
}

// Settings reads the settings of an instance. The result is nil when there are
// findings.
func Settings(name string, text []byte) (*redwingshunt.Settings, redwingshunt.Findings) {
	r := newReader(name)
	settings := defaultSettings()
	if node := r.root(text); node != nil {
		settingsObject(r, "", node, &settings)
		checkSettings(&settings, r.report)
	}
	return result(r, &settings)
}

// Encode returns a document as YAML that Document decodes to the same value, or
// one section as YAML for Section. An empty section stands for the whole
// document. Encode returns an error if the section is unknown.
func Encode(document *redwingshunt.Document, section redwingshunt.Section) ([]byte, error) {
	text, err := yaml.Marshal(document)
	if err != nil || section == "" {
		return text, err
	}
	var sections map[redwingshunt.Section]yaml.Node
	if err := yaml.Unmarshal(text, &sections); err != nil {
		return nil, err
	}
	node, ok := sections[section]
	if !ok {
		return nil, fmt.Errorf("there is no section %q", section)
	}
	return yaml.Marshal(map[redwingshunt.Section]*yaml.Node{section: &node})
}

// result returns the value, or the findings if there are any.
func result[T any](r *reader, value *T) (*T, redwingshunt.Findings) {
	if findings := r.sortedFindings(); len(findings) > 0 {
		return nil, findings
	}
	return value, nil
}
