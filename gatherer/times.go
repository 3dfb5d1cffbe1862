package gatherer

// Times of requests, which are exchanged in the same messages as loads but less often.
// Package pooler decides which of them are sent.

import (
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/pooler"
	"github.com/redwingshunt/redwingshunt/wire"
)

// ReceiveTimes takes the times in the loads of a router or in the sum of another gatherer,
// in that order with Receive.
func (c *Core) ReceiveTimes(
	now time.Time, from redwingshunt.InstanceID, loads *wire.Loads, mayHedge func(redwingshunt.ServiceID) bool,
) pooler.Ignored {
	if len(loads.GetTimes()) == 0 {
		return pooler.Ignored{}
	}
	if loads.GetAskTimes() {
		c.times.Ask(from)
	}
	times, ignored := pooler.Decode(loads.GetTimes(), mayHedge)
	return ignored.Add(c.times.Receive(now, from, loads.GetSum(), loads.GetSequence(), times))
}

// hasTimesOnly reports whether a router without load has sent times.
func hasTimesOnly(loads *wire.Loads) bool {
	return len(loads.GetTimes()) > 0 && len(loads.GetUpstreams()) == 0 && len(loads.GetAccounts()) == 0
}

// SharesTimes reports whether there are times to be sent.
func (c *Core) SharesTimes() bool { return !c.times.Empty() }

// KeepTimesOf drops the times of other gatherers than those that are live.
func (c *Core) KeepTimesOf(live []redwingshunt.Instance) { c.times.KeepGatherers(live) }

// AddTimes adds the times that are due to the loads that are sent to routers. It adds loads
// for a router without load to which times are due.
func (c *Core) AddTimes(now time.Time, others map[redwingshunt.InstanceID]*wire.Loads) {
	for id, times := range c.times.Replies(now, c.Routers(now)) {
		if others[id] == nil {
			others[id] = c.total(now).loads()
		}
		others[id].Times = pooler.Encode(times)
	}
}

// AddTimeSums adds the times that are due to the sum that is sent to other gatherers.
func (c *Core) AddTimeSums(now time.Time, own *wire.Loads) {
	own.Times = pooler.Encode(c.times.Sums(now))
}

// TimesReport reports received times that are not used. It is safe for concurrent use.
type TimesReport struct {
	logger *slog.Logger
	scope  tally.Scope

	mu      sync.Mutex
	pending pooler.Ignored // since the last line
	logged  time.Time
}

// NewTimesReport returns a report that writes at most one line a second. The scope may be
// nil.
func NewTimesReport(logger *slog.Logger, scope tally.Scope) *TimesReport {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &TimesReport{logger: logger, scope: scope}
}

// Note counts times that were received from an instance and are not used.
func (t *TimesReport) Note(now time.Time, from redwingshunt.InstanceID, ignored pooler.Ignored) {
	if ignored == (pooler.Ignored{}) {
		return
	}
	for reason, n := range map[string]int{"invalid": ignored.Invalid, "unknown": ignored.Unknown, "too-many": ignored.TooMany} {
		if n > 0 {
			t.scope.Tagged(map[string]string{"reason": reason}).Counter("hedge_times_ignored").Inc(int64(n))
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = t.pending.Add(ignored)
	if now.Sub(t.logged) < time.Second {
		return
	}
	t.logger.Info("times of requests ignored", "from", string(from),
		"invalid", t.pending.Invalid, "unknown", t.pending.Unknown, "many", t.pending.TooMany)
	t.pending, t.logged = pooler.Ignored{}, now
}
