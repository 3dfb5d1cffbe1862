package replicator

// transfer is a snapshot on its way to a member, one chunk at a time.
type transfer struct {
	snapshot *Snapshot
	offset   uint64 // bytes that the member has
}

// assembly is a snapshot of which some chunks have arrived.
type assembly struct {
	meta  SnapshotMeta
	total uint64
	data  []byte
}

// handleSnapshotted drops entries that a synced snapshot covers, but for some
// that members who lag a little still need.
func (c *Core) handleSnapshotted(index uint64) {
	if index <= c.snapshot.Index || index > c.commit {
		return
	}
	c.snapshot, _ = c.SnapshotMeta(index)
	if index > c.trail {
		c.log.compact(index - c.trail)
	}
	for len(c.memberships) > 1 && c.memberships[1].index <= index {
		c.memberships = c.memberships[1:]
	}
}

// SnapshotMeta describes a snapshot at an applied index, and whether the core
// still knows that index.
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

// startSnapshot asks for the stored snapshot, because the entries that the
// member needs are gone.
func (c *Core) startSnapshot(p *progress) {
	p.transfer = &transfer{}
	p.paused = false
	if !c.loading {
		c.loading = true
		c.actions = append(c.actions, LoadSnapshot{})
	}
}

// handleSnapshotLoaded begins the transfers that wait for a snapshot.
func (c *Core) handleSnapshotLoaded(snapshot Snapshot) {
	c.loading = false
	if c.role != RoleLeader {
		return
	}
	for _, member := range c.membership() {
		p := c.progress[member.ID]
		if p.transfer != nil && p.transfer.snapshot == nil {
			p.transfer.snapshot = &snapshot
			c.sendChunk(member.ID)
		}
	}
}

// sendChunk sends a member the next part of its snapshot, if one is due.
func (c *Core) sendChunk(id MemberID) {
	p := c.progress[id]
	if p == nil || p.transfer == nil || p.transfer.snapshot == nil || p.paused {
		return
	}
	s, offset := p.transfer.snapshot, p.transfer.offset
	end := min(offset+SnapshotChunkBytes, uint64(len(s.Data)))
	chunk := &Chunk{Meta: s.SnapshotMeta, Offset: offset, Total: uint64(len(s.Data)), Data: s.Data[offset:end]}
	p.paused = true
	p.sent = c.now
	c.send(Message{Kind: MessageSnapshot, To: id, Chunk: chunk})
}

// handleChunkReply goes on where the member is.
func (c *Core) handleChunkReply(m Message, p *progress) {
	t := p.transfer
	if t == nil || t.snapshot == nil || t.snapshot.Index != m.Commit || m.Index > uint64(len(t.snapshot.Data)) {
		return
	}
	t.offset = m.Index
	p.paused = false
}

// handleChunk takes a part of a snapshot, and installs the whole.
func (c *Core) handleChunk(m Message) {
	chunk := m.Chunk
	if chunk == nil {
		return
	}
	if chunk.Meta.Index <= c.commit {
		c.send(Message{Kind: MessageAppendReply, To: m.From, Index: c.commit, Last: c.log.last()})
		return
	}
	if c.incoming == nil || c.incoming.meta.Index != chunk.Meta.Index || c.incoming.total != chunk.Total {
		c.incoming = &assembly{meta: chunk.Meta, total: chunk.Total}
	}
	a := c.incoming
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

// install replaces state and log by a snapshot. Entries behind it stay when the
// log agrees with it.
func (c *Core) install(snapshot Snapshot) {
	c.incoming = nil
	later := []membershipAt{{snapshot.Index, snapshot.Membership}}
	if c.log.matches(snapshot.Index, snapshot.Term) {
		for _, at := range c.memberships {
			if at.index > snapshot.Index {
				later = append(later, at)
			}
		}
		c.log.compact(snapshot.Index)
	} else {
		c.log.reset(snapshot.Index, snapshot.Term)
		c.unsavedFrom = 0
	}
	c.memberships = later
	if c.unsavedFrom != 0 {
		c.unsavedFrom = max(c.unsavedFrom, snapshot.Index+1)
	}
	c.snapshot = snapshot.SnapshotMeta
	c.unsavedSnapshot = &snapshot
	c.commit = snapshot.Index
	c.actions = append(c.actions, Restore{snapshot})
}
