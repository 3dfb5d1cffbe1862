package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// TestPause checks how long an upstream that requests a pause gets no new work.
func TestPause(t *testing.T) {
	tests := map[string]struct {
		pause time.Duration
		then  func(states []redwingshunt.UpstreamState) []redwingshunt.UpstreamState // what is announced in between
		at    time.Duration
		taken bool
	}{
		"not requested":       {0, nil, 0, true},
		"before the end":      {2 * time.Second, nil, 1900 * time.Millisecond, false},
		"after the end":       {2 * time.Second, nil, 2100 * time.Millisecond, true},
		"too long, in effect": {24 * time.Hour, nil, 9 * time.Minute, false},
		"too long, limited":   {24 * time.Hour, nil, 11 * time.Minute, true},
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
			placed, refusal := c.Place(start, placementFor("x"))
			is.True(refusal == nil)
			other, refusal := c.Place(start, placementFor("y"))
			is.True(refusal == nil)
			c.Pause(start, placed.Ticket, test.pause)
			c.End(start, placed.Ticket, redwingshunt.EndRefused)
			is.Equal(c.StillValid(start, other.Ticket), test.pause == 0) // applies to an attempt that is not sent yet
			if test.then != nil {
				states := test.then(engines(1, "north"))
				c.SetUpstreams(nil)
				c.SetUpstreams(states)
			}
			for attempt := 1; attempt <= 2; attempt++ { // a retry is refused too
				p := placementFor("z")
				p.Attempt = attempt
				_, refusal = c.Place(start.Add(test.at), p)
				is.Equal(refusal == nil, test.taken)
			}
			if refusal != nil {
				is.Equal(refusal.Reason, redwingshunt.ReasonNoUpstream)
				is.True(refusal.After > 0 && refusal.After <= max(test.pause-test.at, noUpstreamRetryAfter))
			}
		})
	}
}

// TestPauseElsewhere checks that requests go to another upstream during a pause.
func TestPauseElsewhere(t *testing.T) {
	is := is.New(t)
	c := newCore(2)
	placed, _ := c.Place(start, placementFor("x"))
	c.Pause(start, placed.Ticket, time.Minute)
	c.End(start, placed.Ticket, redwingshunt.EndRefused)
	for range 20 {
		next, refusal := c.Place(start.Add(time.Second), placementFor("x"))
		is.True(refusal == nil)
		is.True(next.Upstream.ID != placed.Upstream.ID)
	}
}

// TestStillValid checks which changes keep a placed attempt from being sent.
func TestStillValid(t *testing.T) {
	tests := map[string]struct {
		change func(c *Core, ticket uint64)
		at     time.Duration
		want   bool
	}{
		"at once":               {func(*Core, uint64) {}, 0, true},
		"after a slow connect":  {func(*Core, uint64) {}, 700 * time.Millisecond, true},
		"after a suspension":    {func(*Core, uint64) {}, 3 * time.Second, false},
		"ended":                 {func(c *Core, ticket uint64) { c.End(start, ticket, redwingshunt.EndLeft) }, 0, false},
		"upstream left":         {func(c *Core, _ uint64) { c.SetUpstreams(nil) }, 0, false},
		"upstream restarted":    {func(c *Core, _ uint64) { restart(c) }, 0, false},
		"nothing new announced": {func(c *Core, _ uint64) { c.SetUpstreams(engines(1, "north")) }, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCore(1)
			placed, _ := c.Place(start, placementFor("x"))
			test.change(c, placed.Ticket)
			is.Equal(c.StillValid(start.Add(test.at), placed.Ticket), test.want)
		})
	}
}

func restart(c *Core) {
	states := engines(1, "north")
	states[0].Born = start.Add(time.Minute)
	c.SetUpstreams(states)
}
