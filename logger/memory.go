package logger

import (
	"bytes"
	"sync"
)

// Memory is an in-memory log for tests. It is safe for concurrent use; the zero
// value is an empty log.
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

// String returns everything logged so far.
func (m *Memory) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.text.String()
}
