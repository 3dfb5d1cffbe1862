package keeper_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/claimer"
	"github.com/redwingshunt/redwingshunt/keeper"
)

// fleet is a fake network of instances that are alive.
type fleet struct {
	live     []redwingshunt.Instance
	handlers map[redwingshunt.InstanceID]func(redwingshunt.InstanceID, []byte)
	space    int64
}

func (f *fleet) Now() time.Time                { return time.Unix(1000, 0) }
func (f *fleet) Live() []redwingshunt.Instance { return f.live }
func (f *fleet) Watch() <-chan struct{}        { return nil }

func (f *fleet) Current() *redwingshunt.Snapshot {
	return &redwingshunt.Snapshot{Document: &redwingshunt.Document{
		Fleet: redwingshunt.FleetConfiguration{Space: f.space},
	}}
}

type member struct {
	*fleet
	self redwingshunt.Instance
}

func (m member) Self() redwingshunt.Instance { return m.self }

func (m member) Handle(_ redwingshunt.MessageKind, receive func(redwingshunt.InstanceID, []byte)) {
	m.handlers[m.self.ID] = receive
}

func (m member) Send(to redwingshunt.InstanceID, message redwingshunt.Message) {
	m.handlers[to](m.self.ID, message.Payload)
}

func start(space int64) (*fleet, []*keeper.Keeper) {
	f := &fleet{handlers: make(map[redwingshunt.InstanceID]func(redwingshunt.InstanceID, []byte)), space: space}
	var keepers []*keeper.Keeper
	for _, id := range []redwingshunt.InstanceID{"a", "b", "c"} {
		self := redwingshunt.Instance{ID: id, Region: "north"}
		f.live = append(f.live, self)
		m := member{fleet: f, self: self}
		keepers = append(keepers, keeper.New(f, m, m, f))
	}
	return f, keepers
}

// TestHandover stops both instances that hold an answer, one after the other, and
// checks that the third can still return it.
func TestHandover(t *testing.T) {
	is := is.New(t)
	f, keepers := start(1 << 20)
	answer := bytes.Repeat([]byte("x"), 2048)
	digest := claimer.DigestOf(answer)
	holders := keepers[0].Store(t.Context(), claimer.Key{1}, digest, answer, time.Hour)
	is.Equal(holders, []redwingshunt.InstanceID{"a", "b"})
	for range 2 {
		f.live[0].Leaving = true
		is.Equal(keepers[len(keepers)-len(f.live)].Handover(t.Context()), 0)
		f.live = f.live[1:]
	}
	got, ok := keepers[2].Fetch(t.Context(), claimer.Key{1}, digest, holders)
	is.True(ok)
	is.Equal(got, answer)
	_, ok = keepers[2].Fetch(t.Context(), claimer.Key{1}, claimer.DigestOf(nil), holders)
	is.True(!ok) // an answer with another digest is not returned
}

// TestSpace fills an instance and checks that it then refuses answers and evicts none.
func TestSpace(t *testing.T) {
	is := is.New(t)
	_, keepers := start(claimer.KeptLimitBytes + 1024)
	is.True(keepers[0].Room())
	answer := make([]byte, 2048)
	digest := claimer.DigestOf(answer)
	is.Equal(len(keepers[0].Store(t.Context(), claimer.Key{1}, digest, answer, time.Hour)), 2)
	is.True(!keepers[0].Room())
	large := make([]byte, claimer.KeptLimitBytes)
	is.Equal(len(keepers[0].Store(t.Context(), claimer.Key{2}, claimer.DigestOf(large), large, time.Hour)), 0)
	_, ok := keepers[0].Fetch(t.Context(), claimer.Key{1}, digest, nil)
	is.True(ok)
}
