package replicator

import (
	"math/rand/v2"
	"time"
)

// Config describes one replica.
type Config struct {
	Self     MemberID
	Start    uint64 // start number of this process, see NewStart
	Seed     uint64 // seed of the random generator
	Trailing uint64 // entries kept behind a snapshot for lagging members; zero means TrailingEntries

	// LazyCommit makes a leader send the commit index with the next append or
	// heartbeat instead of in a separate message. Followers then apply an entry up
	// to a HeartbeatPeriod later; the leader is not delayed.
	LazyCommit bool
}

// Role is the role of a replica in its current term.
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
	self            MemberID
	start           uint64
	random          *rand.Rand
	trailingEntries uint64
	lazyCommit      bool // see Config.LazyCommit

	wall time.Time     // time of the last Step
	now  time.Duration // since the start, by the core's clock; see advance

	hardState   HardState
	log         entryLog
	snapshot    SnapshotMeta
	memberships []indexedMembership // oldest first, never empty
	commit      uint64
	startCommit uint64 // stored commit index, applied by the first Step

	role             Role
	leader           MemberID
	leaderHeard      time.Duration
	leaderGone       bool // the process that led is known to have ended
	lastLeader       MemberID
	leaving          bool // see Leaving
	electionDeadline time.Duration
	campaignAttempts int // since the last message of a leader
	votes            map[MemberID]bool
	starts           map[MemberID]uint64 // newest start number seen of each member

	progress         map[MemberID]*progress // used by a leader only
	firstTermIndex   uint64                 // index of the leader's first entry
	heartbeatRound   int64                  // round in which the last heartbeat was sent
	transferee       MemberID               // target of the leadership transfer in progress
	transferDeadline time.Duration
	loadingSnapshot  bool             // a snapshot is being loaded for a member
	incomingSnapshot *partialSnapshot // snapshot that this replica is receiving

	actions             []Action
	sequence            uint64 // of the newest Persist
	persisted           uint64 // sequence of the newest Persist that is complete
	hardStateChanged    bool
	unpersistedFrom     uint64 // index of the first entry not yet in a Persist, or zero
	unpersistedSnapshot *Snapshot
	deferred            []deferredMessage
}

// indexedMembership is a membership with the index of the entry that set it.
type indexedMembership struct {
	index      uint64
	membership Membership
}

// deferredMessage is a message that is sent once a Persist is complete.
type deferredMessage struct {
	after   uint64 // sequence of the Persist
	message Message
}

// New returns a replica that resumes from its stored state. With an empty
// Stored the replica waits until a leader adds it.
func New(config Config, stored Stored, now time.Time) *Core {
	c := &Core{
		self:            config.Self,
		start:           config.Start,
		random:          rand.New(rand.NewPCG(config.Seed, config.Start)),
		trailingEntries: config.Trailing,
		lazyCommit:      config.LazyCommit,
		wall:            now,
		hardState:       stored.HardState,
		snapshot:        stored.Snapshot,
		commit:          stored.Snapshot.Index,
		startCommit:     stored.Commit,
		role:            RoleFollower,
		starts:          make(map[MemberID]uint64),
	}
	if c.trailingEntries == 0 {
		c.trailingEntries = TrailingEntries
	}
	c.log.reset(stored.Snapshot.Index, stored.Snapshot.Term)
	c.log.truncateAndAppend(stored.Entries)
	c.memberships = []indexedMembership{{stored.Snapshot.Index, stored.Snapshot.Membership}}
	c.addMemberships(stored.Entries)
	c.resetElection(StartTimeout, StartSpread)
	return c
}

// Step handles one event and the expired timers, and returns the resulting
// actions.
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
		c.sendDeferred(e.Sequence)
	case Snapshotted:
		c.handleSnapshotted(e.Index)
	case SnapshotLoaded:
		c.handleSnapshotLoaded(e.Snapshot)
	case TransferProposed:
		c.handleLeaderTransfer(e.To)
	case Leaving:
		c.leaving = e.Enabled
	case Retired:
		c.retire()
	case Restarted:
		c.handleRestarted(e.Instance)
	case LeaderFound:
		c.handleLeaderFound(e.Leader)
	}
	c.tick()
	c.flush()
	actions := c.actions
	c.actions = nil
	return actions
}

// advance moves the core's clock forward by the time since the last Step, at
// most by MaxAdvance.
func (c *Core) advance(now time.Time) {
	passed := now.Sub(c.wall)
	c.wall = now
	c.now += min(max(passed, 0), MaxAdvance)
}

// tick handles the timers that have expired.
func (c *Core) tick() {
	if c.hardState.Lost {
		return
	}
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.now >= c.electionDeadline {
		c.campaign()
	}
}

// Deadline returns the time by which the core needs its next Tick.
func (c *Core) Deadline() time.Time {
	if c.hardState.Lost {
		return c.wall.Add(HeartbeatPeriod)
	}
	if c.role != RoleLeader {
		return c.wall.Add(max(c.electionDeadline-c.now, 0))
	}
	next := time.Unix(0, (c.heartbeatRound+1)*int64(HeartbeatPeriod))
	wait := min(max(next.Sub(c.wall), 0), HeartbeatPeriod)
	for _, member := range c.membership() {
		if p := c.progress[member.ID]; p != nil && p.awaitsReply() {
			wait = min(wait, max(p.retransmitStart+RetransmitTimeout-c.now, 0))
		}
	}
	return c.wall.Add(max(wait, time.Millisecond))
}

