package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// streamHead is the status line and the header of a stream, without what ends it.
const streamHead = "HTTP/1.1 200 OK\r\n" + redwingshunt.HeaderRequest + ": %s\r\nRedwingshunt-Signature: s\r\nContent-Type: text/event-stream\r\n"

// rawUpstream responds to each request on a connection with the next text, in which %s is
// the identifier of the request, and closes the connection after the last one. It stops
// before it closes if dies is true.
func (f *fixture) rawUpstream(t *testing.T, index int, dies bool, texts ...string) {
	t.Helper()
	stop := func() {}
	upstream, err := mimic.StartScripted(func(connection net.Conn) {
		reader := bufio.NewReader(connection)
		for _, text := range texts {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			fmt.Fprintf(connection, text, request.Header.Get(redwingshunt.HeaderRequest))
		}
		if dies {
			stop()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	stop = upstream.Stop
	t.Cleanup(upstream.Stop)
	f.placer.upstreams[index].Address = upstream.Address()
}

// recordingUpstream responds like rawUpstream to one request. The channel receives the
// header of the request.
func (f *fixture) recordingUpstream(t *testing.T, index int, text string) <-chan http.Header {
	t.Helper()
	headers := make(chan http.Header, 1)
	upstream, err := mimic.StartScripted(func(connection net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		headers <- request.Header
		fmt.Fprintf(connection, text, request.Header.Get(redwingshunt.HeaderRequest))
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(upstream.Stop)
	f.placer.upstreams[index].Address = upstream.Address()
	return headers
}

// TestErrorDoesNotContinueStream breaks a stream off after two events. What the next
// upstream answers is not the rest of it.
func TestErrorDoesNotContinueStream(t *testing.T) {
	const begun = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n"
	answer := func(status, contentType, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %%s\r\nRedwingshunt-Signature: s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
			status, redwingshunt.HeaderRequest, contentType, len(body), body)
	}
	tests := map[string]string{
		"500":                    answer("500 Internal Server Error", "text/plain", "wrong"),
		"400":                    answer("400 Bad Request", "text/plain", "wrong"),
		"404":                    answer("404 Not Found", "application/json", "{}"),
		"302":                    answer("302 Found", "text/plain", "wrong"),
		"429 that ran":           answer("429 Too Many Requests", "text/plain", "wrong"),
		"204":                    answer("204 No Content", "text/event-stream", ""),
		"200 that is no stream":  answer("200 OK", "text/plain", "id: 3\ndata: wrong\n\n"),
		"text in the stream":     answer("200 OK", "text/event-stream", "internal server error\n\n"),
		"response in the stream": answer("200 OK", "text/event-stream", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 7\r\n\r\nwrong\n\n"),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.streaming)
			f.rawUpstream(t, 0, false, streamHead+"Transfer-Encoding: chunked\r\n\r\n2a\r\n"+begun+"\r\n")
			f.rawUpstream(t, 1, false, text)
			got := f.send(t, "/resumable/a", nil)
			is.Equal(got.status, 200)
			is.Equal(got.body, begun)
			is.True(got.err != nil) // cut off, visibly
		})
	}
}

// TestUnnumberedEventsAreNotRepeated breaks off a stream of which the caller has events
// without a number.
func TestUnnumberedEventsAreNotRepeated(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.streaming)
	f.rawUpstream(t, 0, false, streamHead+"Transfer-Encoding: chunked\r\n\r\nf\r\ndata: token 1\n\n\r\n")
	got := f.send(t, "/resumable/a", nil)
	is.Equal(got.body, "data: token 1\n\n")
	is.True(got.err != nil)
	is.Equal(f.streaming[1].Total(), 0)
}

// TestRefusalOfAnotherRequest has an upstream write the refusal of an earlier request
// once more on a kept connection, before the answer to a request that it runs.
func TestRefusalOfAnotherRequest(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + redwingshunt.HeaderRequest + ": %s\r\n" +
		redwingshunt.HeaderBegun + ": no\r\nContent-Length: 0\r\n\r\n"
	const answer = "HTTP/1.1 200 OK\r\n" + redwingshunt.HeaderRequest + ": %s\r\nRedwingshunt-Signature: s\r\nContent-Length: 3\r\n\r\nran"
	copyOfEarlier := fmt.Sprintf(refusal, "r0")
	nameless := "HTTP/1.1 503 Service Unavailable\r\n" + redwingshunt.HeaderBegun + ": no\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]struct {
		second string // what the upstream writes once the second request has begun
		path   string
		status int
		body   string
		others int // runs at the other upstream
	}{
		"copy, then the answer":          {second: copyOfEarlier + answer, path: "/once/a", status: 200, body: "ran"},
		"two copies, then the answer":    {second: copyOfEarlier + copyOfEarlier + answer, path: "/once/a", status: 200, body: "ran"},
		"copy, then the end":             {second: copyOfEarlier, path: "/once/a", status: 502},
		"copy without a name, answer":    {second: nameless + answer, path: "/once/a", status: 200, body: "ran"},
		"copy without a name, then end":  {second: nameless, path: "/once/a", status: 502},
		"copy, then the end, idempotent": {second: copyOfEarlier, path: "/safe/a", status: 200, others: 1},
		"unframed copy": {
			second: "HTTP/1.1 503 Service Unavailable\r\n" + redwingshunt.HeaderRequest + ": r0\r\n" + redwingshunt.HeaderBegun + ": no\r\n\r\n" + answer,
			path:   "/once/a", status: 502,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.plain)
			f.rawUpstream(t, 0, false, refusal, test.second)
			named := func(id string) func(*http.Request) {
				return func(r *http.Request) { r.Header.Set(redwingshunt.HeaderRequest, id) }
			}
			is.Equal(f.send(t, test.path, named("r0")).status, 200) // the other upstream
			got := f.send(t, test.path, named("r1"))
			is.Equal(got.status, test.status)
			is.Equal(f.plain[1].Runs("r1"), test.others)
			if test.body != "" {
				is.Equal(got.body, test.body)
			}
		})
	}
}

