package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// endlessUpstream is an upstream that sends a header and then repeats a text forever.
type endlessUpstream struct {
	address netip.AddrPort
	begun   atomic.Int64 // requests
	closed  atomic.Int64 // connections closed by the other end
}

func newEndlessUpstream(t *testing.T, header, chunk string, pause time.Duration) *endlessUpstream {
	t.Helper()
	u := &endlessUpstream{}
	upstream, err := mimic.StartScripted(func(connection net.Conn) { u.serve(connection, header, chunk, pause) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(upstream.Stop)
	u.address = upstream.Address()
	return u
}

func (u *endlessUpstream) serve(connection net.Conn, header, chunk string, pause time.Duration) {
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	u.begun.Add(1)
	fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\nRedwingshunt-Signature: s\r\n%s\r\n\r\n",
		redwingshunt.HeaderRequest, request.Header.Get(redwingshunt.HeaderRequest), header)
	for err == nil {
		_, err = io.WriteString(connection, chunk)
		time.Sleep(pause)
	}
	u.closed.Add(1)
}

func (u *endlessUpstream) upstream() redwingshunt.Upstream {
	return redwingshunt.Upstream{ID: "w0", Service: "s", Address: u.address, Slots: 8}
}

// TestEndlessBodies has the first upstream send a body that does not end, quickly
// and slowly. The caller gets the right status, and the connection to the upstream
// is closed.
func TestEndlessBodies(t *testing.T) {
	const slow = 10 * time.Millisecond
	kilobytes := strings.Repeat("z", 8<<10)
	stream := "Content-Type: text/event-stream"
	tests := map[string]struct {
		path, header, chunk string
		pause               time.Duration
		space               int64 // Options.BufferBytes
		status              int
		broken              bool
	}{
		"safe, until the connection ends": {"/safe/a", "Connection: close", kilobytes, 0, 0, 200, false},
		"safe, in chunks":                 {"/safe/a", "Transfer-Encoding: chunked", "2000\r\n" + kilobytes + "\r\n", 0, 0, 200, false},
		"safe, beyond the buffer space":   {"/safe/a", "Connection: close", kilobytes, 0, 1 << 20, 200, false},
		"safe, byte by byte":              {"/safe/a", "Content-Length: 1000000", "z", slow, 0, 200, false},
		"safe, largest length":            {"/safe/a", "Content-Length: 9223372036854775807", kilobytes, 0, 0, 200, false},
		"once, largest length":            {"/once/a", "Content-Length: 9223372036854775807", kilobytes, 0, 0, 502, false},
		"once, until the connection ends": {"/once/a", "Connection: close", kilobytes, 0, 0, 502, false},
		"once, byte by byte":              {"/short/a", "Content-Length: 1000000", "z", slow, 0, 504, false},
		"stream, endless event":           {"/stream/a", stream, kilobytes, 0, 0, 502, false},
		"stream, beyond the buffer space": {"/stream/a", stream, kilobytes, 0, 128 << 10, 502, false},
		"resumable, endless event":        {"/resumable/a", stream, kilobytes, 0, 0, 200, false},
		"resumable, byte by byte":         {"/resumable/a", stream, "z", slow, 0, 200, false},
		"resumable, endless comments":     {"/resumable/a", stream, ": there\n\n", slow, 0, 200, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.relayer.options.BufferBytes = test.space
			f.setUpstreams(f.plain)
			if strings.Contains(test.header, "event-stream") {
				f.setUpstreams(f.streaming)
			}
			endless := newEndlessUpstream(t, test.header, test.chunk, test.pause)
			f.placer.upstreams[0] = endless.upstream()
			got := f.send(t, test.path, nil)
			is.Equal(got.status, test.status)
			is.Equal(got.err != nil, test.broken)
			eventually(t, func() bool { return endless.closed.Load() == endless.begun.Load() })
			eventually(t, func() bool { return f.relayer.buffered.sum() == 0 })
			is.True(f.placer.ends[0] != redwingshunt.EndComplete)
		})
	}
}

