package coordinator

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/logger"
)

// fleet is a set of coordinators with links in memory.
type fleet struct {
	mu           sync.Mutex
	instances    []redwingshunt.Instance
	handlers     map[redwingshunt.InstanceID]map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte)
	pending      chan func()
	coordinators map[redwingshunt.InstanceID]*Coordinator
	log          logger.Memory
}

// member is one instance of a fleet. It implements Link, Members,
// Configuration and Clock.
type member struct {
	fleet *fleet
	self  redwingshunt.InstanceID
}

func (m member) Now() time.Time { return time.Now() }

func (m member) Self() redwingshunt.Instance {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	for _, i := range m.fleet.instances {
		if i.ID == m.self {
			return i
		}
	}
	return redwingshunt.Instance{ID: m.self, Region: "a"}
}

func (m member) Live() []redwingshunt.Instance {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return slices.Clone(m.fleet.instances)
}

func (m member) Send(to redwingshunt.InstanceID, message redwingshunt.Message) {
	m.fleet.mu.Lock()
	handle := m.fleet.handlers[to][message.Kind]
	alive := slices.ContainsFunc(m.fleet.instances, func(i redwingshunt.Instance) bool { return i.ID == m.self })
	m.fleet.mu.Unlock()
	if handle != nil && alive {
		m.fleet.pending <- func() { handle(m.self, message.Payload) }
	}
}

func (m member) Handle(kind redwingshunt.MessageKind, receive func(redwingshunt.InstanceID, []byte)) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.fleet.handlers[m.self] == nil {
		m.fleet.handlers[m.self] = map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte){}
	}
	m.fleet.handlers[m.self][kind] = receive
}

func (m member) Current() *redwingshunt.Snapshot {
	return &redwingshunt.Snapshot{Revision: 1, Document: &redwingshunt.Document{
		Services: []redwingshunt.Service{{Name: "s", Wait: time.Minute}, {Name: "t", Wait: time.Minute}},
		Accounts: []redwingshunt.Account{{Name: "a", Share: 1, Queue: 100}, {Name: "b", Share: 1, Queue: 1}},
	}}
}

func (m member) Watch() <-chan struct{} { return nil }

// newFleet starts coordinators. The first letter of a name is the region.
func newFleet(t *testing.T, names ...redwingshunt.InstanceID) *fleet {
	f := &fleet{
		handlers:     map[redwingshunt.InstanceID]map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte){},
		pending:      make(chan func(), 10000),
		coordinators: map[redwingshunt.InstanceID]*Coordinator{},
	}
	for _, name := range names {
		f.instances = append(f.instances, redwingshunt.Instance{
			ID: name, Incarnation: 1, Region: redwingshunt.RegionID(name[:1]), Zone: "z",
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case deliver := <-f.pending:
				deliver()
			case <-ctx.Done():
				return
			}
		}
	})
	for _, name := range names {
		m := member{f, name}
		c := New(Options{Members: m, Link: m, Configuration: m, Clock: m, Logger: slog.New(slog.NewTextHandler(&f.log, nil))})
		f.coordinators[name] = c
		group.Go(func() { _ = c.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); group.Wait(); goleak.VerifyNone(t) })
	return f
}

// change lets a member leave gracefully or, with lost set, removes it without notice.
func (f *fleet) change(name redwingshunt.InstanceID, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.instances, func(i redwingshunt.Instance) bool { return i.ID == name })
	if lost {
		f.instances = slices.Delete(f.instances, i, i+1)
		return
	}
	f.instances[i].Leaving = true
}

func (f *fleet) announce(by redwingshunt.InstanceID, id redwingshunt.UpstreamID, region redwingshunt.RegionID, slots int) {
	f.coordinators[by].Announce(redwingshunt.Upstream{
		ID: id, Service: "s", Region: region, Zone: "z", Slots: slots,
		Address: netip.MustParseAddrPort("127.0.0.1:9"),
	}, redwingshunt.LoadReport{}, time.Hour)
}

func request(account redwingshunt.AccountID) *redwingshunt.Request {
	return &redwingshunt.Request{Account: account, Service: "s", Body: []byte("x")}
}

// run acquires and releases a slot on each of the members.
func (f *fleet) run(t *testing.T, names ...redwingshunt.InstanceID) {
	t.Helper()
	is := is.New(t)
	for _, name := range names {
		g, err := f.coordinators[name].Acquire(t.Context(), request("a"), nil)
		is.NoErr(err)
		is.True(g.Upstream.Address.IsValid())
		f.coordinators[name].Charge(g, 10)
		f.coordinators[name].Release(g, redwingshunt.Result{Cost: 20, Total: time.Second})
	}
}

