package commander

import (
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// consoleBlock is a block of commands with their output.
var consoleBlock = regexp.MustCompile("(?s)```console\n(.*?)```")

// varying are parts of an output that differ from run to run.
var varying = regexp.MustCompile(`sha256:[0-9a-f]{64}|[A-Za-z0-9_-]{43}`)

// TestPages runs the commands shown in the pages, in a folder that holds the
// examples, and compares their output.
func TestPages(t *testing.T) {
	root, err := filepath.Abs(filepath.Join("..", "..", ".."))
	is.New(t).NoErr(err)
	for _, name := range []string{"OPERATORS.md"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(root, "docs", name)
			text, err := os.ReadFile(path)
			is.NoErr(err)
			page := string(text)
			t.Chdir(t.TempDir())
			is.NoErr(os.Symlink(filepath.Join(root, "examples"), "examples"))
			blocks := 0
			page = consoleBlock.ReplaceAllStringFunc(page, func(shown string) string {
				blocks++
				got := replay(shown)
				if mask(got) == mask(shown) {
					return shown
				}
				if !*update {
					t.Errorf("the page shows\n%s\nand the commands print\n%s", shown, got)
				}
				return got
			})
			is.True(blocks > 0)
			if *update {
				is.NoErr(os.WriteFile(path, []byte(page), 0o644))
			}
		})
	}
}

// replay runs the commands of a block and returns it with their output.
func replay(block string) string {
	var out strings.Builder
	out.WriteString("```console\n")
	for line := range strings.Lines(block) {
		command, ok := strings.CutPrefix(line, "$ redwingshunt ")
		if !ok {
			continue
		}
		out.WriteString(line)
		console := &Console{In: strings.NewReader(""), Out: &out, Err: &out, Getenv: func(string) string { return "" }}
		Main(context.Background(), console, strings.Fields(command))
	}
	out.WriteString("```")
	return out.String()
}

// mask takes away what differs from run to run.
func mask(text string) string { return varying.ReplaceAllString(text, "...") }
