package attributor

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// scene is one collector with one guard, and a clock.
type scene struct {
	now       time.Time
	guard     *Guard
	collector *Collector
	requests  uint64
}

func newScene() *scene {
	return &scene{now: start, guard: NewGuard(), collector: NewCollector()}
}

// running is a request on an upstream when it dies.
type running struct {
	account  redwingshunt.AccountID
	parts    []string
	progress redwingshunt.LossProgress
	again    bool // the same request as the one before
}

func prompt(account redwingshunt.AccountID, parts ...string) redwingshunt.SharedPrompt {
	return redwingshunt.SharedPrompt{Service: "s", Account: account, Parts: parts}
}

// crash ends an upstream while requests run on it.
func (s *scene) crash(upstream string, requests ...running) {
	for _, r := range requests {
		if !r.again {
			s.requests++
		}
		var fingerprint redwingshunt.Fingerprint
		binary.BigEndian.PutUint64(fingerprint[:], s.requests)
		p := prompt(r.account, r.parts...)
		s.collector.Lost(s.now, Loss{
			Upstream: redwingshunt.UpstreamKey{Service: "s", ID: redwingshunt.UpstreamID(upstream)},
			Request:  fingerprint, Prompt: p, Progress: r.progress, Answered: s.guard.Known(p), At: s.now,
		})
	}
}

func (s *scene) answer(p redwingshunt.SharedPrompt) {
	for _, report := range s.guard.Answered(s.now, p, s.now) {
		s.collector.Answered(report)
	}
	s.judge() // as on each report
}

// pass lets time pass and judges when it is needed.
func (s *scene) pass(d time.Duration) {
	for end := s.now.Add(d); ; {
		next, needed := s.collector.Next(s.now)
		if !needed || next.After(end) {
			s.now = end
			return
		}
		s.now = next
		s.judge()
	}
}

// judge applies the verdicts, and again what contradicts them.
func (s *scene) judge() {
	for again := true; again; {
		again = false
		for _, v := range s.collector.Judge(s.now) {
			for _, report := range s.guard.Apply(s.now, v) {
				s.collector.Answered(report)
				again = true
			}
		}
	}
}

func (s *scene) refused(p redwingshunt.SharedPrompt) bool {
	return s.guard.Check(s.now, p).State == Refused
}

// poisoned is a request that ends its upstream, and beside are sound ones.
func poisoned() running {
	return running{account: "a", parts: []string{"kind", "bad"}, progress: redwingshunt.LostAfterHeader}
}

func waiting(account redwingshunt.AccountID, parts ...string) running {
	return running{account: account, parts: parts, progress: redwingshunt.LostBeforeHeader}
}

