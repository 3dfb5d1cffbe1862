package replicator

import "time"

// Status describes a group as one replica knows it.
type Status struct {
	Self       MemberID
	Role       Role
	Leader     MemberID
	Term       uint64
	Commit     uint64
	Last       uint64
	Snapshot   uint64 // last index in the newest snapshot
	Membership Membership
	Pending    bool           // a membership change is uncommitted or incomplete
	Lost       bool           // the vote was revoked; the replica never votes again
	Current    bool           // an entry of the term is committed here, and thus all that were committed before the term
	Members    []MemberStatus // known to a leader only
}

// MemberStatus describes one member as the leader knows it.
type MemberStatus struct {
	ID         MemberID
	Match      uint64
	Lag        uint64        // entries that the member lacks
	SinceReply time.Duration // since its last reply
	Alive      bool
}

// Role returns the role of the replica in its current term.
func (c *Core) Role() Role { return c.role }

// Leader returns the known leader of the term, or zero.
func (c *Core) Leader() MemberID { return c.leader }

// Commit returns the commit index.
func (c *Core) Commit() uint64 { return c.commit }

// Voter reports whether the replica is a voter of its newest membership and has
// not lost its vote.
func (c *Core) Voter() bool { return c.mayVote() }

// Status returns a copy of the state, for operators and membership operations.
func (c *Core) Status() Status {
	s := Status{
		Self:       c.self,
		Role:       c.role,
		Leader:     c.leader,
		Term:       c.hardState.Term,
		Commit:     c.commit,
		Last:       c.log.last(),
		Snapshot:   c.snapshot.Index,
		Membership: c.membership(),
		Pending:    c.membershipIndex() > c.commit,
		Lost:       c.hardState.Lost,
		Current:    c.log.matches(c.commit, c.hardState.Term),
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
		ID:         id,
		Match:      p.match,
		Lag:        c.log.last() - min(p.match, c.log.last()),
		SinceReply: c.now - p.lastReply,
		Alive:      id == c.self || c.alive(id),
	}
}
