package replicator

import (
	"slices"
	"testing"
	"time"
)

// BenchmarkFailover reports the simulated time from the crash of a leader to the
// next commit, with another random seed in each iteration.
func BenchmarkFailover(b *testing.B) {
	var times []time.Duration
	for seed := uint64(0); b.Loop(); seed++ {
		n := newNetwork(b, seed, names(3)...)
		n.run(6 * time.Second)
		n.run(time.Duration(n.random.IntN(1000)) * time.Millisecond)
		n.crash(n.leader())
		began, before := n.now, n.lastCommitted
		for n.lastCommitted == before {
			n.run(10 * time.Millisecond)
		}
		times = append(times, n.now.Sub(began))
	}
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2].Seconds(), "p50-s")
	b.ReportMetric(times[len(times)*99/100].Seconds(), "p99-s")
	b.ReportMetric(times[len(times)-1].Seconds(), "max-s")
}
