package replicator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// Periods and bounds of the protocol.
const (
	HeartbeatPeriod    = time.Second             // leader to each member
	ElectionTimeout    = 2 * time.Second         // silence of the leader before an election, at least
	ElectionSpread     = time.Second             // random addition to ElectionTimeout
	StartTimeout       = 1200 * time.Millisecond // the same after a start, in which a living leader sends a heartbeat
	StartSpread        = 400 * time.Millisecond  // random addition to StartTimeout
	CampaignRetry      = 500 * time.Millisecond  // after a campaign without result, at least; doubled each time
	CampaignRetryMax   = 2 * time.Second
	RetransmitTimeout  = 500 * time.Millisecond // an append or a chunk without acknowledgement is sent again
	PreferredTimeout   = 500 * time.Millisecond // for handing over to a preferred voter
	MaxAdvance         = time.Second            // most that one call advances the time of the core
	MaxAppendBytes     = 256 << 10              // entries in one message
	MaxInflightBytes   = 1 << 20                // entries sent to one member and not yet acknowledged
	MaxUncommitted     = 16 << 20               // bytes of proposals that a leader takes before they commit
	SnapshotChunkBytes = 256 << 10              // part of a snapshot in one message
	TrailingEntries    = 1000                   // entries kept behind a snapshot for members that lag
	PromotionLag       = 64                     // entries that a learner may lack when it is promoted
)

// FolderID is the random identity that a data folder gets when it is created.
type FolderID uint64

// MemberID names a replica: an instance with one particular data folder.
type MemberID struct {
	Instance redwingshunt.InstanceID
	Folder   FolderID
}

// String returns instance/folder with the folder in hex.
func (m MemberID) String() string { return fmt.Sprintf("%s/%x", m.Instance, uint64(m.Folder)) }

// IsZero reports whether m names nobody.
func (m MemberID) IsZero() bool { return m == MemberID{} }

// compare orders members by instance, then by folder.
func (m MemberID) compare(o MemberID) int {
	if c := strings.Compare(string(m.Instance), string(o.Instance)); c != 0 {
		return c
	}
	switch {
	case m.Folder < o.Folder:
		return -1
	case m.Folder > o.Folder:
		return 1
	}
	return 0
}

// Member is one replica in a membership. One that is no voter is a learner,
// which the leader promotes once it has caught up.
type Member struct {
	ID       MemberID
	Voter    bool
	Replaces MemberID // the member that leaves once this one votes, or zero
}

// Membership lists the replicas of a group, ordered by ID. It is not changed
// once made.
type Membership []Member

// Find returns the member with an ID.
func (m Membership) Find(id MemberID) (Member, bool) {
	for _, member := range m {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voter reports whether id is a voter.
func (m Membership) Voter(id MemberID) bool {
	member, ok := m.Find(id)
	return ok && member.Voter
}

// Voters returns the number of voters.
func (m Membership) Voters() int {
	n := 0
	for _, member := range m {
		if member.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters that decide.
func (m Membership) Quorum() int { return m.Voters()/2 + 1 }

// Instance returns the members with an instance, of which there may be two
// while a folder is replaced by another of the same instance.
func (m Membership) Instance(id redwingshunt.InstanceID) []Member {
	var found []Member
	for _, member := range m {
		if member.ID.Instance == id {
			found = append(found, member)
		}
	}
	return found
}

// with returns a copy in which member is added or replaced.
func (m Membership) with(member Member) Membership {
	next := append(m.without(member.ID), member)
	slices.SortFunc(next, func(a, b Member) int { return a.ID.compare(b.ID) })
	return next
}

// without returns a copy that lacks id.
func (m Membership) without(id MemberID) Membership {
	next := make(Membership, 0, len(m)+1)
	for _, member := range m {
		if member.ID != id {
			next = append(next, member)
		}
	}
	return next
}

// NewMembership returns a membership in which all ids are voters.
func NewMembership(ids ...MemberID) Membership {
	var m Membership
	for _, id := range ids {
		m = m.with(Member{ID: id, Voter: true})
	}
	return m
}

// EntryKind tells what an entry holds.
type EntryKind uint8

// The kinds of entry.
const (
	EntryCommand    EntryKind = iota + 1 // a command for the state machine
	EntryEmpty                           // the first entry of a leader
	EntryMembership                      // a new membership
)

// Entry is one entry of the log.
type Entry struct {
	Index      uint64 // from 1, without gaps
	Term       uint64
	Kind       EntryKind
	Data       []byte
	Membership Membership // of EntryMembership
}

// size returns the bytes that count against the bounds.
func (e Entry) size() int { return len(e.Data) + 16 + 32*len(e.Membership) }

// HardState is what a replica must not forget besides its entries.
type HardState struct {
	Term uint64
	Vote MemberID // whom it voted for in Term
	Lost bool     // its disk is known to be older than its promises; it never votes again
}

// SnapshotMeta tells what a snapshot covers.
type SnapshotMeta struct {
	Index      uint64 // last entry in the snapshot
	Term       uint64
	Membership Membership
}

// Snapshot is the state of the machine up to an entry.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

// Stored is what a replica finds on its disk when it starts.
type Stored struct {
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry // from Snapshot.Index+1 on
	Commit    uint64  // known to be committed; may lag behind
}
