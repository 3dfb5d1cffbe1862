// Package recorder runs the replicated logs of one instance.
//
// It connects the parts that do not know each other: a replicator.Core and a
// redwingshunt.StateMachine for each group, one journaler.Journal for all of
// them, and the links to the other instances. One goroutine owns the cores and
// machines; a second one writes the journal, so that whatever the groups want
// to persist while a sync runs shares the next sync.
//
// A Recorder works on every instance. One with a folder is a voter, or may
// become one; one without only sends its commands to the leader. Either way a
// command takes effect at most once, however often it is sent: it carries the
// number of its session and its place in it, and the answers to a session are
// part of the replicated state until the proposer has them.
//
// Propose says ErrNotCommitted only when no attempt can still take effect: each
// attempt was refused by the very process that it was addressed to, which drops
// doubled requests. In all other cases it says ErrUnknown.
//
// Idle groups cost one small message a heartbeat period in each direction
// between the leader's instance and each other voter, whatever the number of
// groups: a batch of heartbeats that equals the last one is sent as its number.
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
