package replicator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwingshunt/redwingshunt"
)

// TestHistories runs replicas through random sequences of message loss,
// partitions, crashes, clock jumps and replacements. The network checks the
// safety rules after each step. Once all faults are removed, the group must
// commit again.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t, rapid.Uint64().Draw(t, "seed"), "a", "b", "c")
		n.run(4 * time.Second)
		proposals, folders := 0, FolderID(100)
		pick := func(t *rapid.T) *node { return n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"":     func(t *rapid.T) { n.run(time.Duration(rapid.IntRange(0, 50).Draw(t, "run")) * 10 * time.Millisecond) },
			"wait": func(*rapid.T) { n.run(4 * time.Second) },
			"loss": func(t *rapid.T) { n.lossRate = float64(rapid.IntRange(0, 4).Draw(t, "loss")) / 10 },
			"cut":  func(t *rapid.T) { id := pick(t).id; n.isolated[id] = !n.isolated[id] },
			"heal": func(*rapid.T) { clear(n.isolated) },
			"slow": func(t *rapid.T) { nd := pick(t); nd.slowDisk = !nd.slowDisk },
			"jump": func(t *rapid.T) {
				n.now = n.now.Add(time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "jump")) * time.Second)
			},
			"crash": func(t *rapid.T) {
				if nd := pick(t); nd.core != nil {
					n.crash(nd)
				} else {
					n.start(nd)
				}
			},
			"lazy":  func(*rapid.T) { n.lazyCommit = !n.lazyCommit },
			"start": func(*rapid.T) { n.startAll() },
			"propose": func(*rapid.T) {
				for _, nd := range n.nodes {
					proposals++
					n.step(nd, Proposed{ID: 1, Commands: [][]byte{fmt.Append(nil, proposals)}})
				}
			},
			"snapshot":  func(t *rapid.T) { n.snapshot(pick(t)) },
			"transfer":  func(t *rapid.T) { n.step(pick(t), TransferProposed{}) },
			"restarted": func(t *rapid.T) { n.step(pick(t), Restarted{pick(t).id.Instance}) }, // true or not
			"leaving": func(t *rapid.T) {
				n.step(pick(t), Leaving{Enabled: rapid.Bool().Draw(t, "leaving")})
			},
			"prefer": func(t *rapid.T) { n.step(pick(t), TransferProposed{To: pick(t).id}) },
			"replace": func(t *rapid.T) {
				leader, replaced := n.leader(), pick(t).id
				if leader == nil || replaced == leader.id || len(n.nodes) > 8 {
					return
				}
				folders++
				replacement := n.add(MemberID{redwingshunt.InstanceID(fmt.Sprint("n", folders)), folders})
				n.start(replacement)
				n.step(leader, ChangeProposed{ID: 1, Change: Change{Add: replacement.id, Replaced: replaced}})
			},
		})
		n.lossRate = 0
		clear(n.isolated)
		n.startAll()
		for _, nd := range n.nodes {
			n.step(nd, Leaving{}) // all stand for election again
		}
		n.run(20 * time.Second)
		if leader := n.leader(); leader == nil {
			t.Fatalf("no leader after all faults were removed")
		}
		for _, member := range n.leader().core.Status().Membership {
			if n.node(member.ID).core.Status().Lost {
				t.Fatalf("vote of %v was revoked, but its disk is intact", member.ID)
			}
		}
		before := n.lastCommitted
		n.step(n.leader(), Proposed{ID: 1, Commands: [][]byte{[]byte("end")}})
		n.run(2 * time.Second)
		if n.lastCommitted <= before {
			t.Fatalf("nothing committed after all faults were removed")
		}
	})
}

func names(count int) []string { return []string{"a", "b", "c", "d", "e"}[:count] }

