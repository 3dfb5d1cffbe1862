package governor

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// router is a model of an instance: work waits for one processor in the order
// in which it comes. A request is a stream of some events; a refusal costs
// work too.
type router struct {
	core    *Core         // nil serves everything
	refusal time.Duration // of processor time
	event   time.Duration
	backlog time.Duration // work that waits
	running []int         // events left of each stream
	refused int
	told    int // of refused, to the core
	served  int
	worst   time.Duration // backlog after the first seconds
}

const (
	step   = 10 * time.Millisecond
	events = 25 // of a stream
	pause  = 60 * time.Millisecond
)

// play lets requests come at a rate for a time.
func (r *router) play(rate float64, whole time.Duration) {
	due, owed := Period, 0.0
	since := 0
	for at := time.Duration(0); at < whole; at += step {
		for owed += rate * step.Seconds(); owed >= 1; owed-- {
			if r.core != nil && len(r.running) >= r.core.Limit() {
				r.backlog += r.refusal
				r.refused++
				continue
			}
			r.backlog += 2 * r.refusal // to read it, place it and send it
			r.running = append(r.running, events)
		}
		if since++; since == int(pause/step) {
			since = 0
			left := r.running[:0]
			for _, n := range r.running {
				r.backlog += r.event
				if n > 1 {
					left = append(left, n-1)
				} else {
					r.served++
				}
			}
			r.running = left
		}
		r.backlog = max(r.backlog-step, 0)
		if at >= due {
			if r.core != nil {
				r.core.Observe(Sample{Late: r.backlog, Running: len(r.running), Refused: r.refused - r.told})
				r.told = r.refused
			}
			due = at + r.backlog + Period
		}
		if at > 5*time.Second {
			r.worst = max(r.worst, r.backlog)
		}
	}
}

// TestMoreThanTheProcessorCarries sends an instance several times what it can
// serve. A caller's end is to be passed on within half a second, and the
// processor is to be used for requests.
func TestMoreThanTheProcessorCarries(t *testing.T) {
	const passedOn = 500 * time.Millisecond
	tests := map[string]struct {
		rate           float64
		refusal, event time.Duration
	}{
		"twice, streams dear":         {250, 400 * time.Microsecond, 280 * time.Microsecond},
		"four times, refusals dear":   {450, time.Millisecond, 280 * time.Microsecond},
		"three times, refusals cheap": {400, 100 * time.Microsecond, 280 * time.Microsecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			without := &router{refusal: test.refusal, event: test.event}
			without.play(test.rate, 20*time.Second)
			is.True(without.worst > 2*passedOn) // the load is one that the bound is for
			with := &router{core: New(736), refusal: test.refusal, event: test.event}
			const whole = 30 * time.Second
			with.play(test.rate, whole)
			is.True(with.worst < passedOn)
			// What refusals leave of the processor serves requests; 0.7 of it is
			// the least that a governed instance is to reach.
			left := 1 - test.rate*test.refusal.Seconds()
			each := 2*test.refusal.Seconds() + events*test.event.Seconds()
			could := left / (each - test.refusal.Seconds()) * whole.Seconds()
			t.Logf("worst %s, served %d of %.0f, refused %d, bound %d", with.worst, with.served, could, with.refused, with.core.Limit())
			is.True(float64(with.served) > 0.7*could)
		})
	}
}

// TestWithinTheProcessor serves everything that fits.
func TestWithinTheProcessor(t *testing.T) {
	is := is.New(t)
	r := &router{core: New(736), refusal: 400 * time.Microsecond, event: 280 * time.Microsecond}
	r.play(90, 30*time.Second) // two thirds of the processor
	is.Equal(r.refused, 0)
	is.Equal(r.core.Limit(), 736)
}

// TestRestored has the bound of memory back soon after the load is gone.
func TestRestored(t *testing.T) {
	is := is.New(t)
	r := &router{core: New(736), refusal: 400 * time.Microsecond, event: 280 * time.Microsecond}
	r.play(300, 10*time.Second)
	is.True(r.core.Limit() < 736)
	r.play(20, 5*time.Second)
	is.Equal(r.core.Limit(), 736)
}

// TestBusyWithSomethingElse keeps the bound when there are hardly any requests.
func TestBusyWithSomethingElse(t *testing.T) {
	is := is.New(t)
	c := New(736)
	for range 100 {
		is.Equal(c.Observe(Sample{Late: time.Second, Running: 3}), None)
	}
	is.Equal(c.Limit(), 736)
	for range 100 {
		c.Observe(Sample{Late: time.Second, Running: 500})
	}
	is.Equal(c.Limit(), 73) // a tenth is always served
	few := New(20)
	for range 100 {
		few.Observe(Sample{Late: time.Second, Running: 20})
	}
	is.Equal(few.Limit(), least)
}

// TestTold tells the first reduction and the end of the trouble, once each.
func TestTold(t *testing.T) {
	is := is.New(t)
	c := New(100)
	told := map[Change]int{}
	for range 50 {
		told[c.Observe(Sample{Late: 300 * time.Millisecond, Running: 90})]++
	}
	is.Equal(told[Lowered], 1)
	is.Equal(told[Restored], 0)
	for range 200 {
		told[c.Observe(Sample{Running: 5})]++
	}
	is.Equal(told[Lowered], 1)
	is.Equal(told[Restored], 1)
	is.True(New(0).Limit() > 1<<20) // no bound of memory
}

