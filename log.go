package redwingshunt

import (
	"context"
	"errors"
)

// GroupID numbers the replicated logs of a fleet. Group zero holds the
// configuration, the voter membership and fencing tokens; groups from one on hold
// claims of non-idempotent requests, partitioned by key.
type GroupID uint32

// GroupControl is the group that holds the configuration.
const GroupControl GroupID = 0

// Errors returned by Log.Propose.
var (
	// ErrNotCommitted means that the command will never take effect.
	ErrNotCommitted = errors.New("the command was not committed")
	// ErrUnknown means that the command may still take effect.
	ErrUnknown = errors.New("it is unknown whether the command was committed")
)

// Log commits commands by a quorum of voters. Every instance may use it; an
// instance that is not a voter forwards its commands to the leader.
type Log interface {
	// Propose returns the result of the group's state machine for the command,
	// or ErrNotCommitted or ErrUnknown.
	Propose(ctx context.Context, group GroupID, command []byte) ([]byte, error)
}

// StateMachine is the replicated state of a group. It is deterministic: the same
// commands in the same order produce the same state and results on every voter.
// It reads no clock; commands carry the time of the proposer.
type StateMachine interface {
	// Apply executes the committed command at a log index. Indexes increase
	// monotonically.
	Apply(index uint64, command []byte) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot.
	Restore(snapshot []byte) error
}

// Reader is a StateMachine some of whose commands change nothing. The result of such a
// command is not kept for a proposer that resends it, since it can be read again.
type Reader interface {
	StateMachine
	// Reads reports whether a command only reads the state. The answer depends on the
	// command alone.
	Reads(command []byte) bool
}

// MaxGroups is the upper bound of Document.Fleet.Groups. Every voter runs this
// many claim groups in addition to GroupControl, used or not, because the groups
// of a log cannot change later. Unused groups cost nothing, as heartbeats of all
// groups share messages.
const MaxGroups = 8
