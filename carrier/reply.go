package carrier

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Reply is the answer to a call. Its body is read from it.
type Reply struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes; negative when it was not told

	response   *http.Response
	connection *connection
	carrier    *Carrier
	stop       func() bool
	ended      bool // the body was read to its end
	err        error
}

// Read reads the body. io.EOF means that it is complete; any other error that
// the upstream broke it off.
func (r *Reply) Read(p []byte) (int, error) {
	n, err := r.response.Body.Read(p)
	if err == io.EOF {
		r.ended = true
	} else if err != nil {
		r.err = err
	}
	return n, err
}

// Buffered returns the bytes that can be read without waiting, at least.
func (r *Reply) Buffered() int { return r.connection.reader.Buffered() }

// drainTime and drainMost bound what is read of an answer that nobody wants,
// only to keep its connection; the most in bytes.
const (
	drainTime = 50 * time.Millisecond
	drainMost = 64 << 10
)

// Drain reads the rest of an answer that nobody wants, if it is short and comes
// at once.
func (r *Reply) Drain() {
	timer := time.AfterFunc(drainTime, r.connection.cut)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(r, drainMost)) // else Close cuts the connection
}

// Close ends the call. The connection is kept when the whole answer was read
// and nothing but it came; otherwise it is cut, which cancels the work of the
// upstream.
func (r *Reply) Close() {
	uncut := r.stop()
	if !uncut || !r.ended || r.err != nil || !r.reusable() {
		r.connection.cut()
		return
	}
	r.carrier.keep(r.connection, idleLimit(r.Header))
}

func (r *Reply) reusable() bool {
	if r.response.Close || r.connection.reader.Buffered() > 0 {
		return false
	}
	if r.connection.written == nil {
		return true
	}
	timer := time.NewTimer(lastWrite)
	defer timer.Stop()
	select {
	case err := <-r.connection.written:
		r.connection.written = nil
		return err == nil
	case <-timer.C:
		return false
	}
}

// idleLimit returns how long a connection may stay idle: somewhat less than the
// upstream tells, since a request and the end of the connection may cross.
func idleLimit(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			return 0
		}
		// An upstream that tells n seconds may mean anything from n on.
		return min(time.Duration(seconds)*time.Second*2/3, idleMost)
	}
	return idleDefault
}
