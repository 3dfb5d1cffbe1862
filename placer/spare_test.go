package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// TestSpare has an upstream ask for a pause while many requests come.
func TestSpare(t *testing.T) {
	tests := map[string]struct {
		pause time.Duration
		then  func(states []redwingshunt.UpstreamState) []redwingshunt.UpstreamState // what is announced meanwhile
		at    time.Duration
		taken bool
	}{
		"none asked":          {0, nil, 0, true},
		"within":              {2 * time.Second, nil, 1900 * time.Millisecond, false},
		"over":                {2 * time.Second, nil, 2100 * time.Millisecond, true},
		"absurd, still held":  {24 * time.Hour, nil, 9 * time.Minute, false},
		"absurd, but bounded": {24 * time.Hour, nil, 11 * time.Minute, true},
		"not announced in between": {2 * time.Second, func(states []redwingshunt.UpstreamState) []redwingshunt.UpstreamState {
			return states
		}, time.Second, false},
		"another incarnation": {2 * time.Second, func(states []redwingshunt.UpstreamState) []redwingshunt.UpstreamState {
			states[0].Born = states[0].Born.Add(time.Second)
			return states
		}, time.Second, true},
		"address given to another": {2 * time.Second, func(states []redwingshunt.UpstreamState) []redwingshunt.UpstreamState {
			states[0].ID = "novel"
			return states
		}, time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCore(1)
			placed, refusal := c.Place(begin, about("x"))
			is.True(refusal == nil)
			other, refusal := c.Place(begin, about("y"))
			is.True(refusal == nil)
			c.Spare(begin, placed.Ticket, test.pause)
			c.End(begin, placed.Ticket, redwingshunt.EndRefused)
			is.Equal(c.Holds(begin, other.Ticket), test.pause == 0) // also what is under way
			if test.then != nil {
				states := test.then(engines(1, "north"))
				c.SetUpstreams(nil)
				c.SetUpstreams(states)
			}
			for attempt := 1; attempt <= 2; attempt++ { // a repeat too
				p := about("z")
				p.Attempt = attempt
				_, refusal = c.Place(begin.Add(test.at), p)
				is.Equal(refusal == nil, test.taken)
			}
			if refusal != nil {
				is.Equal(refusal.Reason, redwingshunt.ReasonNoUpstream)
				is.True(refusal.After > 0 && refusal.After <= max(test.pause-test.at, noUpstreamAfter))
			}
		})
	}
}

// TestSpareElsewhere sends requests to another upstream at once.
func TestSpareElsewhere(t *testing.T) {
	is := is.New(t)
	c := newCore(2)
	placed, _ := c.Place(begin, about("x"))
	c.Spare(begin, placed.Ticket, time.Minute)
	c.End(begin, placed.Ticket, redwingshunt.EndRefused)
	for range 20 {
		next, refusal := c.Place(begin.Add(time.Second), about("x"))
		is.True(refusal == nil)
		is.True(next.Upstream.ID != placed.Upstream.ID)
	}
}

// TestHolds looks at choices that were made before something changed.
func TestHolds(t *testing.T) {
	tests := map[string]struct {
		change func(c *Core, ticket uint64)
		at     time.Duration
		want   bool
	}{
		"at once":               {func(*Core, uint64) {}, 0, true},
		"after a connection":    {func(*Core, uint64) {}, 700 * time.Millisecond, true},
		"after a pause":         {func(*Core, uint64) {}, 3 * time.Second, false},
		"ended":                 {func(c *Core, ticket uint64) { c.End(begin, ticket, redwingshunt.EndLeft) }, 0, false},
		"upstream left":         {func(c *Core, _ uint64) { c.SetUpstreams(nil) }, 0, false},
		"upstream begins anew":  {func(c *Core, _ uint64) { renew(c) }, 0, false},
		"nothing new announced": {func(c *Core, _ uint64) { c.SetUpstreams(engines(1, "north")) }, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCore(1)
			placed, _ := c.Place(begin, about("x"))
			test.change(c, placed.Ticket)
			is.Equal(c.Holds(begin.Add(test.at), placed.Ticket), test.want)
		})
	}
}

func renew(c *Core) {
	states := engines(1, "north")
	states[0].Born = begin.Add(time.Minute)
	c.SetUpstreams(states)
}