func TestIsolatedLeaderStepsDownAndReturnsQuietly(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 7, names(3)...)
	n.run(6 * time.Second)
	old := n.leader()
	is.True(old != nil)
	n.isolated[old.id] = true
	n.run(5 * time.Second)
	is.True(old.core.Status().Role != RoleLeader) // steps down without a quorum
	before := n.refused
	n.step(old, Proposed{ID: 1, Commands: [][]byte{[]byte("x")}})
	is.Equal(n.refused, before+1)
	n.run(time.Hour / 12)
	leader, term := n.leader(), n.leader().core.Status().Term
	delete(n.isolated, old.id)
	n.run(10 * time.Second)
	is.Equal(n.leader().id, leader.id)
	is.Equal(n.leader().core.Status().Term, term) // the return causes no election
	is.Equal(old.core.Status().Leader, leader.id)
}

func TestFailoverWithinTarget(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		n := newNetwork(t, seed, names(3)...)
		n.run(6 * time.Second)
		n.crash(n.leader())
		deadline := n.now.Add(5 * time.Second)
		for before := n.lastCommitted; n.lastCommitted == before; {
			n.run(50 * time.Millisecond)
			is.True(n.now.Before(deadline)) // commits within 5 s of the crash of the leader
		}
	}
}

// TestRestartedLeaderIsReplacedAtOnce restarts the leader with an empty disk. The
// others must not wait for an election timeout once they know of the new process,
// because the lost voter cannot be replaced without a leader.
func TestRestartedLeaderIsReplacedAtOnce(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		n := newNetwork(t, seed, names(3)...)
		n.run(6 * time.Second)
		old := n.leader()
		n.crash(old)
		n.run(200 * time.Millisecond)
		for _, nd := range n.nodes {
			n.step(nd, Restarted{old.id.Instance})
		}
		n.run(ElectionTimeout - 500*time.Millisecond) // enough for one split vote
		is.True(n.leader() != nil && n.leader() != old)
	}
}

func TestRolledBackDiskLosesVote(t *testing.T) {
	tests := map[string]func(n *network, victim *node, copied node){
		"copied in an earlier start": func(_ *network, victim *node, copied node) {
			victim.disk, victim.starts = copied.disk, copied.starts-1<<startCounterShift
		},
		"copied in the same start": func(_ *network, victim *node, copied node) {
			victim.disk = copied.disk
		},
	}
	for name, rollBack := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(t, 3, names(3)...)
			n.run(6 * time.Second)
			var victim *node
			for _, nd := range n.nodes {
				if nd != n.leader() {
					victim = nd
				}
			}
			copied := *victim
			n.step(n.leader(), Proposed{ID: 1, Commands: [][]byte{[]byte("x")}})
			n.run(time.Second)
			n.crash(victim)
			rollBack(n, victim, copied)
			n.start(victim)
			n.run(5 * time.Second)
			is.True(victim.core.Status().Lost)
			is.True(victim.disk.HardState.Lost) // persists across restarts
			n.crash(n.leader())
			n.run(20 * time.Second)
			is.True(n.leader() == nil) // the only intact voter is not a quorum
		})
	}
}

// TestReplace crashes a voter, and then one more node at different times during
// the replacement of the voter.
func TestReplace(t *testing.T) {
	for delaySteps := range 30 {
		for target := range 3 {
			t.Run(fmt.Sprintf("delay %d target %d", delaySteps, target), func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(t, uint64(delaySteps), names(3)...)
				n.run(6 * time.Second)
				for i := range 20 {
					n.step(n.leader(), Proposed{ID: 1, Commands: [][]byte{fmt.Append(nil, i)}})
				}
				n.run(time.Second)
				var others []*node
				for _, nd := range n.nodes {
					if nd != n.leader() {
						others = append(others, nd)
					}
				}
				leader, crashed, rest := n.leader(), others[0], others[1]
				n.crash(crashed)
				n.run(4 * time.Second)
				replacement := n.add(MemberID{crashed.id.Instance, 99}) // the same instance with an empty folder
				n.start(replacement)
				n.step(leader, ChangeProposed{ID: 1, Change: Change{Add: replacement.id, Replaced: crashed.id}})
				n.run(time.Duration(delaySteps) * 10 * time.Millisecond)
				n.crash([]*node{leader, rest, replacement}[target])
				committed := n.lastCommitted
				n.run(8 * time.Second)
				for _, nd := range n.nodes {
					if nd.core == nil && nd != crashed {
						n.start(nd)
					}
				}
				n.run(12 * time.Second)
				is.True(n.leader() != nil)
				is.True(n.lastCommitted >= committed)
				n.step(n.leader(), Proposed{ID: 1, Commands: [][]byte{[]byte("end")}})
				n.run(2 * time.Second)
				is.True(n.lastCommitted > committed)
				for _, member := range n.leader().core.Status().Membership {
					is.True(member.Voter)
				}
				is.Equal(n.leader().core.Status().Membership.Voters(), 3)
			})
		}
	}
}

