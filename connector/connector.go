// Package connector pools connections to upstreams and detects connections that
// have gone silent.
//
// A device between the two ends, such as a NAT or a firewall, may lose the state
// of open connections: they carry no more packets, while new ones work. A request
// on such a connection gets neither a response nor an error. Each upstream
// therefore has one more connection, as old as the others, that carries only
// probes (OPTIONS *, which RFC 9110 defines as a no-op). A request that has
// received no byte for a while triggers a probe:
//
//	0 ms    request sent on an open connection
//	300 ms  no byte received: probe on the connection kept for probes
//	500 ms  no response: probe on a new connection
//	502 ms  response on the new connection
//	602 ms  still none on the open one, so the open ones are silent: drop them all
//	        and end the requests on them that receive nothing with ErrSilent; they
//	        can be retried
//
// A probe connection that was opened after the others went silent proves nothing;
// the stall limit of the service then applies to the requests on them. When the
// first probe is answered, the request is just slow. The next probe follows when
// it has received nothing for twice as long. If neither probe is answered, the first one
// stays outstanding, since an upstream that goes on answers it.
//
// # Usage
//
//	c := connector.New(connector.Options{Dial: dialer.DialContext})
//	response, err := c.RoundTrip(request)
//	if errors.Is(err, connector.ErrSilent) {
//		// the connection failed, not the upstream
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

// ErrSilent is the error of a request whose connection has gone silent.
var ErrSilent = errors.New("the connection to the upstream has gone silent")

const (
	// quietTime is how long a request may receive no byte before the first check of
	// its connection.
	quietTime = 300 * time.Millisecond
	// maxCheckInterval bounds the time between two checks.
	maxCheckInterval = 4 * time.Second
	// probeTimeout is how long a probe may take before a new connection is tried.
	probeTimeout = 200 * time.Millisecond
	// probeGrace is how much longer than a new connection an open one may take to
	// answer a probe.
	probeGrace  = 100 * time.Millisecond
	openTimeout = time.Second // of the connection for probes
	// idleTimeout is how long a connection without a request is kept open.
	idleTimeout = 20 * time.Second
	// unused is how long the state of an upstream without requests is kept.
	unused = time.Minute
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 64
	maxHeaderBytes     = 64 << 10 // of a response
)

// Options configure a Connector.
type Options struct {
	// Dial opens connections; nil means a net.Dialer without a timeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Connector is an http.RoundTripper. It is safe for concurrent use.
type Connector struct {
	options  Options
	dropped  atomic.Uint64 // generations dropped as silent
	probes   atomic.Uint64 // probes sent
	answered atomic.Uint64 // probes answered

	mu          sync.Mutex
	generations map[string]*generation // by address
	lastSweep   time.Time
}

// New returns a connector that has no connections yet.
func New(options Options) *Connector {
	return &Connector{options: options, generations: make(map[string]*generation)}
}

// RoundTrip sends a request on an open connection or on a new one. The caller
// must close the body of the response. The error wraps ErrSilent when the
// connection has gone silent.
func (c *Connector) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	f := &flight{generation: c.generation(request.URL.Host), cancel: cancel}
	f.progress()
	f.timer = time.AfterFunc(quietTime, f.check)
	f.timer.Reset(quietTime)
	f.generation.add(f)
	response, err := f.generation.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, f.end(err)
	}
	f.progress()
	response.Body = &body{reader: response.Body, flight: f}
	return response, nil
}

// generation returns the current generation of an address.
func (c *Connector) generation(address string) *generation {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep()
	g := c.generations[address]
	if g == nil {
		g = newGeneration(c, address)
		c.generations[address] = g
		go g.open()
	}
	return g
}

// drop removes a silent generation; the next request opens a new connection.
func (c *Connector) drop(g *generation) {
	c.mu.Lock()
	if c.generations[g.address] == g {
		delete(c.generations, g.address)
	}
	c.mu.Unlock()
	c.dropped.Add(1)
	g.close()
}

// sweep removes the generations of unused upstreams.
func (c *Connector) sweep() {
	now := time.Now()
	if now.Sub(c.lastSweep) < unused {
		return
	}
	c.lastSweep = now
	for address, g := range c.generations {
		if g.unused(now) {
			delete(c.generations, address)
			g.close()
		}
	}
}

// CloseIdleConnections closes the connections without a request.
func (c *Connector) CloseIdleConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, g := range c.generations {
		delete(c.generations, address)
		g.close()
	}
}

// state is the result of Dump.
type state struct {
	Upstreams int    `json:"upstreams"`
	Silent    uint64 `json:"silent"`   // generations dropped as silent
	Probes    uint64 `json:"probes"`   // probes sent
	Answered  uint64 `json:"answered"` // probes answered
}

// Dump implements redwingshunt.Dumper.
func (c *Connector) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return state{Upstreams: len(c.generations), Silent: c.dropped.Load(), Probes: c.probes.Load(), Answered: c.answered.Load()}
}

// newTransport returns a transport that ignores proxy settings.
func (c *Connector) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            c.options.Dial,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
