// Package merger splits the text of a document into its sections, joins them
// again, and describes the change from one text to the next as an edit.
//
// Teams submit sections alone, and their text is kept as submitted, comments
// included. A section begins at the line with its key at column one, or at the
// comment lines directly above it, and ends before the next one.
//
// # Usage
//
//	parts := merger.Split(text)           // one part a section that is present
//	text = merger.Join(parts)             // in document order
//	edit := merger.Compare(before, after) // a few bytes for a small change
//	after, err := merger.Apply(before, edit)
package merger

import (
	"bytes"
	"slices"

	"github.com/redwingshunt/redwingshunt"
)

// Part is the text of one section, with its key.
type Part struct {
	Section  redwingshunt.Section
	Revision redwingshunt.Revision // of the last change of the section
	Text     []byte
}

// Find returns the part of a section, or an empty one.
func Find(parts []Part, section redwingshunt.Section) Part {
	i := slices.IndexFunc(parts, func(p Part) bool { return p.Section == section })
	if i < 0 {
		return Part{Section: section}
	}
	return parts[i]
}

// Put returns a copy of parts with one part added or replaced, in document
// order. The argument is not changed.
func Put(parts []Part, part Part) []Part {
	var next []Part
	for _, section := range slots() {
		p := Find(parts, section)
		if section == part.Section {
			p = part
		}
		if p.Revision != 0 || p.Text != nil {
			next = append(next, p)
		}
	}
	return next
}

// Join returns the texts in document order as one document.
func Join(parts []Part) []byte {
	var text []byte
	for _, section := range slots() {
		text = append(text, Find(parts, section).Text...)
	}
	return text
}

// slots returns the sections in which parts are kept, in order.
func slots() []redwingshunt.Section {
	return append(redwingshunt.Sections(), redwingshunt.SectionWhole)
}

// Split cuts a document at the keys of its sections. Text before the first key
// belongs to the first section. A document of which the keys do not begin a
// line cannot be cut; it comes back as something else when its parts are joined.
func Split(text []byte) []Part {
	var parts []Part
	start, current := 0, redwingshunt.Section("")
	comments := -1 // where the comment lines above the next line begin
	for offset := 0; offset < len(text); {
		line := lineAt(text, offset)
		section, ok := key(line)
		switch {
		case ok:
			if current != "" {
				end := offset
				if comments >= 0 {
					end = comments
				}
				parts = append(parts, Part{Section: current, Text: closed(text[start:end])})
				start = end
			}
			current, comments = section, -1
		case bytes.HasPrefix(line, []byte("#")):
			if comments < 0 {
				comments = offset
			}
		default:
			comments = -1
		}
		offset += len(line)
	}
	if current != "" {
		parts = append(parts, Part{Section: current, Text: closed(text[start:])})
	}
	return parts
}

// lineAt returns the line from an offset, with its end.
func lineAt(text []byte, offset int) []byte {
	if i := bytes.IndexByte(text[offset:], '\n'); i >= 0 {
		return text[offset : offset+i+1]
	}
	return text[offset:]
}

// key returns the section of which the key begins the line.
func key(line []byte) (redwingshunt.Section, bool) {
	for _, section := range redwingshunt.Sections() {
		if bytes.HasPrefix(line, []byte(string(section)+":")) {
			return section, true
		}
	}
	return "", false
}

// closed returns a copy of a text that ends with the end of a line and does not
// begin with the mark of a document.
func closed(text []byte) []byte {
	text = bytes.TrimPrefix(text, []byte("---\n"))
	text = slices.Clone(text)
	if len(text) > 0 && text[len(text)-1] != '\n' {
		text = append(text, '\n')
	}
	return text
}

// Closed returns the text of a section as it is kept: it ends with a line.
func Closed(text []byte) []byte { return closed(text) }

// Marked reports whether a line of the text begins with a mark between YAML
// documents, which would cut the joined document in two.
func Marked(text []byte) bool {
	for offset := 0; offset < len(text); {
		line := lineAt(text, offset)
		if bytes.HasPrefix(line, []byte("---")) || bytes.HasPrefix(line, []byte("...")) {
			return true
		}
		offset += len(line)
	}
	return false
}