func TestClockJumpKeepsTheLeader(t *testing.T) {
	for _, jump := range []time.Duration{-time.Hour, time.Hour} {
		is := is.New(t)
		n := newNetwork(t, 5, names(3)...)
		n.run(6 * time.Second)
		leader, term := n.leader(), n.leader().core.Status().Term
		n.now = n.now.Add(jump)
		n.run(5 * time.Second)
		is.Equal(n.leader(), leader)
		is.Equal(leader.core.Status().Term, term)
	}
}

// newLeader returns a core that leads three voters in term 3. Its log has entry 2
// of an earlier term and entry 3 of its own term. The function step handles an
// event, completes each Persist at once and returns the messages sent.
func newLeader(t *testing.T) (c *Core, step func(Event) []Message) {
	t.Helper()
	ids := []MemberID{{"a", 1}, {"b", 2}, {"c", 3}}
	stored := Stored{
		HardState: HardState{Term: 2},
		Snapshot:  SnapshotMeta{Index: 1, Term: 1, Membership: NewMembership(ids...)},
		Entries:   []Entry{{Index: 2, Term: 2, Kind: EntryCommand}},
	}
	now := time.Unix(1e9, 0)
	c = New(Config{Self: ids[0], Start: NewStart(0, 1)}, stored, now)
	step = func(e Event) []Message {
		var sent []Message
		queue := c.Step(now, e)
		for len(queue) > 0 {
			switch action := queue[0].(type) {
			case Persist:
				queue = append(queue, c.Step(now, Persisted{action.Sequence})...)
			case Send:
				sent = append(sent, action.Message)
			}
			queue = queue[1:]
		}
		return sent
	}
	for range 4 {
		now = now.Add(MaxAdvance)
		step(Tick{})
	}
	reply := Message{From: ids[1], To: ids[0], Start: NewStart(0, 2)}
	reply.Kind, reply.Term = MessagePreVoteReply, 3
	step(Received{reply})
	reply.Kind = MessageVoteReply
	step(Received{reply})
	is.New(t).Equal(c.Status().Role, RoleLeader)
	return c, step
}

// acknowledged returns the reply of voter b of newLeader that acknowledges all
// entries up to an index.
func acknowledged(index uint64) Message {
	return Message{
		Kind: MessageAppendReply, From: MemberID{"b", 2}, To: MemberID{"a", 1}, Term: 3, Start: NewStart(0, 2), Index: index, Last: index,
	}
}

// TestCommitNeedsOwnTerm checks that an entry of an earlier term is not committed
// when a quorum has it, because a leader that lacks it may still replace it.
func TestCommitNeedsOwnTerm(t *testing.T) {
	is := is.New(t)
	c, step := newLeader(t)
	step(Received{acknowledged(2)})
	is.Equal(c.Status().Commit, uint64(1))
	step(Received{acknowledged(3)})
	is.Equal(c.Status().Commit, uint64(3))
}

// TestOvertakenAppend reorders two appends to a voter, which rejects the one that
// should have come second. Its entries must be resent after the rejection, even
// if the reply to the first append arrives before it.
func TestOvertakenAppend(t *testing.T) {
	is := is.New(t)
	_, step := newLeader(t)
	step(Received{acknowledged(3)})
	for i := range 2 {
		step(Proposed{ID: uint64(i + 1), Commands: [][]byte{{byte(i)}}}) // entries 4 and 5
	}
	rejection := acknowledged(4)
	step(Received{rejection})
	rejection.Reject, rejection.Commit, rejection.Last = true, 3, 3 // sent when entry 5 arrived before entry 4
	var again []Entry
	for _, m := range step(Received{rejection}) {
		if m.Kind == MessageAppend && m.To == rejection.From {
			again = append(again, m.Entries...)
		}
	}
	is.Equal(len(again), 1)
	is.Equal(again[0].Index, uint64(5))
}

