package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// TestCutHeadIsNoAnswer guards against an answer that looks whole although its upstream
// stopped in the middle of the head: it stops after each byte, and closes the connection
// in good order. Nothing of that answer may reach the caller.
func TestCutHeadIsNoAnswer(t *testing.T) {
	heads := map[string]string{
		"with a length":         "HTTP/1.1 200 OK\r\n%s: r1\r\nRedwingshunt-Signature: cut\r\nContent-Length: 0\r\n\r\n",
		"until the end":         "HTTP/1.1 200 OK\r\n%s: r1\r\nRedwingshunt-Signature: cut\r\n\r\n",
		"chunked":               "HTTP/1.1 200 OK\r\n%s: r1\r\nRedwingshunt-Signature: cut\r\nTransfer-Encoding: chunked\r\n\r\n",
		"stream, until the end": "HTTP/1.1 200 OK\r\n%s: r1\r\nRedwingshunt-Signature: cut\r\nContent-Type: text/event-stream\r\n\r\n",
		"line feeds only":       "HTTP/1.1 200 OK\n%s: r1\nRedwingshunt-Signature: cut\nContent-Length: 0\n\n",
		"no content":            "HTTP/1.1 204 No Content\r\n%s: r1\r\nRedwingshunt-Signature: cut\r\n\r\n",
	}
	tests := map[string]struct {
		path      string
		streaming bool
		status    int
		others    int // runs at the other upstream
	}{
		"once":      {path: "/once/a", status: http.StatusBadGateway},
		"safe":      {path: "/safe/a", status: http.StatusOK, others: 1},
		"stream":    {path: "/stream/a", streaming: true, status: http.StatusBadGateway},
		"resumable": {path: "/resumable/a", streaming: true, status: http.StatusOK, others: 1},
	}
	for headName, head := range heads {
		head := fmt.Sprintf(head, redwingshunt.HeaderRequest)
		for name, test := range tests {
			t.Run(headName+", "+name, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t)
				others := f.plain
				if test.streaming {
					others = f.streaming
				}
				f.setUpstreams(others)
				u := &replacedUpstream{}
				scripted, err := mimic.StartScripted(u.serve)
				is.NoErr(err)
				t.Cleanup(scripted.Stop)
				f.placer.upstreams[0].Address = scripted.Address()
				for cut := 1; cut < len(head); cut++ {
					f.placer.budget = 10
					text := head[:cut]
					u.text.Store(&text)
					before := others[1].Total()
					got := f.send(t, test.path, nil)
					if got.status != test.status || got.header.Get("Redwingshunt-Signature") == "cut" || others[1].Total()-before != test.others {
						t.Fatalf("after %d bytes (%q): status %d, signature %q, body %q, error %v, runs elsewhere %d", cut, head[:cut],
							got.status, got.header.Get("Redwingshunt-Signature"), got.body, got.err, others[1].Total()-before)
					}
					if test.streaming && test.others > 0 {
						is.Equal(got.body, events())
					}
				}
			})
		}
	}
}

// replacedUpstream responds to each request with a text, which may be replaced, and
// closes the connection.
type replacedUpstream struct {
	text atomic.Pointer[string]
}

func (u *replacedUpstream) serve(connection net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(connection, *u.text.Load())
}
