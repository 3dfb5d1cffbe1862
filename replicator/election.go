package replicator

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// startCounterShift is the number of random low bits of a start number; the bits
// above them are a counter.
const startCounterShift = 16

// NewStart returns the start number of a process, given the number of the
// previous start with the same folder. The random bits distinguish two processes
// that start from copies of the same disk.
func NewStart(previous uint64, random uint16) uint64 {
	return (previous>>startCounterShift+1)<<startCounterShift | uint64(random)
}

// resetElection sets the election timer to timeout plus a random part of spread.
func (c *Core) resetElection(timeout, spread time.Duration) {
	c.electionDeadline = c.now + timeout + time.Duration(c.random.Int64N(int64(spread)))
}

// handleRestarted makes a follower of a leader whose process has ended campaign soon.
// The voters take turns in the order of their IDs, so that votes are seldom split.
func (c *Core) handleRestarted(instance redwingshunt.InstanceID) {
	if c.role != RoleFollower || c.leader.IsZero() || c.leader.Instance != instance {
		return
	}
	c.leader = MemberID{}
	c.leaderGone = true
	turn := 0
	for _, member := range c.membership() {
		if member.Voter && member.ID.Instance != instance && member.ID.compare(c.self) < 0 {
			turn++
		}
	}
	c.electionDeadline = c.now + time.Duration(turn)*RestartStagger
}

// backOff sets the election timer for a retry of the current campaign. The delay
// grows exponentially up to CampaignRetryMax while no leader is heard.
func (c *Core) backOff() {
	wait := min(CampaignRetry<<min(c.campaignAttempts, 8), CampaignRetryMax)
	c.campaignAttempts++
	c.resetElection(wait, wait)
}

// leaderAlive reports whether this replica leads or has heard from a leader
// within the election timeout. A replica that has just started assumes that it
// has, so that a live leader can detect a rolled-back disk before the replica
// votes.
func (c *Core) leaderAlive() bool {
	if c.leaderGone {
		return false
	}
	timeout := ElectionTimeout
	if c.leaderHeard == 0 { // no leader heard since the start
		timeout = StartTimeout
	}
	return c.role == RoleLeader || c.now-c.leaderHeard < timeout
}

// mayVote reports whether the replica is a voter of its newest membership.
func (c *Core) mayVote() bool { return !c.hardState.Lost && c.membership().Voter(c.self) }

// becomeFollower makes the replica a follower in the given term.
func (c *Core) becomeFollower(term uint64, leader MemberID) {
	hardState := c.hardState
	if term > hardState.Term {
		hardState.Term, hardState.Vote = term, MemberID{}
	}
	c.setHardState(hardState)
	c.role = RoleFollower
	c.leader = leader
	c.progress = nil
	c.transferee = MemberID{}
	c.loadingSnapshot = false
	c.incomingSnapshot = nil
	c.resetElection(ElectionTimeout, ElectionSpread)
}

// campaign starts a pre-vote, if the replica may vote and stands for election.
func (c *Core) campaign() {
	c.backOff()
	if !c.mayVote() || c.leaving {
		return
	}
	c.role = RolePreCandidate
	c.leader = MemberID{}
	c.votes = map[MemberID]bool{c.self: true}
	if c.elected() {
		c.becomeCandidate(false)
		return
	}
	c.requestVotes(Message{Kind: MessagePreVote, Term: c.hardState.Term + 1})
}

// becomeCandidate starts an election in the next term. With forced, voters
// grant their vote even if they still hear from a leader.
func (c *Core) becomeCandidate(forced bool) {
	c.role = RoleCandidate
	c.leader = MemberID{}
	c.votes = make(map[MemberID]bool)
	c.setHardState(HardState{Term: c.hardState.Term + 1, Vote: c.self})
	c.requestVotes(Message{Kind: MessageVote, Forced: forced})
	c.send(Message{Kind: MessageVoteReply, To: c.self})
}

// requestVotes sends a vote or pre-vote request to all other voters.
func (c *Core) requestVotes(m Message) {
	m.Index, m.LogTerm = c.log.last(), c.log.lastTerm()
	for _, member := range c.membership() {
		if member.Voter && member.ID != c.self {
			m.To = member.ID
			c.send(m)
		}
	}
}

