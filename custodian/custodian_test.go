package custodian

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// fleet connects custodians in memory. Messages take a millisecond, and thirty between
// regions.
type fleet struct {
	mu        sync.Mutex
	instances []redwingshunt.Instance
	nodes     map[redwingshunt.InstanceID]*node
	sent      int // messages
	lose      int // next messages to lose
	versions  redwingshunt.ServiceVersions
	refused   bool // the last stream must not begin
}

// node is one instance of a fleet.
type node struct {
	*Custodian
	fleet   *fleet
	self    redwingshunt.InstanceID
	receive func(redwingshunt.InstanceID, []byte)
	stop    context.CancelFunc
	late    *redwingshunt.ServiceVersions // what it knows of the versions, if not what all others do
}

// newFleet returns a running fleet of two routers in one region and three voters, one of
// them in another region. The first version has been there for a minute.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		instances: []redwingshunt.Instance{
			{ID: "r1", Region: "n", Zone: "a"}, {ID: "r2", Region: "n", Zone: "a"}, {ID: "v1", Region: "n", Zone: "a", Voter: true},
			{ID: "v2", Region: "n", Zone: "b", Voter: true}, {ID: "v3", Region: "s", Zone: "c", Voter: true},
		},
		nodes: make(map[redwingshunt.InstanceID]*node),
		versions: redwingshunt.ServiceVersions{
			Spans: []redwingshunt.VersionSpan{{Version: "v1", First: time.Now()}}, Since: time.Now(), Complete: true, Joined: true,
		},
	}
	for _, i := range f.instances {
		f.start(t, i.ID)
	}
	time.Sleep(time.Minute)
	return f
}

// start starts an instance, or starts it again with empty memory.
func (f *fleet) start(t *testing.T, id redwingshunt.InstanceID) {
	t.Helper()
	n := &node{fleet: f, self: id}
	n.Custodian = New(Options{Members: n, Link: n, Versions: n, Voters: 3, Clock: systemClock{}, Logger: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(t.Context())
	n.stop = cancel
	f.mu.Lock()
	if old := f.nodes[id]; old != nil {
		old.stop()
	}
	f.nodes[id] = n
	for i := range f.instances {
		if f.instances[i].ID == id {
			f.instances[i].Incarnation++
		}
	}
	f.mu.Unlock()
	go n.Run(ctx)
}

// kill stops instances for good and waits until the others know.
func (f *fleet) kill(ids ...redwingshunt.InstanceID) {
	defer time.Sleep(2 * tickInterval)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.nodes[id].stop()
		delete(f.nodes, id)
		f.instances = slices.DeleteFunc(f.instances, func(i redwingshunt.Instance) bool { return i.ID == id })
	}
}

// announceSecond adds version v2, which is announced now.
func (f *fleet) announceSecond() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versions.Spans = append(slices.Clone(f.versions.Spans), redwingshunt.VersionSpan{Version: "v2", First: time.Now()})
}

func (n *node) Versions(redwingshunt.ServiceID) redwingshunt.ServiceVersions {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	known := n.fleet.versions
	if n.late != nil {
		known = *n.late
	}
	known.Spans = slices.Clone(known.Spans)
	for i := range known.Spans {
		known.Spans[i].Last = time.Now() // upstreams renew their announcements
	}
	return known
}

func (n *node) Self() redwingshunt.Instance {
	for _, i := range n.Live() {
		if i.ID == n.self {
			return i
		}
	}
	return redwingshunt.Instance{ID: n.self}
}

func (n *node) Live() []redwingshunt.Instance {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return slices.Clone(n.fleet.instances)
}

func (n *node) Handle(_ redwingshunt.MessageKind, receive func(redwingshunt.InstanceID, []byte)) {
	n.receive = receive
}

func (n *node) Send(to redwingshunt.InstanceID, m redwingshunt.Message) {
	f := n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	if f.nodes[n.self] != n { // it has ended or is cut off
		return
	}
	if f.lose > 0 {
		f.lose--
		return
	}
	delay := time.Millisecond
	if to == "v3" || n.self == "v3" {
		delay = 30 * time.Millisecond
	}
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		target := f.nodes[to]
		f.mu.Unlock()
		if target != nil {
			target.receive(n.self, m.Payload)
		}
	})
}

// begin begins a stream at r1 and returns how long that took.
func (f *fleet) begin(request, version string) time.Duration {
	began := time.Now()
	err := f.nodes["r1"].Begin(context.Background(), redwingshunt.NewStreamKey("alpha", request),
		redwingshunt.Origin{Service: "s", Version: version}, began.Add(30*time.Second))
	f.refused = err != nil
	return time.Since(began)
}

// find returns the version of a stream of account alpha that r2 finds, or the reason of
// the refusal.
func (f *fleet) find(request string) string {
	return f.findOf("r2", redwingshunt.Some(redwingshunt.NewStreamKey("alpha", request)))
}

