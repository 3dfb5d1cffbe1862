package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// runLoad keeps all slots busy for a time. Each request ends 100 ms after it was
// assigned; requests on the failing upstreams are lost. It returns the number of
// requests assigned to each upstream.
func (p *pair) runLoad(d time.Duration, failing ...redwingshunt.UpstreamID) map[redwingshunt.UpstreamID]int {
	counts := map[redwingshunt.UpstreamID]int{}
	for end := p.now.Add(d); p.now.Before(end); {
		p.pass(100 * time.Millisecond)
		for _, ticket := range sortedKeys(p.assigned) {
			id := p.assigned[ticket]
			delete(p.assigned, ticket)
			counts[id]++
			result := redwingshunt.Result{Cost: 10, First: time.Millisecond, Total: 100 * time.Millisecond}
			result.Lost = slices.Contains(failing, id)
			p.toQueue(Released{Ticket: ticket, Result: result})
		}
		for len(p.queue.tickets) < 40 {
			p.tickets++
			p.arrive(p.tickets, "a")
		}
	}
	return counts
}

// newPairOfFour returns a pair with four upstreams of ten slots.
func newPairOfFour() *pair {
	p := newPair(nil)
	for n := range 4 {
		p.announce(redwingshunt.UpstreamID(fmt.Sprintf("u%d", n)), 10)
	}
	return p
}

// TestEjected fails all requests on one of four upstreams. The upstream must be
// ejected, so that it gets at most a twentieth of its usual requests, and its slots
// must not be offered to peers. After its recovery it starts slowly.
func TestEjected(t *testing.T) {
	is := is.New(t)
	p := newPairOfFour()
	p.runLoad(5*time.Second, "u0") // until it is ejected
	counts := p.runLoad(20*time.Second, "u0")
	t.Log("failing:", counts)
	is.True(20*counts["u0"] <= counts["u1"])
	is.Equal(p.owner.Slots(), 30)
	is.Equal(p.health(), map[redwingshunt.UpstreamID]bool{"u0": true, "u1": false, "u2": false, "u3": false})
	for p.owner.Slots() == 30 {
		p.runLoad(100 * time.Millisecond)
	}
	slow := p.runLoad(time.Second)
	is.True(slow["u0"] > 0)
	is.True(4*slow["u0"] <= slow["u1"])
	p.runLoad(20 * time.Second)
	counts = p.runLoad(time.Second)
	t.Log("returned:", slow, counts)
	is.True(10*counts["u0"] >= 9*counts["u1"])
	is.Equal(p.owner.Slots(), 40)
}

// health returns which upstreams are ejected.
func (p *pair) health() map[redwingshunt.UpstreamID]bool {
	ejected := map[redwingshunt.UpstreamID]bool{}
	for _, w := range p.owner.Windows(10) {
		ejected[w.Upstream] = w.Ejected
	}
	return ejected
}

// TestAllFail fails all requests on all upstreams. Half of the upstreams must not be
// ejected, so that requests still run.
func TestAllFail(t *testing.T) {
	is := is.New(t)
	p := newPairOfFour()
	for range 100 {
		p.runLoad(200*time.Millisecond, "u0", "u1", "u2", "u3")
		is.True(p.owner.Slots() >= 20)
	}
	counts := p.runLoad(5*time.Second, "u0", "u1", "u2", "u3")
	t.Log("all fail:", counts)
	is.True(len(counts) >= 2)
	p.runLoad(10 * time.Second)
	is.Equal(len(p.runLoad(time.Second)), 4) // all have returned
}

// TestLeaving lets an upstream leave while it runs requests. An earlier announcement
// of it arrives late, through another instance, and must not bring it back.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	p := newPairOfFour()
	p.runLoad(time.Second)
	p.pass(100 * time.Millisecond)
	running := 0
	for _, id := range p.assigned {
		if id == "u0" {
			running++
		}
	}
	is.Equal(running, 10)
	p.toOwner(UpstreamLeft{ID: "u0"})
	p.announce("u0", 10)
	is.Equal(p.owner.pool.Views()[0].Own, running) // running requests continue
	counts := p.runLoad(5 * time.Second)
	is.Equal(counts["u0"], running) // no new requests
	is.Equal(p.owner.Slots(), 30)
}
