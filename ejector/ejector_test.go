package ejector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/ejector"
)

var (
	start   = time.Unix(1000, 0)
	lost    = redwingshunt.Result{Lost: true}
	success = redwingshunt.Result{}
)

func key(n int) redwingshunt.UpstreamKey {
	return redwingshunt.UpstreamKey{Service: "assistant", ID: redwingshunt.UpstreamID(fmt.Sprint(n))}
}

func newCore(upstreams int) *ejector.Core {
	c := ejector.New(rand.New(rand.NewPCG(6, 3)))
	for n := range upstreams {
		c.Add(key(n))
	}
	return c
}

func observe(c *ejector.Core, now time.Time, n int, results ...redwingshunt.Result) {
	for _, r := range results {
		c.Observe(now, key(n), r)
	}
}

func TestEjection(t *testing.T) {
	is := is.New(t)
	c := newCore(4)
	observe(c, start, 0, lost, lost, success, lost, lost)
	is.True(c.Eligible(start, key(0))) // not three in a row
	observe(c, start, 0, lost)
	is.Equal(c.Weight(start, key(0)), 0.0)
	back := start.Add(2400 * time.Millisecond)
	is.Equal(c.Weight(back, key(0)), 0.1) // slow start
	is.True(c.Weight(back.Add(5*time.Second), key(0)) > 0.4)
	is.Equal(c.Weight(back.Add(time.Minute), key(0)), 1.0)
	observe(c, back, 0, lost)
	is.True(!c.Eligible(back.Add(3*time.Second), key(0))) // ejected by one loss, and for longer
	c.Leave(key(1))
	is.True(!c.Eligible(start, key(1)))
	c.Add(key(1))
	is.True(c.Eligible(start, key(1)))
}

// TestFloor fails all upstreams one after the other, for services of several sizes,
// and checks that at least half of them stay eligible.
func TestFloor(t *testing.T) {
	is := is.New(t)
	for size := 1; size < 20; size++ {
		c := newCore(size)
		for n := range size {
			observe(c, start, n, lost, lost, lost)
			eligible := 0
			for m := range size {
				if c.Eligible(start, key(m)) {
					eligible++
				}
			}
			is.Equal(eligible, max(size-size/2, size-n-1))
		}
		is.Equal(len(c.Ejected(start)), size/2)
	}
}
