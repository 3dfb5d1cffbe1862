// Package receiver reads the bodies of requests.
//
// # Usage
//
//	body, err := receiver.ReadBody(w, r, service.Body)
package receiver

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// allowanceBytes is the memory that a body may take without being counted; see
	// budgeter.BodyAllowance. Up to it a body is read into one buffer.
	allowanceBytes = 16 << 10
	// unknownBytes is the first buffer for a body of unknown length.
	unknownBytes = 2 << 10
	// endBytes is added to a buffer for a known length, so that the read that finds the
	// end needs no other one.
	endBytes = 512
	// segmentBytes is the size of the segments in which the rest of a longer body is read.
	segmentBytes = 64 << 10
)

// segments are the unused segments of bodies. Reusing them keeps the garbage between two
// collections small: a crowd that sends bodies without end leaves none.
var segments = sync.Pool{New: func() any { return new([segmentBytes]byte) }}

// ReadBody reads the complete body of a request, at most limit bytes, and then removes the read
// deadline of the connection. An error is an OutcomeError with the outcome "not run".
//
// A body is read into reused segments, and copied once its end is known. A buffer that
// grows would take up to four times the length of the body until the next collection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err == nil {
		// The server keeps reading after the body to detect a caller that disconnects,
		// so a read deadline meant for the body would end a longer request. After an error
		// it stays: the server discards what is left of a short body before it responds.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	var large *http.MaxBytesError
	var outcome *redwingshunt.OutcomeError
	switch {
	case errors.As(err, &outcome): // the instance refuses to hold more of the body
		return nil, outcome
	case errors.As(err, &large):
		return nil, TooLarge()
	case err != nil:
		return nil, redwingshunt.NotRun(redwingshunt.ReasonInvalidRequest, http.StatusBadRequest,
			"the body could not be read: "+err.Error())
	}
	return body, nil
}

// TooLarge returns the refusal of a request whose body is longer than its limit.
func TooLarge() error {
	return redwingshunt.NotRun(redwingshunt.ReasonTooLarge, http.StatusRequestEntityTooLarge,
		"the body exceeds the limit of the service")
}

// readAll reads until the end. The length is what the header of the request says, or
// negative if it is unknown.
func readAll(r io.Reader, length int64) ([]byte, error) {
	size := int64(unknownBytes)
	if length >= 0 {
		size = min(length, allowanceBytes) + endBytes
	}
	first := make([]byte, size)
	n, ended, err := fill(r, first)
	if !ended && err == nil && len(first) < allowanceBytes {
		first = append(make([]byte, 0, allowanceBytes), first...)[:allowanceBytes]
		var more int
		more, ended, err = fill(r, first[n:])
		n += more
	}
	if ended || err != nil {
		return first[:n], err
	}
	return readRest(r, first)
}

// readRest reads until the end and returns first with what follows it.
func readRest(r io.Reader, first []byte) ([]byte, error) {
	var read []*[segmentBytes]byte
	defer func() {
		for _, segment := range read {
			segments.Put(segment)
		}
	}()
	for {
		segment, _ := segments.Get().(*[segmentBytes]byte)
		read = append(read, segment)
		n, ended, err := fill(r, segment[:])
		if err != nil {
			return nil, err
		}
		if ended {
			return join(first, read, n), nil
		}
	}
}

// join returns a copy of first and of segments, of which the last one holds n bytes.
func join(first []byte, segments []*[segmentBytes]byte, n int) []byte {
	full := len(segments) - 1
	body := make([]byte, 0, len(first)+full*segmentBytes+n)
	body = append(body, first...)
	for _, segment := range segments[:full] {
		body = append(body, segment[:]...)
	}
	return append(body, segments[full][:n]...)
}

// fill reads until p is full or the end is reached. It does not use io.ReadFull, whose
// error at the end is the same as that of a body which its caller broke off.
func fill(r io.Reader, p []byte) (n int, ended bool, err error) {
	for n < len(p) && err == nil {
		var more int
		more, err = r.Read(p[n:])
		n += more
	}
	if errors.Is(err, io.EOF) {
		return n, true, nil
	}
	return n, false, err
}
