package acceptor

import (
	"net"
	"sync/atomic"
	"time"
)

// connection is a connection of a caller that tells since when the server has read from
// it after it became idle. The state that the server reports changes only once the header
// of a request is complete.
type connection struct {
	*net.TCPConn
	received atomic.Pointer[time.Time] // nil if it has not
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.received.Load() == nil {
		now := time.Now()
		c.received.Store(&now)
	}
	return n, err
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
