package parser

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// FuzzDocument reads arbitrary text, which must give either a document or
// findings. A document must be equal after it is encoded and read again.
func FuzzDocument(f *testing.F) {
	for _, pattern := range []string{"../examples/[a-m]*.yaml", "../examples/[s-t]*.yaml", "testdata/document-*/input.yaml"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			f.Fatal(err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		document, findings := Document("-", text)
		if (document == nil) != (len(findings) > 0) {
			t.Fatalf("document %v with findings %v", document, findings)
		}
		if document == nil {
			return
		}
		encoded, err := Encode(document, "")
		if err != nil {
			t.Fatal(err)
		}
		again, findings := Document("-", encoded)
		if len(findings) > 0 || !reflect.DeepEqual(again, document) {
			t.Fatalf("read again: %v\n%s", findings, encoded)
		}
	})
}

// FuzzSettings reads arbitrary text, which must give either settings or findings.
func FuzzSettings(f *testing.F) {
	for _, name := range []string{"../examples/node-a.yaml", "testdata/settings-many/input.yaml"} {
		text, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, findings := Settings("-", text)
		if (settings == nil) != (len(findings) > 0) {
			t.Fatalf("settings %v with findings %v", settings, findings)
		}
	})
}
