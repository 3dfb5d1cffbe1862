package relayer

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/logger"
)

// TestRefusalNamesAccount checks that a refusal at the limit names its account.
func TestRefusalNamesAccount(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.plain)
	log := &logger.Memory{}
	f.relayer.options.Logger = slog.New(slog.NewJSONHandler(log, nil))
	f.relayer.options.ConcurrencyLimit = func() int { return 1 }
	f.relayer.running.tryAcquire("alpha", 1, 0) // reaches the limit
	is.Equal(f.send(t, "/safe/a", nil).status, 503)
	eventually(t, func() bool { return strings.Contains(log.String(), `"account":"alpha"`) }) // logged after the response
	is.Equal(f.placer.refused, []redwingshunt.AccountID{"alpha"})
}

// TestRefusedUnread refuses requests before their bodies are read. The connection
// must be kept if the body arrives at once, and closed otherwise.
func TestRefusedUnread(t *testing.T) {
	const length = 6 << 10
	tests := map[string]struct {
		sent   int  // bytes of the body
		closes bool // whether the connection must be closed
	}{
		"whole body": {length, false},
		"half of it": {length / 2, true},
		"none of it": {0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.plain)
			f.placer.checkErr = redwingshunt.NotRun(redwingshunt.ReasonQueueFull, http.StatusServiceUnavailable, "busy").After(time.Second)
			connection, err := net.Dial("tcp", f.server.Listener.Addr().String())
			is.NoErr(err)
			defer connection.Close()
			reader := bufio.NewReader(connection)
			ask := func(sent int) *http.Response {
				fmt.Fprintf(connection, "POST /safe/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nRedwingshunt-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
					key, length, strings.Repeat("x", sent))
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				return response
			}
			response := ask(test.sent)
			is.Equal(response.StatusCode, 503)
			is.Equal(response.Header.Get("Retry-After"), "1.000")
			is.Equal(f.plain[0].Runs("r1"), 0)
			if test.closes || response.Close { // the server may read a body too late even if it has arrived
				is.True(response.Close)
				return
			}
			f.placer.mu.Lock()
			f.placer.checkErr = nil
			f.placer.mu.Unlock()
			is.Equal(ask(length).StatusCode, 200)
			is.Equal(f.plain[0].Body("r1"), int64(length))
		})
	}
}

// TestRefusalIsNotReset refuses requests whose bodies arrive partly after the
// refusal. The connection must be closed without a reset, which could overtake the
// response.
func TestRefusalIsNotReset(t *testing.T) {
	const length = 64 << 10
	withLength := fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
	tests := map[string]struct {
		full        bool // the instance, otherwise the engines
		first, rest string
	}{
		"full instance, with length":  {true, withLength + strings.Repeat("x", length/2), strings.Repeat("x", length/2)},
		"full instance, no byte yet":  {true, withLength, strings.Repeat("x", length)},
		"full instance, in chunks":    {true, "Transfer-Encoding: chunked\r\n\r\n4\r\nxx", "xx\r\n0\r\n\r\n"},
		"engines busy, with length":   {false, withLength + strings.Repeat("x", length/2), strings.Repeat("x", length/2)},
		"engines busy, with no chunk": {false, "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n0\r\n\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.plain)
			if test.full {
				f.relayer.options.ConcurrencyLimit = func() int { return 1 }
				f.relayer.running.tryAcquire("alpha", 1, 0)
			} else {
				f.placer.checkErr = redwingshunt.NotRun(redwingshunt.ReasonQueueFull, http.StatusServiceUnavailable, "busy")
			}
			connection, err := net.Dial("tcp", f.server.Listener.Addr().String())
			is.NoErr(err)
			defer connection.Close()
			fmt.Fprintf(connection, "POST /safe/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nRedwingshunt-Key: %s\r\n%s", key, test.first)
			reader := bufio.NewReader(connection)
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, 503)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			_, err = io.WriteString(connection, test.rest)
			is.NoErr(err)
			is.NoErr(connection.(*net.TCPConn).CloseWrite())
			_, err = reader.ReadByte()
			is.Equal(err, io.EOF) // not a reset
		})
	}
}

// TestOccupancyThreshold checks which accounts get a place while others hold some.
func TestOccupancyThreshold(t *testing.T) {
	const limit = 90
	tests := map[string]struct {
		alpha, beta int // requests in flight
		account     redwingshunt.AccountID
		want        bool
	}{
		"below its threshold":           {79, 0, "alpha", true},
		"at its threshold":              {80, 0, "alpha", false},
		"another one at its threshold":  {80, 0, "beta", true},
		"second one at its threshold":   {80, 9, "beta", false},
		"above an even split":           {45, 41, "alpha", false},
		"below an even split":           {60, 20, "beta", true},
		"third one below its threshold": {42, 42, "gamma", true},
		"no place is left":              {80, 10, "gamma", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var o occupancy
			for range test.alpha {
				is.True(o.tryAcquire("alpha", 1, 0))
			}
			for range test.beta {
				is.True(o.tryAcquire("beta", 1, 0))
			}
			is.Equal(o.tryAcquire(test.account, 1, limit), test.want)
			if test.want {
				o.release(test.account, 1)
			}
			is.Equal(o.sum(), test.alpha+test.beta)
		})
	}
}

// TestFloodsGetEqualShares has two accounts flood an instance at very different
// rates, the first one long before the second. They must hold equal numbers of
// places.
func TestFloodsGetEqualShares(t *testing.T) {
	const (
		limit     = 170
		evenSplit = 80 // places of each; a tenth of the places stays free
	)
	is := is.New(t)
	var o occupancy
	for o.tryAcquire("alpha", 1, limit) {
	}
	for range 1000 {
		o.release("alpha", 1) // one request ends
		for range 20 {
			o.tryAcquire("beta", 1, limit)
		}
		o.tryAcquire("alpha", 1, limit)
		if o.byAccount["beta"] > evenSplit {
			o.release("beta", 1)
		}
	}
	is.True(o.byAccount["alpha"] >= evenSplit-thresholdFactor && o.byAccount["beta"] >= evenSplit-thresholdFactor)
}

// TestFloodLeavesOthersServed checks that a request of one account is served while
// another account floods the instance.
func TestFloodLeavesOthersServed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.plain)
	const limit = 18
	f.relayer.options.ConcurrencyLimit = func() int { return limit }
	for f.relayer.running.tryAcquire("beta", 1, limit) {
	}
	is.Equal(f.send(t, "/safe/a", nil).status, 200) // of account alpha
	is.True(!f.relayer.running.tryAcquire("beta", 1, limit))
}

// TestRetryHints checks that the values of Retry-After are spread over their range.
func TestRetryHints(t *testing.T) {
	is := is.New(t)
	distinct := redwingshunt.NewSet[string]()
	for _, hint := range newRetryHints() {
		is.True(hint.after >= fullRetryAfter && hint.after < fullRetryAfter+fullRetrySpread)
		is.Equal(hint.header, []string{formatRetryAfter(hint.after)})
		distinct.Add(hint.header[0])
	}
	is.Equal(len(distinct), fullRetrySteps)
}
