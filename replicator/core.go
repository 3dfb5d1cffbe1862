package replicator

import (
	"math/rand/v2"
	"time"
)

// Config describes one replica.
type Config struct {
	Self  MemberID
	Start uint64 // counts the starts with this folder, see NewStart
	Seed  uint64 // of the randomness
	Trail uint64 // entries kept behind a snapshot for members that lag; zero is TrailingEntries

	// LazyCommit makes a leader tell members what is committed with the next
	// append or heartbeat, and not in a message of its own. Followers then apply
	// an entry up to a HeartbeatPeriod later; the leader does not.
	LazyCommit bool
}

// Role is what a replica does in its term.
type Role string

// The roles.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre-candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// Core is one replica of one group. It is not safe for concurrent use.
type Core struct {
	self   MemberID
	start  uint64
	random *rand.Rand
	trail  uint64
	lazy   bool // see Config.LazyCommit

	wall time.Time     // as last told
	now  time.Duration // since the start, by the core's own bounded clock

	hard        HardState
	log         entryLog
	snapshot    SnapshotMeta
	memberships []membershipAt // oldest first, never empty
	commit      uint64
	startCommit uint64 // committed before the start

	role        Role
	leader      MemberID
	leaderHeard time.Duration
	electionAt  time.Duration
	campaigns   int // since a leader was heard
	votes       map[MemberID]bool
	starts      map[MemberID]uint64 // newest start seen of each member

	progress    map[MemberID]*progress // of a leader
	termFirst   uint64                 // the leader's first entry
	slot        int64                  // heartbeat period in which the last one left
	transferee  MemberID
	transferEnd time.Duration
	loading     bool      // a snapshot is being loaded for a member
	incoming    *assembly // a snapshot on its way to this replica

	actions         []Action
	sequence        uint64 // of the last Persist
	persisted       uint64
	hardChanged     bool
	unsavedFrom     uint64 // first entry not yet in a Persist, or zero
	unsavedSnapshot *Snapshot
	held            []heldMessage
}

// membershipAt is a membership and the entry that brought it.
type membershipAt struct {
	index      uint64
	membership Membership
}

// heldMessage leaves once a Persist is complete.
type heldMessage struct {
	after   uint64
	message Message
}

// New returns a replica that continues from what its disk holds. An empty
// Stored gives a replica that waits to be added by a leader.
func New(config Config, stored Stored, now time.Time) *Core {
	c := &Core{
		self:        config.Self,
		start:       config.Start,
		random:      rand.New(rand.NewPCG(config.Seed, config.Start)),
		trail:       config.Trail,
		lazy:        config.LazyCommit,
		wall:        now,
		hard:        stored.HardState,
		snapshot:    stored.Snapshot,
		commit:      stored.Snapshot.Index,
		startCommit: stored.Commit,
		role:        RoleFollower,
		starts:      make(map[MemberID]uint64),
	}
	if c.trail == 0 {
		c.trail = TrailingEntries
	}
	c.log.reset(stored.Snapshot.Index, stored.Snapshot.Term)
	c.log.put(stored.Entries)
	c.memberships = []membershipAt{{stored.Snapshot.Index, stored.Snapshot.Membership}}
	c.addMemberships(stored.Entries)
	c.resetElection(StartTimeout, StartSpread)
	return c
}

// Step takes one event at a time and returns the actions that it causes.
func (c *Core) Step(now time.Time, event Event) []Action {
	c.advance(now)
	c.commitTo(min(c.startCommit, c.log.last()))
	c.startCommit = 0
	switch e := event.(type) {
	case Received:
		c.receive(e.Message)
	case Proposed:
		c.handleProposed(e)
	case ChangeProposed:
		c.handleChange(e)
	case Persisted:
		c.releaseHeld(e.Sequence)
	case Snapshotted:
		c.handleSnapshotted(e.Index)
	case SnapshotLoaded:
		c.handleSnapshotLoaded(e.Snapshot)
	case TransferProposed:
		c.handleTransfer(e.To)
	}
	c.tick()
	c.flush()
	actions := c.actions
	c.actions = nil
	return actions
}

// advance moves the core's own clock by a bounded part of what passed.
func (c *Core) advance(now time.Time) {
	passed := now.Sub(c.wall)
	c.wall = now
	c.now += min(max(passed, 0), MaxAdvance)
}

// tick does what is due.
func (c *Core) tick() {
	if c.hard.Lost {
		return
	}
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.now >= c.electionAt {
		c.campaign()
	}
}

// Deadline returns when the core needs a Tick at the latest.
func (c *Core) Deadline() time.Time {
	if c.hard.Lost {
		return c.wall.Add(HeartbeatPeriod)
	}
	if c.role != RoleLeader {
		return c.wall.Add(max(c.electionAt-c.now, 0))
	}
	next := time.Unix(0, (c.slot+1)*int64(HeartbeatPeriod))
	wait := min(max(next.Sub(c.wall), 0), HeartbeatPeriod)
	for _, member := range c.membership() {
		if p := c.progress[member.ID]; p != nil && p.waiting() {
			wait = min(wait, max(p.sent+RetransmitTimeout-c.now, 0))
		}
	}
	return c.wall.Add(max(wait, time.Millisecond))
}

