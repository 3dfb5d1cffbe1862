package claimer

import (
	"cmp"
	"slices"

	"github.com/redwingshunt/redwingshunt"
)

// maxClocks bounds the proposers that a group remembers.
const maxClocks = 1024

// clock derives the time of a group from the clocks that commands carry. The
// time is the second newest clock, so that one proposer with a clock far ahead
// forgets no claim. A group with one proposer follows that one.
//
//	a says 12:00, b says 12:01, c says 23:00: the time is 12:01
type clock struct {
	now  int64 // Unix milliseconds; never goes back
	last map[redwingshunt.InstanceID]proposer
}

// proposer is the newest that one instance told.
type proposer struct {
	incarnation redwingshunt.Incarnation
	time        int64 // Unix milliseconds
}

// observe takes the clock of a proposer in.
func (c *clock) observe(id redwingshunt.InstanceID, incarnation redwingshunt.Incarnation, time int64) {
	p := c.last[id]
	if incarnation > p.incarnation {
		// A restart may have corrected the clock.
		p = proposer{incarnation: incarnation, time: time}
	}
	p.time = max(p.time, time)
	c.last[id] = p
	c.trim()
	c.now = max(c.now, c.second())
}

// second returns the second newest clock, or the only one.
func (c *clock) second() int64 {
	var newest, second int64
	for _, p := range c.last {
		if p.time > newest {
			newest, second = p.time, newest
			continue
		}
		second = max(second, p.time)
	}
	if len(c.last) == 1 {
		return newest
	}
	return second
}

// newest returns the newest clock of all.
func (c *clock) newest() int64 {
	newest := c.now
	for _, p := range c.last {
		newest = max(newest, p.time)
	}
	return newest
}

// trim forgets the proposer that has been silent for longest.
func (c *clock) trim() {
	if len(c.last) <= maxClocks {
		return
	}
	ids := c.instances()
	oldest := slices.MinFunc(ids, func(a, b redwingshunt.InstanceID) int {
		return cmp.Or(cmp.Compare(c.last[a].time, c.last[b].time), cmp.Compare(a, b))
	})
	delete(c.last, oldest)
}

// instances returns the proposers in order.
func (c *clock) instances() []redwingshunt.InstanceID {
	ids := make([]redwingshunt.InstanceID, 0, len(c.last))
	for id := range c.last {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
