package allocator

// Times of requests, which this router shares with others through its gatherer.

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/pooler"
	"github.com/redwingshunt/redwingshunt/wire"
)

// TimeSharer has times of requests to share. It is implemented by package relayer.
type TimeSharer interface {
	// OwnTimes returns the recent times at this instance; none if nothing may be hedged.
	OwnTimes() []pooler.Times
	// LearnTimes takes the times at all other instances, for the classes that are listed.
	LearnTimes(times []pooler.Times) pooler.Ignored
	// MayHedge reports whether requests of a service may be hedged.
	MayHedge(service redwingshunt.ServiceID) bool
}

// ShareTimes sets whose times are shared. It is called before Run.
func (a *Allocator) ShareTimes(sharer TimeSharer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sharer = sharer
}

// addTimes adds the times that are due to the loads that are sent next. The caller holds the
// lock.
func (a *Allocator) addTimes(now time.Time, loads *wire.Loads) {
	if a.sharer == nil {
		return
	}
	due := a.times.Due(now, a.sharer.OwnTimes)
	if len(due) == 0 {
		return
	}
	a.options.Metrics.Counter("hedge_times_sent").Inc(int64(len(due)))
	loads.Times, loads.AskTimes = pooler.Encode(due), a.times.Asks()
}

// learnTimes passes on the times in a message of this router's gatherer.
func (a *Allocator) learnTimes(from redwingshunt.InstanceID, loads *wire.Loads) {
	if len(loads.GetTimes()) == 0 {
		return
	}
	now := a.options.Clock.Now()
	a.mu.Lock()
	sharer := a.sharer
	current := sharer != nil && a.times.Current(now, from, loads.GetSequence())
	a.mu.Unlock()
	if !current {
		return
	}
	times, ignored := pooler.Decode(loads.GetTimes(), sharer.MayHedge)
	a.timesReport.Note(now, from, ignored.Add(sharer.LearnTimes(times)))
	a.options.Metrics.Counter("hedge_times_received").Inc(int64(len(times)))
}
