package dispatcher_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/dispatcher"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// TestDuplicateResponse has an upstream send a late duplicate of each response, in place
// of the response to the next request on the connection. No caller may receive
// it, whether responses carry the request ID or not.
func TestDuplicateResponse(t *testing.T) {
	for name, echo := range map[string]bool{"responses carry the request ID": true, "responses carry no ID": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := dispatcher.New(dispatcher.Options{
				Scheduler: &singleUpstream{address: startDuplicatingUpstream(t, echo), remaining: 100}, Logger: slog.New(slog.DiscardHandler),
			})
			t.Cleanup(d.Close)
			served := 0
			for i := range 10 {
				recorder := httptest.NewRecorder()
				e := exchange(t.Context(), recorder, false, false)
				e.Request.ID = fmt.Sprint("r", i)
				err := d.Serve(t.Context(), e)
				if err == nil {
					is.Equal(recorder.Body.String(), e.Request.ID)
					served++
				}
			}
			is.True(served > 0)
		})
	}
}

// startDuplicatingUpstream starts an upstream that responds with the ID of the
// request, and sends the previous response again when the next request arrives.
func startDuplicatingUpstream(t *testing.T, echo bool) netip.AddrPort {
	t.Helper()
	upstream, err := mimic.StartScripted(func(connection net.Conn) { duplicateResponses(connection, echo) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(upstream.Stop)
	return upstream.Address()
}

func duplicateResponses(connection net.Conn, echo bool) {
	reader := bufio.NewReader(connection)
	previous := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if previous != "" {
			_, _ = io.WriteString(connection, previous)
			time.Sleep(5 * time.Millisecond)
		}
		id := request.Header.Get(redwingshunt.HeaderRequest)
		name := ""
		if echo {
			name = redwingshunt.HeaderRequest + ": " + id + "\r\n"
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", name, len(id), id)
		if _, err := io.WriteString(connection, response); err != nil {
			return
		}
		if request.Method != http.MethodOptions { // not a probe
			previous = response
		}
	}
}
