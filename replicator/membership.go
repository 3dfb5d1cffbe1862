package replicator

import "slices"

// changeAllowed reports whether this replica leads and may change the membership
// now: it has committed an entry of its term, and the last change is committed.
func (c *Core) changeAllowed() bool {
	return c.role == RoleLeader && c.commit >= c.firstTermIndex && c.membershipIndex() <= c.commit
}

// handleChange appends a proposed membership change to the log, or refuses it.
func (c *Core) handleChange(e ChangeProposed) {
	reason := c.refusalReason()
	if reason == "" && !c.changeAllowed() {
		reason = RefusedPending
	}
	if reason == "" && e.Change.Add.IsZero() && e.Change.Remove == c.self {
		c.startLeaderTransfer()
		reason = RefusedTransfer
	}
	next, valid := c.changedMembership(e.Change)
	if reason == "" && !valid {
		reason = RefusedInvalid
	}
	if reason != "" {
		c.actions = append(c.actions, Refused{e.ID, reason})
		return
	}
	c.actions = append(c.actions, Accepted{ID: e.ID, First: c.log.last() + 1, Term: c.hardState.Term})
	c.appendMembership(next)
}

// changedMembership returns the membership after a change, and whether the change
// is valid for the current membership.
func (c *Core) changedMembership(change Change) (Membership, bool) {
	current := c.membership()
	if change.Add.IsZero() {
		member, known := current.Find(change.Remove)
		onlyVoter := member.Voter && current.Voters() == 1
		return current.without(change.Remove), known && !onlyVoter
	}
	if _, known := current.Find(change.Add); known || change.Add == change.Replaced {
		return nil, false
	}
	replaced := change.Replaced
	if c.seatTaken(replaced, change.Add) {
		return nil, false
	}
	next := current
	for _, member := range current {
		obsolete := member.ID.Instance == change.Add.Instance || member.ID == replaced
		sameReplacement := !replaced.IsZero() && member.Replaces == replaced
		if !member.Voter && (obsolete || sameReplacement) {
			next = next.without(member.ID)
		}
	}
	if _, known := next.Find(replaced); !known {
		replaced = MemberID{}
	}
	return next.with(Member{ID: change.Add, Replaces: replaced}), true
}

// seatTaken reports whether a member that is to be added would make the group grow,
// because another one has the seat of the replaced member or is taking the free seat.
func (c *Core) seatTaken(replaced, added MemberID) bool {
	current := c.membership()
	if _, known := current.Find(replaced); !known && !replaced.IsZero() {
		return true
	}
	return slices.ContainsFunc(current, func(m Member) bool {
		if !replaced.IsZero() {
			return m.Voter && m.Replaces == replaced
		}
		_, replaces := current.Find(m.Replaces)
		return !m.Voter && !replaces && m.ID.Instance != added.Instance && c.alive(m.ID)
	})
}

// appendMembership appends an entry with a membership, which takes effect at
// once.
func (c *Core) appendMembership(next Membership) {
	entry := Entry{Kind: EntryMembership, Membership: next}
	entry.Index, entry.Term = c.log.last()+1, c.hardState.Term
	c.reportMembership(c.membership(), next)
	c.append([]Entry{entry})
	c.trackMembers()
	c.send(Message{Kind: MessageAppendReply, To: c.self, Index: c.log.last(), Last: c.log.last()})
	c.replicateToAll()
}

// continueReplacement takes the next step of a replacement in progress. The
// membership itself holds the remaining steps, so that a new leader continues
// where the last one stopped. If the replaced member is gone, it is removed before
// the learner is promoted, because it counts in the quorum until then; otherwise it
// is removed last. It is gone if it does not reply, or if the learner is the same
// instance, which runs with one folder only.
func (c *Core) continueReplacement() {
	if !c.changeAllowed() || !c.transferee.IsZero() {
		return
	}
	for _, member := range c.membership() {
		if next, ok := c.nextReplacementStep(member); ok {
			c.appendMembership(next)
			return
		}
	}
}

// nextReplacementStep returns the membership after the next step of the
// replacement by member, and whether there is such a step.
func (c *Core) nextReplacementStep(member Member) (Membership, bool) {
	current := c.membership()
	replaced, present := current.Find(member.Replaces)
	if member.Voter && !present || !member.Voter && !c.caughtUp(member.ID) {
		return nil, false
	}
	sameInstance := replaced.ID.Instance == member.ID.Instance
	gone := present && replaced.Voter && replaced.ID != c.self && (sameInstance || !c.alive(replaced.ID))
	if member.Voter || gone && current.Voters() > 1 {
		if replaced.ID == c.self {
			c.startLeaderTransfer()
			return nil, false
		}
		member.Replaces = MemberID{}
		return current.without(replaced.ID).with(member), true
	}
	member.Voter = true
	return current.with(member), true
}

// reportMembership reports what a change of the membership does to each member.
func (c *Core) reportMembership(before, after Membership) {
	for _, member := range after {
		old, known := before.Find(member.ID)
		switch {
		case !known:
			c.report(member.ID, StageAdded, 0)
		case member.Voter && !old.Voter:
			c.report(member.ID, StagePromoted, 0)
		}
	}
	for _, member := range before {
		if _, known := after.Find(member.ID); !known {
			c.report(member.ID, StageRemoved, 0)
		}
	}
}

// report reports that a member has reached a stage.
func (c *Core) report(id MemberID, stage Stage, size int) {
	c.actions = append(c.actions, Progressed{Member: id, Stage: stage, Bytes: size})
}

// caughtUp reports whether a learner is alive and lacks at most PromotionLagEntries
// entries of the log.
func (c *Core) caughtUp(id MemberID) bool {
	p := c.progress[id]
	return c.alive(id) && p.snapshotTransfer == nil && p.match > 0 && p.match+PromotionLagEntries >= c.log.last()
}
