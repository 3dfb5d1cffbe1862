package replicator

// snapshotTransfer is a snapshot that is being sent to a member, with up to
// MaxInflightBytes in flight.
type snapshotTransfer struct {
	snapshot *Snapshot // nil while it is being loaded
	offset   uint64    // bytes that the member has acknowledged
	sent     uint64    // bytes that were sent
	allSent  bool      // the last chunk was sent
	probing  bool      // a chunk was not acknowledged in time; one is sent at a time
}

// rewind makes the next chunk begin at an offset.
func (t *snapshotTransfer) rewind(offset uint64) {
	t.offset, t.sent, t.allSent = offset, offset, false
}

// window returns the number of bytes that may be in flight.
func (t *snapshotTransfer) window() uint64 {
	if t.probing {
		return 1
	}
	return MaxInflightBytes
}

// partialSnapshot is a snapshot of which some chunks have been received.
type partialSnapshot struct {
	meta  SnapshotMeta
	total uint64
	data  []byte
}

// handleSnapshotted drops the entries that a synced snapshot covers, except the
// last ones, which slightly lagging members still need.
func (c *Core) handleSnapshotted(index uint64) {
	if index <= c.snapshot.Index || index > c.commit {
		return
	}
	c.snapshot, _ = c.SnapshotMeta(index)
	if index > c.trailingEntries {
		c.log.compact(index - c.trailingEntries)
	}
	for len(c.memberships) > 1 && c.memberships[1].index <= index {
		c.memberships = c.memberships[1:]
	}
}

// SnapshotMeta returns the metadata of a snapshot at an applied index, and
// whether the core still knows the term at that index.
func (c *Core) SnapshotMeta(index uint64) (SnapshotMeta, bool) {
	term, known := c.log.term(index)
	if !known || index > c.commit {
		return SnapshotMeta{}, false
	}
	meta := SnapshotMeta{Index: index, Term: term}
	for _, at := range c.memberships {
		if at.index <= index {
			meta.Membership = at.membership
		}
	}
	return meta, true
}

// startSnapshot starts to send a snapshot to a member, because the log no longer
// has the entries that the member needs, and requests one.
func (c *Core) startSnapshot(p *progress) {
	p.snapshotTransfer = &snapshotTransfer{}
	p.paused = false
	if !c.loadingSnapshot {
		c.loadingSnapshot = true
		c.actions = append(c.actions, LoadSnapshot{})
	}
}

// handleSnapshotLoaded sends the first chunks to each member that waits for the
// snapshot.
func (c *Core) handleSnapshotLoaded(snapshot Snapshot) {
	c.loadingSnapshot = false
	if c.role != RoleLeader {
		return
	}
	for _, member := range c.membership() {
		p := c.progress[member.ID]
		if p.snapshotTransfer != nil && p.snapshotTransfer.snapshot == nil {
			p.snapshotTransfer.snapshot = &snapshot
			c.report(member.ID, StageTransferStarted, len(snapshot.Data))
			c.sendChunks(member.ID)
		}
	}
}

// sendChunks sends a member the next chunks of its snapshot, up to MaxInflightBytes
// in flight.
func (c *Core) sendChunks(id MemberID) {
	p := c.progress[id]
	if p == nil || p.snapshotTransfer == nil || p.snapshotTransfer.snapshot == nil {
		return
	}
	t := p.snapshotTransfer
	for s := t.snapshot; !t.allSent && t.sent < t.offset+t.window(); {
		if !p.paused {
			p.paused = true
			p.retransmitStart = c.now
		}
		end := min(t.sent+SnapshotChunkBytes, uint64(len(s.Data)))
		chunk := &Chunk{Meta: s.SnapshotMeta, Offset: t.sent, Total: uint64(len(s.Data)), Data: s.Data[t.sent:end]}
		t.sent, t.allSent = end, end == uint64(len(s.Data))
		c.send(Message{Kind: MessageSnapshot, To: id, Chunk: chunk})
	}
}

// handleChunkReply continues the transfer. A member that reports fewer bytes than
// before has lost them and gets them again; one that reports no progress gets the
// next chunk again after RetransmitTimeout.
func (c *Core) handleChunkReply(m Message, p *progress) {
	t := p.snapshotTransfer
	if t == nil || t.snapshot == nil || t.snapshot.Index != m.Commit || m.Index > t.sent {
		return
	}
	switch {
	case m.Index < t.offset:
		t.rewind(m.Index)
	case m.Index > t.offset:
		t.offset, t.probing = m.Index, false
		p.retransmitStart = c.now
	}
	p.paused = t.allSent || t.sent > t.offset
}

// handleChunk stores a chunk of a snapshot, and installs the snapshot once it is
// complete.
func (c *Core) handleChunk(m Message) {
	chunk := m.Chunk
	if chunk == nil {
		return
	}
	if chunk.Meta.Index <= c.commit {
		c.send(Message{Kind: MessageAppendReply, To: m.From, Index: c.commit, Last: c.log.last()})
		return
	}
	if c.incomingSnapshot == nil || c.incomingSnapshot.meta.Index != chunk.Meta.Index || c.incomingSnapshot.total != chunk.Total {
		c.incomingSnapshot = &partialSnapshot{meta: chunk.Meta, total: chunk.Total}
	}
	a := c.incomingSnapshot
	if chunk.Offset == uint64(len(a.data)) {
		a.data = append(a.data, chunk.Data...)
	}
	if uint64(len(a.data)) < a.total {
		c.send(Message{
			Kind: MessageSnapshotReply, To: m.From, Index: uint64(len(a.data)),
			Commit: a.meta.Index, Last: c.log.last(),
		})
		return
	}
	c.install(Snapshot{a.meta, a.data})
	c.send(Message{Kind: MessageAppendReply, To: m.From, Index: c.commit, Last: c.log.last()})
}

// install replaces state and log with a snapshot. Entries after it are kept if
// the log matches the snapshot at its index.
func (c *Core) install(snapshot Snapshot) {
	c.incomingSnapshot = nil
	remaining := []indexedMembership{{snapshot.Index, snapshot.Membership}}
	if c.log.matches(snapshot.Index, snapshot.Term) {
		for _, at := range c.memberships {
			if at.index > snapshot.Index {
				remaining = append(remaining, at)
			}
		}
		c.log.compact(snapshot.Index)
	} else {
		c.log.reset(snapshot.Index, snapshot.Term)
		c.unpersistedFrom = 0
	}
	c.memberships = remaining
	if c.unpersistedFrom != 0 {
		c.unpersistedFrom = max(c.unpersistedFrom, snapshot.Index+1)
	}
	c.snapshot = snapshot.SnapshotMeta
	c.unpersistedSnapshot = &snapshot
	c.commit = snapshot.Index
	c.actions = append(c.actions, Restore{snapshot})
}
