// Package surveyor asks every live instance which revision it has in force.
//
// Nothing is sent until an operator asks, so knowing the revision of the whole
// fleet costs nothing while nobody looks: one question and one answer of a few
// bytes an instance and call.
//
// # Usage
//
//	s := surveyor.New(surveyor.Options{Members: members, Link: linker, Configuration: configuration})
//	revisions := s.Ask(ctx, 500*time.Millisecond) // instances that did not answer are absent
package surveyor

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Options configure a surveyor.
type Options struct {
	Members       redwingshunt.Members
	Link          redwingshunt.Link
	Configuration redwingshunt.Configuration
}

// Surveyor asks other instances and answers them.
type Surveyor struct {
	options Options

	mu    sync.Mutex
	last  uint64
	calls map[uint64]*call
}

// call gathers the answers to one question.
type call struct {
	missing   int
	complete  chan struct{} // closed when nobody is missing
	revisions map[redwingshunt.InstanceID]redwingshunt.Revision
}

// New returns a surveyor that answers at once.
func New(options Options) *Surveyor {
	s := &Surveyor{options: options, calls: make(map[uint64]*call)}
	options.Link.Handle(redwingshunt.KindSurvey, s.receive)
	return s
}

// Ask returns the revision in force on each live instance that answers within
// the limit.
func (s *Surveyor) Ask(
	ctx context.Context, limit time.Duration,
) map[redwingshunt.InstanceID]redwingshunt.Revision {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	self := s.options.Members.Self().ID
	c := &call{
		complete:  make(chan struct{}),
		revisions: map[redwingshunt.InstanceID]redwingshunt.Revision{self: s.revision()},
	}
	id, asked := s.open(c, self)
	for _, instance := range asked {
		s.send(instance, &wire.Survey{Call: id})
	}
	select {
	case <-c.complete:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, id)
	return c.revisions
}

// open registers a call and returns whom to ask.
func (s *Surveyor) open(c *call, self redwingshunt.InstanceID) (uint64, []redwingshunt.InstanceID) {
	var asked []redwingshunt.InstanceID
	for _, instance := range s.options.Members.Live() {
		if instance.ID != self {
			asked = append(asked, instance.ID)
		}
	}
	c.missing = len(asked)
	if c.missing == 0 {
		close(c.complete)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.calls[s.last] = c
	return s.last, asked
}

func (s *Surveyor) revision() redwingshunt.Revision {
	if snapshot := s.options.Configuration.Current(); snapshot != nil {
		return snapshot.Revision
	}
	return 0
}

func (s *Surveyor) send(to redwingshunt.InstanceID, m *wire.Survey) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return // cannot happen: the message holds numbers only
	}
	s.options.Link.Send(to, redwingshunt.Message{Kind: redwingshunt.KindSurvey, Payload: payload})
}

func (s *Surveyor) receive(from redwingshunt.InstanceID, payload []byte) {
	m := new(wire.Survey)
	if proto.Unmarshal(payload, m) != nil {
		return
	}
	if !m.Answer {
		s.send(from, &wire.Survey{Call: m.Call, Answer: true, Revision: uint64(s.revision())})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.calls[m.Call]
	if !ok {
		return // late
	}
	if _, doubled := c.revisions[from]; doubled {
		return
	}
	c.revisions[from] = redwingshunt.Revision(m.Revision)
	if c.missing--; c.missing == 0 {
		close(c.complete)
	}
}
