package redwingshunt

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// pageLink matches a link in Markdown.
var pageLink = regexp.MustCompile(`\]\(([^)#]+)[^)]*\)`)

// metricName matches the name of a metric.
var metricName = regexp.MustCompile(`\bredwingshunt_\w+`)

// TestMetricsOnPages checks that every metric mentioned in docs is listed in
// docs/ALERTS.md, which a test of package observer compares with the code.
func TestMetricsOnPages(t *testing.T) {
	is := is.New(t)
	listed, err := os.ReadFile("docs/ALERTS.md")
	is.NoErr(err)
	known := NewSet(metricName.FindAllString(string(listed), -1)...)
	pages, err := filepath.Glob("docs/*.md")
	is.NoErr(err)
	for _, page := range pages {
		text, err := os.ReadFile(page)
		is.NoErr(err)
		for _, name := range metricName.FindAllString(string(text), -1) {
			if !known.Has(name) {
				t.Errorf("%s: docs/ALERTS.md does not list %s", page, name)
			}
		}
	}
}

// TestPages checks that links between pages resolve and that docs/DECISIONS.md
// lists every design note.
func TestPages(t *testing.T) {
	is := is.New(t)
	pages, err := filepath.Glob("docs/*.md")
	is.NoErr(err)
	notes, err := filepath.Glob("docs/design/*.md")
	is.NoErr(err)
	is.True(len(pages) > 0 && len(notes) > 0)
	linked := make(Set[string])
	for _, page := range append(append(pages, notes...), "README.md") {
		text, err := os.ReadFile(page)
		is.NoErr(err)
		for _, match := range pageLink.FindAllStringSubmatch(string(text), -1) {
			if strings.Contains(match[1], "://") {
				continue
			}
			target := filepath.Join(filepath.Dir(page), match[1])
			if page == "docs/DECISIONS.md" {
				linked.Add(target)
			}
			if _, err := os.Stat(target); err != nil {
				t.Errorf("%s: link target %s does not exist", page, match[1])
			}
		}
	}
	for _, note := range notes {
		if !linked.Has(note) {
			t.Errorf("docs/DECISIONS.md does not list %s", note)
		}
	}
}
