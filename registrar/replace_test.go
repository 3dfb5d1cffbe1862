package registrar

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// parseVersion parses a document that is a number and a letter: the version and
// the content.
func parseVersion(_ string, text []byte) (*redwingshunt.Document, redwingshunt.Findings) {
	version, err := strconv.ParseUint(string(bytes.TrimRight(text, "abc")), 10, 64)
	if err != nil {
		return nil, redwingshunt.Findings{{Text: err.Error()}}
	}
	return &redwingshunt.Document{Version: version}, nil
}

func replaceText(t *testing.T, r *Registrar, text string) redwingshunt.Replacement {
	t.Helper()
	is := is.New(t)
	command, err := Replace(time.Unix(1, 0), []byte(text))
	is.NoErr(err)
	reply, err := Reply(r.Apply(1, command))
	is.NoErr(err)
	return Replaced(reply)
}

// TestReplace sends several documents and checks which one is in force.
func TestReplace(t *testing.T) {
	tests := map[string]struct {
		sent    []string
		want    string // text in force
		refused int    // documents that are refused
		changes int    // documents that are put in force
	}{
		"rising":                    {[]string{"1a", "5b", "9c"}, "9c", 0, 3},
		"older version late":        {[]string{"5b", "1a"}, "5b", 0, 1},
		"again":                     {[]string{"5b", "5b"}, "5b", 0, 1},
		"same version, new content": {[]string{"5b", "5c"}, "5b", 0, 1},
		"invalid":                   {[]string{"5b", "x"}, "5b", 1, 1},
		"no version":                {[]string{"0a"}, "", 1, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			accepted := 0
			r := New(Options{Document: parseVersion, Accepted: func(State) { accepted++ }})
			refused := 0
			for _, text := range test.sent {
				if len(replaceText(t, r, text).Findings) > 0 {
					refused++
				}
			}
			is.Equal(refused, test.refused)
			is.Equal(accepted, test.changes)
			is.Equal(string(r.text(&wire.TextCommand{}).GetText()), test.want)
			snapshot, err := r.Snapshot()
			is.NoErr(err)
			restored := New(Options{Document: parseVersion})
			is.NoErr(restored.Restore(snapshot))
			is.Equal(string(restored.text(&wire.TextCommand{}).GetText()), test.want)
			is.Equal(restored.version(), r.version())
		})
	}
}

// TestReplaceOrSections checks that a document stored as a whole cannot be changed
// by section.
func TestReplaceOrSections(t *testing.T) {
	is := is.New(t)
	r := New(Options{Document: parseVersion})
	replaceText(t, r, "5b")
	receipt := r.submit(&wire.SubmitCommand{Id: "x", Team: string(Bootstrap), Section: "accounts", Text: []byte("accounts: []\n")}, time.Unix(2, 0))
	is.True(!receipt.GetAccepted())
	is.Equal(string(r.text(&wire.TextCommand{}).GetText()), "5b")
}
