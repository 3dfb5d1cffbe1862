package replayer

import (
	"bytes"
	"net/http"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/claimer"
)

// recorder is an http.ResponseWriter that records an answer. It buffers the answer
// until forward is called or the answer is too large to be kept. A stream is
// forwarded immediately.
type recorder struct {
	writer     http.ResponseWriter
	header     http.Header
	status     int
	body       bytes.Buffer // at most claimer.KeptLimitBytes + 1 bytes
	forwarding bool         // writes go to the caller
	stream     bool
}

// newRecorder returns a recorder that forwards to w.
func newRecorder(w http.ResponseWriter, stream bool) *recorder {
	return &recorder{writer: w, header: make(http.Header), stream: stream}
}

// Header implements http.ResponseWriter. Once the answer is forwarded, it returns
// the header of the caller's writer, so that trailers reach the caller.
func (r *recorder) Header() http.Header {
	if r.forwarding {
		return r.writer.Header()
	}
	return r.header
}

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	if r.status != 0 {
		return
	}
	r.status = status
	if r.stream {
		r.forward()
	}
}

// Write implements http.ResponseWriter. It ignores errors of the caller's writer, so
// that a closed connection does not end the request.
func (r *recorder) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if r.forwarding {
		_, _ = r.writer.Write(p)
	}
	room := claimer.KeptLimitBytes + 1 - r.body.Len()
	r.body.Write(p[:min(room, len(p))])
	if room < len(p) && !r.forwarding {
		r.forward()
		_, _ = r.writer.Write(p[room:])
	}
	return len(p), nil
}

// FlushError implements the method that http.ResponseController calls to flush.
func (r *recorder) FlushError() error {
	if r.forwarding {
		_ = http.NewResponseController(r.writer).Flush()
	}
	return nil
}

// SetWriteDeadline implements the method that http.ResponseController calls.
func (r *recorder) SetWriteDeadline(deadline time.Time) error {
	return http.NewResponseController(r.writer).SetWriteDeadline(deadline)
}

// forward sends the buffered answer; later writes go to the caller.
func (r *recorder) forward() {
	if r.forwarding {
		return
	}
	r.forwarding = true
	header := r.writer.Header()
	for name, values := range r.header {
		header[name] = values
	}
	r.writer.WriteHeader(r.status)
	_, _ = r.writer.Write(r.body.Bytes())
}

// answer returns the recorded answer. Its body is cut at claimer.KeptLimitBytes + 1 bytes,
// so that a larger answer is still recognised as too large to keep.
func (r *recorder) answer() *redwingshunt.Answer {
	header := r.header.Clone()
	header.Del("Trailer")
	header.Del("Date")
	return &redwingshunt.Answer{Status: r.status, Header: header, Body: r.body.Bytes()}
}
