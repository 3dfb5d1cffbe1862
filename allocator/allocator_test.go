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

// surroundings are a router's view of the fleet and what it sent.
type surroundings struct {
	live []redwingshunt.Instance
	sent []redwingshunt.InstanceID
}

func (s *surroundings) Self() redwingshunt.Instance   { return s.live[0] }
func (s *surroundings) Live() []redwingshunt.Instance { return s.live }
func (s *surroundings) Now() time.Time                { return time.Unix(1000, 0) }

func (s *surroundings) Send(to redwingshunt.InstanceID, _ redwingshunt.Message) {
	s.sent = append(s.sent, to)
}

func (s *surroundings) Handle(redwingshunt.MessageKind, func(redwingshunt.InstanceID, []byte)) {}

// TestGathererChanges tells the loads to the gatherer in view, and logs a change
// of it once.
func TestGathererChanges(t *testing.T) {
	is := is.New(t)
	router := redwingshunt.Instance{ID: "r", Region: "north", Zone: "a"}
	near := redwingshunt.Instance{ID: "k1", Region: "north", Zone: "a", Voter: true}
	far := redwingshunt.Instance{ID: "k2", Region: "south", Zone: "b", Voter: true}
	s := &surroundings{live: []redwingshunt.Instance{router, near, far}}
	var log bytes.Buffer
	a := New(Options{Members: s, Link: s, Clock: s, Logger: slog.New(slog.NewTextHandler(&log, nil))})
	a.tell()
	a.tell()
	s.live = []redwingshunt.Instance{router, far}
	a.tell()
	is.Equal(strings.Count(log.String(), "gatherer of loads changed"), 2)
	is.True(strings.Contains(log.String(), "before=k1 gatherer=k2 live=2"))
	is.Equal(s.sent, []redwingshunt.InstanceID{"k1"}) // nothing to tell after the first time
}