// TestAcknowledgedWhileLoading has a voter reject an append at an index whose
// entries were compacted, and then delivers an older acknowledgement while the
// snapshot is still being loaded. The transfer must start once the snapshot is
// loaded, and end when the voter acknowledges an index from the snapshot's on.
func TestAcknowledgedWhileLoading(t *testing.T) {
	is := is.New(t)
	c, step := newLeader(t)
	rejection := acknowledged(2)
	rejection.Reject, rejection.Commit, rejection.Last = true, 0, 0
	step(Received{rejection})
	is.True(c.progress[rejection.From].snapshotTransfer != nil) // the snapshot was requested
	step(Received{acknowledged(3)})
	chunks := 0
	for _, m := range step(SnapshotLoaded{Snapshot{SnapshotMeta: c.snapshot, Data: []byte("state")}}) {
		if m.Kind == MessageSnapshot && m.To == rejection.From {
			chunks++
		}
	}
	is.Equal(chunks, 1)
	step(Received{acknowledged(3)})
	is.True(c.progress[rejection.From].snapshotTransfer == nil)
	is.Equal(c.Status().Commit, uint64(3))
}

// TestPreferredTransfer checks that leadership moves to the preferred voter, and
// that a leader whose preferred voter is unreachable keeps accepting proposals.
func TestPreferredTransfer(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "a", "b", "c")
	n.run(4 * time.Second)
	leader := n.leader()
	followers := slices.DeleteFunc(slices.Clone(n.nodes), func(nd *node) bool { return nd == leader })
	n.isolated[followers[0].id] = true
	n.run(4 * time.Second)
	n.step(leader, TransferProposed{To: followers[0].id})
	refused := n.refused
	n.step(leader, Proposed{ID: 1, Commands: [][]byte{[]byte("x")}})
	is.Equal(n.refused, refused)
	n.isolated = map[MemberID]bool{followers[1].id: true}
	n.run(time.Second)
	n.step(leader, TransferProposed{To: followers[1].id}) // isolated, but still counted as alive
	n.run(PreferredTransferTimeout + 20*time.Millisecond)
	n.step(leader, Proposed{ID: 1, Commands: [][]byte{[]byte("y")}})
	is.Equal(n.refused, refused)
	is.Equal(n.leader(), leader)
	clear(n.isolated)
	n.run(4 * time.Second)
	leader = n.leader()
	followers = slices.DeleteFunc(slices.Clone(n.nodes), func(nd *node) bool { return nd == leader })
	n.step(leader, TransferProposed{To: followers[1].id})
	n.run(time.Second)
	is.Equal(n.leader().id, followers[1].id)
}

// TestLostLeaderIsKnownAsSilent checks that a new leader does not wait for an election
// timeout before it tells that its predecessor is silent: a spare instance takes the
// seat of a lost machine only then. A predecessor that voted is not silent.
func TestLostLeaderIsKnownAsSilent(t *testing.T) {
	silent := func(n *network, id MemberID) bool {
		for _, m := range n.leader().core.Status().Members {
			if m.ID == id {
				return !m.Alive
			}
		}
		return false
	}
	for seed := range uint64(20) {
		is := is.New(t)
		n := newNetwork(t, seed, names(3)...)
		n.run(6 * time.Second)
		old := n.leader()
		n.crash(old)
		n.run(ElectionTimeout + ElectionSpread + 200*time.Millisecond) // its last messages arrive after it has ended
		for n.leader() == nil {
			n.run(10 * time.Millisecond)
		}
		is.True(silent(n, old.id))

		n = newNetwork(t, seed, names(3)...)
		n.run(6 * time.Second)
		old = n.leader()
		n.step(old, TransferProposed{})
		for n.leader() == nil || n.leader() == old {
			n.run(10 * time.Millisecond)
		}
		is.True(!silent(n, old.id))
	}
}
