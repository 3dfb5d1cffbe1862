package carrier

import (
	"errors"
	"io"
)

// errHeadLong means that the head of a response, or the body of a response to
// another request, exceeds its bound.
var errHeadLong = errors.New("the head of the answer does not end")

// limiter is a reader with an optional bound, so that endless input that is not a
// valid response uses limited memory.
type limiter struct {
	source    io.Reader
	limited   bool
	remaining int64
}

// setLimit allows that many bytes from now on.
func (l *limiter) setLimit(bytes int64) { l.limited, l.remaining = true, bytes }

// removeLimit removes the bound.
func (l *limiter) removeLimit() { l.limited = false }

// exhausted reports whether the bound is reached.
func (l *limiter) exhausted() bool { return l.limited && l.remaining <= 0 }

// Read implements io.Reader.
func (l *limiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.source.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadLong
	}
	n, err := l.source.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}
