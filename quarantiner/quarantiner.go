// Package quarantiner decides whether a suspect request may run again.
//
// A request during which an upstream died is a suspect. Its fingerprint
// (account, service, method, path and body) is told to all instances, so that
// a resend through another instance does not take the next upstream.
//
//   - A fingerprint without a loss runs freely.
//   - A fingerprint with fewer losses than the limit runs alone: on one
//     instance at a time, as far as the instances hear of each other. An
//     instance first tells that it is waiting, listens for Settle, and then
//     runs it unless another instance runs it or comes first by identifier.
//   - A fingerprint at the limit is refused until memory has passed since its
//     last loss.
//
// An upstream that dies with several running requests makes all of them
// suspects, though at most one is the cause. A false suspect is cleared when
// it completes below the limit, or by time.
//
// Memory is bounded by maxSuspects; the suspect with the fewest losses, and
// among those the one that was lost longest ago, is forgotten first.
//
// # Usage
//
//	core := quarantiner.New("instance-1", 2, rand.New(rand.NewPCG(1, 2)))
//	switch v := core.Start(now, fingerprint); v.Kind {
//	case quarantiner.Run: // dispatch, then Lost, Completed or End
//	case quarantiner.Wait: // ask again after v.After
//	case quarantiner.Refuse: // redwingshunt.ReasonSuspect
//	}
//	broadcast(core.Notices())
package quarantiner

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// Settle is how long a loss takes to be known everywhere. The caller is told
// of a lost upstream no earlier, so that its resend meets the suspect.
const Settle = 250 * time.Millisecond

const (
	maxSuspects = 4096
	// maxLosses bounds the losses remembered of one suspect, whatever the limit.
	maxLosses = 16
	// sameLoss is the time within which an upstream is lost only once.
	sameLoss = time.Second
	// memory is how long a loss is remembered.
	memory = time.Hour
	// silence is how long another instance's run is believed without news.
	silence = 15 * time.Second
	// renewal is how often a running suspect is told again.
	renewal = 5 * time.Second
)

// Kind is what to do with a request.
type Kind int

// The kinds of verdict.
const (
	Run    Kind = iota // it may run now, and counts as running
	Wait               // ask again later
	Refuse             // it has taken too many upstreams
)

// Verdict answers Start.
type Verdict struct {
	Kind  Kind
	After time.Duration // with Wait: when to ask again
}

// Phase is what an instance does with a suspect.
type Phase int

// The phases, in the order in which they win.
const (
	Idle Phase = iota
	Waiting
	Running
)

// Loss is one upstream lost.
type Loss struct {
	ID       uint64 // random, so that a notice received twice counts once
	Upstream redwingshunt.UpstreamKey
	At       time.Time // by the clock of this instance
}

// Notice is what instances tell one another.
type Notice struct {
	Fingerprint redwingshunt.Fingerprint
	Losses      []Loss
	Completed   bool
	Phase       Phase
}

// suspect is what is known of a fingerprint with a loss.
type suspect struct {
	losses  []Loss
	waiting time.Time // since when this instance waits; zero when it does not
	others  map[redwingshunt.InstanceID]sighting
	told    time.Time // when this instance last told its phase
}

// sighting is what another instance told last.
type sighting struct {
	phase Phase
	at    time.Time
}

// Core holds the suspects as one instance knows them. It is not safe for
// concurrent use.
type Core struct {
	self     redwingshunt.InstanceID
	limit    int
	rand     *rand.Rand
	running  map[redwingshunt.Fingerprint]int // runs on this instance, all requests
	suspects map[redwingshunt.Fingerprint]*suspect
	out      []Notice
}

// New returns a core without suspects. Limit is the number of upstreams lost
// at which a fingerprint is refused.
func New(self redwingshunt.InstanceID, limit int, source *rand.Rand) *Core {
	return &Core{
		self:     self,
		limit:    max(1, limit),
		rand:     source,
		running:  make(map[redwingshunt.Fingerprint]int),
		suspects: make(map[redwingshunt.Fingerprint]*suspect),
	}
}

