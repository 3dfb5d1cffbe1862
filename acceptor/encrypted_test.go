package acceptor

import (
	"bufio"
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSweepLeavesEncryptedRequestBeingRead guards against an encrypted connection that is
// closed while the server has read the first part of its next header.
func TestSweepLeavesEncryptedRequestBeingRead(t *testing.T) {
	is := is.New(t)
	u := New(0, 0)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = u.TrackConnState
	server.Listener = u.LimitListener(server.Listener)
	server.StartTLS()
	t.Cleanup(server.Close)
	socket, err := (&tls.Dialer{Config: &tls.Config{InsecureSkipVerify: true}}).DialContext(t.Context(), "tcp", server.Listener.Addr().String()) //nolint:gosec // a test server
	is.NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	c := &caller{socket, bufio.NewReader(socket)}
	c.ask(t)
	eventually(t, "the connection is not idle", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.idle.order.Len() == 1
	})
	_, err = socket.Write([]byte("GET / HTTP/1.1\r\nHo"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // the bytes have arrived and are read
	is.Equal(u.Sweep(time.Now().Add(time.Hour), Limits{Idle: time.Minute}), 0)
	_, err = socket.Write([]byte("st: h\r\n\r\n"))
	is.NoErr(err)
	response, err := http.ReadResponse(c.reader, nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	eventually(t, "the connection is not idle", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.idle.order.Len() == 1
	})
	is.Equal(u.Sweep(time.Now().Add(time.Hour), Limits{Idle: time.Minute}), 1)
}
