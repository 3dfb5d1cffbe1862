package carrier

import (
	"errors"
	"io"
)

// errHeadLong means that the head of a response, or the body of a response to
// another request, exceeds its bound.
var errHeadLong = errors.New("the head of the answer does not end")

// meter is a reader with an optional bound, so that endless input that is not a
// valid response uses limited memory.
type meter struct {
	source  io.Reader
	bounded bool
	left    int64
}

// bound allows that many bytes from now on.
func (m *meter) bound(bytes int64) { m.bounded, m.left = true, bytes }

// release removes the bound.
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