// Limit changes the number of losses at which a fingerprint is refused.
func (c *Core) Limit(losses int) { c.limit = max(1, losses) }

// Len returns the number of suspects.
func (c *Core) Len() int { return len(c.suspects) }

// Losses returns the number of upstreams lost to a fingerprint.
func (c *Core) Losses(now time.Time, f redwingshunt.Fingerprint) int {
	s := c.find(now, f)
	if s == nil {
		return 0
	}
	return len(s.losses)
}

// Start asks to run a request now.
func (c *Core) Start(now time.Time, f redwingshunt.Fingerprint) Verdict {
	s := c.find(now, f)
	if s == nil {
		c.running[f]++
		return Verdict{Kind: Run}
	}
	if len(s.losses) >= c.limit {
		return Verdict{Kind: Refuse}
	}
	if c.running[f] > 0 {
		return Verdict{Kind: Wait, After: Settle}
	}
	if s.waiting.IsZero() {
		s.waiting = now
		c.tell(now, f, s, Waiting)
	}
	left := s.waiting.Add(Settle).Sub(now)
	if left > 0 {
		return Verdict{Kind: Wait, After: left}
	}
	if c.yields(now, s) {
		return Verdict{Kind: Wait, After: Settle}
	}
	s.waiting = time.Time{}
	c.running[f]++
	c.tell(now, f, s, Running)
	return Verdict{Kind: Run}
}

// Leave ends the wait of a request that is not asked for any more.
func (c *Core) Leave(now time.Time, f redwingshunt.Fingerprint) {
	s := c.find(now, f)
	if s == nil || s.waiting.IsZero() {
		return
	}
	s.waiting = time.Time{}
	c.tell(now, f, s, Idle)
}

// End notes that a run ended and says nothing about the request.
func (c *Core) End(now time.Time, f redwingshunt.Fingerprint) {
	if c.running[f]--; c.running[f] <= 0 {
		delete(c.running, f)
	}
	if s := c.find(now, f); s != nil {
		c.tell(now, f, s, c.phase(f, s))
	}
}

// Lost notes that a run ended with the loss of its upstream.
func (c *Core) Lost(now time.Time, f redwingshunt.Fingerprint, u redwingshunt.UpstreamKey) {
	loss := Loss{ID: c.rand.Uint64(), Upstream: u, At: now}
	c.add(now, f, []Loss{loss})
	c.End(now, f)
}

// Completed notes that a run ended well.
func (c *Core) Completed(now time.Time, f redwingshunt.Fingerprint) {
	c.End(now, f)
	if c.clear(now, f) {
		c.out = append(c.out, Notice{Fingerprint: f, Completed: true})
	}
}

// Receive takes a notice of another instance in.
func (c *Core) Receive(now time.Time, from redwingshunt.InstanceID, n Notice) {
	if n.Completed {
		c.clear(now, n.Fingerprint)
		return
	}
	known := c.find(now, n.Fingerprint) != nil
	c.add(now, n.Fingerprint, n.Losses)
	s := c.suspects[n.Fingerprint]
	if s == nil {
		return
	}
	s.others[from] = sighting{phase: n.Phase, at: now}
	mine := c.phase(n.Fingerprint, s)
	if mine == Running && (n.Phase == Waiting || !known) {
		c.tell(now, n.Fingerprint, s, mine)
	}
}

// Tick renews what this instance tells of its running suspects and forgets old
// ones. It may be called at any interval.
func (c *Core) Tick(now time.Time) {
	for _, f := range c.fingerprints() {
		s := c.find(now, f)
		if s != nil && c.phase(f, s) != Idle && now.Sub(s.told) >= renewal {
			c.tell(now, f, s, c.phase(f, s))
		}
	}
}

// Notices returns what is to be told to all instances since the last call.
func (c *Core) Notices() []Notice {
	out := c.out
	c.out = nil
	return out
}

