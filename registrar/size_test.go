package registrar_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/registrar"
)

// wholeDocument returns the text of a document of many routes on one line, of which
// each change moves some, far apart, to another service.
func wholeDocument(version uint64, routes int) []byte {
	text := fmt.Appendf(nil, `{"version":%d,"routes":[`, version)
	for i := range routes {
		service := "svc-0"
		if i%200 == 0 {
			service = fmt.Sprint("svc-", version)
		}
		text = fmt.Appendf(text, `{"name":"r-%06d","host":"h%d.example","pathPrefix":"/p%05d/","routeType":"safe","timeoutMs":2000,"service":"%s"},`,
			i, i%7, i, service)
	}
	return append(text, "]}"...)
}

// newWholeFixture returns a registrar of documents like wholeDocument.
func newWholeFixture() *fixture {
	b := newFixture()
	b.Registrar = registrar.New(registrar.Options{Document: func(_ string, text []byte) (*redwingshunt.Document, redwingshunt.Findings) {
		document := &redwingshunt.Document{}
		_, err := fmt.Fscanf(bytes.NewReader(text), `{"version":%d`, &document.Version)
		if err != nil {
			return nil, redwingshunt.Findings{{Text: err.Error()}}
		}
		return document, nil
	}})
	return b
}

// TestHistoryCostsWhatChanged guards against a snapshot that grows by nearly the size
// of the document with each change of a few routes, so that a voter whose disk was lost
// takes too long to get it.
func TestHistoryCostsWhatChanged(t *testing.T) {
	is := is.New(t)
	b := newWholeFixture()
	const (
		routes      = 1050
		changes     = 110
		changeBytes = 1 << 10 // of six routes, with their places
	)
	for version := range uint64(changes) {
		command, err := registrar.Replace(startTime.Add(time.Duration(version)*time.Second), wholeDocument(version+1, routes))
		reply, err := b.apply(t, command, err)
		is.NoErr(err)
		is.True(registrar.Replaced(reply).Version == version+1)
	}
	text := wholeDocument(changes, routes)
	snapshot, err := b.Snapshot()
	is.NoErr(err)
	is.True(len(snapshot) <= len(text)+len(text)/10+changes*changeBytes) // the oldest edit has the first document
	for _, revision := range []redwingshunt.Revision{1, 57, changes} {
		command, err := registrar.Text(startTime, "", revision)
		reply, err := b.apply(t, command, err)
		is.NoErr(err)
		is.True(bytes.Equal(reply.GetText(), wholeDocument(uint64(revision), routes)))
	}
}

// TestReads checks that a proposer that resends a read gets the state of then, and that
// no result as large as the document is kept for it.
func TestReads(t *testing.T) {
	encoded := func(command []byte, err error) []byte {
		if err != nil {
			t.Fatal(err)
		}
		return command
	}
	submission, err := registrar.Submit(startTime, accountsSubmission("a", 1, 1), key2, nil)
	tests := map[string]struct {
		command []byte
		want    bool
	}{
		"text":    {encoded(registrar.Text(startTime, "", 0)), true},
		"history": {encoded(registrar.History(startTime, 0, 0)), true},
		"submit":  {encoded(submission, err), false},
		"replace": {encoded(registrar.Replace(startTime, []byte("x"))), false},
		"fence":   {encoded(registrar.Fence(startTime, "name", "holder", time.Second)), false},
		"torn":    {encoded(registrar.Replace(startTime, []byte("x")))[:5], false},
		"empty":   {nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(newFixture().Reads(test.command), test.want)
		})
	}
}
