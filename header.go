package redwingshunt

import (
	"net/http"
	"strings"
)

// hopHeaders are hop-by-hop headers, which are not forwarded (RFC 9110, 7.6.1).
// Bodies are buffered whole before they are forwarded, so Content-Length and
// Expect apply to one connection as well.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns a copy of header without its hop-by-hop fields. The value
// slices are shared with the original.
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

// IsFinalStatus reports whether a status is that of a final HTTP response (RFC 9110,
// section 15). A parser may accept any three digits.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status < 600 }
