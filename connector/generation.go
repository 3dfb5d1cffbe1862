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

	ctx         context.Context // until close
	cancel      context.CancelFunc
	outstanding *openProbe // the last one; used by isSilent only

	mu       sync.Mutex
	flights  map[*flight]struct{}
	checking bool
	dead     bool // all connections have gone silent, while new ones work
	lastUsed time.Time
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
	g.ctx, g.cancel = context.WithCancel(context.Background())
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

// close closes the connections without a request and ends the probe.
func (g *generation) close() {
	g.cancel()
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
// stays outstanding while a new connection is tried, and until the next check if that
// one does not work either: an upstream that was silent answers both when it goes on.
func (g *generation) isSilent() bool {
	if g.outstanding == nil || g.outstanding.isAnswered() {
		g.outstanding = g.startProbe()
	}
	open := g.outstanding
	open.wait(probeTimeout)
	if open.isAnswered() {
		return false
	}
	fresh := g.connector.newTransport()
	defer fresh.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if !g.probe(ctx, fresh) {
		return false // the upstream is unreachable; the stall limit applies
	}
	open.wait(probeGrace) // an upstream that was silent may be about to answer it
	if open.isAnswered() || g.ctx.Err() != nil {
		return false
	}
	g.connector.drop(g)
	return true
}

// openProbe is a probe on the connection that is kept for probes.
type openProbe struct {
	done     chan struct{} // closed once answered is set
	answered bool
}

// startProbe sends a probe that ends with the generation at the latest.
func (g *generation) startProbe() *openProbe {
	p := &openProbe{done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.answered = g.probe(g.ctx, g.probeTransport)
	}()
	return p
}

// wait returns once the probe has ended, or after a timeout.
func (p *openProbe) wait(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
	}
}

// isAnswered reports whether the probe has been answered.
func (p *openProbe) isAnswered() bool {
	select {
	case <-p.done:
		return p.answered
	default:
		return false
	}
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
