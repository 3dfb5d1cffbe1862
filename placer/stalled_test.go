package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// TestAttemptsThatStallTogetherEjectOnce checks that attempts that stall in one silence
// eject their upstream for baseEjection, and one that was placed after it for twice that.
func TestAttemptsThatStallTogetherEjectOnce(t *testing.T) {
	is := is.New(t)
	c := newCore(1)
	var tickets []uint64
	for range 8 {
		placed, refusal := c.Place(start, placementFor("x"))
		is.True(refusal == nil)
		tickets = append(tickets, placed.Ticket)
	}
	now := start.Add(time.Second)
	for _, ticket := range tickets {
		c.End(now, ticket, redwingshunt.EndStalled)
	}
	_, refusal := c.Place(now.Add(baseEjection-time.Millisecond), placementFor("x"))
	is.True(refusal != nil)
	now = now.Add(baseEjection + time.Millisecond)
	placed, refusal := c.Place(now, placementFor("x"))
	is.True(refusal == nil)
	c.End(now, placed.Ticket, redwingshunt.EndStalled)
	_, refusal = c.Place(now.Add(2*baseEjection-time.Millisecond), placementFor("x"))
	is.True(refusal != nil)
}
