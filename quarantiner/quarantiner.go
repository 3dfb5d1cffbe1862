// Package quarantiner decides whether a suspect request may run again.
//
// A request during which an upstream died is a suspect. Its fingerprint
// (account, service, method, path and body) is sent to all instances, so that a
// resend through another instance does not crash the next upstream.
//
//   - A fingerprint without a loss runs without restriction.
//   - A fingerprint with fewer losses than the limit runs on one instance at a
//     time, as far as notices reach the others. An instance first announces
//     that it is waiting and waits for NoticeDelay. It then runs the request unless
//     another instance runs it, or also waits and has the smaller identifier.
//   - A fingerprint at the limit is refused until lossRetention has passed since
//     its last loss.
//
// An upstream that dies with several running requests makes all of them
// suspects, although at most one is the cause. A false suspect is cleared when a
// run of it completes while it is below the limit, or when its losses expire.
//
// The number of suspects is bounded by maxSuspects. The suspect with the fewest
// losses is evicted first, and among those the one whose last loss is oldest.
//
// # Usage
//
//	core := quarantiner.New("instance-1", 2, rand.New(rand.NewPCG(1, 2)))
//	switch v := core.Start(now, fingerprint); v.Kind {
//	case quarantiner.Run: // dispatch, then Lost, Completed or End
//	case quarantiner.Wait: // call Start again after v.After
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

// NoticeDelay is the time allowed for a notice to reach all instances. The caller is told
// of a lost upstream only after it, so that every instance knows the suspect when
// the resend arrives.
const NoticeDelay = 250 * time.Millisecond

const (
	maxSuspects = 4096
	// maxLosses bounds the losses stored for one suspect, whatever the limit is.
	maxLosses = 16
	// duplicateWindow is the time within which losses of the same upstream count
	// as one.
	duplicateWindow = time.Second
	// lossRetention is how long a suspect is kept after its last loss. Received
	// losses that are older are ignored.
	lossRetention = time.Hour
	// phaseTimeout is how long the phase that another instance announced is valid
	// without renewal.
	phaseTimeout = 15 * time.Second
	// renewInterval is how often the phase of a running or waiting suspect is
	// announced again.
	renewInterval = 5 * time.Second
)

// Kind is the decision on a request.
type Kind int

// The decisions on a request.
const (
	Run    Kind = iota // the request may run now, and counts as running
	Wait               // call Start again later
	Refuse             // too many upstreams were lost to the request
)

// Verdict is the result of Start.
type Verdict struct {
	Kind  Kind
	After time.Duration // for Wait: delay until the next call of Start
}

// Phase is the state of a suspect on one instance.
type Phase int

// The phases, by ascending precedence.
const (
	Idle Phase = iota
	Waiting
	Running
)

// Loss is the loss of one upstream.
type Loss struct {
	ID       uint64 // random; makes a loss that is received twice count once
	Upstream redwingshunt.UpstreamKey
	At       time.Time // by the clock of this instance
}

// Notice is a message about one fingerprint from one instance to the others.
type Notice struct {
	Fingerprint redwingshunt.Fingerprint
	Losses      []Loss
	Completed   bool
	Phase       Phase
}

// suspect is the state of a fingerprint with at least one loss.
type suspect struct {
	losses       []Loss
	waitingSince time.Time // when this instance began to wait; zero when it does not wait
	peers        map[redwingshunt.InstanceID]peerPhase
	announced    time.Time // when this instance last announced its phase
}

// peerPhase is the phase that another instance announced last.
type peerPhase struct {
	phase Phase
	at    time.Time
}

// Core holds the suspects known to one instance. It is not safe for
// concurrent use.
type Core struct {
	self     redwingshunt.InstanceID
	limit    int
	rand     *rand.Rand
	running  map[redwingshunt.Fingerprint]int // number of runs on this instance, of all requests
	suspects map[redwingshunt.Fingerprint]*suspect
	queued   []Notice // to be returned by Notices
}

// New returns a Core without suspects. The limit is the number of losses at which
// a fingerprint is refused, at least 1.
func New(self redwingshunt.InstanceID, limit int, source *rand.Rand) *Core {
	return &Core{
		self:     self,
		limit:    max(1, limit),
		rand:     source,
		running:  make(map[redwingshunt.Fingerprint]int),
		suspects: make(map[redwingshunt.Fingerprint]*suspect),
	}
}

// SetLimit sets the number of losses at which a fingerprint is refused, at least 1.
func (c *Core) SetLimit(losses int) { c.limit = max(1, losses) }

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

// Start decides whether a request may run now.
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
		return Verdict{Kind: Wait, After: NoticeDelay}
	}
	if s.waitingSince.IsZero() {
		s.waitingSince = now
		c.announce(now, f, s, Waiting)
	}
	remaining := s.waitingSince.Add(NoticeDelay).Sub(now)
	if remaining > 0 {
		return Verdict{Kind: Wait, After: remaining}
	}
	if c.yields(now, s) {
		return Verdict{Kind: Wait, After: NoticeDelay}
	}
	s.waitingSince = time.Time{}
	c.running[f]++
	c.announce(now, f, s, Running)
	return Verdict{Kind: Run}
}

// CancelWait ends the wait of a request that was given up.
func (c *Core) CancelWait(now time.Time, f redwingshunt.Fingerprint) {
	s := c.find(now, f)
	if s == nil || s.waitingSince.IsZero() {
		return
	}
	s.waitingSince = time.Time{}
	c.announce(now, f, s, Idle)
}

