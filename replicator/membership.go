package replicator

// changeAllowed reports whether a leader may change the membership now: it has
// committed an entry of its term, and the last change is committed.
func (c *Core) changeAllowed() bool {
	return c.role == RoleLeader && c.commit >= c.termFirst && c.membershipIndex() <= c.commit
}

// handleChange takes one step of membership.
func (c *Core) handleChange(e ChangeProposed) {
	reason := c.refusal()
	if reason == "" && !c.changeAllowed() {
		reason = RefusedPending
	}
	if reason == "" && e.Change.Add.IsZero() && e.Change.Remove == c.self {
		c.startTransfer()
		reason = RefusedTransfer
	}
	next, valid := c.changed(e.Change)
	if reason == "" && !valid {
		reason = RefusedInvalid
	}
	if reason != "" {
		c.actions = append(c.actions, Refused{e.ID, reason})
		return
	}
	c.actions = append(c.actions, Accepted{ID: e.ID, First: c.log.last() + 1, Term: c.hard.Term})
	c.appendMembership(next)
}

// changed returns the membership after a change, and whether the change fits.
func (c *Core) changed(change Change) (Membership, bool) {
	current := c.membership()
	if change.Add.IsZero() {
		member, known := current.Find(change.Remove)
		last := member.Voter && current.Voters() == 1
		return current.without(change.Remove), known && !last
	}
	if _, known := current.Find(change.Add); known || change.Add == change.For {
		return nil, false
	}
	replaced := change.For
	if _, known := current.Find(replaced); !known {
		replaced = MemberID{}
	}
	next := current
	for _, member := range current {
		obsolete := member.ID.Instance == change.Add.Instance || member.ID == replaced
		sameTask := !replaced.IsZero() && member.Replaces == replaced
		if !member.Voter && (obsolete || sameTask) {
			next = next.without(member.ID)
		}
	}
	if _, known := next.Find(replaced); !known {
		replaced = MemberID{}
	}
	return next.with(Member{ID: change.Add, Replaces: replaced}), true
}

// appendMembership appends a membership, which holds from now on.
func (c *Core) appendMembership(next Membership) {
	entry := Entry{Kind: EntryMembership, Membership: next}
	entry.Index, entry.Term = c.log.last()+1, c.hard.Term
	c.append([]Entry{entry})
	c.trackMembers()
	c.send(Message{Kind: MessageAppendReply, To: c.self, Index: c.log.last(), Last: c.log.last()})
	c.broadcast()
}

// continueChange carries a replacement on: the membership itself says what is
// left to do, so that each leader continues where the last one stopped. The
// member that leaves goes first when it is silent, because until then it counts
// against the quorum; else it goes last.
func (c *Core) continueChange() {
	if !c.changeAllowed() || !c.transferee.IsZero() {
		return
	}
	for _, member := range c.membership() {
		if next, ok := c.nextStep(member); ok {
			c.appendMembership(next)
			return
		}
	}
}

// nextStep returns the membership after the next step for one member, and
// whether there is one.
func (c *Core) nextStep(member Member) (Membership, bool) {
	current := c.membership()
	leaving, present := current.Find(member.Replaces)
	if member.Voter && !present || !member.Voter && !c.caughtUp(member.ID) {
		return nil, false
	}
	silent := present && leaving.Voter && leaving.ID != c.self && !c.alive(leaving.ID)
	if member.Voter || silent && current.Voters() > 1 {
		if leaving.ID == c.self {
			c.startTransfer()
			return nil, false
		}
		member.Replaces = MemberID{}
		return current.without(leaving.ID).with(member), true
	}
	member.Voter = true
	return current.with(member), true
}

// caughtUp reports whether a learner holds nearly all of the log.
func (c *Core) caughtUp(id MemberID) bool {
	p := c.progress[id]
	return c.alive(id) && p.transfer == nil && p.match > 0 && p.match+PromotionLag >= c.log.last()
}
