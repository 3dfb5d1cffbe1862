package replicator

import "github.com/redwingshunt/redwingshunt"

// Event is an input of a core: Tick, Received, Proposed, ChangeProposed,
// Persisted, Snapshotted, SnapshotLoaded, TransferProposed, Restarted, LeaderFound,
// Leaving or Retired.
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{}

// Received is a message from another replica.
type Received struct{ Message Message }

// Proposed requests that commands are appended to the log. It is answered by one
// Accepted or Refused with the same ID.
type Proposed struct {
	ID       uint64
	Commands [][]byte
}

// ChangeProposed requests one membership change. It is answered by one Accepted
// or Refused with the same ID.
type ChangeProposed struct {
	ID     uint64
	Change Change
}

// Change is one membership change. To replace a member, proposing its
// replacement as a learner is sufficient: the current leader, or its successor,
// completes the remaining steps.
type Change struct {
	Add      MemberID // added as a learner, promoted to voter once it has caught up
	Replaced MemberID // removed when Add is a voter; may be zero
	Remove   MemberID // removed; used only if Add is zero
}

// Persisted reports that all Persist actions up to a sequence are synced.
type Persisted struct{ Sequence uint64 }

// Snapshotted reports that a snapshot at an applied index is synced, so that the
// entries up to it may be dropped.
type Snapshotted struct{ Index uint64 }

// SnapshotLoaded answers LoadSnapshot.
type SnapshotLoaded struct{ Snapshot Snapshot }

// TransferProposed requests that a leader transfers its leadership, either to
// any voter, before a graceful stop, or to a preferred one. A transfer to a
// preferred voter is ignored unless that voter is alive and caught up and no
// membership change is in progress.
type TransferProposed struct {
	To MemberID // zero for any voter
}

// Restarted reports that the process of an instance has ended and another one runs
// in its place, possibly with another folder. If it led the group, the others elect
// another leader without waiting for ElectionTimeout.
type Restarted struct{ Instance redwingshunt.InstanceID }

// LeaderFound reports which member leads the group to a replica for which LeaderSilent
// holds. The replica asks that leader whether it is still a member: a learner that was
// removed, or a voter all of whose former fellow members were replaced, does not learn
// of it otherwise.
type LeaderFound struct{ Leader MemberID }

// Leaving requests that the replica does not stand for election, or stands again. It
// still votes. A replica that hands its seat over would otherwise campaign once it was
// removed, and lose the votes of the groups in which it still counts.
type Leaving struct{ Enabled bool }

// Retired requests that the replica never votes again, because it was replaced before
// a planned stop.
type Retired struct{}

func (Tick) event()             {}
func (Received) event()         {}
func (Proposed) event()         {}
func (ChangeProposed) event()   {}
func (Persisted) event()        {}
func (Snapshotted) event()      {}
func (SnapshotLoaded) event()   {}
func (TransferProposed) event() {}
func (Restarted) event()        {}
func (LeaderFound) event()      {}
func (Leaving) event()          {}
func (Retired) event()          {}

// Action is an output of a core: Persist, Send, Apply, Restore, Accepted,
// Refused, LoadSnapshot or Progressed. Actions are executed in order, but a Persist may
// complete later.
type Action interface{ action() }

// Persist requests that state is written and synced. Absent fields are unchanged.
// An entry replaces all entries from its index on. A snapshot replaces all
// entries up to its index, and also those after it if the log has another term
// at that index.
type Persist struct {
	Sequence  uint64
	HardState *HardState
	Snapshot  *Snapshot
	Entries   []Entry
	Commit    uint64 // commit index; lets a restarted replica apply entries at once
}

// Send requests best-effort delivery of a message.
type Send struct{ Message Message }

// Apply passes committed entries to the state machine, each once and in log
// order.
type Apply struct{ Entries []Entry }

// Restore replaces the state of the state machine with a snapshot, which is also
// part of a Persist.
type Restore struct{ Snapshot Snapshot }

// Accepted reports that the commands of a proposal were appended to the log of
// the leader, beginning at index First. They are committed if Apply delivers
// entries with Term at these indexes, and never take effect if it delivers
// entries of another term.
type Accepted struct {
	ID    uint64
	First uint64
	Term  uint64
}

// Refused reports that a proposal was not appended and will never take effect.
type Refused struct {
	ID     uint64
	Reason RefusalReason
}

// LoadSnapshot requests a snapshot of the applied state, to send it to a lagging
// member. The newer it is, the fewer entries the member needs after it.
type LoadSnapshot struct{}

// Progressed reports, on a leader, that a member has reached a stage on its way to
// a voter, or that it was removed.
type Progressed struct {
	Member MemberID
	Stage  Stage
	Bytes  int // size of the snapshot that is transferred, in bytes; zero in other stages
}

// Stage is a stage of a member.
type Stage string

// The stages of a member, in the order in which a new one reaches them.
const (
	StageAdded            Stage = "added"             // it is a learner
	StageTransferStarted  Stage = "transfer-started"  // the first chunk of a snapshot was sent
	StageTransferComplete Stage = "transfer-complete" // the whole snapshot is synced
	StagePromoted         Stage = "promoted"          // it is a voter
	StageRemoved          Stage = "removed"
)

func (Persist) action()      {}
func (Send) action()         {}
func (Apply) action()        {}
func (Restore) action()      {}
func (Accepted) action()     {}
func (Refused) action()      {}
func (LoadSnapshot) action() {}
func (Progressed) action()   {}

// RefusalReason is the reason for refusing a proposal.
type RefusalReason string

// The reasons for refusing a proposal.
const (
	RefusedNotLeader RefusalReason = "not-leader"   // another replica leads, or none
	RefusedBusy      RefusalReason = "busy"         // more than MaxUncommittedBytes bytes are uncommitted
	RefusedPending   RefusalReason = "pending"      // an earlier change is not yet committed
	RefusedInvalid   RefusalReason = "invalid"      // the change is not possible with the current membership
	RefusedTransfer  RefusalReason = "transferring" // the leader is transferring its leadership
)

// MessageKind is the type of a message between replicas.
type MessageKind uint8

// The kinds of message between replicas.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageHeartbeat
	MessageHeartbeatReply
	MessageCommit // commit index; has no reply
	MessageSnapshot
	MessageSnapshotReply
	MessageCampaign    // leadership transfer: the receiver starts an election at once
	MessageRevoked     // the receiver, if it has the given start number, may never vote again
	MessageMemberQuery // asks a leader to revoke the vote of the sender if that is no member any more
)

// Message is a message between two replicas of a group.
type Message struct {
	Kind    MessageKind
	From    MemberID
	To      MemberID
	Term    uint64
	Start   uint64 // start number of the sender; in MessageRevoked that of the receiver
	Index   uint64 // index before Entries; last index of a candidate; commit index of a member query; acknowledged index; bytes of a snapshot received
	LogTerm uint64 // term of the entry at Index
	Commit  uint64 // commit index; in a rejection the conflict hint; in a snapshot reply the index of the snapshot
	Entries []Entry
	Reject  bool
	Last    uint64 // last index in the log of the replier
	Forced  bool   // vote request of a leadership transfer
	Chunk   *Chunk
}

// Chunk is a part of a snapshot.
type Chunk struct {
	Meta   SnapshotMeta
	Offset uint64 // position of Data in the snapshot, in bytes
	Total  uint64 // size of the snapshot in bytes
	Data   []byte
}
