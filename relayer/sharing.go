package relayer

// Times of first attempts, which instances share so that those with few requests hedge by
// what the fleet has seen. Package allocator sends and receives them.

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/hedger"
	"github.com/redwingshunt/redwingshunt/pooler"
)

// MayHedge reports whether requests of a service may be hedged.
func (r *Relayer) MayHedge(service redwingshunt.ServiceID) bool {
	i := r.currentIndex()
	return i != nil && i.hedges[service] > 0
}

// OwnTimes returns the recent times of requests that may be hedged.
func (r *Relayer) OwnTimes() (own []pooler.Times) {
	i := r.currentIndex()
	if i == nil || len(i.hedges) == 0 {
		return nil
	}
	mayHedge := func(service redwingshunt.ServiceID) bool { return i.hedges[service] > 0 }
	r.hedging.do(func(now time.Time, core *hedger.Core) { own = core.Own(now, mayHedge) })
	return own
}

// LearnTimes takes the times at all other instances.
func (r *Relayer) LearnTimes(times []pooler.Times) pooler.Ignored {
	var ignored pooler.Ignored
	var enabled []pooler.Times
	r.hedging.do(func(now time.Time, core *hedger.Core) {
		for _, t := range times {
			hedged, ok := core.Learn(now, t)
			if hedged {
				enabled = append(enabled, t)
			}
			if !ok {
				ignored.TooMany++
			}
		}
	})
	for _, t := range enabled {
		if logged, suppressed := r.hedging.enabledLog.allow(time.Now(), maxHedgeLinesPerSecond); logged {
			r.options.Logger.Info("hedges possible by times of other instances", "service", string(t.Class.Service),
				"kind", string(t.Class.Kind), "size", t.Class.Size, "times", t.Counts.Total(), "untold", suppressed)
		}
	}
	return ignored
}