// TestSlowStream relays a stream with pauses shorter than what callers tolerate,
// although it takes many times the objective of the route.
func TestSlowStream(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.streaming)
	var text strings.Builder
	upstream, err := mimic.StartScripted(func(connection net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
			return
		}
		fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: r1\r\nRedwingshunt-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n", redwingshunt.HeaderRequest)
		for i := range 12 {
			time.Sleep(150 * time.Millisecond) // three times the target pause
			fmt.Fprintf(connection, "id: %d\ndata: x\n\n", i+1)
		}
	})
	is.NoErr(err)
	t.Cleanup(upstream.Stop)
	for i := range 12 {
		fmt.Fprintf(&text, "id: %d\ndata: x\n\n", i+1)
	}
	f.placer.upstreams[0].Address = upstream.Address()
	got := f.send(t, "/resumable/a", nil)
	is.NoErr(got.err)
	is.Equal(got.body, text.String())
	is.Equal(f.streaming[1].Total(), 0)
}

// TestLongRequests checks that requests are refused while there is no buffer space
// for their bodies, but not if they are short.
func TestLongRequests(t *testing.T) {
	tests := map[string]struct {
		size     int
		length   bool // whether it has a Content-Length, otherwise chunked
		buffered int
		status   int
	}{
		"short":                       {100, true, 1 << 20, 200},
		"too long, space left":        {65<<10 - 1, true, 0, 413}, // longer than the document allows
		"chunked, space left":         {100, false, 0, 200},
		"at the limit, no space left": {64 << 10, true, 1 << 20, 200},
		"chunked, no space left":      {100, false, 1 << 20, 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.plain)
			f.relayer.options.BufferBytes = 1 << 20
			f.relayer.buffered.acquire("", test.buffered, 0)
			got := f.send(t, "/safe/a", func(r *http.Request) {
				text := strings.Repeat("z", test.size)
				r.Body, r.ContentLength = io.NopCloser(strings.NewReader(text)), int64(test.size)
				if !test.length {
					r.ContentLength = -1
				}
			})
			is.Equal(got.status, test.status)
			is.Equal(f.relayer.buffered.sum(), test.buffered)
		})
	}
}

// TestBodiesOfFloodLeaveBufferSpace has one account reserve as much buffer space as it
// can get. A long request of another account must still be accepted.
func TestBodiesOfFloodLeaveBufferSpace(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.plain)
	f.relayer.options.BufferBytes = 4 << 20
	f.relayer.options.Configuration.Current().Document.Limits.Body = 100 << 10
	flood := &exchange{relayer: f.relayer, account: "flood"}
	for flood.reserveBody(100 << 10) {
	}
	is.True(flood.buffered > 2<<20) // it may use space that no other account needs
	got := f.send(t, "/safe/a", func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("z")), -1
	})
	is.Equal(got.status, 200)
}

// TestRefusalLines checks that log lines of refusals are limited to a number a
// second and that the others are counted.
func TestRefusalLines(t *testing.T) {
	is := is.New(t)
	var log refusalLog
	now := time.Unix(1000, 0)
	lines := 0
	for range 5000 {
		if logged, _ := log.allow(now, maxFullLinesPerSecond); logged {
			lines++
		}
	}
	is.Equal(lines, maxFullLinesPerSecond)
	logged, suppressed := log.allow(now.Add(time.Second), maxFullLinesPerSecond)
	is.True(logged)
	is.Equal(suppressed, 5000-maxFullLinesPerSecond)
}

// TestSlowBodiesAtLimit has more callers than refusals may run concurrently send
// their bodies byte by byte to a full instance. All of them and a later caller must
// be refused without delay.
func TestSlowBodiesAtLimit(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.plain)
	f.relayer.options.ConcurrencyLimit = func() int { return 1 }
	f.relayer.running.tryAcquire("alpha", 1, 0)
	answered := make(chan int, 2*maxConcurrentRefusals)
	for range cap(answered) {
		connection, err := new(net.Dialer).DialContext(t.Context(), "tcp", f.server.Listener.Addr().String())
		is.NoErr(err)
		defer connection.Close()
		_, err = io.WriteString(connection, "POST /safe/a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nx")
		is.NoErr(err)
		go func() {
			for {
				if _, err := io.WriteString(connection, "x"); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil {
				answered <- 0
				return
			}
			response.Body.Close()
			answered <- response.StatusCode
		}()
	}
	for range cap(answered) {
		is.Equal(<-answered, 503)
	}
	is.Equal(f.send(t, "/safe/a", nil).status, 503)
	is.Equal(f.relayer.Running(), 1)
}
