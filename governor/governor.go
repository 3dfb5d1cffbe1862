// Package governor decides how many requests an instance serves at once. It
// answers the load of an instance to which a balancer sends more than its
// processor carries: without a bound everything there is late, the end of a
// caller's connection and changes of the configuration included, while other
// instances have room.
//
// There are three measures: how late the timers of the instance fire, how long
// events of its network wait, and how many callers had gone before their requests
// were read, since connections wait where neither shows it. While one is high the
// bound falls by a part of the requests that run, which leaves time to refuse the
// others at once; while all are low and the bound is reached it rises slowly.
// Without trouble the bound is that of memory, and the governor does nothing.
//
// A bound alone leaves callers at an instance that refuses them, while others have
// room: a balancer that keeps a caller at one instance sends it there again and
// again. An overloaded instance, which refuses at its bound, does not carry its
// requests or takes no more connections, therefore withdraws from the balancer's
// rotation for a while. Open connections are served on. Between two withdrawals it
// is ready for a moment at least, so that a fleet of which all instances are
// overloaded stays reachable.
//
// The core reads no clock; the shell tells it how late its timer was.
//
// # Usage
//
//	core := governor.New(most)
//	timer.Reset(governor.Period) // again and again
//	change := core.Observe(governor.Sample{Late: late, Running: running, Ended: ended, Abandoned: abandoned})
//	if running >= core.Limit() { /* refuse: other instances have room */ }
package governor

import (
	"math"
	"time"
)

const (
	// Period is how often the shell's timer is due. A few periods have to fit in
	// the time within which a caller's end is passed on.
	Period = 50 * time.Millisecond
	// lateHigh is the smoothed lateness above which the bound falls. Ten times
	// that is the half second within which a caller's end is passed on.
	lateHigh = 50 * time.Millisecond
	// lateLow is the smoothed lateness below which the bound may rise.
	lateLow = 15 * time.Millisecond
	// lateMost bounds one observation: an instance that was stopped for seconds
	// and goes on is not in trouble for that.
	lateMost = 500 * time.Millisecond
	// abandonedHigh is the smoothed part of the requests whose callers had gone
	// before they were read, above which the bound falls. Callers wait a second,
	// so each of them tells of a wait twice as long as what is allowed.
	abandonedHigh = 0.03
	// abandonedLow is the part below which the bound may rise.
	abandonedLow = 0.01
	// smoothing is the time over which lateness is averaged: one late timer, as
	// by the collection of garbage, is no trouble.
	smoothing = 250 * time.Millisecond
	// fall is the part of the bound that one reduction leaves. Requests that run
	// go on, so a reduction shows only when some of them have ended.
	fall = 0.85
	// fallPause is the least time between two reductions.
	fallPause = 4 * Period
	// rise is the part of the bound that is added in a second on time.
	rise = 0.1
	// latePrompt is the smoothed lateness below which there is much room, and the
	// bound rises by promptRise requests in a second besides.
	latePrompt = 3 * time.Millisecond
	promptRise = 40
	// least requests are served in any case, and leastPart of the bound of memory:
	// below that the processor is busy with refusals, and fewer requests would not
	// make it prompt.
	least     = 8
	leastPart = 0.1
	// withdrawAfter is how long an instance is overloaded before it withdraws.
	withdrawAfter = 200 * time.Millisecond
	// withdrawnLeast is how long it stays withdrawn at least; balancers take two
	// seconds to notice, and the next instance is to take callers over meanwhile.
	withdrawnLeast = 6 * time.Second
	// withdrawnMost bounds a withdrawal.
	withdrawnMost = 8 * time.Second
	// readyLeast is how long it is ready between two withdrawals.
	readyLeast = time.Second
	// calmAfter is how long it was not overloaded before a withdrawal ends.
	calmAfter = 500 * time.Millisecond
)

// Change tells what an observation has changed.
type Change uint8

// The changes of the bound that are worth telling.
const (
	None     Change = iota
	Lowered         // the processor does not carry the requests; the bound is below that of memory
	Restored        // the bound is that of memory again
)

// Sample is what the shell saw since its last one.
type Sample struct {
	Late      time.Duration // of the timer
	Network   time.Duration // that its events wait
	Running   int           // requests at this moment
	Ended     int           // requests, refused ones included
	Abandoned int           // of them, whose callers had gone before they were read
	Refused   int           // of them, at the bound
	Shut      bool          // as many connections are open as there may be
}

