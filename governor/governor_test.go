package governor

import (
	"cmp"
	"testing"
	"time"

	"github.com/matryer/is"
)

// router models an instance with one processor that works in the order of arrival.
// A request is a stream of events; a refusal costs processor time too.
type router struct {
	core     *Core         // nil serves everything
	refusal  time.Duration // processor time of a refusal
	event    time.Duration // processor time of an event
	backlog  time.Duration // queued processor time
	pause    time.Duration // between two events of a stream; zero is defaultPause
	steps    int           // since the last events
	running  []int         // remaining events of each stream
	admitted int
	refused  int
	reported int // refusals that the core was told of
	served   int
	longest  time.Duration // longest backlog after a warm-up of five seconds
}

const (
	step         = 10 * time.Millisecond
	events       = 25 // per stream
	defaultPause = 60 * time.Millisecond
)

// run simulates requests at a rate per second for a time.
func (r *router) run(rate float64, duration time.Duration) {
	due, pending := Period, 0.0
	pause := cmp.Or(r.pause, defaultPause)
	for at := time.Duration(0); at < duration; at += step {
		for pending += rate * step.Seconds(); pending >= 1; pending-- {
			if r.core != nil && len(r.running) >= r.core.Limit() {
				r.backlog += r.refusal
				r.refused++
				continue
			}
			r.backlog += 2 * r.refusal // to read, place and send the request
			r.running = append(r.running, events)
			r.admitted++
		}
		if r.steps++; r.steps >= int(pause/step) {
			r.steps = 0
			remaining := r.running[:0]
			for _, n := range r.running {
				r.backlog += r.event
				if n > 1 {
					remaining = append(remaining, n-1)
				} else {
					r.served++
				}
			}
			r.running = remaining
		}
		r.backlog = max(r.backlog-step, 0)
		if at >= due {
			if r.core != nil {
				r.core.Observe(Sample{Delay: r.backlog, Running: len(r.running), Refused: r.refused - r.reported})
				r.reported = r.refused
			}
			due = at + r.backlog + Period
		}
		if at > 5*time.Second {
			r.longest = max(r.longest, r.backlog)
		}
	}
}

// TestOverload sends an instance several times the load that it
// can serve. The backlog must stay below the half second within which a caller's
// disconnect is passed on, and the processor must mostly serve requests.
func TestOverload(t *testing.T) {
	const maxBacklog = 500 * time.Millisecond
	tests := map[string]struct {
		rate           float64
		refusal, event time.Duration
	}{
		"twice, costly streams":       {250, 400 * time.Microsecond, 280 * time.Microsecond},
		"four times, costly refusals": {450, time.Millisecond, 280 * time.Microsecond},
		"three times, cheap refusals": {400, 100 * time.Microsecond, 280 * time.Microsecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			without := &router{refusal: test.refusal, event: test.event}
			without.run(test.rate, 20*time.Second)
			is.True(without.longest > 2*maxBacklog) // overloaded without a limit
			with := &router{core: New(736), refusal: test.refusal, event: test.event}
			const whole = 30 * time.Second
			with.run(test.rate, whole)
			is.True(with.longest < maxBacklog)
			// At least 0.7 of the processor time that refusals leave must serve
			// requests.
			available := 1 - test.rate*test.refusal.Seconds()
			each := 2*test.refusal.Seconds() + events*test.event.Seconds()
			possible := available / (each - test.refusal.Seconds()) * whole.Seconds()
			t.Logf("longest backlog %s, served %d of %.0f, refused %d, limit %d", with.longest, with.served, possible, with.refused, with.core.Limit())
			is.True(float64(with.served) > 0.7*possible)
		})
	}
}

