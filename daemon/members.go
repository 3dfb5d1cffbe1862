package daemon

import (
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/linker"
	"github.com/redwingshunt/redwingshunt/prober"
	"github.com/redwingshunt/redwingshunt/wire"
)

// probeInterval is the interval of clock ticks for the membership protocol.
const probeInterval = 100 * time.Millisecond

// memberTable runs the membership protocol of package prober. It implements
// redwingshunt.Members.
type memberTable struct {
	self   atomic.Pointer[redwingshunt.Instance]
	live   atomic.Pointer[[]redwingshunt.Instance]
	linker *linker.Linker
	logger *slog.Logger

	mu     sync.Mutex
	prober *prober.Prober
	watch  func(live []redwingshunt.Instance) // see onChange; may be nil
}

func newMemberTable(self redwingshunt.Instance, seeds []netip.AddrPort, logger *slog.Logger) *memberTable {
	seeds = slices.DeleteFunc(slices.Clone(seeds), func(a netip.AddrPort) bool { return a == self.Address })
	t := &memberTable{
		logger: logger,
		prober: prober.New(self, seeds, prober.Defaults(), uint64(self.Incarnation)),
	}
	t.self.Store(&self)
	t.refresh()
	return t
}

// attach connects the table to the links. It must be called once, before run.
func (t *memberTable) attach(l *linker.Linker) {
	t.linker = l
	l.Handle(redwingshunt.KindMembership, func(from redwingshunt.InstanceID, payload []byte) {
		probe := new(wire.Probe)
		if proto.Unmarshal(payload, probe) == nil {
			t.step(prober.Received{From: from, Probe: probe})
		}
	})
}

func (t *memberTable) run(done <-chan struct{}) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		t.step(prober.Tick{})
		select {
		case <-ticker.C:
		case <-done:
			return
		}
	}
}

func (t *memberTable) step(event prober.Event) {
	t.mu.Lock()
	actions := t.prober.Step(time.Now(), event)
	if slices.Contains(actions, prober.Action(prober.Changed{})) {
		t.refresh()
	}
	t.mu.Unlock()
	for _, action := range actions {
		t.execute(action)
	}
}

// execute executes an action. The caller must not hold mu, which find locks.
func (t *memberTable) execute(action prober.Action) {
	switch a := action.(type) {
	case prober.Send:
		t.linker.Send(a.To, membershipMessage(a.Probe))
	case prober.SendAddress:
		t.linker.SendAddress(a.Address, membershipMessage(a.Probe))
	}
}

func membershipMessage(probe *wire.Probe) redwingshunt.Message {
	payload, err := proto.Marshal(probe)
	if err != nil {
		payload = nil // cannot happen: all strings come from valid UTF-8
	}
	return redwingshunt.Message{Kind: redwingshunt.KindMembership, Payload: payload}
}

func (t *memberTable) refresh() {
	live := t.prober.Live()
	if known := t.live.Swap(&live); known != nil {
		t.logChange(*known, live)
	}
	if t.watch != nil {
		t.watch(live)
	}
	for _, i := range live {
		if i.ID == t.self.Load().ID {
			t.self.Store(&i)
		}
	}
}

// onChange calls a function with the live instances now and after each change. It must
// return quickly and must not call the table.
func (t *memberTable) onChange(watch func(live []redwingshunt.Instance)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watch = watch
	watch(t.Live())
}

// logChange logs which instances were added and removed.
func (t *memberTable) logChange(before, after []redwingshunt.Instance) {
	added, removed := missingIn(before, after), missingIn(after, before)
	if len(added)+len(removed) > 0 {
		t.logger.Info("instances alive changed", "came", added, "went", removed, "alive", len(after))
	}
}

// missingIn returns the IDs of the instances that are not in view.
func missingIn(view, instances []redwingshunt.Instance) []redwingshunt.InstanceID {
	known := make(redwingshunt.Set[redwingshunt.InstanceID], len(view))
	for _, i := range view {
		known.Add(i.ID)
	}
	var missing []redwingshunt.InstanceID
	for _, i := range instances {
		if !known.Has(i.ID) {
			missing = append(missing, i.ID)
		}
	}
	return missing
}

// Self returns this instance.
func (t *memberTable) Self() redwingshunt.Instance { return *t.self.Load() }

// Live returns all live instances, ordered by name.
func (t *memberTable) Live() []redwingshunt.Instance { return *t.live.Load() }

// find returns an instance by name, even if it is dead.
func (t *memberTable) find(id redwingshunt.InstanceID) (redwingshunt.Instance, bool) {
	for _, i := range t.Live() {
		if i.ID == id {
			return i, true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.prober.Find(id)
}

// identify returns the live instance at a link address.
func (t *memberTable) identify(address netip.AddrPort) (redwingshunt.InstanceID, bool) {
	for _, i := range t.Live() {
		if i.Address == address {
			return i.ID, true
		}
	}
	return "", false
}

// leave announces to other instances that this one is shutting down.
func (t *memberTable) leave() { t.step(prober.Leave{}) }

// linkLost reports a broken link to the prober.
func (t *memberTable) linkLost(id redwingshunt.InstanceID) { t.step(prober.LinkLost{Instance: id}) }

// Dump returns the live instances for the administration API.
func (t *memberTable) Dump() any { return t.Live() }
