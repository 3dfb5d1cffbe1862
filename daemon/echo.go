package daemon

import (
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// delayProbe measures the delay between a network event and the read by this
// process. It sends a byte through a pipe, which the runtime polls like a
// connection. Timers do not show this delay, since the runtime runs them before
// it polls connections.
type echo struct {
	from, to *os.File

	mu    sync.Mutex
	sent  time.Time
	under bool // a byte was sent and not read yet
	took  time.Duration
}

func newEcho() (*echo, error) {
	from, to, err := os.Pipe()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &echo{from: from, to: to}, nil
}

// run reads bytes until close.
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

// delay returns the delay of the last byte and sends the next one. While a byte
// is in flight, it returns the time since that was sent.
func (e *echo) late() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.under {
		return time.Since(e.sent)
	}
	e.sent, e.under = time.Now(), true
	_, _ = e.to.Write([]byte{0}) // cannot block: the pipe is empty
	return e.took
}

func (e *echo) close() {
	_ = e.to.Close()
	_ = e.from.Close()
}
