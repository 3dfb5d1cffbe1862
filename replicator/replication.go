package replicator

import (
	"slices"
	"time"
)

// progress is the replication state of one member, as known to the leader.
type progress struct {
	match            uint64 // last index that the member has acknowledged as synced
	matchStart       uint64 // start number of the member when it acknowledged match
	next             uint64 // next index to send
	probing          bool   // next is a guess; one message is sent at a time
	paused           bool   // a probe or snapshot chunks are unacknowledged
	inflight         []inflightAppend
	bytes            int           // size of the entries in inflight
	retransmitStart  time.Duration // start of the retransmit timeout
	lastReply        time.Duration // time of the last reply
	snapshotTransfer *snapshotTransfer
}

// inflightAppend is an append that is not yet acknowledged.
type inflightAppend struct {
	lastIndex uint64 // index of its last entry
	bytes     int
}

// awaitsReply reports whether a message to the member is unacknowledged.
func (p *progress) awaitsReply() bool { return p.paused || len(p.inflight) > 0 }

// probeFrom makes the next append a probe at index next, or after match if that is
// larger.
func (p *progress) probeFrom(next uint64) {
	p.next = max(next, p.match+1)
	p.probing, p.paused = true, false
	p.inflight, p.bytes = nil, 0
}

// acknowledge records that the member has the entries up to index.
func (p *progress) acknowledge(index, start uint64) {
	if index > p.match || p.matchStart == 0 {
		p.match = max(p.match, index)
		p.matchStart = start
	}
	for len(p.inflight) > 0 && p.inflight[0].lastIndex <= index {
		p.bytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
	p.next = max(p.next, p.match+1)
}

// currentHeartbeatRound returns the number of the current heartbeat round. Rounds
// follow the wall clock, so that all groups of an instance send their heartbeats
// at the same time and the heartbeats are batched into one message.
func (c *Core) currentHeartbeatRound() int64 { return c.wall.UnixNano() / int64(HeartbeatPeriod) }

// trackMembers creates the missing progress of each member and drops that of
// replicas that are no longer members.
func (c *Core) trackMembers() {
	tracked := make(map[MemberID]*progress)
	for _, member := range c.membership() {
		p := c.progress[member.ID]
		if p == nil {
			next := max(c.log.last(), c.log.base+1) // probe with the last entry, if there is one
			p = &progress{next: next, probing: true, lastReply: c.now}
		}
		tracked[member.ID] = p
	}
	c.progress = tracked
}

// tickLeader handles the expired timers of a leader.
func (c *Core) tickLeader() {
	if !c.checkQuorum() {
		return
	}
	c.continueLeaderTransfer()
	c.continueReplacement()
	c.retransmit()
	if heartbeatRound := c.currentHeartbeatRound(); heartbeatRound != c.heartbeatRound {
		c.heartbeatRound = heartbeatRound
		c.sendHeartbeats()
	}
}

// sendHeartbeats sends a heartbeat with the commit index to each other member.
func (c *Core) sendHeartbeats() {
	for _, member := range c.membership() {
		if member.ID != c.self {
			commit := min(c.commit, c.progress[member.ID].match)
			c.send(Message{Kind: MessageHeartbeat, To: member.ID, Commit: commit})
		}
	}
}

// retransmit resends to each live member what it did not acknowledge within
// RetransmitTimeout.
func (c *Core) retransmit() {
	for _, member := range c.membership() {
		p := c.progress[member.ID]
		if !p.awaitsReply() || c.now-p.retransmitStart < RetransmitTimeout || c.now-p.lastReply >= ElectionTimeout {
			continue
		}
		next := p.match + 1
		if p.match == 0 {
			next = p.next // it is not known what the member has until it replies to a probe
		}
		p.probeFrom(next)
		if t := p.snapshotTransfer; t != nil {
			t.rewind(t.offset)
			t.probing = true
		}
		c.replicate(member.ID)
	}
}

// handleProposed appends proposed commands to the log, or refuses them.
func (c *Core) handleProposed(e Proposed) {
	if reason := c.refusalReason(); reason != "" {
		c.actions = append(c.actions, Refused{e.ID, reason})
		return
	}
	entries := make([]Entry, len(e.Commands))
	for i, command := range e.Commands {
		entries[i] = Entry{Kind: EntryCommand, Data: command}
	}
	c.actions = append(c.actions, Accepted{ID: e.ID, First: c.log.last() + 1, Term: c.hardState.Term})
	c.appendAndReplicate(entries)
}

// refusalReason returns the reason for refusing proposals now, or "".
func (c *Core) refusalReason() RefusalReason {
	switch {
	case c.role != RoleLeader:
		return RefusedNotLeader
	case !c.transferee.IsZero():
		return RefusedTransfer
	case c.uncommittedBytes() > MaxUncommittedBytes:
		return RefusedBusy
	}
	return ""
}

// uncommittedBytes returns the size in bytes of the entries after the commit index.
func (c *Core) uncommittedBytes() int {
	size := 0
	for _, entry := range c.log.slice(c.commit+1, c.log.last()) {
		size += entry.size()
	}
	return size
}

// appendAndReplicate sets the index and term of the leader's new entries, appends
// them and replicates them.
func (c *Core) appendAndReplicate(entries []Entry) {
	for i := range entries {
		entries[i].Index = c.log.last() + 1 + uint64(i)
		entries[i].Term = c.hardState.Term
	}
	if len(entries) == 0 {
		return
	}
	c.append(entries)
	c.send(Message{Kind: MessageAppendReply, To: c.self, Index: c.log.last(), Last: c.log.last()})
	c.replicateToAll()
}

// replicateToAll sends each member the entries that it lacks.
func (c *Core) replicateToAll() {
	for _, member := range c.membership() {
		c.replicate(member.ID)
	}
}

// replicate sends a member the next entries or the next chunks of a snapshot, up to
// MaxInflightBytes in flight.
func (c *Core) replicate(id MemberID) {
	p := c.progress[id]
	if id == c.self || p == nil || p.snapshotTransfer != nil {
		c.sendChunks(id)
		return
	}
	for !p.paused && p.next <= c.log.last() && p.bytes < MaxInflightBytes {
		term, known := c.log.term(p.next - 1)
		if !known {
			c.startSnapshot(p)
			return
		}
		entries := c.log.entriesFrom(p.next, MaxAppendBytes)
		c.recordSent(p, entries)
		c.send(Message{
			Kind: MessageAppend, To: id, Index: entries[0].Index - 1, LogTerm: term,
			Commit: c.commit, Entries: entries,
		})
	}
}

// recordSent updates the progress of a member for an append that is being sent.
func (c *Core) recordSent(p *progress, entries []Entry) {
	if !p.awaitsReply() {
		p.retransmitStart = c.now
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
	p.inflight = append(p.inflight, inflightAppend{last, size})
	p.bytes += size
	p.next = last + 1
}

// handleAppend appends the leader's entries if the entry before them matches.
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

// conflictHint returns the last index up to index at which the log may match the
// leader's. It skips all entries of the conflicting term.
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

// handleReply handles a reply of a member to the leader.
func (c *Core) handleReply(m Message) {
	p := c.progress[m.From]
	if c.role != RoleLeader || p == nil {
		return
	}
	p.lastReply = c.now
	switch m.Kind {
	case MessageAppendReply:
		c.handleAppendReply(m, p)
	case MessageSnapshotReply:
		c.handleChunkReply(m, p)
	case MessageHeartbeatReply:
		if p.match < c.log.last() && p.next > c.log.last() && !p.awaitsReply() {
			p.probeFrom(min(m.Last+1, c.log.last())) // nothing is in flight that would reveal the missing entries
		}
	}
	if c.role == RoleLeader {
		c.replicate(m.From)
	}
}

// handleAppendReply updates the progress of a member after an append reply.
func (c *Core) handleAppendReply(m Message, p *progress) {
	if m.Reject {
		// If two appends were reordered on the way, the rejection of the later one
		// may carry an index that has been acknowledged since. The entries of the
		// later append are still missing.
		if m.Index >= p.match {
			p.probeFrom(min(m.Index, m.Commit+1))
		}
		return
	}
	if t := p.snapshotTransfer; t != nil && t.snapshot != nil && m.Index >= t.snapshot.Index {
		c.report(m.From, StageTransferComplete, len(t.snapshot.Data))
		p.snapshotTransfer = nil
		p.next = m.Index + 1
	}
	p.acknowledge(m.Index, m.Start)
	p.probing, p.paused = false, p.paused && p.snapshotTransfer != nil
	p.retransmitStart = c.now
	c.advanceCommit()
	c.continueLeaderTransfer()
}

// advanceCommit commits the newest entry that a quorum of voters has synced, if
// it is of the leader's current term.
func (c *Core) advanceCommit() {
	var matches []uint64
	for _, member := range c.membership() {
		if member.Voter {
			matches = append(matches, c.progress[member.ID].match)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.membership().Quorum()]
	if term, _ := c.log.term(index); index <= c.commit || term != c.hardState.Term {
		return
	}
	c.commitTo(index)
	c.broadcastCommit()
	c.continueReplacement()
}

// broadcastCommit sends the commit index to the members that have been sent all
// entries, unless LazyCommit is set.
func (c *Core) broadcastCommit() {
	if c.lazyCommit {
		return
	}
	for _, member := range c.membership() {
		p := c.progress[member.ID]
		if member.ID != c.self && p.next > c.log.last() && p.match > 0 {
			c.send(Message{Kind: MessageCommit, To: member.ID, Commit: min(c.commit, p.match)})
		}
	}
}
