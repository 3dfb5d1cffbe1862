package enroller

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

var discard = slog.New(slog.DiscardHandler)

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

type alone struct{}

func (alone) Self() redwingshunt.Instance   { return redwingshunt.Instance{ID: "self"} }
func (alone) Live() []redwingshunt.Instance { return []redwingshunt.Instance{{ID: "self"}} }

type silent struct{}

func (silent) Send(redwingshunt.InstanceID, redwingshunt.Message)                     {}
func (silent) Handle(redwingshunt.MessageKind, func(redwingshunt.InstanceID, []byte)) {}

// net joins enrollers in memory and may lose messages.
type net struct {
	mu       sync.Mutex
	handlers map[redwingshunt.InstanceID]func(redwingshunt.InstanceID, []byte)
	lose     int // messages that are lost next
}

type node struct {
	net  *net
	self redwingshunt.InstanceID
}

func (n node) Self() redwingshunt.Instance { return redwingshunt.Instance{ID: n.self, Region: "north"} }
func (n node) Live() []redwingshunt.Instance {
	return []redwingshunt.Instance{{ID: "a", Region: "north"}, {ID: "b", Region: "north"}, {ID: "c", Region: "south"}}
}
func (n node) Handle(_ redwingshunt.MessageKind, receive func(redwingshunt.InstanceID, []byte)) {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	n.net.handlers[n.self] = receive
}
func (n node) Send(to redwingshunt.InstanceID, m redwingshunt.Message) {
	n.net.mu.Lock()
	receive := n.net.handlers[to]
	lost := n.net.lose > 0
	if lost {
		n.net.lose--
	}
	n.net.mu.Unlock()
	if receive != nil && !lost {
		receive(n.self, m.Payload)
	}
}

func (n *net) start(t *testing.T, id redwingshunt.InstanceID) *Enroller {
	t.Helper()
	e := New(Options{Members: node{n, id}, Link: node{n, id}, Clock: clock{}, Logger: discard})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { e.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return e
}

// TestSpread tells one instance of an upstream and looks at the others, also
// when the first messages are lost and when one starts later.
func TestSpread(t *testing.T) {
	for name, lose := range map[string]int{"calm": 0, "first messages lost": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := &net{handlers: make(map[redwingshunt.InstanceID]func(redwingshunt.InstanceID, []byte))}
			a, b := n.start(t, "a"), n.start(t, "b")
			n.mu.Lock()
			n.lose = lose
			n.mu.Unlock()
			s := said{id: "u", sequence: 1}.state()
			s.Born = time.Now()
			a.Enroll(s)
			await(t, func() bool { return len(b.Usable()) == 1 })
			c := n.start(t, "c") // empty, and asks
			await(t, func() bool { return len(c.Usable()) == 1 })
			b.Dismiss("u", time.Time{})
			await(t, func() bool { return len(a.Usable()) == 0 && len(c.Usable()) == 0 })
			is.Equal(len(b.Usable()), 0)
		})
	}
}

func await(t *testing.T, holds func() bool) {
	t.Helper()
	for !holds() {
		if t.Context().Err() != nil {
			t.Fatal("the test has ended")
		}
		time.Sleep(5 * time.Millisecond)
	}
}
