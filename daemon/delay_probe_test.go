package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDelayProbe checks the delay of the last byte, and the growing delay of a byte that
// is not read.
func TestDelayProbe(t *testing.T) {
	is := is.New(t)
	e, err := newDelayProbe()
	is.NoErr(err)
	is.Equal(e.delay(), time.Duration(0)) // no byte has been read yet
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
	last := lastDelay()
	is.Equal(e.delay(), last)
	e.close()
	<-done
}
