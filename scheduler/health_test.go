package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// serve keeps the slots busy for a time: each request ends 100 ms after it was
// assigned, on an upstream in bad with the loss of the upstream. It returns how
// many each upstream was given.
func (p *pair) serve(d time.Duration, bad ...redwingshunt.UpstreamID) map[redwingshunt.UpstreamID]int {
	given := map[redwingshunt.UpstreamID]int{}
	for end := p.now.Add(d); p.now.Before(end); {
		p.pass(100 * time.Millisecond)
		for _, ticket := range sortedKeys(p.assigned) {
			id := p.assigned[ticket]
			delete(p.assigned, ticket)
			given[id]++
			result := redwingshunt.Result{Cost: 10, First: time.Millisecond, Total: 100 * time.Millisecond}
			result.Lost = slices.Contains(bad, id)
			p.toQueue(Released{Ticket: ticket, Result: result})
		}
		for len(p.queue.tickets) < 40 {
			p.tickets++
			p.arrive(p.tickets, "a")
		}
	}
	return given
}

// newFour returns a pair with four upstreams of ten slots.
func newFour() *pair {
	p := newPair(nil)
	for n := range 4 {
		p.announce(redwingshunt.UpstreamID(fmt.Sprintf("u%d", n)), 10)
	}
	return p
}

// TestEjected fails each request on one of four upstreams. It is left alone, so
// that it fails a twentieth of what it would get at most, and its slots are not
// offered to peers. When it works again, it starts slowly.
func TestEjected(t *testing.T) {
	is := is.New(t)
	p := newFour()
	p.serve(5*time.Second, "u0") // finds out
	given := p.serve(20*time.Second, "u0")
	t.Log("failing:", given)
	is.True(20*given["u0"] <= given["u1"])
	is.Equal(p.owner.Slots(), 30)
	is.Equal(p.health(), map[redwingshunt.UpstreamID]bool{"u0": true, "u1": false, "u2": false, "u3": false})
	for p.owner.Slots() == 30 {
		p.serve(100 * time.Millisecond)
	}
	slow := p.serve(time.Second)
	is.True(slow["u0"] > 0)
	is.True(4*slow["u0"] <= slow["u1"])
	p.serve(20 * time.Second)
	given = p.serve(time.Second)
	t.Log("returned:", slow, given)
	is.True(10*given["u0"] >= 9*given["u1"])
	is.Equal(p.owner.Slots(), 40)
}

// health tells which upstreams are ejected.
func (p *pair) health() map[redwingshunt.UpstreamID]bool {
	ejected := map[redwingshunt.UpstreamID]bool{}
	for _, w := range p.owner.Windows(10) {
		ejected[w.Upstream] = w.Ejected
	}
	return ejected
}

// TestAllFail fails each request everywhere: half of the upstreams stay, and
// requests still run.
func TestAllFail(t *testing.T) {
	is := is.New(t)
	p := newFour()
	for range 100 {
		p.serve(200*time.Millisecond, "u0", "u1", "u2", "u3")
		is.True(p.owner.Slots() >= 20)
	}
	given := p.serve(5*time.Second, "u0", "u1", "u2", "u3")
	t.Log("all fail:", given)
	is.True(len(given) >= 2)
	p.serve(10 * time.Second)
	is.Equal(len(p.serve(time.Second)), 4) // all are back
}

// TestLeaving announces the end of an upstream while it runs requests. An
// announcement from before, through another instance, follows late.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	p := newFour()
	p.serve(time.Second)
	p.pass(100 * time.Millisecond)
	running := 0
	for _, id := range p.assigned {
		if id == "u0" {
			running++
		}
	}
	is.Equal(running, 10)
	p.toOwner(Left{ID: "u0"})
	p.announce("u0", 10)
	is.Equal(p.owner.pool.Views()[0].Own, running) // goes on untouched
	given := p.serve(5 * time.Second)
	is.Equal(given["u0"], running) // nothing new
	is.Equal(p.owner.Slots(), 30)
}
