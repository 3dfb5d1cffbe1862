package replayer

import (
	"bytes"
	"net/http"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/claimer"
)

// recorder is an http.ResponseWriter that records an answer. It holds the
// answer back until pass, or until it is too large to be kept; a stream it
// passes on at once.
type recorder struct {
	writer  http.ResponseWriter
	header  http.Header
	status  int
	body    bytes.Buffer // at most one byte more than is kept
	passing bool         // what is written goes to the caller
	stream  bool
}

// newRecorder returns a recorder in front of a writer.
func newRecorder(w http.ResponseWriter, stream bool) *recorder {
	return &recorder{writer: w, header: make(http.Header), stream: stream}
}

// Header implements http.ResponseWriter. Once the answer passes, it is the
// header of the caller, so that trailers reach it.
func (r *recorder) Header() http.Header {
	if r.passing {
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
		r.pass()
	}
}

// Write implements http.ResponseWriter. A caller that went away does not end
// the request.
func (r *recorder) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if r.passing {
		_, _ = r.writer.Write(p)
	}
	room := claimer.KeptLimit + 1 - r.body.Len()
	r.body.Write(p[:min(room, len(p))])
	if room < len(p) && !r.passing {
		r.pass()
		_, _ = r.writer.Write(p[room:])
	}
	return len(p), nil
}

// FlushError implements what http.ResponseController looks for.
func (r *recorder) FlushError() error {
	if r.passing {
		_ = http.NewResponseController(r.writer).Flush()
	}
	return nil
}

// SetWriteDeadline implements what http.ResponseController looks for.
func (r *recorder) SetWriteDeadline(deadline time.Time) error {
	return http.NewResponseController(r.writer).SetWriteDeadline(deadline)
}

// pass sends what was held back and passes on what follows.
func (r *recorder) pass() {
	if r.passing {
		return
	}
	r.passing = true
	header := r.writer.Header()
	for name, values := range r.header {
		header[name] = values
	}
	r.writer.WriteHeader(r.status)
	_, _ = r.writer.Write(r.body.Bytes())
}

// answer returns what was recorded. Its body is longer than what is kept when
// the answer was.
func (r *recorder) answer() *redwingshunt.Answer {
	header := r.header.Clone()
	header.Del("Trailer")
	header.Del("Date")
	return &redwingshunt.Answer{Status: r.status, Header: header, Body: r.body.Bytes()}
}
