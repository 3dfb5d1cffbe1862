package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEcho tells how long a byte takes, and how long it has taken while nobody
// reads it.
func TestEcho(t *testing.T) {
	is := is.New(t)
	e, err := newDelayProbe()
	is.NoErr(err)
	is.Equal(e.delay(), time.Duration(0)) // none has come back yet
	first := e.delay()
	is.True(first > 0)
	is.True(e.delay() > first) // still the same byte
	done := make(chan struct{})
	go func() { e.run(); close(done) }()
	lastDelay := func() time.Duration {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.lastDelay
	}
	eventually(t, func() bool { return lastDelay() >= first })
	came := lastDelay()
	is.Equal(e.delay(), came)
	e.close()
	<-done
}
