package recorder

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/journaler"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/wire"
)

// group is the replica of one group: its core, its state machine and the proposals
// that wait to be committed.
type group struct {
	recorder      *Recorder
	id            redwingshunt.GroupID
	core          *replicator.Core
	machine       redwingshunt.StateMachine
	sessions      *sessions
	applied       uint64
	entries       int  // applied since the last snapshot
	entryBytes    int  // size of these entries
	snapshotBytes int  // size of the last snapshot in bytes
	saving        bool // a snapshot is being written

	queued   []proposal                        // not yet passed to the core
	proposed map[uint64][]proposal             // passed to the core, by event ID
	added    map[replicator.MemberID]time.Time // when members were added that are not voters yet
	nextID   uint64
	waiting  map[uint64]waiter // in the log but not committed, by index
}

// proposal is a command or a membership change, with the function that receives
// its reply.
type proposal struct {
	data   []byte
	change bool
	reply  func(*wire.LogReply)
}

// waiter is a proposal in the log that is not committed yet. Term is the term in
// which this instance appended it as the leader.
type waiter struct {
	term  uint64
	reply func(*wire.LogReply)
}

func newGroup(r *Recorder, id redwingshunt.GroupID, stored replicator.Stored) *group {
	g := &group{
		recorder: r,
		id:       id,
		machine:  r.options.Machines(id),
		sessions: newSessions(),
		applied:  stored.Snapshot.Index,
		added:    make(map[replicator.MemberID]time.Time),
		proposed: make(map[uint64][]proposal),
		waiting:  make(map[uint64]waiter),
	}
	config := replicator.Config{
		Self: r.self, Start: r.journal.Start(), Seed: uint64(r.self.Folder) ^ uint64(id),
		LazyCommit: id != redwingshunt.GroupControl, // followers use the applied state only in the control group
	}
	g.core = replicator.New(config, stored, r.options.Clock.Now())
	return g
}

// step passes an event to the core and executes the resulting actions.
func (g *group) step(event replicator.Event) {
	for _, action := range g.core.Step(g.recorder.options.Clock.Now(), event) {
		switch a := action.(type) {
		case replicator.Persist:
			g.persist(a)
		case replicator.Send:
			g.recorder.batcher.add(g.id, a.Message)
		case replicator.Apply:
			g.apply(a.Entries)
		case replicator.Restore:
			if err := g.restore(a.Snapshot); err != nil {
				g.recorder.fail(err)
			}
		case replicator.Accepted:
			g.accept(a)
		case replicator.Refused:
			g.refuse(a)
		case replicator.LoadSnapshot:
			g.load()
		case replicator.Progressed:
			g.logProgress(a)
		}
	}
}

func (g *group) persist(p replicator.Persist) {
	g.recorder.persist(g, p, func() {
		g.step(replicator.Persisted{Sequence: p.Sequence})
		if p.HardState != nil && p.HardState.Lost {
			g.recorder.fail(ErrFolderLost)
		}
	})
}

// load takes a snapshot of the applied state for a member that lags behind. The stored
// snapshot may be much older, and the member would need all entries after it. It runs
// as a job, because the core must not be stepped while its actions are executed.
func (g *group) load() {
	g.recorder.queue = append(g.recorder.queue, job{onDone: func() {
		meta, known := g.core.SnapshotMeta(g.applied)
		if !known {
			return // cannot happen: the core knows the terms from its snapshot on
		}
		data, err := g.encode()
		if err != nil {
			g.recorder.fail(err)
			return
		}
		g.step(replicator.SnapshotLoaded{Snapshot: replicator.Snapshot{SnapshotMeta: meta, Data: data}})
	}})
}

// logProgress logs the stages of a new member with the time since it was added.
func (g *group) logProgress(p replicator.Progressed) {
	now := g.recorder.options.Clock.Now()
	if p.Stage == replicator.StageAdded {
		g.added[p.Member] = now
	}
	age := "" // unknown to a leader that did not add the member
	if added, known := g.added[p.Member]; known {
		age = now.Sub(added).String()
	}
	if p.Stage == replicator.StagePromoted || p.Stage == replicator.StageRemoved {
		delete(g.added, p.Member)
	}
	g.recorder.options.Logger.Info("member of the log changed", "group", g.id, "member", p.Member.String(),
		"stage", string(p.Stage), "age", age, "bytes", p.Bytes)
}

// proposeQueued passes all commands queued since the last iteration to the core.
func (g *group) proposeQueued() {
	if len(g.queued) == 0 {
		return
	}
	g.nextID++
	g.proposed[g.nextID] = g.queued
	event := replicator.Proposed{ID: g.nextID}
	for _, p := range g.queued {
		event.Commands = append(event.Commands, p.data)
	}
	g.queued = nil
	g.step(event)
}

