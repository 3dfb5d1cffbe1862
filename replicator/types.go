package replicator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// Timeouts and limits of the protocol.
const (
	HeartbeatPeriod          = time.Second             // between heartbeats of a leader
	ElectionTimeout          = 2 * time.Second         // minimum time without a leader before an election
	ElectionSpread           = time.Second             // range of the random addition to ElectionTimeout
	StartTimeout             = 1200 * time.Millisecond // ElectionTimeout after a start; longer than HeartbeatPeriod, so that a live leader is heard
	StartSpread              = 400 * time.Millisecond  // range of the random addition to StartTimeout
	CampaignRetry            = 500 * time.Millisecond  // minimum delay after a failed campaign; doubled after each further one
	CampaignRetryMax         = 2 * time.Second
	RestartStagger           = 200 * time.Millisecond // between the elections of two voters that learn of a restart of their leader
	RetransmitTimeout        = 500 * time.Millisecond // until an unacknowledged append or chunk is resent
	PreferredTransferTimeout = 500 * time.Millisecond // of a leadership transfer to a preferred voter
	MaxAdvance               = time.Second            // maximum advance of the core's clock in one call
	MaxAppendBytes           = 256 << 10              // size of the entries in one message
	MaxInflightBytes         = 1 << 20                // size of the unacknowledged entries or chunks sent to one member
	MaxUncommittedBytes      = 16 << 20               // bytes of uncommitted entries above which a leader refuses proposals
	SnapshotChunkBytes       = 64 << 10               // size of a snapshot chunk in one message
	TrailingEntries          = 1000                   // entries kept behind a snapshot for lagging members
	PromotionLagEntries      = 64                     // entries that a learner may lack when it is promoted
)

// FolderID is the random ID that a data folder gets when it is created.
type FolderID uint64

// MemberID identifies a replica: an instance with one particular data folder.
type MemberID struct {
	Instance redwingshunt.InstanceID
	Folder   FolderID
}

// String returns instance/folder with the folder in hex.
func (m MemberID) String() string { return fmt.Sprintf("%s/%x", m.Instance, uint64(m.Folder)) }

// IsZero reports whether m identifies no replica.
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

// Member is one replica in a membership. A member that is not a voter is a
// learner, which the leader promotes once it has caught up.
type Member struct {
	ID       MemberID
	Voter    bool
	Replaces MemberID // member to remove once this one is a voter, or zero
}

// Membership lists the replicas of a group, ordered by ID. It is immutable.
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

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int { return m.Voters()/2 + 1 }

// Instance returns the members of an instance. There may be two while one folder
// of the instance replaces another.
func (m Membership) Instance(id redwingshunt.InstanceID) []Member {
	var found []Member
	for _, member := range m {
		if member.ID.Instance == id {
			found = append(found, member)
		}
	}
	return found
}

// with returns a copy with member added or replaced.
func (m Membership) with(member Member) Membership {
	next := append(m.without(member.ID), member)
	slices.SortFunc(next, func(a, b Member) int { return a.ID.compare(b.ID) })
	return next
}

// without returns a copy with the member id removed.
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

// EntryKind is the kind of a log entry.
type EntryKind uint8

// The kinds of entry.
const (
	EntryCommand    EntryKind = iota + 1 // a command for the state machine
	EntryEmpty                           // no command; the first entry of a leader
	EntryMembership                      // a new membership
)

// Entry is one entry of the log.
type Entry struct {
	Index      uint64 // from 1, without gaps
	Term       uint64
	Kind       EntryKind
	Data       []byte
	Membership Membership // set if Kind is EntryMembership
}

// size returns the approximate size in bytes that counts against the limits.
func (e Entry) size() int { return len(e.Data) + 16 + 32*len(e.Membership) }

// HardState is the persistent state of a replica besides its log.
type HardState struct {
	Term uint64
	Vote MemberID // candidate that the replica voted for in Term
	Lost bool     // the vote was revoked, as the disk was rolled back or the member removed
}

// SnapshotMeta describes what a snapshot covers.
type SnapshotMeta struct {
	Index      uint64 // index of the last entry in the snapshot
	Term       uint64 // term of that entry
	Membership Membership
}

// Snapshot is the state of the state machine after an entry.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

// Stored is the persistent state of a replica, read when it starts.
type Stored struct {
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry // from Snapshot.Index+1 on
	Commit    uint64  // commit index; may lag behind
}
