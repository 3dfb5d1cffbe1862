package carrier

import (
	"errors"
	"net"
	"os"
	"time"
)

// errHeadLong means that the head of a response, or the body of a response to
// another request, exceeds its bound.
var errHeadLong = errors.New("the head of the answer does not end")

// Watch lets the goroutine that waits for bytes of a response do something else at a
// time, without losing bytes that arrive meanwhile. It is used by that goroutine only.
type Watch struct {
	// At is the time of the next check. It may be changed between two reads.
	At time.Time
	// Check returns the time of the next check, or the error with which the read ends.
	Check func() (time.Time, error)
	// Unread has bytes that have arrived, or the end of the connection, read before Check is
	// called, for maxUnread at most. A read whose time has passed returns none otherwise.
	Unread bool
}

// maxUnread bounds how long bytes that go on arriving put a check off.
const maxUnread = 100 * time.Millisecond

// limiter is a reader with an optional bound, so that endless input that is not a
// valid response uses limited memory.
type limiter struct {
	source    net.Conn
	limited   bool
	remaining int64
	watch     *Watch
	deadline  time.Time // read deadline of the source
	ended     error     // error of the watch; the parser of headers may ignore it once
	putOff    time.Time // when unread bytes first put the next check off; zero if none have
}

// stopWatch removes the watch and its deadline.
func (l *limiter) stopWatch() {
	l.watch = nil
	l.setDeadline(time.Time{})
}

func (l *limiter) setDeadline(at time.Time) {
	if !at.Equal(l.deadline) {
		l.deadline = at
		_ = l.source.SetReadDeadline(at) // fails if the connection is closed, as the read does
	}
}

// read reads from the source and calls the watch while it waits.
func (l *limiter) read(p []byte) (int, error) {
	for l.watch != nil {
		if l.ended != nil {
			return 0, l.ended
		}
		l.setDeadline(l.watch.At)
		n, err := l.source.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			l.putOff = time.Time{} // before the time of the check
			return n, err
		}
		if l.watch.Unread && l.mayPutOff() && readable(l.source) {
			l.setDeadline(time.Time{})
			return l.source.Read(p)
		}
		l.putOff = time.Time{}
		l.watch.At, l.ended = l.watch.Check()
	}
	return l.source.Read(p)
}

// mayPutOff reports whether unread bytes may put the check off.
func (l *limiter) mayPutOff() bool {
	now := time.Now()
	if l.putOff.IsZero() {
		l.putOff = now
	}
	return now.Sub(l.putOff) < maxUnread
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
		return l.read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadLong
	}
	n, err := l.read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}