// TestAnswerThatEndsWithConnection has the first upstream send answers without a length,
// and close the connection in good order or as it dies.
func TestAnswerThatEndsWithConnection(t *testing.T) {
	const begun = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n"
	const plain = "HTTP/1.1 200 OK\r\n" + redwingshunt.HeaderRequest + ": %s\r\nRedwingshunt-Signature: s\r\n\r\npart"
	tests := map[string]struct {
		path, text string
		dies       bool
		status     int
		body       string // not compared if empty
		cut        bool
		others     int // runs at the other upstream
	}{
		"stream, in good order":          {path: "/resumable/a", text: streamHead + "\r\n" + begun, status: 200, body: begun},
		"stream, dies":                   {path: "/resumable/a", text: streamHead + "\r\n" + begun, dies: true, status: 200, body: events(), others: 1},
		"stream, within an event":        {path: "/resumable/a", text: streamHead + "\r\n" + begun + "id: 3\nda", status: 200, body: events(), others: 1},
		"stream not resumable, dies":     {path: "/stream/a", text: streamHead + "\r\n" + begun, dies: true, status: 200, body: begun, cut: true},
		"stream not resumable, in order": {path: "/stream/a", text: streamHead + "\r\n" + begun, status: 200, body: begun},
		"plain, in good order":           {path: "/once/a", text: plain, status: 200, body: "part"},
		"plain, dies":                    {path: "/once/a", text: plain, dies: true, status: 502},
		"plain, idempotent, dies":        {path: "/safe/a", text: plain, dies: true, status: 200, others: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			others := f.plain
			if strings.Contains(test.text, "event-stream") {
				others = f.streaming
			}
			f.setUpstreams(others)
			f.rawUpstream(t, 0, test.dies, test.text)
			got := f.send(t, test.path, nil)
			is.Equal(got.status, test.status)
			if test.body != "" {
				is.Equal(got.body, test.body)
			}
			is.Equal(got.err != nil, test.cut)
			is.Equal(others[1].Total(), test.others)
		})
	}
}