func TestFleets(t *testing.T) {
	tests := map[string]struct {
		names  []redwingshunt.InstanceID
		region redwingshunt.RegionID // of the upstream
		change func(*fleet) []redwingshunt.InstanceID
	}{
		"alone":                  {names: []redwingshunt.InstanceID{"a1"}, region: "a"},
		"three in a region":      {names: []redwingshunt.InstanceID{"a1", "a2", "a3"}, region: "a"},
		"upstream in one region": {names: []redwingshunt.InstanceID{"a1", "b1", "c1"}, region: "b"},
		"upstream elsewhere":     {names: []redwingshunt.InstanceID{"a1"}, region: "x"},
		"the owner leaves":       {names: []redwingshunt.InstanceID{"a1", "a2", "a3"}, region: "a", change: removeOwner(false)},
		"the owner is lost":      {names: []redwingshunt.InstanceID{"a1", "a2", "a3"}, region: "a", change: removeOwner(true)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, test.names...)
			f.announce(test.names[0], "u", test.region, 1)
			f.run(t, test.names...)
			if test.change == nil {
				return
			}
			owner := f.coordinators["a1"].lookup("s").dump().Owner
			left := test.change(f)
			is.New(t).True(strings.Contains(f.log.String(),
				`msg="owner of a service changed" service=s before=`+string(owner)+" owner="))
			f.announce(left[0], "u", test.region, 1)
			f.run(t, left...)
		})
	}
}

// removeOwner returns a change that removes the owner and waits until the other
// members have another one. It returns the other members.
func removeOwner(lost bool) func(*fleet) []redwingshunt.InstanceID {
	return func(f *fleet) []redwingshunt.InstanceID {
		owner := f.coordinators["a1"].lookup("s").dump().Owner
		f.change(owner, lost)
		names := slices.DeleteFunc([]redwingshunt.InstanceID{"a1", "a2", "a3"}, func(n redwingshunt.InstanceID) bool { return n == owner })
		for _, name := range names {
			for f.coordinators[name].lookup("s").dump().Owner == owner {
				time.Sleep(time.Millisecond)
			}
		}
		return names
	}
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "a1")
	c := f.coordinators["a1"]
	reason := func(err error) redwingshunt.Reason {
		outcome := redwingshunt.OutcomeOf(err)
		is.Equal(outcome.Outcome, redwingshunt.OutcomeNotRun)
		return outcome.Reason
	}
	_, err := c.Acquire(t.Context(), &redwingshunt.Request{Service: "unknown"}, nil)
	is.Equal(reason(err), redwingshunt.ReasonUnknownService)
	_, err = c.Acquire(t.Context(), request("a"), nil)
	is.Equal(reason(err), redwingshunt.ReasonNoUpstream)

	f.announce("a1", "u", "a", 1)
	g, err := c.Acquire(t.Context(), request("a"), nil)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() {
		_, err := c.Acquire(ctx, request("b"), nil)
		is.Equal(reason(err), redwingshunt.ReasonCancelled)
	})
	for c.lookup("s").dump().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = c.Acquire(t.Context(), &redwingshunt.Request{Account: "b", Service: "t"}, nil)
	is.Equal(reason(err), redwingshunt.ReasonQueueFull) // all services share the bound
	late := request("a")
	late.Deadline = time.Now().Add(10 * time.Millisecond)
	_, err = c.Acquire(t.Context(), late, nil)
	is.Equal(reason(err), redwingshunt.ReasonDeadline)
	cancel()
	group.Wait()
	c.Release(g, redwingshunt.Result{Cost: 1, Total: time.Second})
	g, err = c.Acquire(t.Context(), request("a"), nil) // the slot is free again
	is.NoErr(err)
	dump, err := json.Marshal(c.Dump())
	is.NoErr(err)
	is.True(len(dump) < 10000)

	c.Leave(redwingshunt.UpstreamKey{Service: "s", ID: "u"})
	c.Release(g, redwingshunt.Result{Cost: 1, Total: time.Second})
	_, err = c.Acquire(t.Context(), request("a"), nil)
	is.Equal(reason(err), redwingshunt.ReasonNoUpstream)
}
