package replicator

import "time"

// startCounterShift divides a start number: a counter above, randomness below.
const startCounterShift = 16

// NewStart returns the number of the start that follows the previous one with
// the same folder. Randomness tells two processes apart that count from the
// same disk content.
func NewStart(previous uint64, random uint16) uint64 {
	return (previous>>startCounterShift+1)<<startCounterShift | uint64(random)
}

// resetElection sets the time of the next campaign.
func (c *Core) resetElection(timeout, spread time.Duration) {
	c.electionAt = c.now + timeout + time.Duration(c.random.Int64N(int64(spread)))
}

// backOff sets the time of the next campaign should the present one fail. A
// replica that cannot reach a quorum asks ever less often.
func (c *Core) backOff() {
	wait := min(CampaignRetry<<min(c.campaigns, 8), CampaignRetryMax)
	c.campaigns++
	c.resetElection(wait, wait)
}

// leaderAlive reports whether a leader was heard lately. After its start a
// replica behaves as if it had just heard one, so that a living leader can
// check its disk before it votes.
func (c *Core) leaderAlive() bool {
	timeout := ElectionTimeout
	if c.leaderHeard == 0 { // none since the start
		timeout = StartTimeout
	}
	return c.role == RoleLeader || c.now-c.leaderHeard < timeout
}

// mayVote reports whether the replica is a voter of its newest membership.
func (c *Core) mayVote() bool { return !c.hard.Lost && c.membership().Voter(c.self) }

// becomeFollower enters a term, or returns to following within it.
func (c *Core) becomeFollower(term uint64, leader MemberID) {
	hard := c.hard
	if term > hard.Term {
		hard.Term, hard.Vote = term, MemberID{}
	}
	c.setHard(hard)
	c.role = RoleFollower
	c.leader = leader
	c.progress = nil
	c.transferee = MemberID{}
	c.loading = false
	c.incoming = nil
	c.resetElection(ElectionTimeout, ElectionSpread)
}

// campaign asks the voters whether they would elect this replica.
func (c *Core) campaign() {
	c.backOff()
	if !c.mayVote() {
		return
	}
	c.role = RolePreCandidate
	c.leader = MemberID{}
	c.votes = map[MemberID]bool{c.self: true}
	if c.elected() {
		c.standForElection(false)
		return
	}
	c.askVoters(Message{Kind: MessagePreVote, Term: c.hard.Term + 1})
}

// standForElection enters the next term as a candidate.
func (c *Core) standForElection(forced bool) {
	c.role = RoleCandidate
	c.leader = MemberID{}
	c.votes = make(map[MemberID]bool)
	c.setHard(HardState{Term: c.hard.Term + 1, Vote: c.self})
	c.askVoters(Message{Kind: MessageVote, Forced: forced})
	c.send(Message{Kind: MessageVoteReply, To: c.self})
}

// askVoters sends a request for a vote to the other voters.
func (c *Core) askVoters(m Message) {
	m.Index, m.LogTerm = c.log.last(), c.log.lastTerm()
	for _, member := range c.membership() {
		if member.Voter && member.ID != c.self {
			m.To = member.ID
			c.send(m)
		}
	}
}

// elected reports whether a quorum of the newest membership granted its vote.
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
	granted := m.Term > c.hard.Term && c.mayVote() && !c.leaderAlive() && c.log.newest(m.Index, m.LogTerm)
	reply := Message{Kind: MessagePreVoteReply, To: m.From, Reject: !granted}
	if granted {
		reply.Term = m.Term
	}
	c.send(reply)
}

func (c *Core) handlePreVoteReply(m Message) {
	if c.role != RolePreCandidate || m.Reject || m.Term != c.hard.Term+1 {
		return
	}
	c.votes[m.From] = true
	if c.elected() {
		c.standForElection(false)
	}
}

