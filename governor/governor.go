// Package governor implements adaptive admission control: it sets the number of
// requests that an instance serves concurrently. A balancer may send an instance
// more requests than its processor can handle. Without a limit everything on it is
// then delayed, including the detection of closed caller connections and
// configuration changes, while other instances have capacity.
//
// Overload is detected by three measures: the delay of the instance's timers, the
// delay of its network events, and the fraction of requests whose callers had
// disconnected before the requests were read. The last one covers connections that
// queue where neither delay shows it. While a measure is high, the limit is reduced
// to a fraction of the running requests, which leaves processor time to refuse the
// others at once. While all are low, the limit rises, faster the lower the delay: how
// many requests the processor can handle depends on how long they take, which
// changes with the upstreams. Without overload the limit is the one given by
// memory, and the governor has no effect.
//
// A limit alone is not enough: a balancer with caller affinity sends a caller back
// to an instance that refuses it although others have capacity. An instance that
// refuses requests at its limit, has a saturated processor or accepts no more
// connections therefore withdraws from the balancer's rotation for some time. Open
// connections are still served. Between two withdrawals an instance is ready for a
// minimum time, so that a fleet stays reachable when all its instances are
// overloaded.
//
// Core reads no clock; the caller passes the measured timer delay.
//
// # Usage
//
//	core := governor.New(memoryLimit)
//	timer.Reset(governor.Period) // periodically
//	change := core.Observe(governor.Sample{Delay: delay, Running: running, Ended: ended, Abandoned: abandoned})
//	if running >= core.Limit() { /* refuse: other instances have capacity */ }
package governor

import (
	"math"
	"time"
)

const (
	// Period is the interval between samples. Several of them have to fit in the
	// half second within which a caller's disconnect is passed on.
	Period = 50 * time.Millisecond
	// highDelay is the average delay above which the limit falls. It is a tenth of
	// the half second within which a caller's disconnect is passed on.
	highDelay = 50 * time.Millisecond
	// lowDelay is the average delay below which the limit may rise.
	lowDelay = 15 * time.Millisecond
	// maxDelay caps one observed delay: an instance that was suspended for seconds
	// is not overloaded because of that.
	maxDelay = 500 * time.Millisecond
	// highAbandonedFraction is the average fraction of abandoned requests above
	// which the limit falls. Callers time out after one second, so each abandoned
	// request shows a wait of twice the allowed half second.
	highAbandonedFraction = 0.03
	// lowAbandonedFraction is the fraction below which the limit may rise.
	lowAbandonedFraction = 0.01
	// averageTimeConstant is the time constant of the moving averages.
	averageTimeConstant = 250 * time.Millisecond
	// onTimeConstant is the time constant of the average delay while timers and
	// network events are on time. It is shorter, so that the limit does not stay low
	// after a stall.
	onTimeConstant = 100 * time.Millisecond
	// recedingFactor is the factor by which the delay falls from one sample to the next
	// when a stall is over.
	recedingFactor = 0.75
	// reductionFactor is the factor by which one reduction multiplies the limit.
	reductionFactor = 0.85
	// minReductionInterval is the minimum time between two reductions. Running
	// requests continue, so a reduction takes effect only when some have ended.
	minReductionInterval = 4 * Period
	// minRise and maxRise are the fractions of the limit that are added per second
	// without overload: minRise at an average delay of lowDelay, maxRise without delay.
	minRise = 0.1
	maxRise = 1.0
	// minLimit is the lowest limit in requests, and minLimitFraction the lowest one
	// as a fraction of the memory limit. Below them refusals keep the processor
	// busy, and fewer requests would not reduce the delay.
	minLimit         = 8
	minLimitFraction = 0.1
	// withdrawAfter is how long an instance is overloaded before it withdraws.
	withdrawAfter = 200 * time.Millisecond
	// minWithdrawal is the minimum length of a withdrawal. Balancers take two
	// seconds to detect it, and the next instance needs time to take callers over.
	minWithdrawal = 6 * time.Second
	// maxWithdrawal is the maximum length of a withdrawal.
	maxWithdrawal = 8 * time.Second
	// minReady is the minimum time between two withdrawals.
	minReady = time.Second
	// recoveryTime is how long an instance is not overloaded before it returns.
	recoveryTime = 500 * time.Millisecond
)

// Change is the effect of an observation on the limit.
type Change uint8

// The changes of the limit that are reported.
const (
	None     Change = iota
	Lowered         // the processor is saturated; the limit is below the memory limit
	Restored        // the limit is the memory limit again
)

// Sample holds the measurements since the previous sample.
type Sample struct {
	Delay        time.Duration // delay of the timer
	NetworkDelay time.Duration // delay of network events
	Running      int           // requests running now
	Ended        int           // requests that ended, including refused ones
	Abandoned    int           // ended requests whose callers had disconnected before they were read
	Refused      int           // ended requests that were refused at the limit
	Full         bool          // the maximum number of connections is open
}

// Core is the state of one instance. It is used by one goroutine at a time.
type Core struct {
	memoryLimit    float64       // limit by memory, in requests
	limit          float64       // requests
	delay          float64       // moving average, in seconds
	lastDelay      time.Duration // of the previous sample
	onTime         time.Duration // since the last late sample
	ended          float64       // moving average of requests per sample
	abandoned      float64       // moving average of abandoned requests per sample
	sinceReduction time.Duration
	withdrawn      bool
	sinceChange    time.Duration // since withdrawn last changed
	overloaded     time.Duration // accumulated while overloaded
	sinceOverload  time.Duration // since the last overloaded sample
}

