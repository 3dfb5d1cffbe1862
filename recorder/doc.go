// Package recorder runs the replicated logs of one instance.
//
// It connects components that do not depend on each other: a replicator.Core and
// a redwingshunt.StateMachine for each group, one journaler.Journal for all
// groups, and the links to the other instances. One goroutine owns the cores and
// state machines. A second one writes the journal, so that everything that the
// groups have to persist during a sync shares the next sync.
//
// A Recorder runs on every instance. An instance with a folder is a voter or may
// become one; an instance without a folder only sends its commands to the
// leader. In both cases a command is applied at most once, however often it is
// sent: it carries a session number and a sequence within that session, and the
// answers of a session are part of the replicated state until the proposer has
// received them.
//
// Propose returns ErrNotCommitted only if no attempt can take effect any more:
// each attempt was refused by the process that it was addressed to, and that
// process drops duplicate requests. In all other cases it returns ErrUnknown.
//
// Idle groups cost one small message per heartbeat period in each direction
// between the instance of the leader and each other voter, regardless of the
// number of groups: a batch of heartbeats that equals the previous one is sent
// as its number only.
//
// # Usage
//
//	recorder, err := recorder.New(recorder.Options{
//		Self: "a", Members: members, Link: link, Clock: clock, Logger: logger,
//		Folder: "/var/lib/redwingshunt", Initial: []redwingshunt.InstanceID{"a", "b", "c"}, Bootstrap: true,
//		Groups: 3, Machines: newMachine,
//	})
//	go recorder.Run(ctx)
//	answer, err := recorder.Propose(ctx, redwingshunt.GroupControl, command)
package recorder
