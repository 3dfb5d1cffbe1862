package acceptor

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// connection is a connection of a caller that tells since when the server has read from
// it after it became idle. The state that the server reports changes only once the header
// of a request is complete.
type connection struct {
	*net.TCPConn
	received atomic.Pointer[time.Time] // nil if it has not
	late     atomic.Bool               // see WaitedLong
	header   header                    // used by the goroutine that serves the connection, and by that which reads ahead
	inHeader atomic.Bool               // what is read belongs to a header that is limited
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.received.Load() == nil {
		now := time.Now()
		c.received.Store(&now)
	}
	if n > 0 && c.inHeader.Load() {
		if status := c.header.read(p[:n]); status != 0 {
			c.refuse(status)
			return 0, errHeader
		}
	}
	return n, err
}

// track follows the state that the server reports.
func (c *connection) track(state http.ConnState) {
	if c.header.limits == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.inHeader.Store(false)
	case http.StateIdle:
		c.header.restart()
		c.inHeader.Store(true)
	case http.StateHijacked, http.StateClosed:
		c.inHeader.Store(false)
		c.header.restart()
	}
}

// connectionOf returns the connection below a connection of the server, which may be
// encrypted, or nil if it does not come from LimitListener.
func connectionOf(c net.Conn) *connection {
	if encrypted, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = encrypted.NetConn()
	}
	found, _ := c.(*connection)
	return found
}