// change proposes a membership change to the core.
func (g *group) change(change replicator.Change, reply func(*wire.LogReply)) {
	g.nextID++
	g.proposed[g.nextID] = []proposal{{change: true, reply: reply}}
	g.step(replicator.ChangeProposed{ID: g.nextID, Change: change})
}

// accept records the log index of each proposal.
func (g *group) accept(a replicator.Accepted) {
	for i, p := range g.proposed[a.ID] {
		if p.change {
			p.reply(&wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_APPLIED})
			continue
		}
		g.waiting[a.First+uint64(i)] = waiter{a.Term, p.reply}
	}
	delete(g.proposed, a.ID)
}

// refuse replies to proposals that were not appended to the log.
func (g *group) refuse(a replicator.Refused) {
	for _, p := range g.proposed[a.ID] {
		p.reply(&wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_REFUSED, Reason: string(a.Reason)})
	}
	delete(g.proposed, a.ID)
}

// apply executes committed entries and replies to their waiters.
func (g *group) apply(entries []replicator.Entry) {
	for _, e := range entries {
		reply := &wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_APPLIED}
		if e.Kind == replicator.EntryCommand {
			reply = g.execute(e)
		}
		g.applied = e.Index
		g.entries++
		g.entryBytes += len(e.Data) + entryOverheadBytes
		w, ok := g.waiting[e.Index]
		if !ok {
			continue
		}
		delete(g.waiting, e.Index)
		if w.term != e.Term {
			reply = &wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_REFUSED, Reason: "replaced by another leader"}
		}
		w.reply(reply)
	}
	g.snapshotIfDue()
}

// execute applies a command unless its session already holds the answer.
func (g *group) execute(e replicator.Entry) *wire.LogReply {
	var command wire.LogCommand
	if err := proto.Unmarshal(e.Data, &command); err != nil {
		return &wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_EXPIRED, Reason: err.Error()}
	}
	reader, ok := g.machine.(redwingshunt.Reader)
	reads := ok && reader.Reads(command.GetCommand())
	answer, ok := g.sessions.execute(e.Index, &command, reads, func() []byte {
		return g.machine.Apply(e.Index, command.GetCommand())
	})
	if !ok {
		return &wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_EXPIRED}
	}
	return &wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_APPLIED, Answer: answer}
}

// encode returns the state of the group in the encoding of a snapshot.
func (g *group) encode() ([]byte, error) {
	machine, err := g.machine.Snapshot()
	if err != nil {
		return nil, err
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(&wire.LogState{
		Sessions: g.sessions.encode(), Machine: machine,
	})
}

// snapshotIfDue writes a snapshot when the entries since the last one are larger
// than it. Snapshots thus cost no more disk writes than the entries themselves.
func (g *group) snapshotIfDue() {
	due := g.entryBytes >= max(g.recorder.options.Compact, g.snapshotBytes) || g.entries >= snapshotTriggerEntries
	if !due || g.saving {
		return
	}
	meta, known := g.core.SnapshotMeta(g.applied)
	if !known {
		return
	}
	data, err := g.encode()
	if err != nil {
		g.recorder.fail(err)
		return
	}
	g.entries, g.entryBytes, g.snapshotBytes, g.saving = 0, 0, len(data), true
	snapshot := &replicator.Snapshot{SnapshotMeta: meta, Data: data}
	g.recorder.persist(g, replicator.Persist{Snapshot: snapshot}, func() {
		g.saving = false
		g.step(replicator.Snapshotted{Index: meta.Index})
	})
}

// restore replaces the state by a snapshot. Waiters for entries that it covers are
// dropped without a reply; their proposers time out, retry, and get the answer
// from the session.
func (g *group) restore(s replicator.Snapshot) error {
	if s.Index == 0 {
		return nil
	}
	var state wire.LogState
	if err := proto.Unmarshal(s.Data, &state); err != nil {
		return err
	}
	g.sessions = parseSessions(state.GetSessions())
	g.applied, g.snapshotBytes = s.Index, len(s.Data)
	g.entries, g.entryBytes = 0, 0
	for index := range g.waiting {
		if index <= s.Index {
			delete(g.waiting, index)
		}
	}
	return g.machine.Restore(state.GetMachine())
}

// seed returns the record that gives the group its initial membership.
func (g *group) seed(membership replicator.Membership) (journaler.Record, error) {
	data, err := g.encode()
	meta := replicator.SnapshotMeta{Index: 1, Term: 1, Membership: membership}
	snapshot := &replicator.Snapshot{SnapshotMeta: meta, Data: data}
	return journaler.Record{Group: g.id, Persist: replicator.Persist{Snapshot: snapshot}}, err
}
