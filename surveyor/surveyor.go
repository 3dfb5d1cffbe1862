// Package surveyor asks every live instance which revision it has in force.
//
// Nothing is sent until an operator asks, so there is no background traffic. Each
// call costs one request and one response of a few bytes per instance.
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

// Options configures a surveyor.
type Options struct {
	Members       redwingshunt.Members
	Link          redwingshunt.Link
	Configuration redwingshunt.Configuration
}

// Surveyor queries other instances and answers their queries.
type Surveyor struct {
	options Options

	mu       sync.Mutex
	lastCall uint64
	calls    map[uint64]*pendingCall
}

// pendingCall collects the responses to one call of Ask.
type pendingCall struct {
	missing  int
	complete chan struct{} // closed when all responses have arrived
	answers  map[redwingshunt.InstanceID]*wire.Survey
}

// New returns a surveyor and registers it with the link, so that it answers queries
// from then on.
func New(options Options) *Surveyor {
	s := &Surveyor{options: options, calls: make(map[uint64]*pendingCall)}
	options.Link.Handle(redwingshunt.KindSurvey, s.receive)
	return s
}

// Ask returns the revision in force on each live instance that responds before
// limit has passed or ctx is done.
func (s *Surveyor) Ask(
	ctx context.Context, limit time.Duration,
) map[redwingshunt.InstanceID]redwingshunt.Revision {
	self := s.options.Members.Self().ID
	var asked []redwingshunt.InstanceID
	for _, instance := range s.options.Members.Live() {
		if instance.ID != self {
			asked = append(asked, instance.ID)
		}
	}
	revisions := map[redwingshunt.InstanceID]redwingshunt.Revision{self: s.revision()}
	for id, answer := range s.ask(ctx, limit, asked) {
		revisions[id] = redwingshunt.Revision(answer.GetRevision())
	}
	return revisions
}

// Evacuates asks instances whether they can apply evacuations from the log. The result
// has those that respond before limit has passed or ctx is done.
func (s *Surveyor) Evacuates(
	ctx context.Context, limit time.Duration, asked []redwingshunt.InstanceID,
) map[redwingshunt.InstanceID]bool {
	able := make(map[redwingshunt.InstanceID]bool)
	for id, answer := range s.ask(ctx, limit, asked) {
		able[id] = answer.GetEvacuates()
	}
	return able
}

// ask sends a query to instances and returns the responses that arrive in time.
func (s *Surveyor) ask(
	ctx context.Context, limit time.Duration, asked []redwingshunt.InstanceID,
) map[redwingshunt.InstanceID]*wire.Survey {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c := &pendingCall{complete: make(chan struct{}), answers: make(map[redwingshunt.InstanceID]*wire.Survey)}
	id := s.register(c, len(asked))
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
	return c.answers
}

// register adds a pending call with a number of missing responses and returns its ID.
func (s *Surveyor) register(c *pendingCall, missing int) uint64 {
	c.missing = missing
	if c.missing == 0 {
		close(c.complete)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCall++
	s.calls[s.lastCall] = c
	return s.lastCall
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
		return // cannot happen: the message has only numeric fields and a flag
	}
	s.options.Link.Send(to, redwingshunt.Message{Kind: redwingshunt.KindSurvey, Payload: payload})
}

func (s *Surveyor) receive(from redwingshunt.InstanceID, payload []byte) {
	m := new(wire.Survey)
	if proto.Unmarshal(payload, m) != nil {
		return
	}
	if !m.Answer {
		s.send(from, &wire.Survey{Call: m.Call, Answer: true, Revision: uint64(s.revision()), Evacuates: true})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.calls[m.Call]
	if !ok {
		return // the call has ended
	}
	if _, duplicate := c.answers[from]; duplicate {
		return
	}
	c.answers[from] = m
	if c.missing--; c.missing == 0 {
		close(c.complete)
	}
}
