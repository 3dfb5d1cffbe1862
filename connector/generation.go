package connector

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// generation is the pool of connections to one upstream that were opened since
// the previous pool was found silent.
type generation struct {
	connector      *Connector
	address        string
	transport      *http.Transport
	probeTransport *http.Transport // a single connection, for probes only

	mu        sync.Mutex
	flights   map[*flight]struct{}
	checking  bool
	probeLost bool // the probe connection has gone silent
	dead      bool // all connections have, while new ones work
	lastUsed  time.Time
}

// newGeneration returns a generation that has no connections yet.
func newGeneration(c *Connector, address string) *generation {
	g := &generation{
		connector:      c,
		address:        address,
		transport:      c.newTransport(),
		probeTransport: c.newTransport(),
		flights:        make(map[*flight]struct{}),
		lastUsed:       time.Now(),
	}
	g.probeTransport.MaxConnsPerHost = 1
	g.probeTransport.IdleConnTimeout = 0
	return g
}

func (g *generation) add(f *flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.flights[f] = struct{}{}
	g.lastUsed = time.Now()
}

func (g *generation) remove(f *flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.flights, f)
	g.lastUsed = time.Now()
}

// unused reports whether the generation has had no request for a while.
func (g *generation) unused(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.flights) == 0 && now.Sub(g.lastUsed) >= unused
}

// close closes the connections without a request.
func (g *generation) close() {
	g.transport.CloseIdleConnections()
	g.probeTransport.CloseIdleConnections()
}

// check probes the connections and, if they are silent, cancels the requests that
// receive no bytes. Only one check runs at a time.
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
		if f.quietTime(now) >= quietTime {
			f.silent.Store(true)
			f.cancel(ErrSilent)
		}
	}
}

// isSilent reports whether the open connections carry nothing while new ones
// work, and drops the generation in that case. The probe on the open connection
// stays outstanding while a new connection is tried: an upstream that is just
// busy answers both.
func (g *generation) isSilent() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*probeTimeout+probeGrace)
	defer cancel()
	answered := make(chan bool, 1)
	go func() { answered <- !g.probeLost && g.probe(ctx, g.probeTransport) }()
	select {
	case ok := <-answered:
		if ok {
			return false
		}
		answered <- false
	case <-time.After(probeTimeout):
	}
	fresh := g.connector.newTransport()
	defer fresh.CloseIdleConnections()
	freshCtx, cancelFresh := context.WithTimeout(ctx, probeTimeout)
	defer cancelFresh()
	reachable := g.probe(freshCtx, fresh)
	if reachable { // an upstream that was silent may be about to answer the other probe
		defer time.AfterFunc(probeGrace, cancel).Stop()
	}
	if <-answered {
		return false
	}
	g.probeLost = true
	if !reachable {
		return false // the upstream is unreachable; the stall limit applies
	}
	g.connector.drop(g)
	return true
}

// open opens the probe connection.
func (g *generation) open() {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	g.probe(ctx, g.probeTransport)
}

// probe sends a no-op request and reports whether any response came in time.
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
	g.connector.answered.Add(1)
	return true
}
