// Package publisher decides how an accepted configuration is distributed to all
// live instances, and which configuration is in force on this one.
//
// A voter receives a configuration from the log. It is pushed on as edits of the
// changed sections along one tree per region: the root of a region, which is its
// first voter by ID or, without a voter, its first instance by ID, sends to
// fanout instances, and each of those to fanout others. A voter also sends to the
// root of its region, and the leader to the roots of all regions. An instance
// pushes a revision once, when it installs it.
//
// In a fleet of up to maxDirectInstances instances, a voter also sends directly
// to all instances of its region, and the leader to all instances. A region whose
// own voter is partitioned from the log thus still gets the configuration.
//
// In addition to the push, instances exchange digests (anti-entropy). Every
// localDigestPeriod an instance sends its revision to one instance of its region,
// and whichever of the two is behind gets the updates. Every
// crossRegionDigestPeriod the roots of each two regions do the same. An instance
// that knows that it is behind asks a peer of its own region and, after
// sameRegionTries unanswered questions, one of another region. An instance whose
// revision has not been confirmed for staleAge asks a voter of any region.
//
// The evacuations of availability zones have a revision of their own and travel in the
// same messages, as a whole. Wherever a revision is compared, theirs is as well.
//
// An instance only ever moves to a newer revision. An instance that starts empty
// puts in force the first configuration that a quorum has confirmed since then;
// without one it uses the newest that it has startTimeout after its start. The age of a
// configuration is the time since a voter in contact with a quorum confirmed that
// it is the newest. Digests carry the age as a duration, so that clocks need not
// be synchronized.
//
// # Usage
//
//	core := publisher.New(publisher.Options{Self: self, Document: parser.Document, Seed: seed})
//	for event := range events {
//		for _, action := range core.Step(clock.Now(), event) {
//			switch a := action.(type) {
//			case publisher.Send: // send a.Message to a.To, best effort
//			case publisher.Installed: // a.State is in force from now on
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
	fanout                  = 8                      // children of an instance in the tree
	localDigestPeriod       = time.Second            // between digests within a region
	crossRegionDigestPeriod = 2 * time.Second        // between digests of two regions
	askTimeout              = 500 * time.Millisecond // between two questions
	maxBackoffDoublings     = 4                      // maximum doublings of askTimeout
	staleAge                = 3 * time.Second        // age from which an instance asks a voter for a newer revision
	maxDirectInstances      = 64                     // maximum fleet size for direct pushes, in instances
	sameRegionTries         = 2                      // questions to the same region before one to another region
	startTimeout            = 3 * time.Second        // time after the start to wait for a first configuration that is confirmed
	minConfirmTime          = time.Second            // least time to wait for its confirmation
	maxRecentEdits          = 256                    // stored edits for updates of other instances
)

// AgeUnknown is the age of a configuration that this instance does not know to be
// confirmed by a quorum.
const AgeUnknown = time.Duration(1<<32-1) * time.Millisecond

// Options configure a core.
type Options struct {
	Self     redwingshunt.Instance
	Document registrar.DocumentFunc
	Seed     uint64 // seed of the random choice of peers
}

// Event is an input of a core: Accepted, Members, Received or Tick.
type Event interface{ event() }

// Accepted reports, on a voter, the configuration in the log.
type Accepted struct{ State registrar.State }

// Members lists the live instances, including this one, ordered by ID. It takes effect
// with the next event, so that a configuration that a voter has just accepted precedes
// the confirmation of the one before.
type Members struct {
	Live []redwingshunt.Instance
	// Quorum reports whether this instance is a voter in contact with a quorum.
	Quorum bool
	// Leader reports whether this instance leads the control group.
	Leader bool
}

// Received is a message of kind KindDigest or KindPublish.
type Received struct {
	From    redwingshunt.InstanceID
	Kind    redwingshunt.MessageKind
	Payload []byte
}