func (c *Core) handleVote(m Message) {
	free := c.hard.Vote.IsZero() && c.leader.IsZero() || c.hard.Vote == m.From
	granted := free && c.mayVote() && c.log.newest(m.Index, m.LogTerm)
	if granted {
		hard := c.hard
		hard.Vote = m.From
		c.setHard(hard)
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

// handleCampaign stands for election because the leader hands over.
func (c *Core) handleCampaign(m Message) {
	if c.mayVote() && c.leader == m.From {
		c.backOff()
		c.standForElection(true)
	}
}

// becomeLeader begins to lead with an empty entry of the own term, since
// entries of earlier terms are committed only through one.
func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.self
	c.campaigns = 0
	c.progress = make(map[MemberID]*progress)
	c.transferee = MemberID{}
	c.loading = false
	c.slot = c.currentSlot()
	c.termFirst = c.log.last() + 1
	c.trackMembers()
	c.appendOwn([]Entry{{Kind: EntryEmpty}})
}

// checkQuorum steps down when no quorum of voters was heard lately.
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
	c.becomeFollower(c.hard.Term, MemberID{})
	return false
}

// alive reports whether a member answered lately.
func (c *Core) alive(id MemberID) bool {
	p := c.progress[id]
	return p != nil && c.now-p.heard < ElectionTimeout+ElectionSpread
}

// handleTransfer hands over as asked. A preferred voter that does not take over
// at once costs proposals no more than PreferredTimeout.
func (c *Core) handleTransfer(to MemberID) {
	if to.IsZero() {
		c.startTransfer()
		return
	}
	free := c.role == RoleLeader && c.transferee.IsZero() && c.changeAllowed()
	if !free || to == c.self || !c.membership().Voter(to) || !c.alive(to) {
		return
	}
	if c.progress[to].match+PromotionLag < c.commit {
		return
	}
	c.transferee = to
	c.transferEnd = c.now + PreferredTimeout
	c.continueTransfer()
}

// startTransfer chooses the voter with the newest log and hands over to it.
func (c *Core) startTransfer() {
	if c.role != RoleLeader || !c.transferee.IsZero() {
		return
	}
	var best MemberID
	for _, member := range c.membership() {
		if !member.Voter || member.ID == c.self || !c.alive(member.ID) {
			continue
		}
		if best.IsZero() || c.progress[member.ID].match > c.progress[best].match {
			best = member.ID
		}
	}
	if best.IsZero() {
		return
	}
	c.transferee = best
	c.transferEnd = c.now + ElectionTimeout
	c.continueTransfer()
}

// continueTransfer lets the receiver campaign once it has the whole log.
func (c *Core) continueTransfer() {
	if c.transferee.IsZero() {
		return
	}
	if c.now >= c.transferEnd {
		c.transferee = MemberID{}
		return
	}
	if p := c.progress[c.transferee]; p != nil && p.match == c.log.last() {
		c.send(Message{Kind: MessageCampaign, To: c.transferee})
	}
}

// checkOlderDisk reports whether a message comes from a replica that shows less
// than it has promised: it counts its starts anew, or lacks entries that it had
// acknowledged before it was started again.
func (c *Core) checkOlderDisk(m Message) bool {
	seen, known := c.starts[m.From]
	older := known && m.Start != seen && m.Start>>startCounterShift <= seen>>startCounterShift
	if c.role == RoleLeader && m.Term == c.hard.Term && (m.Kind == MessageAppendReply || m.Kind == MessageHeartbeatReply) {
		p := c.progress[m.From]
		older = older || p != nil && m.Start != p.matchStart && m.Last < p.match
	}
	if older {
		c.send(Message{Kind: MessageRevoked, To: m.From, Start: m.Start})
		return true
	}
	c.starts[m.From] = m.Start
	return false
}

// checkRemoved reports whether a message asks for an election on behalf of a
// replica that has been removed, which is then told so. One that was added by a
// later leader than this has a larger term and is not meant.
func (c *Core) checkRemoved(m Message) bool {
	if m.Kind != MessagePreVote || m.Term > c.hard.Term+1 || !c.changeAllowed() {
		return false
	}
	if _, known := c.membership().Find(m.From); known {
		return false
	}
	c.send(Message{Kind: MessageRevoked, To: m.From, Start: m.Start})
	return true
}

// handleRevoked gives up the vote for good.
func (c *Core) handleRevoked(m Message) {
	if m.Start != c.start {
		return // it was about an earlier start
	}
	hard := c.hard
	hard.Lost = true
	c.setHard(hard)
	c.role = RoleFollower
	c.leader = MemberID{}
	c.progress = nil
	c.held = nil
}
