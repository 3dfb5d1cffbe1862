package daemon

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/parser"
)

// fixedConfiguration is a configuration that never changes, for test setups
// without voters.
type fixedConfiguration struct {
	snapshot    *redwingshunt.Snapshot
	neverClosed chan struct{}
}

// newFixedConfiguration returns a configuration with the given document or, if
// that is nil, with the document file named in the settings. It returns nil if
// there is neither.
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
		snapshot:    &redwingshunt.Snapshot{Revision: 1, Document: document, At: time.Now()},
		neverClosed: make(chan struct{}),
	}, nil
}

// Current returns the only snapshot.
func (c *fixedConfiguration) Current() *redwingshunt.Snapshot { return c.snapshot }

// Watch returns a channel that is never closed.
func (c *fixedConfiguration) Watch() <-chan struct{} { return c.neverClosed }