// TestRefusesOnlyThePoisonPart ends upstreams and checks which prompts are refused.
func TestRefusesOnlyThePoisonPart(t *testing.T) {
	bad, kind, other := prompt("a", "kind", "bad"), prompt("a", "kind", "good"), prompt("b", "kind", "bad")
	tests := map[string]struct {
		play    func(*scene)
		refused []redwingshunt.SharedPrompt
		served  []redwingshunt.SharedPrompt
	}{
		"five upstreams, sound requests beside": {
			play: func(s *scene) {
				for i := range 5 {
					s.crash(fmt.Sprint("u", i), waiting("a", "kind", "good"), poisoned(), waiting("b", "kind", "x"), waiting("a", "kind", fmt.Sprint("rare", i)))
					s.pass(300 * time.Millisecond)
					s.answer(kind)
				}
				s.pass(time.Second)
			},
			refused: []redwingshunt.SharedPrompt{bad},
			served:  []redwingshunt.SharedPrompt{kind, prompt("a", "kind", "rare1"), prompt("b", "kind", "x"), other},
		},
		"the header does not arrive": {
			play: func(s *scene) {
				for i := range 6 {
					s.crash(fmt.Sprint("u", i), waiting("a", "kind", "bad"), waiting("a", "kind", fmt.Sprint("rare", i)))
					s.pass(300 * time.Millisecond)
					s.answer(kind)
				}
				s.pass(time.Second)
			},
			refused: []redwingshunt.SharedPrompt{bad},
			served:  []redwingshunt.SharedPrompt{kind, prompt("a", "kind", "rare5")},
		},
		"two poison parts at once": {
			play: func(s *scene) {
				for i := range 5 {
					s.crash(fmt.Sprint("u", i), poisoned(), waiting("a", "kind", "bad2"))
					s.crash(fmt.Sprint("v", i), running{account: "a", parts: []string{"kind", "bad2"}, progress: redwingshunt.LostAfterHeader})
					s.pass(300 * time.Millisecond)
					s.answer(kind)
				}
				s.pass(time.Second)
			},
			refused: []redwingshunt.SharedPrompt{bad, prompt("a", "kind", "bad2")},
			served:  []redwingshunt.SharedPrompt{kind},
		},
		"one request sent again": {
			play: func(s *scene) {
				s.crash("u0", poisoned())
				for i := range 5 {
					again := poisoned()
					again.again = true
					s.crash(fmt.Sprint("v", i), again)
					s.pass(time.Second)
				}
			},
			served: []redwingshunt.SharedPrompt{bad, kind},
		},
		"two upstreams": {
			play: func(s *scene) {
				s.crash("u0", poisoned())
				s.crash("u1", poisoned())
				s.pass(5 * time.Second)
			},
			served: []redwingshunt.SharedPrompt{bad, kind},
		},
		"all upstreams of a rack, popular parts": {
			play: func(s *scene) {
				s.answer(kind)
				s.pass(time.Second)
				for i := range 8 {
					s.crash(fmt.Sprint("u", i), waiting("a", "kind", "good"), waiting("a", "kind", "good"), waiting("b", "kind", "x"))
				}
				for range 10 {
					s.pass(300 * time.Millisecond)
					s.answer(kind)
					s.answer(prompt("b", "kind", "x"))
				}
			},
			served: []redwingshunt.SharedPrompt{kind, prompt("b", "kind", "x")},
		},
		"answered after it was refused": {
			play: func(s *scene) {
				for i := range 5 {
					s.crash(fmt.Sprint("u", i), poisoned())
				}
				s.pass(2 * time.Second)
				s.answer(bad)
				s.pass(time.Second)
			},
			served: []redwingshunt.SharedPrompt{bad, kind},
		},
		"expired, and one more loss": {
			play: func(s *scene) {
				for i := range 5 {
					s.crash(fmt.Sprint("u", i), poisoned())
				}
				s.pass(refusalPeriod + time.Minute)
				s.crash("late", poisoned())
				s.pass(time.Second)
			},
			refused: []redwingshunt.SharedPrompt{bad},
		},
		"expired": {
			play: func(s *scene) {
				for i := range 5 {
					s.crash(fmt.Sprint("u", i), poisoned())
				}
				s.pass(refusalPeriod + time.Minute)
			},
			served: []redwingshunt.SharedPrompt{bad, kind},
		},
		"another account, after one loss of its own": {
			play: func(s *scene) {
				for i := range 5 {
					s.crash(fmt.Sprint("u", i), poisoned())
				}
				s.pass(2 * time.Second)
				s.crash("w", running{account: "b", parts: []string{"kind", "bad"}, progress: redwingshunt.LostAfterHeader})
				s.pass(time.Second)
			},
			refused: []redwingshunt.SharedPrompt{bad, other},
			served:  []redwingshunt.SharedPrompt{prompt("c", "kind", "bad")},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScene()
			test.play(s)
			for _, p := range test.refused {
				is.True(s.refused(p))
			}
			for _, p := range test.served {
				is.True(!s.refused(p))
			}
		})
	}
}

// TestBounded ends many upstreams with many requests of many parts.
func TestBounded(t *testing.T) {
	is := is.New(t)
	s := newScene()
	for i := range 600 {
		var requests []running
		for j := range 40 {
			parts := make([]string, 30)
			for k := range parts {
				parts[k] = fmt.Sprint("p", i, "-", j, "-", k)
			}
			requests = append(requests, running{account: "a", parts: parts, progress: redwingshunt.LostAfterHeader})
			if j%10 == 0 {
				s.answer(prompt("a", parts...))
			}
		}
		s.crash(fmt.Sprint("u", i), requests...)
		if i%100 == 0 {
			s.pass(100 * time.Millisecond)
		}
	}
	is.True(s.collector.keys <= maxKeys+maxLossesPerCrash*30)
	is.True(len(s.collector.crashes) <= maxCrashes)
	is.True(len(s.collector.answered) <= maxAnswered)
	is.True(len(s.collector.suspected) <= maxSuspected)
	is.True(len(s.guard.answered) <= maxAnswered)
	is.True(len(s.guard.verdicts) <= maxVerdicts)
}