// TestStallUnderFlood guards against refusing a flood although the processor has
// time: the instance stalls once, as when many upstreams crash, and the streams on
// the remaining upstreams take longer. In the six seconds after the stall at least
// 0.7 of what the processor can serve must be admitted.
func TestStallUnderFlood(t *testing.T) {
	const (
		rate   = 200 // requests per second, 0.6 of the processor
		usual  = 150 // before the stall, the rest is refused elsewhere
		within = 6 * time.Second
	)
	tests := map[string]struct {
		stall time.Duration
		pause time.Duration // after the stall
	}{
		"none":                              {0, defaultPause},
		"short":                             {150 * time.Millisecond, defaultPause},
		"long":                              {400 * time.Millisecond, defaultPause},
		"short, streams take twice as long": {150 * time.Millisecond, 2 * defaultPause},
		"long, streams take twice as long":  {400 * time.Millisecond, 2 * defaultPause},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &router{core: New(736), refusal: 150 * time.Microsecond, event: 110 * time.Microsecond}
			r.run(usual, 5*time.Second)
			is.Equal(r.refused, 0)
			before := r.admitted
			r.backlog += test.stall
			r.pause = test.pause
			r.run(rate, within)
			t.Logf("admitted %d, refused %d, limit %d", r.admitted-before, r.refused, r.core.Limit())
			is.True(float64(r.admitted-before) > 0.7*rate*within.Seconds())
		})
	}
}

// TestNoOverload checks that nothing is refused without overload.
func TestNoOverload(t *testing.T) {
	is := is.New(t)
	r := &router{core: New(736), refusal: 400 * time.Microsecond, event: 280 * time.Microsecond}
	r.run(90, 30*time.Second) // two thirds of the processor
	is.Equal(r.refused, 0)
	is.Equal(r.core.Limit(), 736)
}

// TestRestored checks that the limit returns to the memory limit within five
// seconds after an overload.
func TestRestored(t *testing.T) {
	is := is.New(t)
	r := &router{core: New(736), refusal: 400 * time.Microsecond, event: 280 * time.Microsecond}
	r.run(300, 10*time.Second)
	is.True(r.core.Limit() < 736)
	r.run(20, 5*time.Second)
	is.Equal(r.core.Limit(), 736)
}

// TestBusyWithSomethingElse checks that the limit stays when only a few requests run
// on a saturated processor, and that it does not fall below its lowest value.
func TestBusyWithSomethingElse(t *testing.T) {
	is := is.New(t)
	c := New(736)
	for range 100 {
		is.Equal(c.Observe(Sample{Delay: time.Second, Running: 3}), None)
	}
	is.Equal(c.Limit(), 736)
	for range 100 {
		c.Observe(Sample{Delay: time.Second, Running: 500})
	}
	is.Equal(c.Limit(), 73) // a tenth of the memory limit
	few := New(20)
	for range 100 {
		few.Observe(Sample{Delay: time.Second, Running: 20})
	}
	is.Equal(few.Limit(), minLimit)
}

// TestReportedChanges checks that the first reduction and the return to the memory limit are
// reported once each.
func TestReportedChanges(t *testing.T) {
	is := is.New(t)
	c := New(100)
	changes := map[Change]int{}
	for range 50 {
		changes[c.Observe(Sample{Delay: 300 * time.Millisecond, Running: 90})]++
	}
	is.Equal(changes[Lowered], 1)
	is.Equal(changes[Restored], 0)
	for range 200 {
		changes[c.Observe(Sample{Running: 5})]++
	}
	is.Equal(changes[Lowered], 1)
	is.Equal(changes[Restored], 1)
	is.True(New(0).Limit() > 1<<20) // no memory limit
}

// TestAbandoned checks that the limit falls when callers disconnect before their
// requests are read, although timers are on time, and rises when they stay.
func TestAbandoned(t *testing.T) {
	is := is.New(t)
	c := New(736)
	for range 60 {
		c.Observe(Sample{Running: 200, Ended: 30, Abandoned: 3})
	}
	is.True(c.Limit() < 200)
	low := c.Limit()
	for range 40 {
		c.Observe(Sample{Running: low, Ended: 30})
	}
	is.True(c.Limit() > low)
	few := New(736)
	for range 60 {
		few.Observe(Sample{Running: 20, Ended: 1, Abandoned: 0})
		few.Observe(Sample{Running: 20})
	}
	is.Equal(few.Limit(), 736)
}

