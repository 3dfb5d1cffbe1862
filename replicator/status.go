package replicator

import "time"

// Status is what one replica knows of its group.
type Status struct {
	Self       MemberID
	Role       Role
	Leader     MemberID
	Term       uint64
	Commit     uint64
	Last       uint64
	Snapshot   uint64 // last entry in the newest snapshot
	Membership Membership
	Pending    bool // a change of membership is not yet committed or not complete
	Lost       bool // the disk is older than its promises
	Members    []MemberStatus
}

// MemberStatus is what a leader knows of one member.
type MemberStatus struct {
	ID    MemberID
	Match uint64
	Lag   uint64        // entries that it lacks
	Quiet time.Duration // since its last answer
	Alive bool
}

// Role returns what the replica does in its term.
func (c *Core) Role() Role { return c.role }

// Leader returns the leader as far as known, or nobody.
func (c *Core) Leader() MemberID { return c.leader }

// Commit returns the newest entry that is known to be committed.
func (c *Core) Commit() uint64 { return c.commit }

// Voter reports whether the replica is a voter of its newest membership.
func (c *Core) Voter() bool { return c.mayVote() }

// Status returns a copy of the state for people and for membership operations.
func (c *Core) Status() Status {
	s := Status{
		Self:       c.self,
		Role:       c.role,
		Leader:     c.leader,
		Term:       c.hard.Term,
		Commit:     c.commit,
		Last:       c.log.last(),
		Snapshot:   c.snapshot.Index,
		Membership: c.membership(),
		Pending:    c.membershipIndex() > c.commit,
		Lost:       c.hard.Lost,
	}
	for _, member := range c.membership() {
		_, leaving := c.membership().Find(member.Replaces)
		s.Pending = s.Pending || !member.Voter || leaving
		if p := c.progress[member.ID]; p != nil {
			s.Members = append(s.Members, c.memberStatus(member.ID, p))
		}
	}
	return s
}

func (c *Core) memberStatus(id MemberID, p *progress) MemberStatus {
	return MemberStatus{
		ID:    id,
		Match: p.match,
		Lag:   c.log.last() - min(p.match, c.log.last()),
		Quiet: c.now - p.heard,
		Alive: id == c.self || c.alive(id),
	}
}