// receive handles a message of another replica, or of this one to itself.
func (c *Core) receive(m Message) {
	if m.To != c.self || c.hard.Lost {
		return
	}
	if m.Kind == MessageRevoked {
		c.handleRevoked(m)
		return
	}
	if c.checkOlderDisk(m) || c.checkRemoved(m) || !c.checkTerm(m) {
		return
	}
	switch m.Kind {
	case MessagePreVote:
		c.handlePreVote(m)
	case MessagePreVoteReply:
		c.handlePreVoteReply(m)
	case MessageVote:
		c.handleVote(m)
	case MessageVoteReply:
		c.handleVoteReply(m)
	case MessageCampaign:
		c.handleCampaign(m)
	case MessageAppend, MessageHeartbeat, MessageCommit, MessageSnapshot:
		c.followLeader(m)
	case MessageAppendReply, MessageHeartbeatReply, MessageSnapshotReply:
		c.handleReply(m)
	}
}

// followLeader handles what only the leader of the term sends.
func (c *Core) followLeader(m Message) {
	if c.role != RoleFollower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.leaderHeard = c.now
	c.campaigns = 0
	c.resetElection(ElectionTimeout, ElectionSpread)
	switch m.Kind {
	case MessageAppend:
		c.handleAppend(m)
	case MessageSnapshot:
		c.handleChunk(m)
	case MessageCommit:
		c.commitTo(min(m.Commit, c.log.last()))
	case MessageHeartbeat:
		c.commitTo(min(m.Commit, c.log.last()))
		c.send(Message{Kind: MessageHeartbeatReply, To: m.From, Last: c.log.last()})
	}
}

// checkTerm compares the term of a message with the own one, and reports
// whether the message is to be handled.
func (c *Core) checkTerm(m Message) bool {
	if m.Term < c.hard.Term {
		c.rejectOldTerm(m)
		return false
	}
	if m.Term == c.hard.Term {
		return true
	}
	switch {
	case m.Kind == MessagePreVote, m.Kind == MessagePreVoteReply && !m.Reject:
		return true // these name a term that may never begin
	case m.Kind == MessageVote && !m.Forced && c.leaderAlive():
		return false
	}
	c.becomeFollower(m.Term, MemberID{})
	return true
}

// rejectOldTerm tells a leader or a candidate of an old term the current one.
func (c *Core) rejectOldTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true, Index: m.Index, Last: c.log.last()})
	case MessagePreVote:
		c.send(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
	}
}

// send addresses a message and lets it go, at once or once what it promises is
// persisted. A message of the replica to itself takes the same way, so that its
// own vote and its own copy of an entry count only when they are synced.
func (c *Core) send(m Message) {
	m.From = c.self
	if m.Start == 0 {
		m.Start = c.start
	}
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	after := c.sequence
	if c.unsaved() {
		after++
	}
	if m.promises() && after > c.persisted {
		c.held = append(c.held, heldMessage{after, m})
		return
	}
	c.deliver(m)
}

// promises reports whether the receiver may rely on what the sender persisted.
func (m Message) promises() bool {
	switch m.Kind {
	case MessageVote, MessageVoteReply, MessageAppendReply, MessageHeartbeatReply, MessageSnapshotReply:
		return true
	}
	return false
}

// deliver lets a message go.
func (c *Core) deliver(m Message) {
	if m.To == c.self {
		c.receive(m)
		return
	}
	c.actions = append(c.actions, Send{m})
}

// releaseHeld lets go the messages that a completed Persist covers.
func (c *Core) releaseHeld(sequence uint64) {
	c.persisted = max(c.persisted, sequence)
	n := 0
	for n < len(c.held) && c.held[n].after <= c.persisted {
		n++
	}
	ready := c.held[:n]
	c.held = append([]heldMessage(nil), c.held[n:]...)
	for _, h := range ready {
		c.deliver(h.message)
	}
}

// unsaved reports whether there is state that no Persist holds yet.
func (c *Core) unsaved() bool {
	return c.hardChanged || c.unsavedFrom != 0 || c.unsavedSnapshot != nil
}

// flush puts the unsaved state into one Persist, ahead of other actions.
func (c *Core) flush() {
	if !c.unsaved() {
		return
	}
	c.sequence++
	persist := Persist{Sequence: c.sequence, Snapshot: c.unsavedSnapshot, Commit: c.commit}
	if c.hardChanged {
		hard := c.hard
		persist.HardState = &hard
	}
	if c.unsavedFrom != 0 && c.unsavedFrom <= c.log.last() {
		persist.Entries = c.log.slice(c.unsavedFrom, c.log.last())
	}
	c.hardChanged, c.unsavedFrom, c.unsavedSnapshot = false, 0, nil
	c.actions = append([]Action{persist}, c.actions...)
}

// setHard changes the hard state.
func (c *Core) setHard(h HardState) {
	if h != c.hard {
		c.hard = h
		c.hardChanged = true
	}
}

// append adds entries to the log and notes that they are unsaved.
func (c *Core) append(entries []Entry) {
	first := entries[0].Index
	c.log.put(entries)
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= first {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
	c.addMemberships(entries)
	if c.unsavedFrom == 0 || first < c.unsavedFrom {
		c.unsavedFrom = first
	}
}

// addMemberships notes the memberships within new entries.
func (c *Core) addMemberships(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind == EntryMembership {
			c.memberships = append(c.memberships, membershipAt{entry.Index, entry.Membership})
		}
	}
}

// membership returns the newest membership, committed or not.
func (c *Core) membership() Membership { return c.memberships[len(c.memberships)-1].membership }

// membershipIndex returns the entry that brought the newest membership.
func (c *Core) membershipIndex() uint64 { return c.memberships[len(c.memberships)-1].index }

// commitTo applies entries up to an index that is known to be committed.
func (c *Core) commitTo(index uint64) {
	if index <= c.commit {
		return
	}
	c.actions = append(c.actions, Apply{c.log.slice(c.commit+1, index)})
	c.commit = index
}
