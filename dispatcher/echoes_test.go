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

// TestSecondCopy has an upstream send a second copy of each answer, late, where
// the answer to the next request on its connection is due. No caller gets it,
// whether answers name their request or not.
func TestSecondCopy(t *testing.T) {
	for name, echo := range map[string]bool{"answers name their request": true, "they do not": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := dispatcher.New(dispatcher.Options{
				Scheduler: &single{address: startCopier(t, echo), left: 100}, Logger: slog.New(slog.DiscardHandler),
			})
			t.Cleanup(d.Close)
			whole := 0
			for i := range 10 {
				recorder := httptest.NewRecorder()
				e := exchange(t.Context(), recorder, false, false)
				e.Request.ID = fmt.Sprint("r", i)
				err := d.Serve(t.Context(), e)
				if err == nil {
					is.Equal(recorder.Body.String(), e.Request.ID)
					whole++
				}
			}
			is.True(whole > 0)
		})
	}
}

// startCopier starts an upstream that answers with the identifier of the request,
// and sends the answer before once more when the next request has come.
func startCopier(t *testing.T, echo bool) netip.AddrPort {
	t.Helper()
	upstream, err := mimic.StartScripted(func(connection net.Conn) { copyAnswers(connection, echo) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(upstream.Stop)
	return upstream.Address()
}

func copyAnswers(connection net.Conn, echo bool) {
	reader := bufio.NewReader(connection)
	before := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if before != "" {
			_, _ = io.WriteString(connection, before)
			time.Sleep(5 * time.Millisecond)
		}
		id := request.Header.Get(redwingshunt.HeaderRequest)
		name := ""
		if echo {
			name = redwingshunt.HeaderRequest + ": " + id + "\r\n"
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", name, len(id), id)
		if _, err := io.WriteString(connection, answer); err != nil {
			return
		}
		if request.Method != http.MethodOptions { // no probe
			before = answer
		}
	}
}
