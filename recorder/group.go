package recorder

import (
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/journaler"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/wire"
)

// group is the replica of one group: its core, its state machine and the
// proposals that wait for their commit.
type group struct {
	recorder *Recorder
	id       redwingshunt.GroupID
	core     *replicator.Core
	machine  redwingshunt.StateMachine
	sessions *sessions
	applied  uint64
	entries  int  // applied since the last snapshot
	bytes    int  // of these entries
	size     int  // of the last snapshot
	saving   bool // a snapshot is being written

	offered []proposal            // not yet given to the core
	pending map[uint64][]proposal // given to the core, by ID of the event
	nextID  uint64
	waiting map[uint64]waiter // in the log, by index
}

// proposal is a command, or a change of membership, and who wants to know.
type proposal struct {
	data   []byte
	change bool
	reply  func(*wire.LogReply)
}

// waiter is a proposal in the log of this leader.
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
		pending:  make(map[uint64][]proposal),
		waiting:  make(map[uint64]waiter),
	}
	config := replicator.Config{
		Self: r.self, Start: r.journal.Start(), Seed: uint64(r.self.Folder) ^ uint64(id),
		LazyCommit: id != redwingshunt.GroupControl, // followers only put the configuration to use
	}
	g.core = replicator.New(config, stored, r.options.Clock.Now())
	return g
}

// step gives the core an event and carries the actions out.
func (g *group) step(event replicator.Event) {
	for _, action := range g.core.Step(g.recorder.options.Clock.Now(), event) {
		switch a := action.(type) {
		case replicator.Persist:
			g.persist(a)
		case replicator.Send:
			g.recorder.post.add(g.id, a.Message)
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

// load reads the stored snapshot for a member that lags.
func (g *group) load() {
	then := func(s replicator.Snapshot) { g.step(replicator.SnapshotLoaded{Snapshot: s}) }
	g.recorder.queue = append(g.recorder.queue, job{load: g, then: then})
}

// offer gives the core all commands that have come since the last turn.
func (g *group) offer() {
	if len(g.offered) == 0 {
		return
	}
	g.nextID++
	g.pending[g.nextID] = g.offered
	event := replicator.Proposed{ID: g.nextID}
	for _, p := range g.offered {
		event.Commands = append(event.Commands, p.data)
	}
	g.offered = nil
	g.step(event)
}

// change gives the core a change of membership.
func (g *group) change(change replicator.Change, reply func(*wire.LogReply)) {
	g.nextID++
	g.pending[g.nextID] = []proposal{{change: true, reply: reply}}
	g.step(replicator.ChangeProposed{ID: g.nextID, Change: change})
}

// accept notes where the proposals stand in the log.
func (g *group) accept(a replicator.Accepted) {
	for i, p := range g.pending[a.ID] {
		if p.change {
			p.reply(&wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_APPLIED})
			continue
		}
		g.waiting[a.First+uint64(i)] = waiter{a.Term, p.reply}
	}
	delete(g.pending, a.ID)
}

// refuse answers proposals that are not in the log.
func (g *group) refuse(a replicator.Refused) {
	for _, p := range g.pending[a.ID] {
		p.reply(&wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_REFUSED, Reason: string(a.Reason)})
	}
	delete(g.pending, a.ID)
}

// apply executes committed entries and answers those who wait for them.
func (g *group) apply(entries []replicator.Entry) {
	for _, e := range entries {
		reply := &wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_APPLIED}
		if e.Kind == replicator.EntryCommand {
			reply = g.execute(e)
		}
		g.applied = e.Index
		g.entries++
		g.bytes += len(e.Data) + entryOverhead
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

// execute applies a command unless its session has the answer already.
func (g *group) execute(e replicator.Entry) *wire.LogReply {
	var command wire.LogCommand
	if err := proto.Unmarshal(e.Data, &command); err != nil {
		return &wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_EXPIRED, Reason: err.Error()}
	}
	answer, ok := g.sessions.execute(e.Index, &command, func() []byte {
		return g.machine.Apply(e.Index, command.GetCommand())
	})
	if !ok {
		return &wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_EXPIRED}
	}
	return &wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_APPLIED, Answer: answer}
}

// encode returns the state of the group as a snapshot holds it.
func (g *group) encode() ([]byte, error) {
	machine, err := g.machine.Snapshot()
	if err != nil {
		return nil, err
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(&wire.LogState{
		Sessions: g.sessions.encode(), Machine: machine,
	})
}

// snapshotIfDue stores a snapshot when the entries since the last one outweigh
// it, so that writing snapshots costs no more than writing entries.
func (g *group) snapshotIfDue() {
	due := g.bytes >= max(g.recorder.options.Compact, g.size) || g.entries >= snapshotEntries
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
	g.entries, g.bytes, g.size, g.saving = 0, 0, len(data), true
	snapshot := &replicator.Snapshot{SnapshotMeta: meta, Data: data}
	g.recorder.persist(g, replicator.Persist{Snapshot: snapshot}, func() {
		g.saving = false
		g.step(replicator.Snapshotted{Index: meta.Index})
	})
}

// restore replaces the state by a snapshot. Whoever waits for an entry within
// it asks again and gets the answer from the session.
func (g *group) restore(s replicator.Snapshot) error {
	if s.Index == 0 {
		return nil
	}
	var state wire.LogState
	if err := proto.Unmarshal(s.Data, &state); err != nil {
		return err
	}
	g.sessions = parseSessions(state.GetSessions())
	g.applied, g.size = s.Index, len(s.Data)
	g.entries, g.bytes = 0, 0
	for index := range g.waiting {
		if index <= s.Index {
			delete(g.waiting, index)
		}
	}
	return g.machine.Restore(state.GetMachine())
}

// seed returns the record that gives the group its first membership.
func (g *group) seed(membership replicator.Membership) (journaler.Record, error) {
	data, err := g.encode()
	meta := replicator.SnapshotMeta{Index: 1, Term: 1, Membership: membership}
	snapshot := &replicator.Snapshot{SnapshotMeta: meta, Data: data}
	return journaler.Record{Group: g.id, Persist: replicator.Persist{Snapshot: snapshot}}, err
}
