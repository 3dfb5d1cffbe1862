package claimer

import (
	"cmp"
	"slices"

	"github.com/redwingshunt/redwingshunt"
)

// maxClocks bounds the proposers whose clocks a group tracks.
const maxClocks = 1024

// clock derives the time of a group from the clocks that commands carry. The
// time is the second newest clock, so that a single proposer whose clock is far
// ahead does not expire claims early. With only one proposer, its clock is used.
//
//	a: 12:00, b: 12:01, c: 23:00; the time of the group is 12:01
type clock struct {
	now       int64 // Unix milliseconds; never decreases
	proposers map[redwingshunt.InstanceID]proposer
}

// proposer is the newest incarnation and clock of one instance.
type proposer struct {
	incarnation redwingshunt.Incarnation
	time        int64 // Unix milliseconds
}

// observe updates the time of the group with the clock of a proposer.
func (c *clock) observe(id redwingshunt.InstanceID, incarnation redwingshunt.Incarnation, time int64) {
	p := c.proposers[id]
	if incarnation > p.incarnation {
		// The restart may have corrected the clock, so earlier readings are
		// discarded.
		p = proposer{incarnation: incarnation, time: time}
	}
	p.time = max(p.time, time)
	c.proposers[id] = p
	c.evictOldest()
	c.now = max(c.now, c.secondNewest())
}

// secondNewest returns the second newest clock, or the only one.
func (c *clock) secondNewest() int64 {
	var newest, secondNewest int64
	for _, p := range c.proposers {
		if p.time > newest {
			newest, secondNewest = p.time, newest
			continue
		}
		secondNewest = max(secondNewest, p.time)
	}
	if len(c.proposers) == 1 {
		return newest
	}
	return secondNewest
}

// newest returns the newest clock, at least the time of the group.
func (c *clock) newest() int64 {
	newest := c.now
	for _, p := range c.proposers {
		newest = max(newest, p.time)
	}
	return newest
}

// evictOldest removes the proposer with the oldest clock when there are more
// than maxClocks.
func (c *clock) evictOldest() {
	if len(c.proposers) <= maxClocks {
		return
	}
	ids := c.instances()
	oldest := slices.MinFunc(ids, func(a, b redwingshunt.InstanceID) int {
		return cmp.Or(cmp.Compare(c.proposers[a].time, c.proposers[b].time), cmp.Compare(a, b))
	})
	delete(c.proposers, oldest)
}

// instances returns the proposers, sorted.
func (c *clock) instances() []redwingshunt.InstanceID {
	ids := make([]redwingshunt.InstanceID, 0, len(c.proposers))
	for id := range c.proposers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