// All returns a notice for each suspect, for an instance that starts empty.
func (c *Core) All(now time.Time) []Notice {
	var all []Notice
	for _, f := range c.fingerprints() {
		if s := c.find(now, f); s != nil {
			all = append(all, Notice{Fingerprint: f, Losses: s.losses, Phase: c.phase(f, s)})
		}
	}
	return all
}

// find returns a suspect whose memory has not passed, or nil.
func (c *Core) find(now time.Time, f redwingshunt.Fingerprint) *suspect {
	s := c.suspects[f]
	if s == nil {
		return nil
	}
	if now.Sub(s.newest()) >= memory {
		delete(c.suspects, f)
		return nil
	}
	return s
}

// add records losses that are not known yet.
func (c *Core) add(now time.Time, f redwingshunt.Fingerprint, losses []Loss) {
	s := c.find(now, f)
	for _, loss := range losses {
		if now.Sub(loss.At) >= memory || s != nil && s.knows(loss) {
			continue
		}
		if s == nil {
			c.makeRoom()
			s = &suspect{others: make(map[redwingshunt.InstanceID]sighting)}
			c.suspects[f] = s
		}
		if len(s.losses) < maxLosses {
			s.losses = append(s.losses, loss)
		}
	}
}

// knows reports whether a loss was told before, or is the same death of the
// upstream as one that was.
func (s *suspect) knows(l Loss) bool {
	return slices.ContainsFunc(s.losses, func(k Loss) bool {
		near := l.At.Sub(k.At).Abs() < sameLoss
		return k.ID == l.ID || k.Upstream == l.Upstream && near
	})
}

// newest returns the time of the last loss.
func (s *suspect) newest() time.Time {
	var newest time.Time
	for _, l := range s.losses {
		if l.At.After(newest) {
			newest = l.At
		}
	}
	return newest
}

// yields reports whether another instance runs the suspect or goes first.
func (c *Core) yields(now time.Time, s *suspect) bool {
	for id, other := range s.others {
		if now.Sub(other.at) >= silence {
			continue
		}
		if other.phase == Running || other.phase == Waiting && id < c.self {
			return true
		}
	}
	return false
}

// phase returns what this instance does with a suspect.
func (c *Core) phase(f redwingshunt.Fingerprint, s *suspect) Phase {
	switch {
	case c.running[f] > 0:
		return Running
	case !s.waiting.IsZero():
		return Waiting
	}
	return Idle
}

// tell queues a notice for all instances.
func (c *Core) tell(now time.Time, f redwingshunt.Fingerprint, s *suspect, p Phase) {
	s.told = now
	c.out = append(c.out, Notice{Fingerprint: f, Losses: slices.Clone(s.losses), Phase: p})
}

// clear forgets a suspect that is below the limit.
func (c *Core) clear(now time.Time, f redwingshunt.Fingerprint) bool {
	s := c.find(now, f)
	if s == nil || len(s.losses) >= c.limit {
		return false
	}
	delete(c.suspects, f)
	return true
}

// makeRoom forgets a suspect when there are too many.
func (c *Core) makeRoom() {
	if len(c.suspects) < maxSuspects {
		return
	}
	var victim redwingshunt.Fingerprint
	var least *suspect
	for f, s := range c.suspects {
		if least == nil || cmp.Or(s.compare(least), bytes.Compare(f[:], victim[:])) < 0 {
			victim, least = f, s
		}
	}
	delete(c.suspects, victim)
}

// compare orders suspects by how soon they may be forgotten.
func (s *suspect) compare(t *suspect) int {
	return cmp.Or(cmp.Compare(len(s.losses), len(t.losses)), s.newest().Compare(t.newest()))
}

// fingerprints returns the suspects in order.
func (c *Core) fingerprints() []redwingshunt.Fingerprint {
	all := make([]redwingshunt.Fingerprint, 0, len(c.suspects))
	for f := range c.suspects {
		all = append(all, f)
	}
	slices.SortFunc(all, func(a, b redwingshunt.Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return all
}
