package notifier

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/quarantiner"
)

// network is a fake network that connects notifiers, as seen by one of them.
type network struct {
	self redwingshunt.Instance
	*shared
}

// shared is the state that all notifiers have in common.
type shared struct {
	mu       sync.Mutex
	live     []redwingshunt.Instance
	handlers map[redwingshunt.InstanceID]func(redwingshunt.InstanceID, []byte)
	sent     map[redwingshunt.InstanceID]int // messages by receiver
}

func newShared() *shared {
	return &shared{
		handlers: make(map[redwingshunt.InstanceID]func(redwingshunt.InstanceID, []byte)),
		sent:     make(map[redwingshunt.InstanceID]int),
	}
}

// start starts a notifier whose suspects are refused after one loss.
func (s *shared) start(ctx context.Context, id redwingshunt.InstanceID) *Notifier {
	n := &network{self: redwingshunt.Instance{ID: id, Incarnation: 1}, shared: s}
	notifier := New(n, n, n, n, quarantiner.New(id, 1, rand.New(rand.NewPCG(6, uint64(id[0])))))
	go notifier.Run(ctx)
	return notifier
}

func (*network) Now() time.Time                  { return time.Now() }
func (*network) Current() *redwingshunt.Snapshot { return snapshot }
func (*network) Watch() <-chan struct{}          { return nil }
func (n *network) Self() redwingshunt.Instance   { return n.self }

func (n *network) Live() []redwingshunt.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.live)
}

func (n *network) Handle(_ redwingshunt.MessageKind, f func(redwingshunt.InstanceID, []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.live = append(n.live, n.self)
	n.handlers[n.self.ID] = f
}

func (n *network) Send(to redwingshunt.InstanceID, m redwingshunt.Message) {
	n.mu.Lock()
	receive := n.handlers[to]
	n.sent[to]++
	n.mu.Unlock()
	receive(n.self.ID, m.Payload)
}

var snapshot = &redwingshunt.Snapshot{Document: &redwingshunt.Document{
	Fleet: redwingshunt.FleetConfiguration{Losses: 2},
}}

// TestNewInstance loses one upstream through each of two instances and checks that
// a third instance, started afterwards, refuses the request too.
func TestNewInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		all := newShared()
		f := redwingshunt.Fingerprint{1}

		for _, n := range []*Notifier{all.start(ctx, "a"), all.start(ctx, "b")} {
			is.NoErr(n.Admit(ctx, f))
			n.Lost(f, redwingshunt.UpstreamKey{Service: "desk", ID: redwingshunt.UpstreamID(n.members.Self().ID)})
			time.Sleep(time.Second)
		}
		third := all.start(ctx, "c")
		time.Sleep(2 * time.Second)
		err := third.Admit(ctx, f)
		var outcome *redwingshunt.OutcomeError
		is.True(errors.As(err, &outcome))
		is.Equal(outcome.Reason, redwingshunt.ReasonSuspect)
		is.Equal(outcome.Outcome, redwingshunt.OutcomeNotRun)
		is.NoErr(third.Admit(ctx, redwingshunt.Fingerprint{2}))
	})
}

// TestLossesInSuccession guards against an instance that is occupied with notices
// while many upstreams die: each other instance gets a message per minSendInterval
// and still knows each loss within quarantiner.NoticeDelay.
func TestLossesInSuccession(t *testing.T) {
	const (
		losses   = 64
		interval = 8 * time.Millisecond // between two losses
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		all := newShared()
		first, second := all.start(ctx, "a"), all.start(ctx, "b")
		for i := range losses {
			f := redwingshunt.Fingerprint{byte(i)}
			is.NoErr(first.Admit(ctx, f))
			first.Lost(f, redwingshunt.UpstreamKey{Service: "desk", ID: redwingshunt.UpstreamID(f[:1])})
			go func() {
				time.Sleep(quarantiner.NoticeDelay)
				second.mu.Lock()
				defer second.mu.Unlock()
				is.Equal(second.core.Losses(time.Now(), f), 1)
			}()
			time.Sleep(interval)
		}
		time.Sleep(quarantiner.NoticeDelay)
		synctest.Wait()
		is.True(all.sent["b"] <= int(losses*interval/minSendInterval)+2)
	})
}
