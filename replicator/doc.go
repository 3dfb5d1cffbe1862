// Package replicator implements the Raft consensus protocol for one replica of
// a replicated log: leader election, log replication, commit and membership
// changes.
//
// A Core is the state of one replica of one group. Each call of Step takes the
// current time and one event and returns the resulting actions. A Core starts
// no goroutine, reads no clock and does no I/O; it is deterministic, so that the
// same calls return the same actions.
//
// The safety rules, with the function that enforces each:
//
//   - a replica votes once per term, only if it is a voter of its newest
//     membership, and only for a candidate whose log is at least as up to date
//     as its own (handleVote);
//   - a candidate first runs a pre-vote, which changes no replica's term
//     (campaign, handlePreVote);
//   - a voter that has recently heard from a leader grants no votes against it
//     (leaderAlive);
//   - a leader that has not heard from a quorum for an election timeout steps
//     down (checkQuorum);
//   - an entry is committed once a quorum has synced it to disk and its term is
//     the leader's current term (advanceCommit);
//   - a message is sent only after the state on which its receiver relies has
//     been synced to disk (send, sendDeferred);
//   - membership changes by one voter at a time, and a change must be committed
//     before the next one starts (changeAllowed);
//   - a member is an instance with one particular data folder; the same instance
//     with another folder is another member. A member that lacks state which it
//     acknowledged earlier is told that its disk was rolled back, and never
//     votes again (checkRolledBackDisk).
//
// Step takes the time as a time.Time, but uses only differences, and one call
// advances the core's clock by at most MaxAdvance. A forward jump of the clock
// therefore expires at most one timeout early, and a backward jump delays none.
//
// # Usage
//
//	core := replicator.New(config, stored, now)
//	for event := range events {
//		for _, action := range core.Step(clock.Now(), event) {
//			switch a := action.(type) {
//			case replicator.Persist: // write and sync, then Step Persisted{a.Sequence}
//			case replicator.Send: // send a.Message to a.Message.To, best effort
//			case replicator.Apply: // apply a.Entries to the state machine, in order
//			}
//		}
//		timer.Reset(core.Deadline().Sub(clock.Now())) // then Step Tick{}
//	}
package replicator
