package redwingshunt

import (
	"context"
	"errors"
)

// GroupID numbers the replicated logs of a fleet. Group zero holds the
// configuration, membership of the voters and fencing numbers; the groups from
// one on hold claims of non-idempotent requests, spread by key.
type GroupID uint32

// GroupControl is the group of the configuration.
const GroupControl GroupID = 0

// The errors of Log.Propose.
var (
	// ErrNotCommitted means that the command never takes effect.
	ErrNotCommitted = errors.New("the command was not committed")
	// ErrUnknown means that the command may still take effect.
	ErrUnknown = errors.New("it is unknown whether the command was committed")
)

// Log commits commands by a quorum of voters. It may be used on each instance;
// an instance that is no voter sends its commands to the leader.
type Log interface {
	// Propose returns what the state machine of the group answered when it
	// applied the command, or ErrNotCommitted, or ErrUnknown.
	Propose(ctx context.Context, group GroupID, command []byte) ([]byte, error)
}

// StateMachine is the state that one group keeps. It is deterministic: the same
// commands in the same order give the same state and the same answers on each
// voter. It reads no clock; commands carry the time of the proposer.
type StateMachine interface {
	// Apply executes the committed command at an index of the log. Indexes
	// only grow.
	Apply(index uint64, command []byte) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error
}

// MaxGroups bounds Document.Fleet.Groups. Every voter keeps that many groups of
// claims beside GroupControl, used or not, since the groups of a log are the
// same for good; their heartbeats share messages, so unused ones cost nothing.
const MaxGroups = 8
