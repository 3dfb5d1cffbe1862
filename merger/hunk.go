package merger

import (
	"fmt"
	"strings"
)

// Hunk is the smallest run of lines that spans all differences of two texts.
type Hunk struct {
	Line    int // line number of the run in both texts, from 1
	Removed []string
	Added   []string
}

// CompareLines compares two texts line by line.
func CompareLines(before, after []byte) Hunk {
	removed, added := splitLines(before), splitLines(after)
	line := 1
	for len(removed) > 0 && len(added) > 0 && removed[0] == added[0] {
		removed, added = removed[1:], added[1:]
		line++
	}
	for len(removed) > 0 && len(added) > 0 && removed[len(removed)-1] == added[len(added)-1] {
		removed, added = removed[:len(removed)-1], added[:len(added)-1]
	}
	return Hunk{Line: line, Removed: removed, Added: added}
}

func splitLines(text []byte) []string {
	if len(text) == 0 {
		return nil
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

// String returns the hunk in unified diff format, or "" if the texts are equal.
func (h Hunk) String() string {
	if len(h.Removed) == 0 && len(h.Added) == 0 {
		return ""
	}
	var text strings.Builder
	fmt.Fprintf(&text, "@@ -%d,%d +%d,%d @@\n", h.Line, len(h.Removed), h.Line, len(h.Added))
	for _, line := range h.Removed {
		text.WriteString("-" + line + "\n")
	}
	for _, line := range h.Added {
		text.WriteString("+" + line + "\n")
	}
	return text.String()
}
