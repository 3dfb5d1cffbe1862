package daemon

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/parser"
)

// configuration serves a document from a file, for instances without voters.
type configuration struct {
	snapshot *redwingshunt.Snapshot
	never    chan struct{}
}

func newConfiguration(settings redwingshunt.Settings, document *redwingshunt.Document) (*configuration, error) {
	c := &configuration{never: make(chan struct{})}
	if document != nil {
		c.snapshot = &redwingshunt.Snapshot{Revision: 1, Document: document, At: time.Now()}
		return c, nil
	}
	if settings.Document == "" {
		return c, nil
	}
	text, err := os.ReadFile(settings.Document)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	document, findings := parser.Document(settings.Document, text)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	c.snapshot = &redwingshunt.Snapshot{Revision: 1, Document: document, At: time.Now()}
	return c, nil
}

// Current returns the snapshot of the file.
func (c *configuration) Current() *redwingshunt.Snapshot { return c.snapshot }

// Watch returns a channel that is never closed.
func (c *configuration) Watch() <-chan struct{} { return c.never }
