// Package connector keeps connections to upstreams and finds out when they have
// gone silent.
//
// Something between two ends may lose track of open connections, so that they
// carry nothing more while new ones work. A request on such a connection gets
// neither an answer nor an error. Beside the connections of an upstream there
// is therefore one more, as old as they are, which carries nothing but probes
// (OPTIONS *, which RFC 9110 defines as a no-op). When a request has been quiet
// for a while, the probe is asked:
//
//	0 ms    request sent on an open connection
//	300 ms  no byte came: probe on the open connection kept for that
//	500 ms  no answer: probe on a new connection
//	502 ms  that one answers, so the open ones are silent: drop them all, and end
//	        the quiet requests with ErrSilent, to be sent again
//
// A connection for probes that was opened after the others went silent proves
// nothing, and the stall limit of the service applies to their requests.
// When the first probe answers, the request is merely slow, and is asked about
// again after twice the time.
//
// # Usage
//
//	c := connector.New(connector.Options{Dial: dialer.DialContext})
//	response, err := c.RoundTrip(request)
//	if errors.Is(err, connector.ErrSilent) {
//		// the connection, not the upstream, failed
//	}
package connector

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ErrSilent ends a request whose connection has gone silent.
var ErrSilent = errors.New("the connection to the upstream has gone silent")

const (
	// quiet is how long a request may be without a byte before it is asked
	// about; maxQuiet bounds the time between two questions.
	quiet    = 300 * time.Millisecond
	maxQuiet = 4 * time.Second
	// probeWait is how long a probe may take before a new connection is tried.
	probeWait = 200 * time.Millisecond
	// openWait is how long opening the connection for probes may take.
	openWait = time.Second
	// idle is how long a connection is kept without use.
	idle = 20 * time.Second
	// unused is how long an upstream is remembered without requests.
	unused = time.Minute
	// idlePerUpstream bounds the open connections kept to one upstream.
	idlePerUpstream = 64
	headerLimit     = 64 << 10 // bytes of an answer's header
)

// Options configure a Connector.
type Options struct {
	// Dial opens connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Connector is an http.RoundTripper. It is safe for concurrent use.
type Connector struct {
	options Options
	silent  atomic.Uint64 // generations dropped
	probes  atomic.Uint64
	proven  atomic.Uint64 // probes that were answered

	mu    sync.Mutex
	paths map[string]*generation // by address
	swept time.Time
}

// New returns a connector without connections.
func New(options Options) *Connector {
	return &Connector{options: options, paths: make(map[string]*generation)}
}

// RoundTrip sends a request on an open connection or on a new one. The body of
// the response has to be closed.
func (c *Connector) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	f := &flight{generation: c.generation(request.URL.Host), cancel: cancel}
	f.progress()
	f.watch = time.AfterFunc(quiet, f.check)
	f.watch.Reset(quiet)
	f.generation.enter(f)
	response, err := f.generation.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, f.end(err)
	}
	f.progress()
	response.Body = &body{reader: response.Body, flight: f}
	return response, nil
}

// generation returns the connections to an address.
func (c *Connector) generation(address string) *generation {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep()
	g := c.paths[address]
	if g == nil {
		g = newGeneration(c, address)
		c.paths[address] = g
		go g.open()
	}
	return g
}

// drop makes the next request to an address open a new connection.
func (c *Connector) drop(g *generation) {
	c.mu.Lock()
	if c.paths[g.address] == g {
		delete(c.paths, g.address)
	}
	c.mu.Unlock()
	c.silent.Add(1)
	g.close()
}

// sweep forgets upstreams without requests.
func (c *Connector) sweep() {
	now := time.Now()
	if now.Sub(c.swept) < unused {
		return
	}
	c.swept = now
	for address, g := range c.paths {
		if g.unused(now) {
			delete(c.paths, address)
			g.close()
		}
	}
}

// CloseIdleConnections closes the connections that carry no request.
func (c *Connector) CloseIdleConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, g := range c.paths {
		delete(c.paths, address)
		g.close()
	}
}

// state is what Dump shows.
type state struct {
	Upstreams int    `json:"upstreams"`
	Silent    uint64 `json:"silent"` // times that open connections were silent
	Probes    uint64 `json:"probes"`
	Answered  uint64 `json:"answered"` // probes
}

// Dump implements redwingshunt.Dumper.
func (c *Connector) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return state{Upstreams: len(c.paths), Silent: c.silent.Load(), Probes: c.probes.Load(), Answered: c.proven.Load()}
}

// newTransport returns a transport that follows no proxy settings.
func (c *Connector) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            c.options.Dial,
		DisableCompression:     true,
		IdleConnTimeout:        idle,
		MaxIdleConnsPerHost:    idlePerUpstream,
		MaxResponseHeaderBytes: headerLimit,
	}
}
