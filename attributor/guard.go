package attributor

// What each instance does: it refuses requests, and knows which parts were in
// answered requests.

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// maxAnswered bounds the parts in each of the two generations of answered.
	maxAnswered = 4096
	// reportInterval is the least time between two reports of one part.
	reportInterval = time.Second
	// suspicionRetention is how long a part is watched after it was suspected, unless
	// another verdict comes.
	suspicionRetention = time.Minute
)

// Guard is the part of the decisions that each instance makes. It is used by one
// goroutine at a time.
type Guard struct {
	answered, older map[Key]time.Time // when the last response to a request with a part began
	verdicts        map[Key]*watch
}

// watch is a verdict that is not Cleared.
type watch struct {
	verdict  Verdict
	until    time.Time
	reported time.Time // when an answered request was reported last
}

// NewGuard returns a Guard without verdicts.
func NewGuard() *Guard {
	return &Guard{answered: make(map[Key]time.Time), verdicts: make(map[Key]*watch)}
}

// Check returns the verdict that refuses a prompt, or a zero Verdict.
func (g *Guard) Check(now time.Time, p redwingshunt.SharedPrompt) Verdict {
	if len(g.verdicts) == 0 {
		return Verdict{}
	}
	for _, key := range keysOf(p) {
		if w := g.find(now, key); w != nil && w.verdict.State == Refused {
			return w.verdict
		}
	}
	return Verdict{}
}

// Answered records that the response to a request with a prompt began at a time and
// that its upstream did not die of it. It returns what to report to the collectors.
func (g *Guard) Answered(now time.Time, p redwingshunt.SharedPrompt, began time.Time) []Answered {
	var reports []Answered
	for _, key := range keysOf(p) {
		if !began.After(g.lastAnswered(key)) {
			continue
		}
		if len(g.answered) >= maxAnswered {
			g.answered, g.older = make(map[Key]time.Time), g.answered
		}
		g.answered[key] = began
		if len(g.verdicts) == 0 {
			continue
		}
		w := g.find(now, key)
		if w != nil && began.After(w.verdict.Since) && now.Sub(w.reported) >= reportInterval {
			w.reported = now
			reports = append(reports, Answered{Key: key, At: began})
		}
	}
	return reports
}

// Known returns the answered requests with a part of a prompt.
func (g *Guard) Known(p redwingshunt.SharedPrompt) []Answered {
	var known []Answered
	for _, key := range keysOf(p) {
		if at := g.lastAnswered(key); !at.IsZero() {
			known = append(known, Answered{Key: key, At: at})
		}
	}
	return known
}

// Apply applies a verdict and returns what to report to the collectors.
func (g *Guard) Apply(now time.Time, v Verdict) []Answered {
	switch v.State {
	case Cleared:
		delete(g.verdicts, v.Key)
		return nil
	case Suspected:
		if w := g.find(now, v.Key); w != nil && w.verdict.State == Refused {
			return nil // it arrived late
		}
		g.set(v, now.Add(suspicionRetention))
	case Refused:
		if !v.Expires.After(now) {
			return nil
		}
		g.set(v, v.Expires)
	}
	at := g.lastAnswered(v.Key)
	if !at.After(v.Since) {
		return nil
	}
	return []Answered{{Key: v.Key, At: at}}
}

// Refused returns the verdicts that refuse a part, to be sent to a new instance.
func (g *Guard) Refused(now time.Time) []Verdict {
	var refused []Verdict
	for _, w := range g.verdicts {
		if w.verdict.State == Refused && w.until.After(now) {
			refused = append(refused, w.verdict)
		}
	}
	return refused
}

func (g *Guard) lastAnswered(key Key) time.Time {
	if at, ok := g.answered[key]; ok {
		return at
	}
	return g.older[key]
}

// set stores a verdict and evicts the one that ends first if there are too many.
func (g *Guard) set(v Verdict, until time.Time) {
	if g.verdicts[v.Key] == nil && len(g.verdicts) >= maxVerdicts {
		var first *watch
		for _, w := range g.verdicts {
			if first == nil || w.until.Before(first.until) {
				first = w
			}
		}
		delete(g.verdicts, first.verdict.Key)
	}
	g.verdicts[v.Key] = &watch{verdict: v, until: until}
}

// find returns the verdict on a part that has not expired, or nil.
func (g *Guard) find(now time.Time, key Key) *watch {
	w := g.verdicts[key]
	if w != nil && !w.until.After(now) {
		delete(g.verdicts, key)
		return nil
	}
	return w
}
