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
type delayProbe struct {
	reader, writer *os.File

	mu        sync.Mutex
	sentAt    time.Time
	inFlight  bool // a byte was sent and not read yet
	lastDelay time.Duration
}

func newDelayProbe() (*delayProbe, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &delayProbe{reader: reader, writer: writer}, nil
}

// run reads bytes until close.
func (p *delayProbe) run() {
	var b [1]byte
	for {
		if _, err := p.reader.Read(b[:]); err != nil {
			return
		}
		p.mu.Lock()
		p.lastDelay, p.inFlight = time.Since(p.sentAt), false
		p.mu.Unlock()
	}
}

// delay returns the delay of the last byte and sends the next one. While a byte
// is in flight, it returns the time since that was sent.
func (p *delayProbe) delay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight {
		return time.Since(p.sentAt)
	}
	p.sentAt, p.inFlight = time.Now(), true
	_, _ = p.writer.Write([]byte{0}) // cannot block: the pipe is empty
	return p.lastDelay
}

func (p *delayProbe) close() {
	_ = p.writer.Close()
	_ = p.reader.Close()
}
