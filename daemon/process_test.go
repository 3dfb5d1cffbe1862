package daemon

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// build compiles the daemon and returns the path of the executable.
func build(t testing.TB) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "redwingshuntd")
	output, err := exec.Command("go", "build", "-o", binary, "../cmd/redwingshuntd").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return binary
}

// TestProgramReportsAllFindings starts the daemon with invalid files. It must
// report every finding with its position and exit with exitSettings.
func TestProgramReportsAllFindings(t *testing.T) {
	binary := build(t)
	settings := func(document string) string {
		return fmt.Sprintf("name: node-a\nregion: north\nzone: north-a\nlisten: 127.0.0.1:1\n"+
			"link: 127.0.0.1:2\nadmin: 127.0.0.1:3\nplain: true\ndocument: %s\n", document)
	}
	tests := map[string]struct {
		settings, document string
		want               []string // one for each finding
	}{
		"settings": {
			settings: "name: node-a\nregion: north\nzone: north-a\nlisten: router.example:80\nlnk: 127.0.0.1:2\n",
			want:     []string{":4:9: listen:", ":5:1: lnk:", "admin:", "link:"},
		},
		"document": {
			document: "regions:\n  - {name: north, zones: []}\nservices:\n  - {name: a, kind: engin}\naccounts: []\n",
			want:     []string{":2:26: regions[0].zones:", ":4:21: services[0].kind:"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			folder := t.TempDir()
			document := filepath.Join(folder, "document.yaml")
			is.NoErr(os.WriteFile(document, []byte(test.document), 0o600))
			if test.settings == "" {
				test.settings = settings(document)
			}
			file := filepath.Join(folder, "settings.yaml")
			is.NoErr(os.WriteFile(file, []byte(test.settings), 0o600))
			var stderr bytes.Buffer
			command := exec.Command(binary, "--settings", file)
			command.Stderr = &stderr
			is.True(command.Run() != nil)
			is.Equal(command.ProcessState.ExitCode(), exitSettings)
			for _, want := range test.want {
				if !strings.Contains(stderr.String(), want) {
					t.Errorf("no finding %q in:\n%s", want, stderr.String())
				}
			}
		})
	}
}