// End records the end of a run that neither lost its upstream nor completed.
func (c *Core) End(now time.Time, f redwingshunt.Fingerprint) {
	if c.running[f]--; c.running[f] <= 0 {
		delete(c.running, f)
	}
	if s := c.find(now, f); s != nil {
		c.announce(now, f, s, c.phase(f, s))
	}
}

// Lost records that a run ended with the loss of its upstream.
func (c *Core) Lost(now time.Time, f redwingshunt.Fingerprint, u redwingshunt.UpstreamKey) {
	loss := Loss{ID: c.rand.Uint64(), Upstream: u, At: now}
	c.add(now, f, []Loss{loss})
	c.End(now, f)
}

// Completed records that a run completed.
func (c *Core) Completed(now time.Time, f redwingshunt.Fingerprint) {
	c.End(now, f)
	if c.clear(now, f) {
		c.queued = append(c.queued, Notice{Fingerprint: f, Completed: true})
	}
}

// Receive applies a notice from another instance.
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
	s.peers[from] = peerPhase{phase: n.Phase, at: now}
	own := c.phase(n.Fingerprint, s)
	if own == Running && (n.Phase == Waiting || !known) {
		c.announce(now, n.Fingerprint, s, own)
	}
}

// Tick announces the phases of running and waiting suspects again and removes
// expired suspects. It may be called at any interval.
func (c *Core) Tick(now time.Time) {
	for _, f := range c.fingerprints() {
		s := c.find(now, f)
		if s != nil && c.phase(f, s) != Idle && now.Sub(s.announced) >= renewInterval {
			c.announce(now, f, s, c.phase(f, s))
		}
	}
}

// Notices returns the notices to send to all instances, queued since the last call.
func (c *Core) Notices() []Notice {
	queued := c.queued
	c.queued = nil
	return queued
}

// All returns a notice for each suspect, to be sent to an instance that has just
// started.
func (c *Core) All(now time.Time) []Notice {
	var all []Notice
	for _, f := range c.fingerprints() {
		if s := c.find(now, f); s != nil {
			all = append(all, Notice{Fingerprint: f, Losses: s.losses, Phase: c.phase(f, s)})
		}
	}
	return all
}

// find returns the suspect with a fingerprint, or nil. It removes an expired one.
func (c *Core) find(now time.Time, f redwingshunt.Fingerprint) *suspect {
	s := c.suspects[f]
	if s == nil {
		return nil
	}
	if now.Sub(s.newest()) >= lossRetention {
		delete(c.suspects, f)
		return nil
	}
	return s
}

// add records the losses that are not known yet.
func (c *Core) add(now time.Time, f redwingshunt.Fingerprint, losses []Loss) {
	s := c.find(now, f)
	for _, loss := range losses {
		if now.Sub(loss.At) >= lossRetention || s != nil && s.hasLoss(loss) {
			continue
		}
		if s == nil {
			c.makeRoom()
			s = &suspect{peers: make(map[redwingshunt.InstanceID]peerPhase)}
			c.suspects[f] = s
		}
		if len(s.losses) < maxLosses {
			s.losses = append(s.losses, loss)
		}
	}
}

// hasLoss reports whether a loss is recorded already, or is a duplicate report of the
// same loss.
func (s *suspect) hasLoss(l Loss) bool {
	return slices.ContainsFunc(s.losses, func(k Loss) bool {
		inWindow := l.At.Sub(k.At).Abs() < duplicateWindow
		return k.ID == l.ID || k.Upstream == l.Upstream && inWindow
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

// yields reports whether another instance runs the suspect or has precedence.
func (c *Core) yields(now time.Time, s *suspect) bool {
	for id, other := range s.peers {
		if now.Sub(other.at) >= phaseTimeout {
			continue
		}
		if other.phase == Running || other.phase == Waiting && id < c.self {
			return true
		}
	}
	return false
}

// phase returns the phase of a suspect on this instance.
func (c *Core) phase(f redwingshunt.Fingerprint, s *suspect) Phase {
	switch {
	case c.running[f] > 0:
		return Running
	case !s.waitingSince.IsZero():
		return Waiting
	}
	return Idle
}

// announce queues a notice of a suspect for all instances.
func (c *Core) announce(now time.Time, f redwingshunt.Fingerprint, s *suspect, p Phase) {
	s.announced = now
	c.queued = append(c.queued, Notice{Fingerprint: f, Losses: slices.Clone(s.losses), Phase: p})
}

// clear removes a suspect that is below the limit and reports whether it did.
func (c *Core) clear(now time.Time, f redwingshunt.Fingerprint) bool {
	s := c.find(now, f)
	if s == nil || len(s.losses) >= c.limit {
		return false
	}
	delete(c.suspects, f)
	return true
}

// makeRoom evicts one suspect when maxSuspects is reached.
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

// compare orders suspects for eviction: by number of losses, then by the time of the
// last loss.
func (s *suspect) compare(t *suspect) int {
	return cmp.Or(cmp.Compare(len(s.losses), len(t.losses)), s.newest().Compare(t.newest()))
}

// fingerprints returns the fingerprints of all suspects, sorted.
func (c *Core) fingerprints() []redwingshunt.Fingerprint {
	all := make([]redwingshunt.Fingerprint, 0, len(c.suspects))
	for f := range c.suspects {
		all = append(all, f)
	}
	slices.SortFunc(all, func(a, b redwingshunt.Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return all
}
