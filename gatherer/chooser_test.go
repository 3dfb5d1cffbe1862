package gatherer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// TestSilentGathererIsAvoided checks when a router leaves a gatherer that does not
// reply, and that it tries it again.
func TestSilentGathererIsAvoided(t *testing.T) {
	is := is.New(t)
	self := redwingshunt.Instance{ID: "r", Region: "north", Zone: "a"}
	near := redwingshunt.Instance{ID: "k1", Region: "north", Zone: "a", Voter: true}
	far := redwingshunt.Instance{ID: "k2", Region: "north", Zone: "b", Voter: true}
	live := []redwingshunt.Instance{near, far, self}
	var c Chooser
	now := start
	choose := func() redwingshunt.InstanceID {
		current, _ := c.Choose(now, self, live)
		now = now.Add(Period)
		c.Sent()
		return current
	}
	for range maxUnanswered {
		is.Equal(choose(), near.ID)
	}
	is.Equal(choose(), far.ID)
	is.True(!c.Replied(near.ID)) // late
	is.True(c.Replied(far.ID))
	for range int(silentRetention/Period) - 1 {
		is.Equal(choose(), far.ID)
		is.True(c.Replied(far.ID))
	}
	is.Equal(choose(), near.ID)
	for range 2 * maxUnanswered { // replies keep it
		is.True(c.Replied(near.ID))
		is.Equal(choose(), near.ID)
	}
}
