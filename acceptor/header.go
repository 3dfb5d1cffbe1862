package acceptor

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/redwingshunt/redwingshunt/budgeter"
)

// Headers bounds what callers may send before their request is read. The HTTP library
// buffers all of it and limits only its length, with a limit that is the same for as
// long as the server runs. Implementations are safe for concurrent use.
type Headers interface {
	// Limit returns the maximum length in bytes of a header with the line before it.
	Limit() int64
	// Reserve reserves memory for a header and returns false if there is too little.
	Reserve(bytes int64) bool
	// Release returns memory that was reserved.
	Release(bytes int64)
	// TooLong is called for each connection that is closed since its header exceeds
	// the limit.
	TooLong()
}

const (
	// headerStep is the amount of memory for a header that is reserved at once.
	headerStep = 8 << 10
	// responseTimeout and maxRestBytes limit the sending of the last response and the
	// discarding of what the caller has sent: closing a connection on which data arrives
	// resets it, and the response could be lost.
	responseTimeout = 100 * time.Millisecond
	maxRestBytes    = 256 << 10
	// tlsBytes is what a handshake and the records add to a header.
	tlsBytes = 16 << 10
)

// errHeader ends a connection whose caller got a response already, or none.
var errHeader = &net.OpError{Op: "read", Err: errors.New("the header exceeds a limit")}

// LimitHeaders sets the limits of headers. It must be called before LimitListener.
func (a *Acceptor) LimitHeaders(headers Headers, encrypted bool) {
	a.headers, a.encrypted = headers, encrypted
}

// header is what a connection has read before its request.
type header struct {
	limits    Headers
	encrypted bool // no response can be written below TLS
	length    int64
	cost      int64
	reserved  int64
}

// read counts a part of a header and returns the status that refuses it, or zero.
func (h *header) read(p []byte) int {
	limit := h.limits.Limit()
	if h.encrypted {
		limit += tlsBytes
	}
	if h.length += int64(len(p)); h.length > limit {
		h.limits.TooLong()
		return http.StatusRequestHeaderFieldsTooLarge
	}
	h.cost += budgeter.HeaderCost(len(p), bytes.Count(p, []byte{'\n'}))
	for h.cost > h.reserved+budgeter.HeaderAllowance {
		if !h.limits.Reserve(headerStep) {
			return http.StatusServiceUnavailable
		}
		h.reserved += headerStep
	}
	return 0
}

// restart begins the next header of a connection and returns the memory of the last.
func (h *header) restart() {
	if h.reserved > 0 {
		h.limits.Release(h.reserved)
	}
	h.length, h.cost, h.reserved = 0, 0, 0
}

// refuse sends a response to a caller whose request was not read and never will be.
func (c *connection) refuse(status int) {
	if c.header.encrypted {
		return
	}
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	_ = c.SetDeadline(time.Now().Add(responseTimeout)) // a caller that does not read gets nothing
	_, _ = fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retry)
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.TCPConn, maxRestBytes)
}
