// Package publisher decides how an accepted configuration reaches every live
// instance, and which one is in force on this one.
//
// A voter learns a configuration from the log. It travels on as edits of the
// sections that changed, along a tree: in each region the speaker, which is the
// first voter or else the first instance by name, sends to fanout instances,
// each of them to fanout others. The first voter also sends to the speaker of
// each region that has no voter. An instance sends on once, when it moves.
//
// A fleet of up to directFanout instances needs no tree: a voter sends to all
// instances of its region, and the leader to all, so that a region whose own
// voter is cut off from the log is not left behind.
//
// Below the push there is a digest: every digestPeriod an instance tells its
// revision to one instance of its own region; whichever of the two is behind
// is brought forward. Across regions one speaker tells one speaker every
// acrossPeriod. An instance that knows to be behind asks one peer of its own
// region, and after some unanswered questions one elsewhere. One that has heard
// of no confirmation for staleAge asks a voter, whatever its region.
//
// An instance only ever moves to a larger revision. One that starts empty takes
// the first answer that was confirmed by a quorum within freshAge; without one
// it takes the newest answer after startPatience. The age of a configuration is
// the time since a voter with a quorum confirmed that it is the newest; ages
// travel with the digests as durations, so that no two clocks need to agree.
//
// # Usage
//
//	core := publisher.New(publisher.Options{Self: self, Document: parser.Document, Seed: seed})
//	for event := range events {
//		for _, action := range core.Step(clock.Now(), event) {
//			switch a := action.(type) {
//			case publisher.Send: // best effort
//			case publisher.Installed: // in force from now on
//			}
//		}
//		timer.Reset(core.Deadline().Sub(clock.Now())) // then Step Tick{}
//	}
package publisher

import (
	"math/rand/v2"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/registrar"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	fanout        = 8                      // instances that one instance pushes to
	digestPeriod  = time.Second            // within a region
	acrossPeriod  = 2 * time.Second        // between two regions
	askTimeout    = 500 * time.Millisecond // until the next question
	maxBackoff    = 4                      // doublings of askTimeout between unprompted questions
	staleAge      = 3 * time.Second        // age from which an instance asks a voter whether it is behind
	directFanout  = 64                     // instances up to which a voter pushes to each one itself
	nearTries     = 2                      // questions in the own region before one elsewhere
	freshAge      = 10 * time.Second       // age up to which an empty instance takes an answer at once
	startPatience = 3 * time.Second        // wait for a fresh answer when there is an old one
	maxRecent     = 256                    // edits kept to bring others forward
)

// Never is the age of a configuration that no quorum has confirmed to this
// instance.
const Never = time.Duration(1<<32-1) * time.Millisecond

// Options configure a core.
type Options struct {
	Self     redwingshunt.Instance
	Document registrar.DocumentFunc
	Seed     uint64 // of the choice of peers
}

// Event is what happened: Accepted, Members, Received or Tick.
type Event interface{ event() }

// Accepted tells a voter the configuration in the log.
type Accepted struct{ State registrar.State }

// Members tells who is alive, this instance among them, ordered by ID.
type Members struct {
	Live []redwingshunt.Instance
	// Quorum tells that this instance is a voter in touch with a quorum.
	Quorum bool
	// Leader tells that this instance leads the control group.
	Leader bool
}

// Received is a message of kind digest or publish.
type Received struct {
	From    redwingshunt.InstanceID
	Kind    redwingshunt.MessageKind
	Payload []byte
}

// Tick tells that the deadline has passed.
type Tick struct{}

func (Accepted) event() {}
func (Members) event()  {}
func (Received) event() {}
func (Tick) event()     {}

// Action is what to do: Send, Installed or Refused.
type Action interface{ action() }

// Send passes a message to an instance, best effort.
type Send struct {
	To      redwingshunt.InstanceID
	Message redwingshunt.Message
}

// Installed tells the configuration that is in force from now on.
type Installed struct{ State registrar.State }

// Refused tells that a configuration could not be read; the last one stays in
// force.
type Refused struct {
	Revision redwingshunt.Revision
	Err      error
}

func (Send) action()      {}
func (Installed) action() {}
func (Refused) action()   {}

// Core is the state of one instance. It is used by one goroutine at a time.
type Core struct {
	self     redwingshunt.Instance
	document registrar.DocumentFunc
	random   *rand.Rand

	live   []redwingshunt.Instance
	quorum bool
	leader bool

	state     registrar.State
	recent    []*wire.SectionUpdate // oldest first
	seen      redwingshunt.Revision // largest that was heard of
	refused   redwingshunt.Revision // could not be read
	confirmed time.Time             // when the revision was last known to be the newest

	settled  bool      // the state may be served
	holdTill time.Time // when an old first answer is taken

	nextDigest time.Time
	nextAcross time.Time
	nextAsk    time.Time // to a peer that is known to be ahead
	nextProbe  time.Time // to any peer
	nextStale  time.Time // to a voter, whether there is something newer
	tries      int       // questions without success
	now        time.Time

	actions []Action // of the current step
}

// New returns a core that has no configuration.
func New(options Options) *Core {
	return &Core{
		self:     options.Self,
		document: options.Document,
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
	}
}

// Step takes one event and returns what to do. A time before the last one
// counts as the last one.
func (c *Core) Step(now time.Time, event Event) []Action {
	c.actions = nil
	if now.Before(c.now) {
		now = c.now
	}
	c.now = now
	switch e := event.(type) {
	case Accepted:
		c.accepted(now, e.State)
	case Members:
		c.live, c.quorum, c.leader = e.Live, e.Quorum, e.Leader
	case Received:
		c.received(now, e)
	case Tick:
	}
	c.confirmOwn(now)
	c.settle(now)
	c.askIfBehind(now)
	c.askIfStale(now)
	c.digest(now)
	return c.actions
}

// Deadline returns when Tick is due next; zero means at once.
func (c *Core) Deadline() time.Time {
	deadline := c.nextDigest
	if c.behind() && c.nextProbe.Before(deadline) {
		deadline = c.nextProbe
	}
	if !c.settled && !c.holdTill.IsZero() && c.holdTill.Before(deadline) {
		deadline = c.holdTill
	}
	return deadline
}

// Revision returns the newest revision that this instance has, zero without one.
func (c *Core) Revision() redwingshunt.Revision { return c.state.Revision }

// Age returns how long ago a quorum confirmed that the revision is the newest.
func (c *Core) Age(now time.Time) time.Duration {
	if c.confirmed.IsZero() {
		return Never
	}
	return min(max(now.Sub(c.confirmed), 0), Never)
}

func (c *Core) send(to redwingshunt.InstanceID, message redwingshunt.Message) {
	c.actions = append(c.actions, Send{To: to, Message: message})
}