// New returns a core whose limit is the given one by memory; zero is unlimited.
func New(memoryLimit int) *Core {
	c := &Core{memoryLimit: float64(memoryLimit)}
	if memoryLimit == 0 {
		c.memoryLimit = unlimited
	}
	c.limit = c.memoryLimit
	c.sinceChange = minReady
	c.onTime = minReductionInterval
	return c
}

const (
	// unlimited represents no limit; it is far above what an instance can hold.
	unlimited = 1 << 30
	// defaultMemoryLimit replaces an unlimited memory limit in the computation of
	// the lowest limit.
	defaultMemoryLimit = 800
)

// Limit returns the maximum number of concurrent requests.
func (c *Core) Limit() int { return int(c.limit) }

// Delay returns the average delay of timers and network events.
func (c *Core) Delay() time.Duration { return time.Duration(c.delay * float64(time.Second)) }

// Abandoned returns the average fraction of requests whose callers had disconnected
// before the requests were read.
func (c *Core) Abandoned() float64 {
	if c.ended < 1 {
		return 0 // too few requests for an estimate
	}
	return c.abandoned / c.ended
}

// Withdrawn reports whether the instance should be out of the balancer's rotation.
func (c *Core) Withdrawn() bool { return c.withdrawn }

// updateWithdrawal starts or ends a withdrawal.
func (c *Core) updateWithdrawal(s Sample, overloaded bool, elapsed time.Duration) {
	c.sinceChange += elapsed
	c.sinceOverload += elapsed
	if s.Refused > 0 || s.Full || overloaded && s.Running >= minLimit {
		c.sinceOverload = 0
		c.overloaded += elapsed
	} else if c.sinceOverload >= recoveryTime {
		c.overloaded = 0
	}
	starts := !c.withdrawn && c.overloaded >= withdrawAfter && c.sinceChange >= minReady
	ends := c.withdrawn && (c.sinceChange >= maxWithdrawal || c.sinceChange >= minWithdrawal && c.sinceOverload >= recoveryTime)
	if starts || ends {
		c.withdrawn, c.sinceChange, c.overloaded = starts, 0, 0
	}
}

// Observe updates the limit and the withdrawal with a sample.
func (c *Core) Observe(s Sample) Change {
	delay := min(max(s.Delay, s.NetworkDelay), maxDelay)
	elapsed := Period + min(s.Delay, maxDelay)
	weight := weightOf(elapsed, averageTimeConstant)
	if delay < lowDelay {
		c.delay += (delay.Seconds() - c.delay) * weightOf(elapsed, onTimeConstant)
	} else {
		c.delay += (delay.Seconds() - c.delay) * weight
	}
	c.ended += (float64(s.Ended) - c.ended) * weight
	c.abandoned += (float64(s.Abandoned) - c.abandoned) * weight
	c.sinceReduction += elapsed
	overloaded := c.saturated() && !c.stalled(delay)
	c.lastDelay = delay
	c.onTime += elapsed
	if delay >= lowDelay {
		c.onTime = 0
	}
	c.updateWithdrawal(s, overloaded, elapsed)
	switch {
	case overloaded && c.sinceReduction >= minReductionInterval:
		return c.reduceLimit(s.Running)
	case c.delay < lowDelay.Seconds() && c.Abandoned() < lowAbandonedFraction && c.limit < c.memoryLimit:
		return c.raiseLimit(s.Running)
	}
	return None
}

// weightOf returns the weight of a sample in a moving average.
func weightOf(elapsed, timeConstant time.Duration) float64 {
	return -math.Expm1(-elapsed.Seconds() / timeConstant.Seconds())
}

// saturated reports whether the processor is saturated.
func (c *Core) saturated() bool {
	return c.delay > highDelay.Seconds() || c.Abandoned() > highAbandonedFraction
}

// stalled reports whether a high average delay may come from a single stall: the
// sample is on time, or is the first late one, or the delay falls by itself. The
// delay of an overloaded instance lasts.
func (c *Core) stalled(delay time.Duration) bool {
	recedes := float64(delay) < recedingFactor*float64(c.lastDelay)
	return c.Abandoned() <= highAbandonedFraction && (delay < lowDelay || c.onTime >= minReductionInterval || recedes)
}

func (c *Core) reduceLimit(running int) Change {
	if running < minLimit {
		return None // the load is not caused by requests
	}
	c.sinceReduction = 0
	before := c.limit
	c.limit = max(min(c.limit, float64(running))*reductionFactor, c.minLimit())
	if before == c.memoryLimit && c.limit < c.memoryLimit {
		return Lowered
	}
	return None
}

// minLimit returns the lowest value of the limit.
func (c *Core) minLimit() float64 {
	return max(min(c.memoryLimit, defaultMemoryLimit)*minLimitFraction, minLimit)
}

func (c *Core) raiseLimit(running int) Change {
	if float64(running) < c.limit/2 && c.delay < lowDelay.Seconds()/2 {
		// The load has fallen, and not because of the limit.
		c.limit = min(c.limit*2, c.memoryLimit)
	} else {
		idle := 1 - c.delay/lowDelay.Seconds()
		rise := minRise + (maxRise-minRise)*idle*idle
		c.limit = min(c.limit*(1+rise*Period.Seconds()), c.memoryLimit)
	}
	if c.limit == c.memoryLimit {
		return Restored
	}
	return None
}
