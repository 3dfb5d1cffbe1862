package gatherer

// The choice of a gatherer by a router, which replaces one that does not reply before
// membership detects its loss.

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// maxUnanswered is the number of consecutive messages without a reply after which
	// a gatherer is silent. They take less time than loads may be old, and
	// much less than membership needs to detect the loss of an instance.
	maxUnanswered = 6
	// silentRetention is how long a silent gatherer is avoided. Membership has
	// detected the loss of an instance by then.
	silentRetention = 4 * time.Second
)

// Chooser chooses the gatherer of one router. The zero value is ready to use. It is
// used by one goroutine at a time.
type Chooser struct {
	current    redwingshunt.InstanceID
	unanswered int // messages with loads since the last reply
	silent     map[redwingshunt.InstanceID]time.Time
}

// Choose returns the gatherer for the next message, and the one before.
func (c *Chooser) Choose(now time.Time, self redwingshunt.Instance, live []redwingshunt.Instance) (current, before redwingshunt.InstanceID) {
	if c.unanswered >= maxUnanswered {
		if c.silent == nil {
			c.silent = make(map[redwingshunt.InstanceID]time.Time)
		}
		c.silent[c.current] = now
		c.unanswered = 0
	}
	silent := redwingshunt.NewSet[redwingshunt.InstanceID]()
	for id, since := range c.silent {
		if now.Sub(since) >= silentRetention {
			delete(c.silent, id)
			continue
		}
		silent.Add(id)
	}
	before = c.current
	c.current = Of(self, live, silent)
	if c.current != before {
		c.unanswered = 0
	}
	return c.current, before
}

// Sent counts a message with loads to the current gatherer.
func (c *Chooser) Sent() { c.unanswered++ }

// Replied records a reply and reports whether it is from the current gatherer. The
// sum of another one may include the loads of this router.
func (c *Chooser) Replied(from redwingshunt.InstanceID) bool {
	if from != c.current {
		return false
	}
	c.unanswered = 0
	return true
}
