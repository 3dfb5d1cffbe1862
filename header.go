package redwingshunt

import (
	"net/http"
	"strings"
)

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
// A body is read whole before it is sent on, so its length and what was asked
// before sending it belong to the connection as well.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns a copy of a header without what concerns one connection. The
// values are shared with the original.
func EndToEnd(header http.Header) http.Header {
	passed := make(http.Header, len(header))
	for name, values := range header {
		passed[name] = values
	}
	for _, connection := range header["Connection"] {
		for name := range strings.SplitSeq(connection, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	return passed
}
