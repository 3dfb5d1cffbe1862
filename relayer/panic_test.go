package relayer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// panickingWriter panics when the header of a response is written.
type panickingWriter struct{ *httptest.ResponseRecorder }

func (panickingWriter) WriteHeader(int) { panic("cannot write") }

// TestPanicEndsAttempt guards against an attempt that stays counted at its upstream
// after the server has recovered a panic of its request.
func TestPanicEndsAttempt(t *testing.T) {
	for _, path := range []string{"/safe/a", "/once/a", "/resumable/a"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.plain)
			if path == "/resumable/a" {
				f.setUpstreams(f.streaming)
			}
			request := httptest.NewRequest(http.MethodPost, path, strings.NewReader("a body"))
			request.Host = "h"
			request.Header.Set(redwingshunt.HeaderRequest, "r1")
			request.Header.Set("Redwingshunt-Key", key)
			func() {
				defer func() { is.True(recover() != nil) }()
				f.relayer.ServeHTTP(panickingWriter{httptest.NewRecorder()}, request)
			}()
			is.Equal(f.placer.ends, []redwingshunt.PlacementEnd{redwingshunt.EndFailed})
			is.Equal(f.relayer.Running(), 0)
			is.Equal(f.relayer.buffered.sum(), 0)
		})
	}
}
