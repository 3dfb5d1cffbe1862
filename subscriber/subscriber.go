// Package subscriber maintains the configuration in force on one instance. It
// drives package publisher: it converts messages, the members of the fleet and time
// to events and executes the resulting actions.
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

// queueSize limits the number of queued messages. Further messages are dropped;
// the periodic digest makes up for the loss.
const queueSize = 256

// maxHoldTime is how long a voter that has started holds back what its log has, until
// it is known to be complete: later entries that were committed before the start may
// be known only to the next leader. Without a quorum it is used after this time.
const maxHoldTime = 10 * time.Second

// Options configures a subscriber.
type Options struct {
	Link     redwingshunt.Link
	Members  redwingshunt.Members
	Clock    redwingshunt.Clock
	Document registrar.DocumentFunc
	// Quorum reports whether this instance is a voter that reaches a quorum; nil on
	// other instances.
	Quorum func() bool
	Leader func() bool // reports whether this instance leads the control group; may be nil
	Seed   uint64      // of the random choice of peers; different on each instance
	Logger *slog.Logger
}

// Status is what this instance knows about its configuration.
type Status struct {
	Revision redwingshunt.Revision `json:"revision"` // in force; zero if there is none
	At       time.Time             `json:"at"`       // when it was committed
	Age      time.Duration         `json:"age"`      // since a quorum confirmed it as the newest
	Refused  redwingshunt.Revision `json:"refused,omitempty"`
	Error    string                `json:"error,omitempty"` // why the refused revision cannot be read

	Evacuations redwingshunt.Revision `json:"evacuations,omitempty"` // revision of the evacuations in force
	Evacuated   []redwingshunt.ZoneID `json:"evacuated,omitempty"`
}

// Subscriber implements redwingshunt.Configuration.
type Subscriber struct {
	options Options
	core    *publisher.Core
	queue   chan publisher.Received
	wake    chan struct{}

	mu         sync.Mutex
	accepted   *registrar.State // not passed to the core yet
	acceptedAt time.Time        // when the log accepted the first one
	complete   bool             // the log is no longer held back
	inForce    registrar.State
	snapshot   *redwingshunt.Snapshot
	changed    chan struct{}
	status     Status
	measuredAt time.Time // when status.Age was measured
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
		status:  Status{Age: publisher.AgeUnknown},
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

// Accept passes on a configuration that the log of a voter committed. It never
// blocks.
func (s *Subscriber) Accept(state registrar.State) {
	s.mu.Lock()
	s.accepted = &state // the log never goes back
	if s.acceptedAt.IsZero() {
		s.acceptedAt = s.options.Clock.Now()
	}
	s.mu.Unlock()
	s.Wake()
}

// Wake makes Run read the state of the log again. It never blocks.
func (s *Subscriber) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run processes events until ctx is done.
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
			s.step(publisher.Tick{})
		case received := <-s.queue:
			s.step(received)
		}
		timer.Reset(max(s.core.Deadline().Sub(s.options.Clock.Now()), time.Millisecond))
	}
}

// takeAccepted returns the configuration that the log has accepted since the last call,
// or nil.
func (s *Subscriber) takeAccepted(now time.Time, quorum bool) *registrar.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete = s.complete || quorum || s.options.Quorum == nil
	if !s.complete && now.Sub(s.acceptedAt) < maxHoldTime {
		return nil
	}
	state := s.accepted
	s.accepted = nil
	return state
}

// step passes the members, a configuration that the log has accepted and then the event
// to the core, and executes the actions.
func (s *Subscriber) step(event publisher.Event) {
	now := s.options.Clock.Now()
	quorum := s.options.Quorum != nil && s.options.Quorum() // before takeAccepted: the log accepts first
	actions := s.core.Step(now, publisher.Members{
		Live: s.options.Members.Live(), Quorum: quorum, Leader: s.options.Leader != nil && s.options.Leader(),
	})
	if accepted := s.takeAccepted(now, quorum); accepted != nil {
		actions = append(actions, s.core.Step(now, publisher.Accepted{State: *accepted})...)
	}
	actions = append(actions, s.core.Step(now, event)...)
	s.mu.Lock()
	s.status.Age, s.measuredAt = s.core.Age(now), now // before watchers see a new configuration
	s.mu.Unlock()
	s.execute(actions)
}

func (s *Subscriber) execute(actions []publisher.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case publisher.Send:
			s.options.Link.Send(a.To, a.Message)
		case publisher.Installed:
			s.install(a.State)
		case publisher.Refused:
			s.recordRefusal(a)
		}
	}
}

func (s *Subscriber) install(state registrar.State) {
	snapshot := &redwingshunt.Snapshot{
		Revision: state.Revision, Document: withEvacuations(state), At: state.At,
		Sections:    make(map[redwingshunt.Section]redwingshunt.Revision, len(state.Parts)),
		Evacuations: state.Evacuations.Revision,
	}
	for _, part := range state.Parts {
		snapshot.Sections[part.Section] = part.Revision
	}
	s.mu.Lock()
	before := s.inForce
	s.inForce, s.snapshot = state, snapshot
	s.status = Status{
		Revision: state.Revision, At: state.At, Age: s.status.Age,
		Evacuations: state.Evacuations.Revision, Evacuated: state.Evacuations.Zones,
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	if state.Revision != before.Revision {
		s.options.Logger.Info("configuration in force", "revision", uint64(state.Revision), "version", state.Document.Version)
	}
	if state.Evacuations.Revision != before.Evacuations.Revision {
		s.options.Logger.Info("evacuations in force", "revision", uint64(state.Evacuations.Revision),
			"zones", state.Evacuations.Zones, "before", before.Evacuations.Zones, "at", state.Evacuations.At)
	}
}

// withEvacuations returns the document of a state with its evacuated availability zones.
func withEvacuations(state registrar.State) *redwingshunt.Document {
	if len(state.Evacuations.Zones) == 0 {
		return state.Document
	}
	document := *state.Document
	document.Evacuated = state.Evacuations.Zones
	return &document
}

func (s *Subscriber) recordRefusal(a publisher.Refused) {
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

// Watch returns a channel that is closed when Current changes.
func (s *Subscriber) Watch() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Part returns the text of a section in force, as it was submitted.
func (s *Subscriber) Part(section redwingshunt.Section) merger.Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	return merger.Find(s.inForce.Parts, section)
}

// Text returns the text of the whole document in force.
func (s *Subscriber) Text() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return merger.Join(s.inForce.Parts)
}

// Evacuations returns the evacuations in force.
func (s *Subscriber) Evacuations() registrar.Evacuations {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce.Evacuations
}

// Status returns the revision in force and the time since it was last confirmed.
func (s *Subscriber) Status() Status {
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.status
	if status.Age < publisher.AgeUnknown {
		status.Age += max(now.Sub(s.measuredAt), 0)
	}
	return status
}

// Dump returns the status.
func (s *Subscriber) Dump() any { return s.Status() }