func (f *fleet) findOf(id redwingshunt.InstanceID, key redwingshunt.Option[redwingshunt.StreamKey]) string {
	origin, err := f.nodes[id].Find(context.Background(), key, "s")
	if err != nil {
		return string(redwingshunt.OutcomeOf(err).Reason)
	}
	return origin.Version
}

const unknown = string(redwingshunt.ReasonOriginUnknown)

// TestFind takes streams up at another instance after the one that began them has ended.
func TestFind(t *testing.T) {
	tests := map[string]func(t *testing.T, is *is.I, f *fleet){
		"one version costs no record": func(_ *testing.T, is *is.I, f *fleet) {
			sent := f.sent
			is.Equal(f.begin("a", "v1"), time.Duration(0))
			is.Equal(f.sent, sent)
			f.kill("r1")
			is.Equal(f.find("a"), "v1")
			is.Equal(f.findOf("r2", redwingshunt.None[redwingshunt.StreamKey]()), "v1")
		},
		"this instance is late to hear of the second version": func(_ *testing.T, is *is.I, f *fleet) {
			before := f.versions
			f.announceSecond()
			f.begin("b", "v2")
			f.nodes["r2"].late = &before
			is.Equal(f.find("b"), "v2")
			is.Equal(f.findOf("r2", redwingshunt.None[redwingshunt.StreamKey]()), unknown)
		},
		"this instance is cut off and late": func(_ *testing.T, is *is.I, f *fleet) {
			before := f.versions
			f.announceSecond()
			f.begin("b", "v2")
			f.nodes["r2"].late = &before
			for _, id := range []redwingshunt.InstanceID{"r1", "v1", "v2", "v3"} {
				delete(f.nodes, id)
			}
			is.Equal(f.find("b"), unknown)
		},
		"both versions": func(_ *testing.T, is *is.I, f *fleet) {
			f.announceSecond()
			is.Equal(f.begin("a", "v1"), time.Duration(0)) // as those without a record
			is.Equal(f.begin("b", "v2"), 2*time.Millisecond)
			f.kill("r1")
			is.Equal(f.find("a"), "v1")
			is.Equal(f.find("b"), "v2")
		},
		"begun before the second version": func(_ *testing.T, is *is.I, f *fleet) {
			f.begin("a", "v1")
			f.announceSecond()
			f.kill("r1")
			is.Equal(f.find("a"), "v1")
		},
		"back to the first version": func(_ *testing.T, is *is.I, f *fleet) {
			f.begin("a", "v1")
			f.announceSecond()
			f.begin("b", "v2")
			f.begin("c", "v1")
			f.kill("r1")
			is.Equal(f.find("a"), "v1")
			is.Equal(f.find("b"), "v2")
			is.Equal(f.find("c"), "v1")
		},
		"the nearest holder ends too": func(_ *testing.T, is *is.I, f *fleet) {
			f.announceSecond()
			f.begin("b", "v2")
			f.kill("r1", "v1")
			is.Equal(f.find("b"), "v2")
			is.Equal(f.find("of no stream"), "v1")
		},
		"the spare holder is left": func(_ *testing.T, is *is.I, f *fleet) {
			f.announceSecond()
			f.begin("b", "v2")
			f.kill("r1", "v1", "v2")
			is.Equal(f.find("b"), "v2")
			is.Equal(f.find("of no stream"), unknown)
		},
		"holders restart one after the other": func(t *testing.T, is *is.I, f *fleet) {
			f.announceSecond()
			f.begin("b", "v2")
			for _, holder := range []redwingshunt.InstanceID{"v1", "v2", "v3"} {
				f.start(t, holder)
				time.Sleep(time.Second)
			}
			f.kill("r1")
			is.Equal(f.find("b"), "v2")        // r1 recorded it again
			is.Equal(f.find("other"), unknown) // it might have been at one of the holders
		},
		"all memory is lost": func(t *testing.T, is *is.I, f *fleet) {
			f.announceSecond()
			f.begin("b", "v2")
			time.Sleep(time.Second)
			for _, id := range []redwingshunt.InstanceID{"r1", "r2", "v1", "v2", "v3"} {
				f.start(t, id)
			}
			is.Equal(f.find("b"), unknown)
		},
		"not named": func(_ *testing.T, is *is.I, f *fleet) {
			f.announceSecond()
			f.begin("b", "v2")
			is.Equal(f.findOf("r2", redwingshunt.None[redwingshunt.StreamKey]()), unknown)
		},
		"of another account": func(_ *testing.T, is *is.I, f *fleet) {
			f.announceSecond()
			f.begin("b", "v2")
			is.Equal(f.findOf("r1", redwingshunt.Some(redwingshunt.NewStreamKey("beta", "b"))), unknown)
		},
		"of no stream": func(_ *testing.T, is *is.I, f *fleet) {
			f.announceSecond()
			is.Equal(f.find("a"), unknown)
		},
		"expired": func(_ *testing.T, is *is.I, f *fleet) {
			f.announceSecond()
			f.begin("b", "v2")
			time.Sleep(31 * time.Second)
			is.Equal(f.find("b"), unknown)
		},
		"history not complete, but recorded": func(_ *testing.T, is *is.I, f *fleet) {
			f.announceSecond()
			f.begin("b", "v2")
			f.versions.Complete = false
			is.Equal(f.find("b"), "v2")
		},
		"history not complete": func(_ *testing.T, is *is.I, f *fleet) {
			f.versions.Complete = false
			_, err := f.nodes["r2"].Find(context.Background(), redwingshunt.Some(redwingshunt.NewStreamKey("alpha", "a")), "s")
			outcome := redwingshunt.OutcomeOf(err)
			is.Equal(outcome.Reason, redwingshunt.ReasonOriginUnknown)
			is.Equal(outcome.Outcome, redwingshunt.OutcomeNotRun)
			is.Equal(outcome.RetryAfter, joinRetryAfter)
		},
		"no upstream was ever announced": func(_ *testing.T, is *is.I, f *fleet) {
			f.versions.Spans = nil
			is.Equal(f.find("a"), string(redwingshunt.ReasonNoUpstream))
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, is.New(t), newFleet(t)) })
		})
	}
}