// receive handles a message from another replica or from this replica itself.
func (c *Core) receive(m Message) {
	if m.To != c.self || c.hardState.Lost {
		return
	}
	if m.Kind == MessageRevoked {
		c.handleRevoked(m)
		return
	}
	if c.checkRolledBackDisk(m) || c.checkRemoved(m) || m.Kind == MessageMemberQuery || !c.checkTerm(m) {
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

// followLeader handles a message that only the leader of the term sends.
func (c *Core) followLeader(m Message) {
	if c.role != RoleFollower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.leaderHeard, c.leaderGone, c.lastLeader = c.now, false, m.From
	c.campaignAttempts = 0
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

// checkTerm compares the term of a message with the current term, which it
// updates if needed, and reports whether to handle the message.
func (c *Core) checkTerm(m Message) bool {
	if m.Term < c.hardState.Term {
		c.rejectOldTerm(m)
		return false
	}
	if m.Term == c.hardState.Term {
		return true
	}
	switch {
	case m.Kind == MessagePreVote, m.Kind == MessagePreVoteReply && !m.Reject:
		return true // a pre-vote carries the next term, which may never start
	case m.Kind == MessageVote && !m.Forced && c.leaderAlive():
		return false
	}
	c.becomeFollower(m.Term, MemberID{})
	return true
}

// rejectOldTerm sends the current term to a leader or candidate of an old term.
func (c *Core) rejectOldTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true, Index: m.Index, Last: c.log.last()})
	case MessagePreVote:
		c.send(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
	}
}

// send fills in the sender, start and term of a message and sends it, after the
// state on which the receiver relies is persisted. Messages of the replica to
// itself are deferred too, so that its own vote and its own copy of an entry
// count only once they are synced.
func (c *Core) send(m Message) {
	m.From = c.self
	if m.Start == 0 {
		m.Start = c.start
	}
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	after := c.sequence
	if c.hasUnpersisted() {
		after++
	}
	if m.requiresPersisted() && after > c.persisted {
		c.deferred = append(c.deferred, deferredMessage{after, m})
		return
	}
	c.deliver(m)
}

// requiresPersisted reports whether the receiver relies on state of the sender
// that must be persisted before the message is sent.
func (m Message) requiresPersisted() bool {
	switch m.Kind {
	case MessageVote, MessageVoteReply, MessageAppendReply, MessageHeartbeatReply, MessageSnapshotReply:
		return true
	}
	return false
}

// deliver sends a message, or handles it if it is for this replica.
func (c *Core) deliver(m Message) {
	if m.To == c.self {
		c.receive(m)
		return
	}
	c.actions = append(c.actions, Send{m})
}

// sendDeferred delivers the messages that waited for a Persist which is now
// complete.
func (c *Core) sendDeferred(sequence uint64) {
	c.persisted = max(c.persisted, sequence)
	n := 0
	for n < len(c.deferred) && c.deferred[n].after <= c.persisted {
		n++
	}
	ready := c.deferred[:n]
	c.deferred = append([]deferredMessage(nil), c.deferred[n:]...)
	for _, h := range ready {
		c.deliver(h.message)
	}
}

// hasUnpersisted reports whether there is state that is not yet part of a Persist.
func (c *Core) hasUnpersisted() bool {
	return c.hardStateChanged || c.unpersistedFrom != 0 || c.unpersistedSnapshot != nil
}

// flush emits one Persist with all state not yet persisted, ahead of the other
// actions.
func (c *Core) flush() {
	if !c.hasUnpersisted() {
		return
	}
	c.sequence++
	persist := Persist{Sequence: c.sequence, Snapshot: c.unpersistedSnapshot, Commit: c.commit}
	if c.hardStateChanged {
		hardState := c.hardState
		persist.HardState = &hardState
	}
	if c.unpersistedFrom != 0 && c.unpersistedFrom <= c.log.last() {
		persist.Entries = c.log.slice(c.unpersistedFrom, c.log.last())
	}
	c.hardStateChanged, c.unpersistedFrom, c.unpersistedSnapshot = false, 0, nil
	c.actions = append([]Action{persist}, c.actions...)
}

// setHardState changes the hard state and marks it as not yet persisted.
func (c *Core) setHardState(h HardState) {
	if h != c.hardState {
		c.hardState = h
		c.hardStateChanged = true
	}
}

// append adds entries to the log, replaces conflicting ones, and marks them as not
// yet persisted.
func (c *Core) append(entries []Entry) {
	first := entries[0].Index
	c.log.truncateAndAppend(entries)
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= first {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
	c.addMemberships(entries)
	if c.unpersistedFrom == 0 || first < c.unpersistedFrom {
		c.unpersistedFrom = first
	}
}

// addMemberships records the memberships that new entries set.
func (c *Core) addMemberships(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind == EntryMembership {
			c.memberships = append(c.memberships, indexedMembership{entry.Index, entry.Membership})
		}
	}
}

// membership returns the newest membership, committed or not.
func (c *Core) membership() Membership { return c.memberships[len(c.memberships)-1].membership }

// membershipIndex returns the index of the entry that set the newest membership.
func (c *Core) membershipIndex() uint64 { return c.memberships[len(c.memberships)-1].index }

// commitTo advances the commit index and applies the entries up to it.
func (c *Core) commitTo(index uint64) {
	if index <= c.commit {
		return
	}
	c.actions = append(c.actions, Apply{c.log.slice(c.commit+1, index)})
	c.commit = index
}