// TestFloodEnds checks that an instance whose limit fell to its lowest value serves
// a usual load again within four seconds after the overload.
func TestFloodEnds(t *testing.T) {
	const (
		usual  = 150 // concurrent requests
		within = 4 * time.Second
		late   = 500 * time.Microsecond
	)
	is := is.New(t)
	core := New(736)
	core.limit = minLimit
	for at := time.Duration(0); at < within; at += Period {
		core.Observe(Sample{Delay: late, Running: min(core.Limit(), usual), Ended: 10})
	}
	is.True(core.Limit() >= usual)
}

// TestStallDoesNotWithdraw guards against an instance with little load that leaves the
// rotation for seconds after one stall.
func TestStallDoesNotWithdraw(t *testing.T) {
	for name, stall := range map[string]time.Duration{"short": 100 * time.Millisecond, "long": 400 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &router{core: New(736), refusal: 150 * time.Microsecond, event: 110 * time.Microsecond}
			r.run(15, 5*time.Second)
			r.backlog += stall
			for range 10 {
				r.run(15, 200*time.Millisecond)
				is.True(!r.core.Withdrawn())
			}
			is.Equal(r.refused, 0)
		})
	}
}

// TestDelayThatComesAndGoes guards against taking each late sample for a stall of its
// own: the limit falls although every other sample is on time.
func TestDelayThatComesAndGoes(t *testing.T) {
	is := is.New(t)
	c := New(736)
	for range 20 {
		c.Observe(Sample{Delay: 200 * time.Millisecond, Running: 200, Ended: 30})
		c.Observe(Sample{Running: 200, Ended: 30})
	}
	is.True(c.Limit() < 200)
	is.True(c.Withdrawn())
}

// zone models instances behind a balancer that sends the new connections of a caller
// to the first instance that has not failed two consecutive health polls. Half of
// the requests use open connections.
type zone struct {
	routers []*router
	missed  []int     // consecutive failed polls by instance
	open    []float64 // connections of the caller by instance
	caller  float64   // admitted requests of the caller
	others  float64   // admitted requests of the instances' own loads
}

const (
	pollPeriod = time.Second
	maxOpen    = 736 // open connections per instance
)

func newZone(n int) *zone {
	z := &zone{missed: make([]int, n), open: make([]float64, n)}
	for range n {
		z.routers = append(z.routers, &router{core: New(736), refusal: 150 * time.Microsecond, event: 110 * time.Microsecond})
	}
	return z
}

func (z *zone) pick() int {
	for i, missed := range z.missed {
		if missed < 2 {
			return i
		}
	}
	return 0
}

// run simulates the load of one caller and a load of each instance's own, both in
// requests per second.
func (z *zone) run(rate, own float64, duration time.Duration) {
	for at := time.Duration(0); at < duration; at += pollPeriod {
		picked := z.pick()
		z.open[picked] = min(z.open[picked]+rate/2, maxOpen)
		total := 0.0
		for _, open := range z.open {
			total += open
		}
		for i, r := range z.routers {
			load := own + rate/2*z.open[i]/total
			if i == picked {
				load += rate / 2
			}
			before := r.admitted
			r.run(load, pollPeriod)
			admitted := float64(r.admitted - before)
			z.caller += admitted * (load - own) / load
			z.others += admitted * own / load
			if r.core.Withdrawn() {
				z.missed[i]++
			} else {
				z.missed[i] = 0
			}
		}
	}
}

