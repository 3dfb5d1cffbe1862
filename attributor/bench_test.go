package attributor

import (
	"fmt"
	"testing"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// BenchmarkGuard measures what an answered request costs each instance: the check of its
// two shared parts and the record of its answer.
func BenchmarkGuard(b *testing.B) {
	prompts := make([]redwingshunt.SharedPrompt, 1000)
	for i := range prompts {
		prompts[i] = prompt("a", "kind", fmt.Sprint("session-", i))
	}
	g, now := NewGuard(), start
	for i := range b.N {
		now = now.Add(time.Millisecond)
		p := prompts[i%len(prompts)]
		g.Check(now, p)
		g.Answered(now, p, now)
	}
}

// BenchmarkJudge measures a judgement over the most crashes that a collector keeps, each
// with 20 requests.
func BenchmarkJudge(b *testing.B) {
	s := newScene()
	for i := range maxCrashes {
		var requests []running
		for j := range 20 {
			requests = append(requests, waiting("a", "kind", fmt.Sprint("p", i, "-", j)))
		}
		s.crash(fmt.Sprint("u", i), requests...)
	}
	s.now = s.now.Add(settleTime)
	for b.Loop() {
		s.collector.weigh(s.now)
	}
}
