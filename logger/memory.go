package logger

import (
	"bytes"
	"sync"
)

// Memory keeps what is logged, for trials that look at it afterwards. It is
// safe for concurrent use; its zero value is empty.
type Memory struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (m *Memory) Write(p []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.text.Write(p)
}

// String returns what was logged so far.
func (m *Memory) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.text.String()
}
