package detector

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt/mimic"
)

// TestProbe asks an address that listens, and the same once it does not.
func TestProbe(t *testing.T) {
	is := is.New(t)
	upstream, err := mimic.StartScripted(func(net.Conn) {})
	is.NoErr(err)
	is.NoErr(Probe(t.Context(), &net.Dialer{}, upstream.Address()))
	is.True(!Ended(t.Context(), &net.Dialer{}, upstream.Address()))
	upstream.Stop()
	is.True(Probe(t.Context(), &net.Dialer{}, upstream.Address()) != nil)
	is.True(Ended(t.Context(), &net.Dialer{}, upstream.Address()))
}

func TestEndsWithConnection(t *testing.T) {
	tests := map[string]struct {
		method, head string
		want         bool
	}{
		"neither":    {"GET", "200 OK\r\n\r\n", true},
		"HTTP/1.0":   {"GET", "200 OK\r\nConnection: close\r\n\r\n", true},
		"length":     {"GET", "200 OK\r\nContent-Length: 3\r\n\r\n", false},
		"chunks":     {"GET", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		"no content": {"GET", "204 No Content\r\n\r\n", false},
		"head":       {"HEAD", "200 OK\r\n\r\n", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			request := &http.Request{Method: test.method}
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 "+test.head)), request)
			is.NoErr(err)
			defer response.Body.Close()
			is.Equal(EndsWithConnection(response), test.want)
		})
	}
}
