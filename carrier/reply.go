package carrier

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/redwingshunt/redwingshunt/detector"
)

// Reply is the response to a call. Its body is read from it.
type Reply struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes; negative if unknown

	response   *http.Response
	connection *connection
	carrier    *Carrier
	stop       func() bool
	complete   bool  // the body was read to its end
	err        error // of Read or Await; returned by each later Read
}

// Read reads the body. io.EOF means that it is complete; any other error means
// that the upstream cut it off.
func (r *Reply) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err // a socket reports a reset once, and a regular end from then on
	}
	n, err := r.response.Body.Read(p)
	if err == io.EOF && r.EndsWithConnection() && !r.connection.bodyWasWritten() {
		err = ErrUploadCut
	}
	if err == io.EOF {
		r.complete = true
	} else if err != nil {
		r.err = err
	}
	return n, err
}

// ErrUploadCut means that a response whose end is that of the connection ended before the
// request was written, so that a part of it may be missing. A reset ends the reads of a
// connection without an error if the writer of the request body has received the error.
var ErrUploadCut = errors.New("the connection ended before the request was written, so the answer may lack its end")

// Await returns once the first byte of the body has arrived, there is none, or the upstream
// has cut it off, which the error says. It must not be called concurrently with Read.
func (r *Reply) Await() error {
	if r.Length == 0 || r.response.Body == http.NoBody {
		return nil
	}
	_, err := r.connection.reader.Peek(1)
	if errors.Is(err, io.EOF) {
		if r.EndsWithConnection() {
			return nil // Read returns the end again
		}
		err = io.ErrUnexpectedEOF
	}
	r.err = err
	return err
}

// EndsWithConnection reports whether only the end of the connection marks the end of
// the body.
func (r *Reply) EndsWithConnection() bool { return detector.EndsWithConnection(r.response) }

// Watch replaces the watch of the call; nil removes it.
func (r *Reply) Watch(w *Watch) {
	r.connection.limiter.stopWatch()
	r.connection.limiter.watch = w
}

// Buffered returns the number of bytes that can be read without waiting; more may
// be available.
func (r *Reply) Buffered() int { return r.connection.reader.Buffered() }

// drainTimeout and maxDrainBytes bound the time and the bytes spent on an unwanted
// response in order to keep its connection.
const (
	drainTimeout  = 50 * time.Millisecond
	maxDrainBytes = 64 << 10
)

// Drain reads the rest of an unwanted response if it is short and arrives at once.
func (r *Reply) Drain() {
	timer := time.AfterFunc(drainTimeout, r.connection.disconnect)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(r, maxDrainBytes)) // on an error, Close closes the connection
}

// Close ends the call. The connection is kept if the response was read completely
// and no other bytes arrived; otherwise it is closed, which cancels the work of
// the upstream.
func (r *Reply) Close() {
	open := r.stop()
	if !open || !r.complete || r.err != nil || !r.reusable() {
		r.connection.disconnect()
		return
	}
	r.carrier.putIdle(r.connection, keepAliveTimeout(r.Header))
}

func (r *Reply) reusable() bool {
	if r.response.Close || r.connection.reader.Buffered() > 0 {
		return false
	}
	return r.connection.bodyWasWritten()
}

// keepAliveTimeout returns how long a connection may stay idle: somewhat less than
// the upstream announces, since a new request could cross with its close.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			return 0
		}
		// An upstream that announces n seconds may close after n seconds or later.
		return min(time.Duration(seconds)*time.Second*2/3, maxIdleTimeout)
	}
	return defaultIdleTimeout
}
