package carrier

import (
	"errors"
	"io"
)

// errHeadLong means that bytes go on without becoming an answer.
var errHeadLong = errors.New("the head of the answer does not end")

// meter reads no more than it is allowed, so that bytes without end that are no
// answer fill no memory.
type meter struct {
	source  io.Reader
	bounded bool
	left    int64
}

// bound allows so many bytes from now on.
func (m *meter) bound(bytes int64) { m.bounded, m.left = true, bytes }

// release allows any number of bytes.
func (m *meter) release() { m.bounded = false }

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	if !m.bounded {
		return m.source.Read(p)
	}
	if m.left <= 0 {
		return 0, errHeadLong
	}
	n, err := m.source.Read(p[:min(int64(len(p)), m.left)])
	m.left -= int64(n)
	return n, err
}
