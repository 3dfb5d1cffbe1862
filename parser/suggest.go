package parser

import (
	"fmt"
	"strings"
)

// suggest proposes the known name with the smallest edit distance to a wrong one.
// If none is close, it lists the known names.
func suggest[V ~string](wrong string, known []V) string {
	best, bestDistance := "", 3
	for _, name := range known {
		if d := editDistance(wrong, string(name)); d < bestDistance && d < len(wrong) {
			best, bestDistance = string(name), d
		}
	}
	if best != "" {
		return fmt.Sprintf("did you mean %s?", best)
	}
	return listExpected(known)
}

// listExpected lists the expected values, up to a limit.
func listExpected[V ~string](known []V) string {
	const maxListed = 20
	if len(known) == 0 {
		return "there are none"
	}
	words := make([]string, 0, maxListed)
	for _, name := range known[:min(len(known), maxListed)] {
		words = append(words, string(name))
	}
	if len(known) > maxListed {
		words = append(words, "...")
	}
	return "expected one of " + strings.Join(words, ", ")
}

// editDistance returns the Levenshtein distance of a and b, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replace := diagonal
			if a[i] != b[j] {
				replace++
			}
			diagonal = row[j+1]
			row[j+1] = min(replace, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
