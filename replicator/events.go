package replicator

// Event is an input of a core: Tick, Received, Proposed, ChangeProposed,
// Persisted, Snapshotted, SnapshotLoaded or TransferProposed.
type Event interface{ event() }

// Tick tells that time has passed.
type Tick struct{}

// Received brings a message of another replica.
type Received struct{ Message Message }

// Proposed asks to append commands. The answer is one Accepted or Refused with
// the same ID.
type Proposed struct {
	ID       uint64
	Commands [][]byte
}

// ChangeProposed asks for one step of membership. The answer is one Accepted or
// Refused with the same ID.
type ChangeProposed struct {
	ID     uint64
	Change Change
}

// Change is one step of membership. Adding a learner is enough to replace a
// member: each leader carries the rest on.
type Change struct {
	Add    MemberID // becomes a learner, and a voter once it has caught up
	For    MemberID // leaves when Add has become a voter, or zero
	Remove MemberID // leaves, when Add is zero
}

// Persisted tells that all Persist actions up to a sequence are synced.
type Persisted struct{ Sequence uint64 }

// Snapshotted tells that a snapshot at an applied index is synced, so that the
// entries up to it may go.
type Snapshotted struct{ Index uint64 }

// SnapshotLoaded answers LoadSnapshot.
type SnapshotLoaded struct{ Snapshot Snapshot }

// TransferProposed asks a leader to hand over: to any voter before a graceful
// stop, or to one that is preferred. The latter is ignored unless the voter is
// healthy and caught up, and no change of membership is on its way.
type TransferProposed struct {
	To MemberID // or zero for any voter
}

func (Tick) event()             {}
func (Received) event()         {}
func (Proposed) event()         {}
func (ChangeProposed) event()   {}
func (Persisted) event()        {}
func (Snapshotted) event()      {}
func (SnapshotLoaded) event()   {}
func (TransferProposed) event() {}

// Action is an output of a core: Persist, Send, Apply, Restore, Accepted,
// Refused or LoadSnapshot. Actions are carried out in their order, but Persist
// may complete later.
type Action interface{ action() }

// Persist asks for a write and a sync. Parts that are absent have not changed.
// An entry replaces all entries from its index on; a snapshot replaces all
// entries up to its index, and all others when its term differs there.
type Persist struct {
	Sequence  uint64
	HardState *HardState
	Snapshot  *Snapshot
	Entries   []Entry
	Commit    uint64 // known to be committed; lets a restart apply entries at once
}

// Send asks for the best-effort delivery of a message.
type Send struct{ Message Message }

// Apply hands committed entries over, each once, in the order of the log.
type Apply struct{ Entries []Entry }

// Restore replaces the state machine by a snapshot, which a Persist holds too.
type Restore struct{ Snapshot Snapshot }

// Accepted tells that the commands of a proposal stand in the log of the leader
// from First on. They are committed if Apply brings these indexes with Term,
// and never take effect if it brings another term.
type Accepted struct {
	ID    uint64
	First uint64
	Term  uint64
}

// Refused tells that a proposal was not appended and never takes effect.
type Refused struct {
	ID     uint64
	Reason RefusalReason
}

// LoadSnapshot asks for the newest stored snapshot, for a member that lags.
type LoadSnapshot struct{}

func (Persist) action()      {}
func (Send) action()         {}
func (Apply) action()        {}
func (Restore) action()      {}
func (Accepted) action()     {}
func (Refused) action()      {}
func (LoadSnapshot) action() {}

// RefusalReason tells why a proposal was refused.
type RefusalReason string

// The reasons for refusing a proposal.
const (
	RefusedNotLeader RefusalReason = "not-leader"   // another replica leads, or none
	RefusedBusy      RefusalReason = "busy"         // too many bytes are not yet committed
	RefusedPending   RefusalReason = "pending"      // an earlier change is not yet committed
	RefusedInvalid   RefusalReason = "invalid"      // the change does not fit the membership
	RefusedTransfer  RefusalReason = "transferring" // the leader is handing over
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
	MessageCommit // what is committed, without an answer
	MessageSnapshot
	MessageSnapshotReply
	MessageCampaign // the leader hands over: the receiver campaigns at once
	MessageRevoked  // the receiver, in the start given, holds no vote for good
)

// Message travels between two replicas of a group.
type Message struct {
	Kind    MessageKind
	From    MemberID
	To      MemberID
	Term    uint64
	Start   uint64 // counts the starts of the sender; of the receiver in MessageRevoked
	Index   uint64 // entry before Entries; last entry of a candidate; acknowledged entry; bytes of a snapshot received
	LogTerm uint64 // term of the entry at Index
	Commit  uint64 // committed entry; hint of a rejection; snapshot that a chunk reply is about
	Entries []Entry
	Reject  bool
	Last    uint64 // last entry of the replier
	Forced  bool   // a vote that a leader asked for
	Chunk   *Chunk
}

// Chunk is a part of a snapshot.
type Chunk struct {
	Meta   SnapshotMeta
	Offset uint64 // bytes before Data
	Total  uint64 // bytes of the snapshot
	Data   []byte
}
