package connector

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// generation is the connections to one upstream that were opened since the last
// time they were found silent.
type generation struct {
	connector *Connector
	address   string
	transport *http.Transport
	sentinel  *http.Transport // one connection, for probes

	mu       sync.Mutex
	flights  map[*flight]struct{}
	checking bool
	lost     bool // the connection for probes has gone silent
	dead     bool // so have the others, as new ones work
	used     time.Time
}

// newGeneration returns a generation without connections.
func newGeneration(c *Connector, address string) *generation {
	g := &generation{
		connector: c,
		address:   address,
		transport: c.newTransport(),
		sentinel:  c.newTransport(),
		flights:   make(map[*flight]struct{}),
		used:      time.Now(),
	}
	g.sentinel.MaxConnsPerHost = 1
	g.sentinel.IdleConnTimeout = 0
	return g
}

// enter adds a request.
func (g *generation) enter(f *flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.flights[f] = struct{}{}
	g.used = time.Now()
}

// leave removes a request.
func (g *generation) leave(f *flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.flights, f)
	g.used = time.Now()
}

// unused reports whether there was no request for long.
func (g *generation) unused(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.flights) == 0 && now.Sub(g.used) >= unused
}

// close closes the connections that carry no request.
func (g *generation) close() {
	g.transport.CloseIdleConnections()
	g.sentinel.CloseIdleConnections()
}

// check finds out whether the connections are silent, and ends the requests
// that are quiet if so. Only one check runs at a time.
func (g *generation) check() {
	g.mu.Lock()
	busy := g.checking
	dead := g.dead
	g.checking = true
	g.mu.Unlock()
	if busy {
		return
	}
	if !dead {
		dead = g.isSilent()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checking = false
	g.dead = dead
	if !dead {
		return
	}
	now := time.Now()
	for f := range g.flights {
		if f.quiet(now) >= quiet {
			f.silent.Store(true)
			f.cancel(ErrSilent)
		}
	}
}

// isSilent reports whether the open connections carry nothing while new ones
// work, and drops them in that case. The probe on the open connection stays out
// while a new connection is tried, so that an upstream which is merely busy
// answers both.
func (g *generation) isSilent() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*probeWait)
	defer cancel()
	answered := make(chan bool, 1)
	go func() { answered <- !g.lost && g.probe(ctx, g.sentinel) }()
	select {
	case ok := <-answered:
		if ok {
			return false
		}
		answered <- false
	case <-time.After(probeWait):
	}
	fresh := g.connector.newTransport()
	defer fresh.CloseIdleConnections()
	works := g.probe(ctx, fresh)
	if works {
		cancel()
	}
	if <-answered {
		return false
	}
	g.lost = true
	if !works {
		return false // the upstream itself is away; the stall limit applies
	}
	g.connector.drop(g)
	return true
}

// open opens the connection for probes.
func (g *generation) open() {
	ctx, cancel := context.WithTimeout(context.Background(), openWait)
	defer cancel()
	g.probe(ctx, g.sentinel)
}

// probe sends a no-op and reports whether there was any answer in time.
func (g *generation) probe(ctx context.Context, transport *http.Transport) bool {
	g.connector.probes.Add(1)
	request := (&http.Request{
		Method: http.MethodOptions,
		URL:    &url.URL{Scheme: "http", Host: g.address, Opaque: "*"},
		Host:   g.address,
		Header: make(http.Header),
	}).WithContext(ctx)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	g.connector.proven.Add(1)
	return true
}
