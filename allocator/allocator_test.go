package allocator

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// fakeFleet fakes the fleet as seen by a router and records what it sent.
type fakeFleet struct {
	live []redwingshunt.Instance
	sent []redwingshunt.InstanceID
}

func (s *fakeFleet) Self() redwingshunt.Instance   { return s.live[0] }
func (s *fakeFleet) Live() []redwingshunt.Instance { return s.live }
func (s *fakeFleet) Now() time.Time                { return time.Unix(1000, 0) }

func (s *fakeFleet) Send(to redwingshunt.InstanceID, _ redwingshunt.Message) {
	s.sent = append(s.sent, to)
}

func (s *fakeFleet) Handle(redwingshunt.MessageKind, func(redwingshunt.InstanceID, []byte)) {}

// TestGathererChanges checks that loads go to the current gatherer, and that each
// change of it is logged once.
func TestGathererChanges(t *testing.T) {
	is := is.New(t)
	router := redwingshunt.Instance{ID: "r", Region: "north", Zone: "a"}
	near := redwingshunt.Instance{ID: "k1", Region: "north", Zone: "a", Voter: true}
	far := redwingshunt.Instance{ID: "k2", Region: "south", Zone: "b", Voter: true}
	s := &fakeFleet{live: []redwingshunt.Instance{router, near, far}}
	var log bytes.Buffer
	a := New(Options{Members: s, Link: s, Clock: s, Logger: slog.New(slog.NewTextHandler(&log, nil))})
	a.send()
	a.send()
	s.live = []redwingshunt.Instance{router, far}
	a.send()
	is.Equal(strings.Count(log.String(), "gatherer of loads changed"), 2)
	is.True(strings.Contains(log.String(), "before=k1 gatherer=k2 live=2"))
	is.Equal(s.sent, []redwingshunt.InstanceID{"k1"}) // empty loads are sent once
}
