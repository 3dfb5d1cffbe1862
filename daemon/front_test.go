package daemon

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// TestMostOf bounds the requests at once by the setting, or else by the memory.
func TestMostOf(t *testing.T) {
	tests := map[string]struct {
		settings redwingshunt.Settings
		want     int
	}{
		"nothing given": {redwingshunt.Settings{}, 0},
		"given":         {redwingshunt.Settings{Most: 9, Memory: 1 << 30}, 9},
		"by memory":     {redwingshunt.Settings{Memory: 184 << 20}, 736},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(mostOf(test.settings), test.want)
		})
	}
}

// TestKeptOf bounds the open connections by the setting, or else by the memory.
func TestKeptOf(t *testing.T) {
	tests := map[string]struct {
		settings redwingshunt.Settings
		want     int
	}{
		"nothing given": {redwingshunt.Settings{}, 0},
		"given":         {redwingshunt.Settings{Kept: 9, Memory: 1 << 30}, 9},
		"by memory":     {redwingshunt.Settings{Memory: 184 << 20}, 1472},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(keptOf(test.settings), test.want)
		})
	}
}

// TestConnectionsOfCallers opens more connections than an instance keeps, and
// leaves the kept ones idle for longer than the document allows.
func TestConnectionsOfCallers(t *testing.T) {
	is := is.New(t)
	settings := testSettings(0, nil)
	settings.Routes, settings.Kept = settings.Listen, 2
	document := &redwingshunt.Document{Limits: redwingshunt.RequestLimits{Idle: 200 * time.Millisecond}}
	n := runNode(t, settings, func(o *Options) { o.Document = document })
	var sockets []net.Conn
	for i := range 3 {
		socket, err := new(net.Dialer).DialContext(t.Context(), "tcp", n.sockets.routes.Addr().String())
		is.NoErr(err)
		defer socket.Close()
		sockets = append(sockets, socket)
		_, err = socket.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(socket), nil)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.Close, i == 2) // the third is one too many
	}
	is.NoErr(sockets[0].SetReadDeadline(time.Now().Add(patience)))
	_, err := sockets[0].Read(make([]byte, 1))
	is.True(err != nil)
	is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the instance has closed it
}
