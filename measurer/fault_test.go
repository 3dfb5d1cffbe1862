package measurer

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

const (
	maxExcessSeconds = 1.0  // seconds of total capacity beyond the largest requests
	minUtilisation   = 0.97 // fraction of the slots while requests are queued
	maxWaitRatio     = 2.0  // longest wait over fair wait
)

// seed returns a fixed seed unless REDWINGSHUNT_SEED sets another one.
func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("REDWINGSHUNT_SEED"), 10, 64); err == nil {
		return n
	}
	return 7
}

// smallScenario returns three regions with two routers and two upstreams each. Load
// ends at 60 s and the run at 150 s, when no slot may be held any longer.
func smallScenario(loads ...Load) *Scenario {
	s := &Scenario{
		Policy: PolicyOwner,
		Places: []Place{{"a", 1, 2, 2}, {"b", 1, 2, 2}, {"c", 1, 2, 2}},
		Slots:  8, Rate: 40, Inside: 500 * time.Microsecond, Across: 15 * time.Millisecond,
		Gap: time.Second, Lag: time.Second, Length: 150 * time.Second, Warm: 5 * time.Second, Seed: seed(),
		Loads: loads,
	}
	for i := range s.Loads {
		l := &s.Loads[i]
		l.Account = redwingshunt.AccountID(fmt.Sprintf("account-%d", i))
		l.Share = max(1, l.Share)
		if l.Until == 0 {
			l.Until = 60 * time.Second
		}
	}
	return s
}

// flood returns the load of an account that is always backlogged.
func flood(clients int, routers ...int) Load {
	return Load{Routers: routers, Clients: clients, Least: 50, Most: 200}
}

func changed(s *Scenario, change func(*Scenario)) *Scenario {
	change(s)
	return s
}

func evenLoad() *Scenario {
	return smallScenario(flood(20, 0, 1, 2, 3, 4, 5), flood(20, 0, 1, 2, 3, 4, 5), flood(20, 0, 1, 2, 3, 4, 5), flood(20, 0, 1, 2, 3, 4, 5))
}

