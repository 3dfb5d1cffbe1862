// Package replicator decides for one replica of one replicated log: who leads,
// what is committed, who is a member.
//
// A Core is the state of one replica of one group. It takes the time and one
// typed event a call and returns typed actions. It starts no goroutine, reads
// no clock, and knows neither files nor links. The same calls give the same
// actions.
//
// The rules, by the function that holds each:
//
//   - a replica votes once a term, only as a voter of its newest membership,
//     and only for a log that is at least as new as its own (handleVote);
//   - a candidate first asks whether it would be elected, which changes no
//     term anywhere (campaign, handlePreVote);
//   - a voter that hears a leader helps nobody against it (leaderAlive);
//   - a leader that has not heard a quorum for an election timeout steps down
//     (checkQuorum);
//   - an entry is committed once a quorum holds it synced and it is of the
//     leader's own term (advanceCommit);
//   - a message leaves only after the state that it promises is synced (send,
//     releaseHeld);
//   - membership changes by one voter at a time, and the next change waits for
//     the commit of the last (changeAllowed);
//   - a member is an instance with one data folder. With another folder it is
//     another member, and one that shows less than it has acknowledged is told
//     that its disk is older and never votes again (checkOlderDisk).
//
// Time comes as a time.Time, but only differences count, and one call advances
// the core by at most MaxAdvance. A clock that jumps forward therefore expires
// at most one timeout early and one that jumps back expires none late.
//
// # Usage
//
//	core := replicator.New(config, stored, now)
//	for event := range events {
//		for _, action := range core.Step(clock.Now(), event) {
//			switch a := action.(type) {
//			case replicator.Persist: // write and sync, then Step Persisted{a.Sequence}
//			case replicator.Send: // a.Message to a.Message.To, best effort
//			case replicator.Apply: // a.Entries to the state machine, in order
//			}
//		}
//		timer.Reset(core.Deadline().Sub(clock.Now())) // then Step Tick{}
//	}
package replicator
