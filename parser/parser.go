// Package parser reads the configuration document of a fleet and the settings
// of an instance. It is strict: unknown and repeated keys, wrong types, values
// out of range and references to nothing are findings, and all findings of a
// text are reported together, each with file, line, column and path of keys.
//
// A text is read in three steps. The YAML library turns it into nodes; tables
// of fields (document.go, settings.go) decode the nodes into the types of the
// root package and fill in defaults; checks over the whole value (check.go)
// follow references between sections. Each step reports what it finds and the
// next goes on with what could be read.
//
// Durations are written as 30s, sizes as 4MiB or as plain bytes, addresses as an
// IP number with a port. Anchors and aliases are refused: a section is submitted
// alone and must mean the same wherever it stands.
//
// # Usage
//
//	document, findings := parser.Document("fleet.yaml", text)
//	if err := findings.Err(); err != nil {
//		return err // one finding a line
//	}
//
// A section alone has the form that it has in the document, with its key:
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

// maxText bounds a text, in bytes.
const maxText = 8 << 20

// Document reads a whole document. The document is nil when there are findings.
func Document(name string, text []byte) (*redwingshunt.Document, redwingshunt.Findings) {
	r := newReader(name)
	document := Empty()
	if node := r.root(text); node != nil {
		documentObject(r, "", node, &document)
		check(&document, r.report)
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
		r.report("", "there is no section %q; %s", section, expectOne(redwingshunt.Sections()))
		return result(r, &document)
	}
	if node := r.root(text); node != nil {
		resetSection(&document, section)
		sectionObject(section)(r, "", node, &document)
		check(&document, r.report)
	}
	return result(r, &document)
}

// Settings reads the settings of an instance. They are nil when there are
// findings.
func Settings(name string, text []byte) (*redwingshunt.Settings, redwingshunt.Findings) {
	r := newReader(name)
	settings := emptySettings()
	if node := r.root(text); node != nil {
		settingsObject(r, "", node, &settings)
		checkSettings(&settings, r.report)
	}
	return result(r, &settings)
}

// Encode returns a document, or one section of it, as YAML that Document or
// Section reads back to the same value.
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

// result returns the value unless there are findings.
func result[T any](r *reader, value *T) (*T, redwingshunt.Findings) {
	if findings := r.sorted(); len(findings) > 0 {
		return nil, findings
	}
	return value, nil
}
