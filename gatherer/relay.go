package gatherer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// Period is how often routers tell their gatherer, and it them; engines read
	// some thousand tokens meanwhile, little against what waits under load.
	Period = 100 * time.Millisecond
	// farPeriods is how many periods pass between two messages to other
	// gatherers, which are billed between regions.
	farPeriods = 3
)

// Options configure a Relay.
type Options struct {
	Members redwingshunt.Members
	Link    redwingshunt.Link
	Clock   redwingshunt.Clock
	Logger  *slog.Logger
}

// Relay drives a Core. An instance that no router has chosen sends nothing.
type Relay struct {
	options Options

	mu       sync.Mutex
	core     *Core
	sequence uint64
}

// NewRelay returns a relay and registers it with the link.
func NewRelay(options Options) *Relay {
	r := &Relay{options: options, core: New()}
	options.Link.Handle(redwingshunt.KindLoad, r.receive)
	return r
}

// Run works until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	ticker := time.NewTicker(Period)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.tell(turn%farPeriods == 0)
		}
	}
}

func (r *Relay) receive(from redwingshunt.InstanceID, payload []byte) {
	loads, err := Decode(payload)
	if err != nil {
		r.options.Logger.Warn("the loads of a router cannot be read", "from", string(from), "error", err.Error())
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Heard(r.options.Clock.Now(), from, loads)
}

// tell tells the routers of this gatherer and, when it is their turn, the other
// gatherers.
func (r *Relay) tell(far bool) {
	now := r.options.Clock.Now()
	r.mu.Lock()
	if len(r.core.Routers(now)) == 0 {
		r.mu.Unlock()
		return
	}
	others := r.core.Others(now)
	own := r.core.Own(now)
	r.sequence = max(r.sequence+1, uint64(now.UnixNano()))
	sequence := r.sequence
	r.mu.Unlock()
	for id, loads := range others {
		loads.Sequence = sequence
		r.send(id, redwingshunt.KindLoadSum, loads)
	}
	if !far {
		return
	}
	own.Sequence = sequence
	self := r.options.Members.Self().ID
	for _, member := range r.options.Members.Live() {
		if member.Voter && member.ID != self {
			r.send(member.ID, redwingshunt.KindLoad, own)
		}
	}
}

func (r *Relay) send(to redwingshunt.InstanceID, kind redwingshunt.MessageKind, loads *wire.Loads) {
	message, err := Encode(kind, loads)
	if err != nil {
		r.options.Logger.Error("the loads could not be encoded", "error", err.Error())
		return
	}
	r.options.Link.Send(to, message)
}

// Dump returns the routers that this gatherer hears of.
func (r *Relay) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Routers(r.options.Clock.Now())
}