// elected reports whether a quorum of the newest membership granted its votes.
func (c *Core) elected() bool {
	granted := 0
	for _, member := range c.membership() {
		if member.Voter && c.votes[member.ID] {
			granted++
		}
	}
	return granted >= c.membership().Quorum()
}

func (c *Core) handlePreVote(m Message) {
	granted := m.Term > c.hardState.Term && c.mayVote() && !c.leaderAlive() && c.log.isUpToDate(m.Index, m.LogTerm)
	reply := Message{Kind: MessagePreVoteReply, To: m.From, Reject: !granted}
	if granted {
		reply.Term = m.Term
	}
	c.send(reply)
}

func (c *Core) handlePreVoteReply(m Message) {
	if c.role != RolePreCandidate || m.Reject || m.Term != c.hardState.Term+1 {
		return
	}
	c.votes[m.From] = true
	if c.elected() {
		c.becomeCandidate(false)
	}
}

func (c *Core) handleVote(m Message) {
	voteAvailable := c.hardState.Vote.IsZero() && c.leader.IsZero() || c.hardState.Vote == m.From
	granted := voteAvailable && c.mayVote() && c.log.isUpToDate(m.Index, m.LogTerm)
	if granted {
		hardState := c.hardState
		hardState.Vote = m.From
		c.setHardState(hardState)
		c.resetElection(ElectionTimeout, ElectionSpread)
	}
	c.send(Message{Kind: MessageVoteReply, To: m.From, Reject: !granted})
}

func (c *Core) handleVoteReply(m Message) {
	if c.role != RoleCandidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.elected() {
		c.becomeLeader()
	}
}

// handleCampaign starts an election without a pre-vote, at the request of the
// leader that transfers its leadership.
func (c *Core) handleCampaign(m Message) {
	if c.mayVote() && c.leader == m.From {
		c.backOff()
		c.becomeCandidate(true)
	}
}

// becomeLeader makes the replica the leader and appends an empty entry, because
// entries of earlier terms are committed only together with one of the current
// term.
func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader, c.leaderGone = c.self, false
	c.campaignAttempts = 0
	c.progress = make(map[MemberID]*progress)
	c.transferee = MemberID{}
	c.loadingSnapshot = false
	c.heartbeatRound = c.currentHeartbeatRound()
	c.firstTermIndex = c.log.last() + 1
	c.trackMembers()
	if p := c.progress[c.lastLeader]; p != nil && !c.votes[c.lastLeader] {
		p.lastReply = min(p.lastReply, c.leaderHeard) // it may be the loss of this leader that led to the election
	}
	c.appendAndReplicate([]Entry{{Kind: EntryEmpty}})
}

// checkQuorum steps down unless a quorum of voters replied recently, and reports
// whether the replica still leads.
func (c *Core) checkQuorum() bool {
	heard := 0
	for _, member := range c.membership() {
		if member.Voter && (member.ID == c.self || c.alive(member.ID)) {
			heard++
		}
	}
	if heard >= c.membership().Quorum() {
		return true
	}
	c.becomeFollower(c.hardState.Term, MemberID{})
	return false
}

// alive reports whether a member replied within the longest election timeout.
func (c *Core) alive(id MemberID) bool {
	p := c.progress[id]
	return p != nil && c.now-p.lastReply < ElectionTimeout+ElectionSpread
}

// handleLeaderTransfer starts a leadership transfer to the given voter, or to any
// voter if it is zero. A transfer to a given voter blocks proposals for at most
// PreferredTransferTimeout.
func (c *Core) handleLeaderTransfer(to MemberID) {
	if to.IsZero() {
		c.startLeaderTransfer()
		return
	}
	canTransfer := c.role == RoleLeader && c.transferee.IsZero() && c.changeAllowed()
	if !canTransfer || to == c.self || !c.membership().Voter(to) || !c.alive(to) {
		return
	}
	if c.progress[to].match+PromotionLagEntries < c.commit {
		return
	}
	c.transferee = to
	c.transferDeadline = c.now + PreferredTransferTimeout
	c.continueLeaderTransfer()
}

