package enroller

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
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
	cut      redwingshunt.InstanceID
}

func newNet() *net {
	return &net{handlers: make(map[redwingshunt.InstanceID]func(redwingshunt.InstanceID, []byte))}
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
	lost := n.net.lose > 0 || n.net.cut == to || n.net.cut == n.self
	if n.net.lose > 0 {
		n.net.lose--
	}
	n.net.mu.Unlock()
	if receive != nil && !lost {
		receive(n.self, m.Payload)
	}
}

// isolate cuts one instance off, and nobody else any more.
func (n *net) isolate(id redwingshunt.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = id
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
			n := newNet()
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

// TestCorrected has an instance miss that an upstream left and came back at
// another one. It goes on to tell the old incarnation; whoever knows better tells
// it so, and all agree.
func TestCorrected(t *testing.T) {
	tests := map[string]struct{ back bool }{
		"left":          {false},
		"left and back": {true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { missALeave(t, test.back) })
		})
	}
}

func missALeave(t *testing.T, back bool) {
	is := is.New(t)
	n := newNet()
	a, b := n.start(t, "a"), n.start(t, "b")
	told := said{id: "u", unborn: true}.state()
	a.Enroll(told)
	await(t, func() bool { return len(b.Usable()) == 1 })
	n.isolate("a")
	time.Sleep(time.Second)
	b.Dismiss("u", time.Time{})
	want := 0
	if back {
		b.Enroll(told)
		want = 1
	}
	time.Sleep(repeatChanges + gather) // b does not repeat it any more
	n.isolate("")
	is.Equal(len(b.Usable()), want)
	a.Enroll(told)
	time.Sleep(2 * gather)
	is.Equal(len(a.Usable()), want)
	is.Equal(len(b.Usable()), want)
	is.True(a.table.entries["u"].state.Born.Equal(b.table.entries["u"].state.Born))
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