// Core is the state of one instance. It is used by one goroutine at a time.
type Core struct {
	most      float64 // by memory
	limit     float64
	late      float64 // seconds, smoothed
	ended     float64 // requests, smoothed
	abandoned float64 // of ended
	fellAgo   time.Duration
	withdrawn bool
	turn      time.Duration // since it withdrew or returned
	loaded    time.Duration // for which it has been overloaded
	calm      time.Duration // since it was overloaded
}

// New returns a core with the bound of memory; zero is unlimited.
func New(most int) *Core {
	c := &Core{most: float64(most)}
	if most == 0 {
		c.most = unlimited
	}
	c.limit = c.most
	c.turn = readyLeast
	return c
}

const (
	// unlimited stands for no bound; it is far beyond what an instance can hold.
	unlimited = 1 << 30
	// mostKnown stands for the bound of memory where there is none.
	mostKnown = 800
)

// Limit returns the bound.
func (c *Core) Limit() int { return int(c.limit) }

// Late returns the smoothed lateness.
func (c *Core) Late() time.Duration { return time.Duration(c.late * float64(time.Second)) }

// Abandoned returns the smoothed part of the requests whose callers had gone
// before they were read.
func (c *Core) Abandoned() float64 {
	if c.ended < 1 {
		return 0 // too few to tell
	}
	return c.abandoned / c.ended
}

// Withdrawn reports whether a balancer should send new connections elsewhere.
func (c *Core) Withdrawn() bool { return c.withdrawn }

// withdraw begins or ends a withdrawal.
func (c *Core) withdraw(s Sample, elapsed time.Duration) {
	c.turn += elapsed
	c.calm += elapsed
	if s.Refused > 0 || s.Shut || c.troubled() && s.Running >= least {
		c.calm = 0
		c.loaded += elapsed
	} else if c.calm >= calmAfter {
		c.loaded = 0
	}
	begins := !c.withdrawn && c.loaded >= withdrawAfter && c.turn >= readyLeast
	ends := c.withdrawn && (c.turn >= withdrawnMost || c.turn >= withdrawnLeast && c.calm >= calmAfter)
	if begins || ends {
		c.withdrawn, c.turn, c.loaded = begins, 0, 0
	}
}

// Observe takes a sample.
func (c *Core) Observe(s Sample) Change {
	late := min(max(s.Late, s.Network), lateMost)
	elapsed := Period + min(s.Late, lateMost)
	weight := -math.Expm1(-elapsed.Seconds() / smoothing.Seconds())
	c.late += (late.Seconds() - c.late) * weight
	c.ended += (float64(s.Ended) - c.ended) * weight
	c.abandoned += (float64(s.Abandoned) - c.abandoned) * weight
	c.fellAgo += elapsed
	c.withdraw(s, elapsed)
	switch {
	case c.troubled() && c.fellAgo >= fallPause:
		return c.lower(s.Running)
	case c.late < lateLow.Seconds() && c.Abandoned() < abandonedLow && c.limit < c.most:
		return c.raise(s.Running)
	}
	return None
}

// troubled reports whether the processor does not carry the requests.
func (c *Core) troubled() bool { return c.late > lateHigh.Seconds() || c.Abandoned() > abandonedHigh }

func (c *Core) lower(running int) Change {
	if running < least {
		return None // something else keeps the processor busy
	}
	c.fellAgo = 0
	before := c.limit
	c.limit = max(min(c.limit, float64(running))*fall, c.least())
	if before == c.most && c.limit < c.most {
		return Lowered
	}
	return None
}

// least returns the bound below which it does not fall.
func (c *Core) least() float64 { return max(min(c.most, mostKnown)*leastPart, least) }

func (c *Core) raise(running int) Change {
	if float64(running) < c.limit/2 && c.late < lateLow.Seconds()/2 {
		// The load is gone; the bound is not what keeps it away.
		c.limit = min(c.limit*2, c.most)
	} else {
		step := c.limit*rise*Period.Seconds() + rise
		if c.late < latePrompt.Seconds() {
			step += promptRise * Period.Seconds()
		}
		c.limit = min(c.limit+step, c.most)
	}
	if c.limit == c.most {
		return Restored
	}
	return None
}