// Tick reports that the deadline has passed.
type Tick struct{}

func (Accepted) event() {}
func (Members) event()  {}
func (Received) event() {}
func (Tick) event()     {}

// Action is an output of a core: Send, Installed or Refused.
type Action interface{ action() }

// Send requests best-effort delivery of a message to an instance.
type Send struct {
	To      redwingshunt.InstanceID
	Message redwingshunt.Message
}

// Installed reports the configuration that is in force from now on.
type Installed struct{ State registrar.State }

// Refused reports that a configuration could not be parsed. The last one stays
// in force.
type Refused struct {
	Revision redwingshunt.Revision
	Err      error
}

func (Send) action()      {}
func (Installed) action() {}
func (Refused) action()   {}

// Core is the state of one instance. It is not safe for concurrent use.
type Core struct {
	self     redwingshunt.Instance
	document registrar.DocumentFunc
	random   *rand.Rand

	live   []redwingshunt.Instance
	quorum bool
	leader bool

	state             registrar.State
	recentEdits       []*wire.SectionUpdate // edits of recent changes, oldest first
	newestSeen        redwingshunt.Revision // newest revision that any instance is known to have
	newestEvacuations redwingshunt.Revision // newest revision of the evacuations that any instance is known to have
	refusedRevision   redwingshunt.Revision // last revision that could not be parsed
	confirmedAt       time.Time             // when the revision was last known to be the newest

	started       time.Time // first Step
	inForce       bool      // the first configuration is in force
	startDeadline time.Time // when an old first configuration is put in force

	nextLocalDigest       time.Time
	nextCrossRegionDigest time.Time
	nextAsk               time.Time // earliest time of the next question
	nextProbe             time.Time // next question of askIfBehind
	nextStaleAsk          time.Time // earliest time of the next question of askIfStale
	asksSinceInstall      int       // questions since the last installed revision
	now                   time.Time

	actions []Action // of the current Step
}

// New returns a core that has no configuration.
func New(options Options) *Core {
	return &Core{
		self:     options.Self,
		document: options.Document,
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
	}
}

// Step handles one event and returns the resulting actions. A time before that of
// the last Step is replaced with the latter.
func (c *Core) Step(now time.Time, event Event) []Action {
	c.actions = nil
	if now.Before(c.now) {
		now = c.now
	}
	c.now = now
	if c.started.IsZero() {
		c.started = now
	}
	switch e := event.(type) {
	case Accepted:
		c.handleAccepted(now, e.State)
	case Members:
		c.live, c.quorum, c.leader = e.Live, e.Quorum, e.Leader
		return nil
	case Received:
		c.handleReceived(now, e)
	case Tick:
	}
	c.confirmOwn(now)
	c.installFirst(now)
	c.askIfBehind(now)
	c.askIfStale(now)
	c.sendDueDigests(now)
	return c.actions
}

// Deadline returns the time of the next Tick. The zero time means immediately.
func (c *Core) Deadline() time.Time {
	deadline := c.nextLocalDigest
	if c.behind() && c.nextProbe.Before(deadline) {
		deadline = c.nextProbe
	}
	if !c.inForce && !c.startDeadline.IsZero() && c.startDeadline.Before(deadline) {
		deadline = c.startDeadline
	}
	return deadline
}

// Revision returns the newest revision that this instance has, or zero if it has
// none. It may not be in force yet.
func (c *Core) Revision() redwingshunt.Revision { return c.state.Revision }

// Age returns the time since a quorum confirmed that the revision is the newest,
// or AgeUnknown.
func (c *Core) Age(now time.Time) time.Duration {
	if c.confirmedAt.IsZero() {
		return AgeUnknown
	}
	return min(max(now.Sub(c.confirmedAt), 0), AgeUnknown)
}

func (c *Core) send(to redwingshunt.InstanceID, message redwingshunt.Message) {
	c.actions = append(c.actions, Send{To: to, Message: message})
}