// TestFirstEventWaitsForRecord checks how long a stream waits for its holders.
func TestFirstEventWaitsForRecord(t *testing.T) {
	tests := map[string]struct {
		prepare func(f *fleet)
		want    time.Duration
		refused bool
	}{
		"both are near":          {func(*fleet) {}, 2 * time.Millisecond, false},
		"one is far":             {func(f *fleet) { f.kill("v2") }, 60 * time.Millisecond, false},
		"only one of three":      {func(f *fleet) { f.kill("v1", "v2") }, recordTimeout, true},
		"messages lost":          {func(f *fleet) { f.lose = 2 }, 202 * time.Millisecond, false},
		"one does not answer":    {func(f *fleet) { delete(f.nodes, "v1") }, 60 * time.Millisecond, false},
		"two do not answer":      {func(f *fleet) { delete(f.nodes, "v1"); delete(f.nodes, "v2") }, recordTimeout, true},
		"none is there, cut off": {func(f *fleet) { f.kill("v1", "v2", "v3") }, recordTimeout, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t)
				f.announceSecond()
				test.prepare(f)
				took := f.begin("a", "v2")
				is.True(took >= test.want && took <= test.want+tickInterval)
				is.Equal(f.refused, test.refused)
			})
		})
	}
}

// TestLookupsAreBounded takes up more streams than may wait for silent holders.
func TestLookupsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		f.announceSecond()
		for _, id := range []redwingshunt.InstanceID{"v1", "v2", "v3"} {
			delete(f.nodes, id)
		}
		sent, began := f.sent, time.Now()
		var refused, asked int
		var mu sync.Mutex
		var group sync.WaitGroup
		for range 2 * maxLookups {
			group.Go(func() {
				_, err := f.nodes["r1"].Find(context.Background(), redwingshunt.Some(redwingshunt.NewStreamKey("alpha", "x")), "s")
				mu.Lock()
				defer mu.Unlock()
				if redwingshunt.OutcomeOf(err).RetryAfter == busyRetryAfter {
					refused++
				} else {
					asked++
				}
			})
		}
		group.Wait()
		is.Equal(refused, maxLookups)
		is.Equal(asked, maxLookups)
		is.True(time.Since(began) <= nearTimeout+farTimeout)
		is.True(f.sent-sent <= 3*2*maxFlights) // questions share messages
	})
}

// TestOddMessages sends messages that no custodian sends.
func TestOddMessages(t *testing.T) {
	record := func(key []byte) *wire.OriginRecord {
		return &wire.OriginRecord{Key: key, Service: "s", Version: "v2", LeftMs: 1 << 31}
	}
	tests := map[string]*wire.Origins{
		"short key":       {Batch: 1, Records: []*wire.OriginRecord{record([]byte("short"))}},
		"no key":          {Batch: 1, Records: []*wire.OriginRecord{{}}},
		"long key asked":  {Batch: 1, Asked: []*wire.OriginQuestion{{Key: make([]byte, 1000)}, {}}},
		"answer to none":  {Done: 7, Records: []*wire.OriginRecord{record(make([]byte, 16))}, AgeMs: 1 << 63},
		"neither of both": {},
	}
	for name, message := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t)
				payload, err := proto.Marshal(message)
				is.NoErr(err)
				f.nodes["r1"].receive("v1", payload)
				f.nodes["r1"].receive("v1", []byte{0xff})
				synctest.Wait()
				is.Equal(f.nodes["r1"].held.Len(), 0)
			})
		})
	}
}