// firstRouters returns the indexes of the first n routers.
func firstRouters(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// ownerOf returns the index of the owner of region a at the start.
func ownerOf(s *Scenario) int {
	f := NewFleet(s)
	for i, n := range f.nodes {
		if n.instance.Region == "a" && n.owns() {
			return i
		}
	}
	return -1
}

// restartFaults stops an instance for 1 s and restarts the measurement of the gap 5 s
// after the instance is back.
func restartFaults(index int, at time.Duration) []Fault {
	return []Fault{
		{at, func(f *Fleet) { f.Kill(index) }},
		{at + time.Second, func(f *Fleet) { f.Restart(index) }},
		{at + 6*time.Second, (*Fleet).Forget},
	}
}

func partitionFaults(at, length time.Duration) []Fault {
	return []Fault{
		{at, func(f *Fleet) { f.Partition("a", 1) }},
		{at + length, func(f *Fleet) { f.Partition("a", 0) }},
		{at + length + detectionDelay + 5*time.Second, (*Fleet).Forget},
	}
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		scenario *Scenario
		late     int // requests that may queue within one upstream
	}{
		"even load": {scenario: evenLoad()},
		"messages lost, doubled, reordered, clocks apart": {scenario: changed(evenLoad(), func(s *Scenario) {
			s.Loss, s.Double, s.Jitter, s.Offset = 0.02, 0.02, 20*time.Millisecond, 10*time.Minute
		}), late: 8},
		"owner lost in a flood": {scenario: changed(evenLoad(), func(s *Scenario) {
			index := ownerOf(s)
			s.Faults = []Fault{{20 * time.Second, func(f *Fleet) { f.Kill(index) }}, {28 * time.Second, (*Fleet).Forget}}
		}), late: 16},
		"router restarted empty in a flood": {scenario: changed(evenLoad(), func(s *Scenario) {
			s.Faults = restartFaults((ownerOf(s)+1)%2, 20*time.Second)
		}), late: 16},
		"owner restarted empty in a flood": {scenario: changed(evenLoad(), func(s *Scenario) {
			s.Faults = restartFaults(ownerOf(s), 20*time.Second)
		}), late: 16},
		"partition and rejoin, twice": {scenario: changed(
			smallScenario(flood(30, 0, 1), flood(30, 2, 3, 4, 5), flood(20, 0, 1, 2, 3, 4, 5)), func(s *Scenario) {
				s.Faults = append(partitionFaults(10*time.Second, 10*time.Second), partitionFaults(30*time.Second, 10*time.Second)...)
			}), late: 8},
		"upstream lost with work": {scenario: changed(evenLoad(), func(s *Scenario) {
			s.Faults = []Fault{{20 * time.Second, func(f *Fleet) { f.Crash(0) }}}
		})},
		"upstream failing each request": {scenario: changed(evenLoad(), func(s *Scenario) {
			s.Faults = []Fault{{20 * time.Second, func(f *Fleet) { f.Fail(0) }}}
		})},
		"upstream leaving": {scenario: changed(evenLoad(), func(s *Scenario) {
			s.Faults = []Fault{{20 * time.Second, func(f *Fleet) { f.Leave(0) }}}
		})},
		"reports late":    {scenario: changed(evenLoad(), func(s *Scenario) { s.Lag = 5 * time.Second })},
		"reports missing": {scenario: changed(evenLoad(), func(s *Scenario) { s.Lag = -1 })},
		"tiny against huge": {scenario: smallScenario(
			Load{Routers: []int{0, 1, 2, 3, 4, 5}, Clients: 40, Least: 4, Most: 8},
			Load{Routers: []int{0, 1, 2, 3, 4, 5}, Clients: 8, Least: 800, Most: 1200},
			flood(20, 0, 1, 2, 3, 4, 5))},
		"return from idle": {scenario: changed(evenLoad(), func(s *Scenario) {
			s.Loads[0].From, s.Loads[1].Until = 30*time.Second, 20*time.Second
		})},
		"one region each": {scenario: smallScenario(flood(60, 0, 1), flood(60, 2, 3))},
		"one region each, uneven capacity": {scenario: changed(smallScenario(flood(60, 0, 1), flood(60, 2, 3)), func(s *Scenario) {
			s.Places[0].Upstreams = 1
		})},
		"two floods against small accounts": {scenario: smallScenario(
			flood(100, 0, 1, 2, 3, 4, 5), flood(100, 0, 1, 2, 3, 4, 5), flood(4, 0, 1), flood(4, 2), flood(4, 5))},
		"two cells in one region": {scenario: changed(smallScenario(
			flood(60, 0, 1), flood(30, 2, 3, 4, 5), flood(1, firstRouters(96)...)), func(s *Scenario) {
			s.Places = []Place{{"a", 1, 96, 6}}
		})},
		"one router against all": {scenario: smallScenario(flood(100, 0), flood(20, 0, 1, 2, 3, 4, 5))},
		"shares":                 {scenario: changed(evenLoad(), func(s *Scenario) { s.Loads[0].Share = 4 })},
		"graceful stop of an owner": {scenario: changed(evenLoad(), func(s *Scenario) {
			index := ownerOf(s)
			s.Faults = []Fault{{20 * time.Second, func(f *Fleet) { f.Drain(index) }}}
		}), late: 16},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := NewFleet(test.scenario)
			r := f.Run()
			t.Logf("%+v leaks %d", r, f.Leaks())
			is.True(r.Requests > 100)                // the fleet served requests
			is.True(r.Excess <= maxExcessSeconds)    // gap between any two backlogged accounts
			is.True(r.Utilisation >= minUtilisation) // no slot idle while work waits
			is.True(r.Ratio <= maxWaitRatio)         // no request waits more than twice its fair wait
			is.True(r.Overfull <= test.late)         // windows are not overcommitted
			is.Equal(r.Late, 0)                      // a leaving upstream gets no new requests
			is.Equal(f.Leaks(), 0)                   // all slots were released
		})
	}
}