// TestAbandoned lowers the bound when callers go before their requests are read,
// although timers are on time, and raises it when they stay.
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

// TestFloodEnds lets the bound fall to its least and the flood end: an instance
// whose timers are on time serves a usual load again within four seconds.
func TestFloodEnds(t *testing.T) {
	const (
		usual  = 150 // requests at once
		within = 4 * time.Second
		late   = 500 * time.Microsecond
	)
	is := is.New(t)
	core := New(736)
	core.limit = least
	for at := time.Duration(0); at < within; at += Period {
		core.Observe(Sample{Late: late, Running: min(core.Limit(), usual), Ended: 10})
	}
	is.True(core.Limit() >= usual)
}

// zone is a model of instances behind a balancer that keeps the new connections
// of a caller at the first one that has not missed two polls. Half of the
// requests come on connections that are open.
type zone struct {
	routers []*router
	missed  []int
	open    []float64 // connections of the caller
}

const (
	pollPeriod = time.Second
	keptMost   = 736 // connections at one instance
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

// play sends the load of one caller for a time, and gives each instance a load
// of its own.
func (z *zone) play(rate, own float64, whole time.Duration) {
	for at := time.Duration(0); at < whole; at += pollPeriod {
		picked := z.pick()
		z.open[picked] = min(z.open[picked]+rate/2, keptMost)
		all := 0.0
		for _, open := range z.open {
			all += open
		}
		for i, r := range z.routers {
			load := own + rate/2*z.open[i]/all
			if i == picked {
				load += rate / 2
			}
			r.play(load, pollPeriod)
			if r.core.Withdrawn() {
				z.missed[i]++
			} else {
				z.missed[i] = 0
			}
		}
	}
}

// TestFloodThroughOneInstance sends the load of an account to a balancer that
// keeps it at one instance, while another account asks for as much through all
// of them. There is room for both; the first one gets at least half of what the
// second one gets.
func TestFloodThroughOneInstance(t *testing.T) {
	const (
		instances = 8
		rate      = 600 // requests a second of each account
		whole     = 30 * time.Second
	)
	is := is.New(t)
	z := newZone(instances)
	z.play(rate, rate/instances, whole)
	served := 0
	for _, r := range z.routers {
		served += r.served
	}
	second := rate * whole.Seconds()
	first := float64(served) - second
	t.Logf("the first got %.0f, the second %.0f", first, second)
	is.True(first >= second/2)
}

// TestWithdrawal checks when an instance withdraws from rotation and returns.
func TestWithdrawal(t *testing.T) {
	// samples are given as counts of samples with and without a refusal in turn.
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
		"one refusal":               {[]int{1}, false},
		"refusals go on":            {[]int{periods(withdrawAfter)}, true},
		"single ones far apart":     {[]int{1, periods(calmAfter), 1, periods(calmAfter), 1, periods(calmAfter), 1}, false},
		"withdrawn for a while":     {[]int{periods(withdrawAfter), periods(withdrawnLeast) - 1}, true},
		"ends when nothing comes":   {[]int{periods(withdrawAfter), periods(withdrawnLeast)}, false},
		"ends although refusals go": {[]int{periods(withdrawAfter) + periods(withdrawnMost)}, false},
		"ready for a while":         {[]int{periods(withdrawAfter) + periods(withdrawnMost) + periods(readyLeast) - 1}, false},
		"again when they go on":     {[]int{periods(withdrawAfter) + periods(withdrawnMost) + periods(readyLeast)}, true},
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

// TestWithdrawnWhileLate stays withdrawn for its time, however late the network
// is meanwhile.
func TestWithdrawnWhileLate(t *testing.T) {
	is := is.New(t)
	c := New(100)
	late := Sample{Running: 50, Refused: 10, Network: lateMost}
	for !c.Withdrawn() {
		c.Observe(late)
	}
	for range int(withdrawnLeast/Period) - 1 {
		c.Observe(late)
		is.True(c.Withdrawn())
	}
}

// TestWithdrawsForEachSign withdraws for each sign of overload.
func TestWithdrawsForEachSign(t *testing.T) {
	tests := map[string]struct {
		sample    Sample
		withdrawn bool
	}{
		"nothing":         {Sample{Running: 50, Ended: 30}, false},
		"refuses":         {Sample{Running: 50, Ended: 30, Refused: 10}, true},
		"timers are late": {Sample{Running: 50, Ended: 30, Late: 200 * time.Millisecond}, true},
		"network is late": {Sample{Running: 50, Ended: 30, Network: 200 * time.Millisecond}, true},
		"callers leave":   {Sample{Running: 50, Ended: 30, Abandoned: 3}, true},
		"door is shut":    {Sample{Running: 50, Ended: 30, Shut: true}, true},
		"late by itself":  {Sample{Running: 2, Late: 200 * time.Millisecond}, false},
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
