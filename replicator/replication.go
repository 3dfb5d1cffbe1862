package replicator

import (
	"slices"
	"time"
)

// progress is what a leader knows of one member.
type progress struct {
	match      uint64 // last entry that the member holds synced
	matchStart uint64 // start of the member that acknowledged match
	next       uint64 // next entry to send
	probing    bool   // next is a guess; one message at a time
	paused     bool   // a probe or a chunk is on its way
	inflight   []flight
	bytes      int           // in flight
	sent       time.Duration // when the oldest unanswered message left
	heard      time.Duration // when the member last answered
	transfer   *transfer
}

// flight is an append that is not yet acknowledged.
type flight struct {
	last  uint64
	bytes int
}

// waiting reports whether an answer is due.
func (p *progress) waiting() bool { return p.paused || len(p.inflight) > 0 }

// restart makes the next message a probe after the last acknowledged entry.
func (p *progress) restart(next uint64) {
	p.next = max(next, p.match+1)
	p.probing, p.paused = true, false
	p.inflight, p.bytes = nil, 0
}

// acknowledge notes that the member holds the entries up to index.
func (p *progress) acknowledge(index, start uint64) {
	if index > p.match || p.matchStart == 0 {
		p.match = max(p.match, index)
		p.matchStart = start
	}
	for len(p.inflight) > 0 && p.inflight[0].last <= index {
		p.bytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
	p.next = max(p.next, p.match+1)
}

// currentSlot numbers the heartbeat periods. All groups of an instance send
// their heartbeats at the same moment, so that they fit into one message.
func (c *Core) currentSlot() int64 { return c.wall.UnixNano() / int64(HeartbeatPeriod) }

// trackMembers makes a progress for each member and forgets the others.
func (c *Core) trackMembers() {
	tracked := make(map[MemberID]*progress)
	for _, member := range c.membership() {
		p := c.progress[member.ID]
		if p == nil {
			next := max(c.log.last(), c.log.base+1) // the last entry, if there is one, as a probe
			p = &progress{next: next, probing: true, heard: c.now}
		}
		tracked[member.ID] = p
	}
	c.progress = tracked
}

// tickLeader does what is due for a leader.
func (c *Core) tickLeader() {
	if !c.checkQuorum() {
		return
	}
	c.continueTransfer()
	c.continueChange()
	c.retransmit()
	if slot := c.currentSlot(); slot != c.slot {
		c.slot = slot
		c.heartbeat()
	}
}

// heartbeat tells each member that the leader lives.
func (c *Core) heartbeat() {
	for _, member := range c.membership() {
		if member.ID != c.self {
			commit := min(c.commit, c.progress[member.ID].match)
			c.send(Message{Kind: MessageHeartbeat, To: member.ID, Commit: commit})
		}
	}
}

// retransmit sends again what a living member did not acknowledge in time.
func (c *Core) retransmit() {
	for _, member := range c.membership() {
		p := c.progress[member.ID]
		if !p.waiting() || c.now-p.sent < RetransmitTimeout || c.now-p.heard >= ElectionTimeout {
			continue
		}
		p.restart(p.match + 1)
		c.replicate(member.ID)
	}
}

// handleProposed appends commands to the log of the leader.
func (c *Core) handleProposed(e Proposed) {
	if reason := c.refusal(); reason != "" {
		c.actions = append(c.actions, Refused{e.ID, reason})
		return
	}
	entries := make([]Entry, len(e.Commands))
	for i, command := range e.Commands {
		entries[i] = Entry{Kind: EntryCommand, Data: command}
	}
	c.actions = append(c.actions, Accepted{ID: e.ID, First: c.log.last() + 1, Term: c.hard.Term})
	c.appendOwn(entries)
}

// refusal returns why a proposal cannot be taken now, or "".
func (c *Core) refusal() RefusalReason {
	switch {
	case c.role != RoleLeader:
		return RefusedNotLeader
	case !c.transferee.IsZero():
		return RefusedTransfer
	case c.uncommitted() > MaxUncommitted:
		return RefusedBusy
	}
	return ""
}

// uncommitted returns the bytes of the entries after the commit index.
func (c *Core) uncommitted() int {
	size := 0
	for _, entry := range c.log.slice(c.commit+1, c.log.last()) {
		size += entry.size()
	}
	return size
}

// appendOwn numbers entries of the leader, appends them and sends them out.
func (c *Core) appendOwn(entries []Entry) {
	for i := range entries {
		entries[i].Index = c.log.last() + 1 + uint64(i)
		entries[i].Term = c.hard.Term
	}
	if len(entries) == 0 {
		return
	}
	c.append(entries)
	c.send(Message{Kind: MessageAppendReply, To: c.self, Index: c.log.last(), Last: c.log.last()})
	c.broadcast()
}

// broadcast sends each member what it lacks.
func (c *Core) broadcast() {
	for _, member := range c.membership() {
		c.replicate(member.ID)
	}
}

// replicate sends a member the next entries, as far as the bounds allow.
func (c *Core) replicate(id MemberID) {
	p := c.progress[id]
	if id == c.self || p == nil || p.transfer != nil {
		c.sendChunk(id)
		return
	}
	for !p.paused && p.next <= c.log.last() && p.bytes < MaxInflightBytes {
		term, known := c.log.term(p.next - 1)
		if !known {
			c.startSnapshot(p)
			return
		}
		entries := c.log.limited(p.next, MaxAppendBytes)
		c.noteSent(p, entries)
		c.send(Message{
			Kind: MessageAppend, To: id, Index: entries[0].Index - 1, LogTerm: term,
			Commit: c.commit, Entries: entries,
		})
	}
}

// noteSent counts an append that is about to leave.
func (c *Core) noteSent(p *progress, entries []Entry) {
	if !p.waiting() {
		p.sent = c.now
	}
	if p.probing {
		p.paused = true
		return
	}
	size := 0
	for _, entry := range entries {
		size += entry.size()
	}
	last := entries[len(entries)-1].Index
	p.inflight = append(p.inflight, flight{last, size})
	p.bytes += size
	p.next = last + 1
}

// handleAppend takes entries of the leader if the entry before them matches.
func (c *Core) handleAppend(m Message) {
	end := m.Index + uint64(len(m.Entries))
	if end <= c.commit {
		c.send(Message{Kind: MessageAppendReply, To: m.From, Index: c.commit, Last: c.log.last()})
		return
	}
	if m.Index < c.commit {
		m.Entries = m.Entries[c.commit-m.Index:]
		m.Index = c.commit
		m.LogTerm, _ = c.log.term(c.commit)
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		hint := c.conflictHint(m.Index)
		c.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true, Index: m.Index, Commit: hint, Last: c.log.last()})
		return
	}
	for i, entry := range m.Entries {
		if !c.log.matches(entry.Index, entry.Term) {
			c.append(slices.Clone(m.Entries[i:]))
			break
		}
	}
	c.commitTo(min(m.Commit, end))
	c.send(Message{Kind: MessageAppendReply, To: m.From, Index: end, Last: c.log.last()})
}

