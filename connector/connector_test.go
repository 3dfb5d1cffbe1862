package connector_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt/connector"
)

// network dials connections and can make all open ones silent.
type network struct {
	mu   sync.Mutex
	open []*conn
}

type conn struct {
	net.Conn
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (n *network) dial(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open = append(n.open, c)
	return c, nil
}

func (n *network) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.open {
		c.silent.Store(true)
	}
}

// Read drops what arrives on a silent connection and blocks until it is closed.
func (c *conn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return count, err
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// awaitProbes returns once the given number of probes was answered.
func awaitProbes(c *connector.Connector, answered int) {
	for !strings.Contains(fmt.Sprintf("%+v", c.Dump()), fmt.Sprintf("Answered:%d", answered)) {
		runtime.Gosched()
	}
}

func get(ctx context.Context, c *connector.Connector, url string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	response, err := c.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// TestSilentConnections makes several pooled connections silent, twice in a row.
// The first request on one of them ends with ErrSilent; the next one is served,
// on a new connection.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	var barrier sync.WaitGroup
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			barrier.Done()
			barrier.Wait()
		}
		_, _ = w.Write([]byte("hello"))
	}))
	defer upstream.Close()
	n := &network{}
	c := connector.New(connector.Options{Dial: n.dial})
	defer c.CloseIdleConnections()
	for round := range 2 {
		const pool = 4
		barrier.Add(pool)
		var wait sync.WaitGroup
		for range pool {
			wait.Go(func() { _, _ = get(t.Context(), c, upstream.URL+"/together") })
		}
		wait.Wait()
		awaitProbes(c, 1+2*round) // one opens each probe connection, one more detects each silence
		n.silence()
		_, err := get(t.Context(), c, upstream.URL)
		is.True(errors.Is(err, connector.ErrSilent))
		for range pool {
			text, err := get(t.Context(), c, upstream.URL)
			is.NoErr(err) // the other silent connections are not used
			is.Equal(text, "hello")
		}
	}
}

// TestSilentStream makes the connection silent in the middle of a response.
func TestSilentStream(t *testing.T) {
	is := is.New(t)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("first\n"))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer upstream.Close()
	n := &network{}
	c := connector.New(connector.Options{Dial: n.dial})
	defer c.CloseIdleConnections()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, upstream.URL, nil)
	is.NoErr(err)
	response, err := c.RoundTrip(request)
	is.NoErr(err)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "first\n")
	awaitProbes(c, 1)
	n.silence()
	_, err = reader.ReadString('\n')
	is.True(errors.Is(err, connector.ErrSilent))
}

// TestSlowUpstream has an upstream respond only after it received a probe. The
// probe must not end the request.
func TestSlowUpstream(t *testing.T) {
	is := is.New(t)
	var probes atomic.Int64
	probed := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-probed
		_, _ = w.Write([]byte("late"))
	})
	upstream := httptest.NewUnstartedServer(handler)
	upstream.Config.DisableGeneralOptionsHandler = true
	upstream.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodOptions {
			handler(w, r)
			return
		}
		if probes.Add(1) == 2 { // the first one opens the probe connection
			close(probed)
		}
	})
	upstream.Start()
	defer upstream.Close()
	c := connector.New(connector.Options{Dial: (&net.Dialer{}).DialContext})
	defer c.CloseIdleConnections()
	text, err := get(t.Context(), c, upstream.URL)
	is.NoErr(err)
	is.True(strings.HasPrefix(text, "late"))
}

// TestUpstreamThatGoesOnIsNotSilent guards against a request that ends since an upstream,
// silent for a while, answered on a new connection a moment sooner than on the open ones.
func TestUpstreamThatGoesOnIsNotSilent(t *testing.T) {
	const moment = 30 * time.Millisecond
	is := is.New(t)
	var probes atomic.Int64
	goesOn := make(chan struct{})
	upstream := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodOptions {
			switch probes.Add(1) {
			case 1: // opens the probe connection
				return
			case 3: // on a new connection
				close(goesOn)
				return
			}
		}
		<-goesOn
		time.Sleep(moment)
		if r.Method != http.MethodOptions {
			time.Sleep(moment)
			_, _ = w.Write([]byte("late"))
		}
	}))
	upstream.Config.DisableGeneralOptionsHandler = true
	upstream.Start()
	defer upstream.Close()
	c := connector.New(connector.Options{Dial: (&net.Dialer{}).DialContext})
	defer c.CloseIdleConnections()
	text, err := get(t.Context(), c, upstream.URL)
	is.NoErr(err)
	is.Equal(text, "late")
}

// BenchmarkSilent measures the time to serve the next request after the open
// connections have gone silent.
func BenchmarkSilent(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer upstream.Close()
	n := &network{}
	c := connector.New(connector.Options{Dial: n.dial})
	for i := 0; b.Loop(); i++ {
		_, _ = get(b.Context(), c, upstream.URL)
		awaitProbes(c, 1+2*i)
		n.silence()
		if _, err := get(b.Context(), c, upstream.URL); err != nil {
			_, _ = get(b.Context(), c, upstream.URL)
		}
	}
}
