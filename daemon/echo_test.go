package daemon

import (
	"testing"

	"github.com/matryer/is"
)

// TestEcho tells how long a byte takes, and how long it has taken while nobody
// reads it.
func TestEcho(t *testing.T) {
	is := is.New(t)
	e, err := newEcho()
	is.NoErr(err)
	is.Equal(e.late(), e.took) // none has come back yet
	first := e.late()
	is.True(first > 0)
	is.True(e.late() > first) // still the same byte
	done := make(chan struct{})
	go func() { e.listen(); close(done) }()
	eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return !e.under && e.took >= first
	})
	is.Equal(e.late(), e.took)
	e.close()
	<-done
}
