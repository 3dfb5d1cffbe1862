package daemon

import (
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// echo measures how long events of the network wait until this process reads
// them: a byte goes through a pipe, which is watched like any connection. Timers
// do not tell, since the runtime serves them before it looks at connections.
type echo struct {
	from, to *os.File

	mu    sync.Mutex
	sent  time.Time
	under bool // a byte is under way
	took  time.Duration
}

func newEcho() (*echo, error) {
	from, to, err := os.Pipe()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &echo{from: from, to: to}, nil
}

// listen reads until close.
func (e *echo) listen() {
	var b [1]byte
	for {
		if _, err := e.from.Read(b[:]); err != nil {
			return
		}
		e.mu.Lock()
		e.took, e.under = time.Since(e.sent), false
		e.mu.Unlock()
	}
}

// late returns how long the last byte took, or has taken so far, and sends the
// next one.
func (e *echo) late() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.under {
		return time.Since(e.sent)
	}
	e.sent, e.under = time.Now(), true
	_, _ = e.to.Write([]byte{0}) // there is room for one byte
	return e.took
}

func (e *echo) close() {
	_ = e.to.Close()
	_ = e.from.Close()
}
