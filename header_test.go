package redwingshunt

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestEndToEnd(t *testing.T) {
	is := is.New(t)
	header := http.Header{
		"Connection": {"close, X-Own", "x-other"}, "X-Own": {"1"}, "X-Other": {"2"}, "Keep-Alive": {"timeout=3"},
		"Content-Length": {"9"}, "Expect": {"100-continue"}, "Accept": {"a", "b"},
	}
	is.Equal(EndToEnd(header), http.Header{"Accept": {"a", "b"}})
	is.Equal(len(header), 7) // the original is unchanged
}
