// Package subscriber keeps the configuration in force on one instance. It is
// the driver of package publisher: it turns messages, the members of the fleet
// and time into events and carries the actions out.
//
// # Usage
//
//	s := subscriber.New(subscriber.Options{
//		Link: linker, Members: members, Clock: clock, Document: parser.Document, Logger: logger,
//		Quorum: recorder.Quorum, // on a voter
//	})
//	go s.Run(ctx)
//	r := registrar.New(registrar.Options{Accepted: s.Accept}) // on a voter
//	snapshot := s.Current() // nil until a configuration is in force
package subscriber

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/merger"
	"github.com/redwingshunt/redwingshunt/publisher"
	"github.com/redwingshunt/redwingshunt/registrar"
)

// queueSize bounds the messages that wait; more are dropped, and the digest
// makes good for them.
const queueSize = 256

// Options configure a subscriber.
type Options struct {
	Link     redwingshunt.Link
	Members  redwingshunt.Members
	Clock    redwingshunt.Clock
	Document registrar.DocumentFunc
	// Quorum reports whether this instance is a voter in touch with a quorum;
	// nil on other instances.
	Quorum func() bool
	Leader func() bool // reports whether this instance leads the control group; may be nil
	Seed   uint64      // of the choice of peers; different on each instance
	Logger *slog.Logger
}

// Status is what this instance knows of its configuration.
type Status struct {
	Revision redwingshunt.Revision `json:"revision"` // in force; zero without one
	At       time.Time             `json:"at"`       // when it was committed
	Age      time.Duration         `json:"age"`      // since a quorum confirmed it as the newest
	Refused  redwingshunt.Revision `json:"refused,omitempty"`
	Error    string                `json:"error,omitempty"` // why that one could not be read
}

// Subscriber implements redwingshunt.Configuration.
type Subscriber struct {
	options Options
	core    *publisher.Core
	queue   chan publisher.Received
	wake    chan struct{}

	mu       sync.Mutex
	accepted *registrar.State // not handed to the core yet
	inForce  registrar.State
	snapshot *redwingshunt.Snapshot
	changed  chan struct{}
	status   Status
	read     time.Time // when status was taken
}

var (
	_ redwingshunt.Configuration = (*Subscriber)(nil)
	_ redwingshunt.Dumper        = (*Subscriber)(nil)
)

// New returns a subscriber without a configuration and registers it with the
// link.
func New(options Options) *Subscriber {
	s := &Subscriber{
		options: options,
		core: publisher.New(publisher.Options{
			Self: options.Members.Self(), Document: options.Document, Seed: options.Seed,
		}),
		queue:   make(chan publisher.Received, queueSize),
		wake:    make(chan struct{}, 1),
		changed: make(chan struct{}),
		status:  Status{Age: publisher.Never},
	}
	for _, kind := range []redwingshunt.MessageKind{redwingshunt.KindDigest, redwingshunt.KindPublish} {
		options.Link.Handle(kind, func(from redwingshunt.InstanceID, payload []byte) {
			select {
			case s.queue <- publisher.Received{From: from, Kind: kind, Payload: payload}:
			default:
			}
		})
	}
	return s
}

// Accept takes a configuration of the log on a voter. It never blocks.
func (s *Subscriber) Accept(state registrar.State) {
	s.mu.Lock()
	if s.accepted == nil || state.Revision > s.accepted.Revision {
		s.accepted = &state
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run works until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			s.step(publisher.Tick{})
		case <-s.wake:
			s.stepAccepted()
		case received := <-s.queue:
			s.step(received)
		}
		timer.Reset(max(s.core.Deadline().Sub(s.options.Clock.Now()), time.Millisecond))
	}
}

func (s *Subscriber) stepAccepted() {
	s.mu.Lock()
	state := s.accepted
	s.accepted = nil
	s.mu.Unlock()
	if state != nil {
		s.step(publisher.Accepted{State: *state})
	}
}

// step hands the members and then the event to the core.
func (s *Subscriber) step(event publisher.Event) {
	now := s.options.Clock.Now()
	actions := s.core.Step(now, publisher.Members{
		Live:   s.options.Members.Live(),
		Quorum: s.options.Quorum != nil && s.options.Quorum(),
		Leader: s.options.Leader != nil && s.options.Leader(),
	})
	actions = append(actions, s.core.Step(now, event)...)
	s.mu.Lock()
	s.status.Age, s.read = s.core.Age(now), now // before a new configuration is told
	s.mu.Unlock()
	s.carryOut(actions)
}

func (s *Subscriber) carryOut(actions []publisher.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case publisher.Send:
			s.options.Link.Send(a.To, a.Message)
		case publisher.Installed:
			s.install(a.State)
		case publisher.Refused:
			s.refuse(a)
		}
	}
}

func (s *Subscriber) install(state registrar.State) {
	snapshot := &redwingshunt.Snapshot{
		Revision: state.Revision, Document: state.Document, At: state.At,
		Sections: make(map[redwingshunt.Section]redwingshunt.Revision, len(state.Parts)),
	}
	for _, part := range state.Parts {
		snapshot.Sections[part.Section] = part.Revision
	}
	s.mu.Lock()
	s.inForce, s.snapshot = state, snapshot
	s.status = Status{Revision: state.Revision, At: state.At, Age: s.status.Age}
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.options.Logger.Info("configuration in force", "revision", uint64(state.Revision), "version", state.Document.Version)
}

func (s *Subscriber) refuse(a publisher.Refused) {
	s.mu.Lock()
	s.status.Refused, s.status.Error = a.Revision, a.Err.Error()
	s.mu.Unlock()
	s.options.Logger.Error("configuration cannot be read; the last one stays in force",
		"revision", uint64(a.Revision), "error", a.Err.Error())
}

// Current returns the configuration in force, or nil when there is none yet.
func (s *Subscriber) Current() *redwingshunt.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// Watch returns a channel that is closed when Current has changed.
func (s *Subscriber) Watch() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Part returns the text in force of a section, as it was submitted.
func (s *Subscriber) Part(section redwingshunt.Section) merger.Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	return merger.Find(s.inForce.Parts, section)
}

// Text returns the text in force of the whole document.
func (s *Subscriber) Text() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return merger.Join(s.inForce.Parts)
}

// Status tells the revision in force and how old it may be.
func (s *Subscriber) Status() Status {
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.status
	if status.Age < publisher.Never {
		status.Age += max(now.Sub(s.read), 0)
	}
	return status
}

// Dump returns the status.
func (s *Subscriber) Dump() any { return s.Status() }