// TestFloodThroughOneInstance guards against an account being starved by balancer
// affinity: the balancer sends its load to one instance, while another account sends
// as much through all of them. There is capacity for both, and the first account
// must get at least half of what the second one gets, also in the six seconds after
// upstreams crash: all instances stall, and the streams on the remaining upstreams
// take longer.
func TestFloodThroughOneInstance(t *testing.T) {
	const (
		instances = 8
		rate      = 600 // requests per second of each account
		stall     = 300 * time.Millisecond
	)
	tests := map[string]struct {
		before, window time.Duration
		crash          bool // between the two
	}{
		"steady":          {0, 30 * time.Second, false},
		"upstreams crash": {4 * time.Second, 6 * time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			z := newZone(instances)
			z.run(rate, rate/instances, test.before)
			z.caller, z.others = 0, 0
			for _, r := range z.routers {
				if test.crash {
					r.backlog += stall
					r.pause = 2 * defaultPause
				}
			}
			z.run(rate, rate/instances, test.window)
			t.Logf("the first got %.0f, the second %.0f", z.caller, z.others)
			is.True(z.caller >= z.others/2)
		})
	}
}

// TestWithdrawal checks when an instance withdraws from rotation and returns.
func TestWithdrawal(t *testing.T) {
	// samples observes runs of samples with and without a refusal in alternation,
	// given by their lengths.
	samples := func(c *Core, counts ...int) {
		for i, n := range counts {
			for range n {
				c.Observe(Sample{Refused: 1 - i%2})
			}
		}
	}
	periods := func(d time.Duration) int { return int(d / Period) }
	tests := map[string]struct {
		counts    []int
		withdrawn bool
	}{
		"one refusal":           {[]int{1}, false},
		"continuous refusals":   {[]int{periods(withdrawAfter)}, true},
		"isolated refusals":     {[]int{1, periods(recoveryTime), 1, periods(recoveryTime), 1, periods(recoveryTime), 1}, false},
		"minimum withdrawal":    {[]int{periods(withdrawAfter), periods(minWithdrawal) - 1}, true},
		"ends without refusals": {[]int{periods(withdrawAfter), periods(minWithdrawal)}, false},
		"maximum withdrawal":    {[]int{periods(withdrawAfter) + periods(maxWithdrawal)}, false},
		"minimum time ready":    {[]int{periods(withdrawAfter) + periods(maxWithdrawal) + periods(minReady) - 1}, false},
		"withdrawn again":       {[]int{periods(withdrawAfter) + periods(maxWithdrawal) + periods(minReady)}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := New(100)
			samples(c, test.counts...)
			is.Equal(c.Withdrawn(), test.withdrawn)
		})
	}
}

// TestWithdrawnWhileLate checks that a withdrawal lasts its minimum time when network
// events stay delayed.
func TestWithdrawnWhileLate(t *testing.T) {
	is := is.New(t)
	c := New(100)
	late := Sample{Running: 50, Refused: 10, NetworkDelay: maxDelay}
	for !c.Withdrawn() {
		c.Observe(late)
	}
	for range int(minWithdrawal/Period) - 1 {
		c.Observe(late)
		is.True(c.Withdrawn())
	}
}

// TestWithdrawsForEachSign checks each sign of overload that causes a withdrawal.
func TestWithdrawsForEachSign(t *testing.T) {
	tests := map[string]struct {
		sample    Sample
		withdrawn bool
	}{
		"no overload":      {Sample{Running: 50, Ended: 30}, false},
		"requests refused": {Sample{Running: 50, Ended: 30, Refused: 10}, true},
		"late timers":      {Sample{Running: 50, Ended: 30, Delay: 200 * time.Millisecond}, true},
		"late network":     {Sample{Running: 50, Ended: 30, NetworkDelay: 200 * time.Millisecond}, true},
		"abandoned":        {Sample{Running: 50, Ended: 30, Abandoned: 3}, true},
		"connections full": {Sample{Running: 50, Ended: 30, Full: true}, true},
		"late when idle":   {Sample{Running: 2, Delay: 200 * time.Millisecond}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := New(100)
			withdrew := false
			for range 20 {
				c.Observe(test.sample)
				withdrew = withdrew || c.Withdrawn()
			}
			is.Equal(withdrew, test.withdrawn)
		})
	}
}
