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
	b := newBench(t)
	b.use(b.plain)
	log := &logger.Memory{}
	b.relayer.options.Logger = slog.New(slog.NewJSONHandler(log, nil))
	b.relayer.options.Limit = func() int { return 1 }
	b.relayer.running.enter("alpha", 1, 0) // reaches the limit
	is.Equal(b.ask(t, "/safe/a", nil).status, 503)
	eventually(t, func() bool { return strings.Contains(log.String(), `"account":"alpha"`) }) // logged after the response
	is.Equal(b.placer.refused, []redwingshunt.AccountID{"alpha"})
}

// TestRefusedUnread refuses requests before their bodies are read. The connection
// must be kept if the body arrives at once, and closed otherwise.
func TestRefusedUnread(t *testing.T) {
	const length = 6 << 10
	tests := map[string]struct {
		sent int  // bytes of the body
		ends bool // whether the connection must be closed
	}{
		"whole body": {length, false},
		"half of it": {length / 2, true},
		"none of it": {0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			b.use(b.plain)
			b.placer.checked = redwingshunt.NotRun(redwingshunt.ReasonQueueFull, http.StatusServiceUnavailable, "busy").After(time.Second)
			connection, err := net.Dial("tcp", b.server.Listener.Addr().String())
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
			is.Equal(b.plain[0].Runs("r1"), 0)
			if test.ends || response.Close { // the server may read a body too late even if it has arrived
				is.True(response.Close)
				return
			}
			b.placer.mu.Lock()
			b.placer.checked = nil
			b.placer.mu.Unlock()
			is.Equal(ask(length).StatusCode, 200)
			is.Equal(b.plain[0].Body("r1"), int64(length))
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
			b := newBench(t)
			b.use(b.plain)
			if test.full {
				b.relayer.options.Limit = func() int { return 1 }
				b.relayer.running.enter("alpha", 1, 0)
			} else {
				b.placer.checked = redwingshunt.NotRun(redwingshunt.ReasonQueueFull, http.StatusServiceUnavailable, "busy")
			}
			connection, err := net.Dial("tcp", b.server.Listener.Addr().String())
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

// TestPlacesOfAccounts checks which accounts get a place while others hold some.
func TestPlacesOfAccounts(t *testing.T) {
	const limit = 90
	tests := map[string]struct {
		alpha, beta int // requests in flight
		account     redwingshunt.AccountID
		enters      bool
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
				is.True(o.enter("alpha", 1, 0))
			}
			for range test.beta {
				is.True(o.enter("beta", 1, 0))
			}
			is.Equal(o.enter(test.account, 1, limit), test.enters)
			if test.enters {
				o.leave(test.account, 1)
			}
			is.Equal(o.all(), test.alpha+test.beta)
		})
	}
}

// TestFloodsShareAnInstance has two accounts flood an instance at very different
// rates, the first one long before the second. They must hold equal numbers of
// places.
func TestFloodsShareAnInstance(t *testing.T) {
	const (
		limit = 170
		even  = 80 // places of each; a tenth of the places stays free
	)
	is := is.New(t)
	var o occupancy
	for o.enter("alpha", 1, limit) {
	}
	for range 1000 {
		o.leave("alpha", 1) // one request ends
		for range 20 {
			o.enter("beta", 1, limit)
		}
		o.enter("alpha", 1, limit)
		if o.of["beta"] > even {
			o.leave("beta", 1)
		}
	}
	is.True(o.of["alpha"] >= even-freeTimes && o.of["beta"] >= even-freeTimes)
}

// TestFloodLeavesOthersServed checks that a request of one account is served while
// another account floods the instance.
func TestFloodLeavesOthersServed(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.use(b.plain)
	const limit = 18
	b.relayer.options.Limit = func() int { return limit }
	for b.relayer.running.enter("beta", 1, limit) {
	}
	is.Equal(b.ask(t, "/safe/a", nil).status, 200) // of account alpha
	is.True(!b.relayer.running.enter("beta", 1, limit))
}

// TestReturnTimes checks that the values of Retry-After are spread over their range.
func TestReturnTimes(t *testing.T) {
	is := is.New(t)
	seen := redwingshunt.NewSet[string]()
	for _, back := range returnTimes() {
		is.True(back.after >= fullAfter && back.after < fullAfter+fullSpread)
		is.Equal(back.header, []string{retryAfter(back.after)})
		seen.Add(back.header[0])
	}
	is.Equal(len(seen), fullSteps)
}
