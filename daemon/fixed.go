package daemon

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/parser"
)

// fixedConfiguration serves one document for good, for trials without voters.
type fixedConfiguration struct {
	snapshot *redwingshunt.Snapshot
	never    chan struct{}
}

// newFixedConfiguration returns the given document or, without one, that of the
// file that the settings name; nil when they name none.
func newFixedConfiguration(
	settings redwingshunt.Settings, document *redwingshunt.Document,
) (*fixedConfiguration, error) {
	if document == nil && settings.Document == "" {
		return nil, nil
	}
	if document == nil {
		text, err := os.ReadFile(settings.Document)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		var findings redwingshunt.Findings
		if document, findings = parser.Document(settings.Document, text); len(findings) > 0 {
			return nil, findings
		}
	}
	return &fixedConfiguration{
		snapshot: &redwingshunt.Snapshot{Revision: 1, Document: document, At: time.Now()},
		never:    make(chan struct{}),
	}, nil
}

// Current returns the snapshot of the document.
func (c *fixedConfiguration) Current() *redwingshunt.Snapshot { return c.snapshot }

// Watch returns a channel that is never closed.
func (c *fixedConfiguration) Watch() <-chan struct{} { return c.never }
