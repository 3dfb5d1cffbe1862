package gatherer

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// Period is how often routers send loads to their gatherer, and how often it
	// replies. Engines prefill some thousand tokens in a period, which is little
	// compared with the tokens that wait under load.
	Period = 100 * time.Millisecond
	// gathererPeriods is the number of periods between two messages to other gatherers.
	// Traffic between regions is billed.
	gathererPeriods = 3
)

// Options configure a Relay.
type Options struct {
	Members redwingshunt.Members
	Link    redwingshunt.Link
	Clock   redwingshunt.Clock
	Logger  *slog.Logger
	Metrics tally.Scope // may be nil
	// MayHedge reports whether requests of a service may be hedged, so that their times are
	// summed up; nil if none may.
	MayHedge func(redwingshunt.ServiceID) bool
}

// Relay drives a Core. It sends nothing while no router uses this gatherer. It is
// safe for concurrent use.
type Relay struct {
	options Options

	mu       sync.Mutex
	core     *Core
	sequence uint64
	times    *TimesReport
}

// NewRelay returns a relay and registers it with the link.
func NewRelay(options Options) *Relay {
	if options.MayHedge == nil {
		options.MayHedge = func(redwingshunt.ServiceID) bool { return false }
	}
	r := &Relay{options: options, core: New(), times: NewTimesReport(options.Logger, options.Metrics)}
	options.Link.Handle(redwingshunt.KindLoad, r.receive)
	return r
}

// Run sends sums periodically until ctx is done.
func (r *Relay) Run(ctx context.Context) {
	ticker := time.NewTicker(Period)
	defer ticker.Stop()
	for period := 0; ; period++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.sendSums(period%gathererPeriods == 0)
		}
	}
}

func (r *Relay) receive(from redwingshunt.InstanceID, payload []byte) {
	loads, err := Decode(payload)
	if err != nil {
		r.options.Logger.Warn("cannot decode loads of a router", "from", string(from), "error", err.Error())
		return
	}
	now := r.options.Clock.Now()
	r.mu.Lock()
	r.core.Receive(now, from, loads)
	ignored := r.core.ReceiveTimes(now, from, loads, r.options.MayHedge)
	r.mu.Unlock()
	r.times.Note(now, from, ignored)
}

// sendSums sends sums to the routers of this gatherer and, if toGatherers is set, to
// the other gatherers.
func (r *Relay) sendSums(toGatherers bool) {
	now, live := r.options.Clock.Now(), r.options.Members.Live()
	r.mu.Lock()
	idle, shares := len(r.core.Routers(now)) == 0, r.core.SharesTimes()
	if idle && !shares {
		r.mu.Unlock()
		return
	}
	others := make(map[redwingshunt.InstanceID]*wire.Loads)
	if !idle {
		others = r.core.Others(now)
	}
	own := r.core.Own(now)
	if shares {
		r.core.KeepTimesOf(live)
		r.core.AddTimes(now, others)
		if toGatherers {
			r.core.AddTimeSums(now, own)
		}
	}
	r.sequence = max(r.sequence+1, uint64(now.UnixNano()))
	sequence := r.sequence
	shortfall, behind := r.core.Shortfall(now)
	r.mu.Unlock()
	if behind {
		r.options.Logger.Info("an account is behind", "account", string(shortfall.Account), "asked", shortfall.Asked,
			"admitted", shortfall.Admitted, "best", string(shortfall.Best), "highest", shortfall.Highest,
			"ratio", math.Round(shortfall.Ratio()*100)/100)
	}
	for id, loads := range others {
		loads.Sequence = sequence
		r.send(id, redwingshunt.KindLoadSum, loads)
	}
	if !toGatherers || idle && len(own.GetTimes()) == 0 {
		return
	}
	own.Sequence = sequence
	self := r.options.Members.Self().ID
	for _, member := range live {
		if member.Voter && member.ID != self {
			r.send(member.ID, redwingshunt.KindLoad, own)
		}
	}
}

func (r *Relay) send(to redwingshunt.InstanceID, kind redwingshunt.MessageKind, loads *wire.Loads) {
	message, err := Encode(kind, loads)
	if err != nil {
		r.options.Logger.Error("cannot encode loads", "error", err.Error())
		return
	}
	r.options.Link.Send(to, message)
}

// Dump returns the routers that use this gatherer.
func (r *Relay) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Routers(r.options.Clock.Now())
}