// startLeaderTransfer starts a leadership transfer to the voter with the most
// up-to-date log.
func (c *Core) startLeaderTransfer() {
	if c.role != RoleLeader || !c.transferee.IsZero() {
		return
	}
	var target MemberID
	for _, member := range c.membership() {
		if !member.Voter || member.ID == c.self || !c.alive(member.ID) {
			continue
		}
		if target.IsZero() || c.progress[member.ID].match > c.progress[target].match {
			target = member.ID
		}
	}
	if target.IsZero() {
		return
	}
	c.transferee = target
	c.transferDeadline = c.now + ElectionTimeout
	c.continueLeaderTransfer()
}

// continueLeaderTransfer tells the transferee to campaign once it has the whole log,
// and aborts the transfer after its timeout.
func (c *Core) continueLeaderTransfer() {
	if c.transferee.IsZero() {
		return
	}
	if c.now >= c.transferDeadline {
		c.transferee = MemberID{}
		return
	}
	if p := c.progress[c.transferee]; p != nil && p.match == c.log.last() {
		c.send(Message{Kind: MessageCampaign, To: c.transferee})
	}
}

// checkRolledBackDisk reports whether a message comes from a replica whose disk was
// rolled back, and revokes that replica's vote if so. Either its start number
// changed but the counter in it did not grow, or after a restart it lacks
// entries that it had acknowledged.
func (c *Core) checkRolledBackDisk(m Message) bool {
	seen, known := c.starts[m.From]
	rolledBack := known && m.Start != seen && m.Start>>startCounterShift <= seen>>startCounterShift
	if c.role == RoleLeader && m.Term == c.hardState.Term && (m.Kind == MessageAppendReply || m.Kind == MessageHeartbeatReply) {
		p := c.progress[m.From]
		rolledBack = rolledBack || p != nil && m.Start != p.matchStart && m.Last < p.match
	}
	if rolledBack {
		c.send(Message{Kind: MessageRevoked, To: m.From, Start: m.Start})
		return true
	}
	c.starts[m.From] = m.Start
	return false
}

// checkRemoved reports whether a message is a pre-vote request or a member query of a
// replica that was removed from the membership, and revokes that replica's vote if so. A
// replica that a later leader added sends a larger term and is not affected.
func (c *Core) checkRemoved(m Message) bool {
	switch {
	case m.Kind == MessagePreVote && m.Term <= c.hardState.Term+1:
	case m.Kind == MessageMemberQuery && m.Term <= c.hardState.Term && c.mayHaveCommitted(m.Index, m.LogTerm):
	default:
		return false
	}
	if _, known := c.membership().Find(m.From); known || !c.changeAllowed() {
		return false
	}
	c.send(Message{Kind: MessageRevoked, To: m.From, Start: m.Start})
	return true
}

// mayHaveCommitted reports whether an entry that another replica has committed can be of
// this log. It cannot tell for entries that are compacted.
func (c *Core) mayHaveCommitted(index, term uint64) bool {
	own, known := c.log.term(index)
	return index <= c.commit && (!known || own == term)
}

// LeaderSilent reports whether the replica has state, does not lead, and has not heard
// of a leader for the longest election timeout.
func (c *Core) LeaderSilent() bool {
	return !c.hardState.Lost && c.log.last() > 0 && c.role != RoleLeader && c.now-c.leaderHeard >= ElectionTimeout+ElectionSpread
}

// handleLeaderFound asks a leader of which the replica does not hear whether the replica
// is still a member.
func (c *Core) handleLeaderFound(leader MemberID) {
	if leader == c.self || !c.LeaderSilent() {
		return
	}
	term, _ := c.log.term(c.commit)
	c.send(Message{Kind: MessageMemberQuery, To: leader, Index: c.commit, LogTerm: term})
}

// handleRevoked stops the replica from voting ever again.
func (c *Core) handleRevoked(m Message) {
	if m.Start != c.start {
		return // meant for an earlier start
	}
	c.retire()
}

// retire stops the replica from voting ever again.
func (c *Core) retire() {
	hardState := c.hardState
	hardState.Lost = true
	c.setHardState(hardState)
	c.role = RoleFollower
	c.leader = MemberID{}
	c.progress = nil
	c.deferred = nil
}
