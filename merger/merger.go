// Package merger splits the text of a document into sections, joins sections to
// a document, and encodes the change from one text to the next as an edit.
//
// Teams submit sections separately, and their text is stored as submitted,
// including comments. A section begins at the line that has its key in column
// one, or at the comment lines directly above that line, and ends before the
// next section.
//
// # Usage
//
//	parts := merger.Split(text)           // one part per section in the text
//	text = merger.Join(parts)             // in document order
//	edit := merger.Compare(before, after) // a few bytes for a small change
//	after, err := merger.Apply(before, edit)
package merger

import (
	"bytes"
	"slices"

	"github.com/redwingshunt/redwingshunt"
)

// Part is the text of one section, including its key.
type Part struct {
	Section  redwingshunt.Section
	Revision redwingshunt.Revision // revision of the section's last change
	Text     []byte
}

// Find returns the part of a section, or an empty part if there is none.
func Find(parts []Part, section redwingshunt.Section) Part {
	i := slices.IndexFunc(parts, func(p Part) bool { return p.Section == section })
	if i < 0 {
		return Part{Section: section}
	}
	return parts[i]
}

// Put returns a copy of parts, in document order, with one part added or replaced.
func Put(parts []Part, part Part) []Part {
	var next []Part
	for _, section := range allSections() {
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

// Join concatenates the texts of the parts in document order.
func Join(parts []Part) []byte {
	var text []byte
	for _, section := range allSections() {
		text = append(text, Find(parts, section).Text...)
	}
	return text
}

// allSections returns all sections that a part may have, in document order.
func allSections() []redwingshunt.Section {
	return append(redwingshunt.Sections(), redwingshunt.SectionWhole)
}

// Split splits a document at the keys of its sections. Text before the first key
// belongs to the first section. A document whose keys are not at the start of a
// line is not split correctly; its joined parts differ from the document.
func Split(text []byte) []Part {
	var parts []Part
	start, current := 0, redwingshunt.Section("")
	commentStart := -1 // offset of the comment lines directly above the line, or -1
	for offset := 0; offset < len(text); {
		line := lineAt(text, offset)
		section, ok := sectionOfKey(line)
		switch {
		case ok:
			if current != "" {
				end := offset
				if commentStart >= 0 {
					end = commentStart
				}
				parts = append(parts, Part{Section: current, Text: normalize(text[start:end])})
				start = end
			}
			current, commentStart = section, -1
		case bytes.HasPrefix(line, []byte("#")):
			if commentStart < 0 {
				commentStart = offset
			}
		default:
			commentStart = -1
		}
		offset += len(line)
	}
	if current != "" {
		parts = append(parts, Part{Section: current, Text: normalize(text[start:])})
	}
	return parts
}

// lineAt returns the line that starts at offset, including its line feed.
func lineAt(text []byte, offset int) []byte {
	if i := bytes.IndexByte(text[offset:], '\n'); i >= 0 {
		return text[offset : offset+i+1]
	}
	return text[offset:]
}

// sectionOfKey returns the section whose key is at the start of the line, if any.
func sectionOfKey(line []byte) (redwingshunt.Section, bool) {
	for _, section := range redwingshunt.Sections() {
		if bytes.HasPrefix(line, []byte(string(section)+":")) {
			return section, true
		}
	}
	return "", false
}

// normalize returns a copy of a text without a leading YAML document marker and
// with a line feed at the end, unless it is empty.
func normalize(text []byte) []byte {
	text = bytes.TrimPrefix(text, []byte("---\n"))
	text = slices.Clone(text)
	if len(text) > 0 && text[len(text)-1] != '\n' {
		text = append(text, '\n')
	}
	return text
}

// Normalize returns the text of a section in the form in which it is stored: without
// a leading YAML document marker and with a line feed at the end.
func Normalize(text []byte) []byte { return normalize(text) }

// HasDocumentMarker reports whether a line of the text begins with a YAML document marker
// (--- or ...), which would split the joined document into two YAML documents.
func HasDocumentMarker(text []byte) bool {
	for offset := 0; offset < len(text); {
		line := lineAt(text, offset)
		if bytes.HasPrefix(line, []byte("---")) || bytes.HasPrefix(line, []byte("...")) {
			return true
		}
		offset += len(line)
	}
	return false
}