// conflictHint returns the last entry before index that may match the leader's:
// it passes over a whole term at a time.
func (c *Core) conflictHint(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last()
	}
	conflict, _ := c.log.term(index)
	for index > c.commit {
		if term, _ := c.log.term(index); term != conflict {
			break
		}
		index--
	}
	return index
}

// handleReply handles the answer of a member to its leader.
func (c *Core) handleReply(m Message) {
	p := c.progress[m.From]
	if c.role != RoleLeader || p == nil {
		return
	}
	p.heard = c.now
	switch m.Kind {
	case MessageAppendReply:
		c.handleAppendReply(m, p)
	case MessageSnapshotReply:
		c.handleChunkReply(m, p)
	case MessageHeartbeatReply:
		if p.match < c.log.last() && p.next > c.log.last() && !p.waiting() {
			p.restart(min(m.Last+1, c.log.last())) // nothing else would tell it what it lacks
		}
	}
	if c.role == RoleLeader && (!p.paused || p.transfer == nil) {
		c.replicate(m.From)
	}
}

// handleAppendReply moves the progress of a member.
func (c *Core) handleAppendReply(m Message, p *progress) {
	if m.Reject {
		// A message that overtook the one before it is refused at an index that
		// has been acknowledged meanwhile; its entries are missing all the same.
		if m.Index >= p.match {
			p.restart(min(m.Index, m.Commit+1))
		}
		return
	}
	if t := p.transfer; t != nil && t.snapshot != nil && m.Index >= t.snapshot.Index {
		p.transfer = nil
		p.next = m.Index + 1
	}
	p.acknowledge(m.Index, m.Start)
	p.probing, p.paused = false, p.paused && p.transfer != nil
	p.sent = c.now
	c.advanceCommit()
	c.continueTransfer()
}

// advanceCommit commits the newest entry that a quorum of voters holds, if it
// is of the leader's own term.
func (c *Core) advanceCommit() {
	var matches []uint64
	for _, member := range c.membership() {
		if member.Voter {
			matches = append(matches, c.progress[member.ID].match)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.membership().Quorum()]
	if term, _ := c.log.term(index); index <= c.commit || term != c.hard.Term {
		return
	}
	c.commitTo(index)
	c.announceCommit()
	c.continueChange()
}

// announceCommit tells members that wait for no entries what is committed.
func (c *Core) announceCommit() {
	if c.lazy {
		return
	}
	for _, member := range c.membership() {
		p := c.progress[member.ID]
		if member.ID != c.self && p.next > c.log.last() && p.match > 0 {
			c.send(Message{Kind: MessageCommit, To: member.ID, Commit: min(c.commit, p.match)})
		}
	}
}
