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
	e, err := newEcho()
	is.NoErr(err)
	is.Equal(e.late(), time.Duration(0)) // none has come back yet
	first := e.late()
	is.True(first > 0)
	is.True(e.late() > first) // still the same byte
	done := make(chan struct{})
	go func() { e.listen(); close(done) }()
	took := func() time.Duration {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.took
	}
	eventually(t, func() bool { return took() >= first })
	came := took()
	is.Equal(e.late(), came)
	e.close()
	<-done
}
