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

// TestHistories drives random replicas through losses, partitions, crashes,
// clock jumps and replacements. The network checks safety after each step; when
// all has healed the group must commit again.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t, rapid.Uint64().Draw(t, "seed"), "a", "b", "c")
		n.run(4 * time.Second)
		proposals, folders := 0, FolderID(100)
		pick := func(t *rapid.T) *node { return n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"":     func(t *rapid.T) { n.run(time.Duration(rapid.IntRange(0, 50).Draw(t, "run")) * 10 * time.Millisecond) },
			"wait": func(*rapid.T) { n.run(4 * time.Second) },
			"loss": func(t *rapid.T) { n.loss = float64(rapid.IntRange(0, 4).Draw(t, "loss")) / 10 },
			"cut":  func(t *rapid.T) { id := pick(t).id; n.cut[id] = !n.cut[id] },
			"heal": func(*rapid.T) { clear(n.cut) },
			"slow": func(t *rapid.T) { nd := pick(t); nd.slow = !nd.slow },
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
			"lazy":  func(*rapid.T) { n.lazy = !n.lazy },
			"start": func(*rapid.T) { n.startAll() },
			"propose": func(*rapid.T) {
				for _, nd := range n.nodes {
					proposals++
					n.step(nd, Proposed{ID: 1, Commands: [][]byte{fmt.Append(nil, proposals)}})
				}
			},
			"snapshot": func(t *rapid.T) { n.snapshot(pick(t)) },
			"transfer": func(t *rapid.T) { n.step(pick(t), TransferProposed{}) },
			"prefer":   func(t *rapid.T) { n.step(pick(t), TransferProposed{To: pick(t).id}) },
			"replace": func(t *rapid.T) {
				leader, lost := n.leader(), pick(t).id
				if leader == nil || lost == leader.id || len(n.nodes) > 8 {
					return
				}
				folders++
				fresh := n.add(MemberID{redwingshunt.InstanceID(fmt.Sprint("n", folders)), folders})
				n.start(fresh)
				n.step(leader, ChangeProposed{ID: 1, Change: Change{Add: fresh.id, For: lost}})
			},
		})
		n.loss = 0
		clear(n.cut)
		n.startAll()
		n.run(20 * time.Second)
		if leader := n.leader(); leader == nil {
			t.Fatalf("no leader after all healed")
		}
		for _, member := range n.leader().core.Status().Membership {
			if n.node(member.ID).core.Status().Lost {
				t.Fatalf("%v has lost its vote with an intact disk", member.ID)
			}
		}
		before := n.last
		n.step(n.leader(), Proposed{ID: 1, Commands: [][]byte{[]byte("end")}})
		n.run(2 * time.Second)
		if n.last <= before {
			t.Fatalf("nothing committed after all healed")
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
	n.cut[old.id] = true
	n.run(5 * time.Second)
	is.True(old.core.Status().Role != RoleLeader) // it cannot know that it still leads
	before := n.refused
	n.step(old, Proposed{ID: 1, Commands: [][]byte{[]byte("x")}})
	is.Equal(n.refused, before+1)
	n.run(time.Hour / 12)
	leader, term := n.leader(), n.leader().core.Status().Term
	delete(n.cut, old.id)
	n.run(10 * time.Second)
	is.Equal(n.leader().id, leader.id)
	is.Equal(n.leader().core.Status().Term, term) // the return disturbs nobody
	is.Equal(old.core.Status().Leader, leader.id)
}

func TestFailoverWithinTarget(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		n := newNetwork(t, seed, names(3)...)
		n.run(6 * time.Second)
		n.crash(n.leader())
		deadline := n.now.Add(5 * time.Second)
		for before := n.last; n.last == before; {
			n.run(50 * time.Millisecond)
			is.True(n.now.Before(deadline)) // commits within 5 s of the loss of the leader
		}
	}
}

func TestOlderDiskHoldsNoVote(t *testing.T) {
	tests := map[string]func(n *network, victim *node, copied node){
		"copied in an earlier start": func(_ *network, victim *node, copied node) {
			victim.disk, victim.starts = copied.disk, copied.starts-1<<startCounterShift
		},
		"copied in the same start": func(_ *network, victim *node, copied node) {
			victim.disk = copied.disk
		},
	}
	for name, roll := range tests {
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
			roll(n, victim, copied)
			n.start(victim)
			n.run(5 * time.Second)
			is.True(victim.core.Status().Lost)
			is.True(victim.disk.HardState.Lost) // also after the next start
			n.crash(n.leader())
			n.run(20 * time.Second)
			is.True(n.leader() == nil) // the one intact voter is no quorum
		})
	}
}

// TestReplace loses a voter and one more node at each moment of its replacement.
func TestReplace(t *testing.T) {
	for moment := range 30 {
		for second := range 3 {
			t.Run(fmt.Sprintf("moment %d second %d", moment, second), func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(t, uint64(moment), names(3)...)
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
				leader, lost, rest := n.leader(), others[0], others[1]
				n.crash(lost)
				n.run(4 * time.Second)
				fresh := n.add(MemberID{lost.id.Instance, 99}) // the same instance with an empty folder
				n.start(fresh)
				n.step(leader, ChangeProposed{ID: 1, Change: Change{Add: fresh.id, For: lost.id}})
				n.run(time.Duration(moment) * 10 * time.Millisecond)
				n.crash([]*node{leader, rest, fresh}[second])
				committed := n.last
				n.run(8 * time.Second)
				for _, nd := range n.nodes {
					if nd.core == nil && nd != lost {
						n.start(nd)
					}
				}
				n.run(12 * time.Second)
				is.True(n.leader() != nil)
				is.True(n.last >= committed)
				n.step(n.leader(), Proposed{ID: 1, Commands: [][]byte{[]byte("end")}})
				n.run(2 * time.Second)
				is.True(n.last > committed)
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

// newLeader returns a core that leads term 3 of three voters and whose log has
// an entry of an earlier term before its own first one, 3. Step works an event,
// with a disk that is done at once, and returns what is sent.
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

// acknowledged is the answer of voter b of newLeader that it holds all entries up
// to an index.
func acknowledged(index uint64) Message {
	return Message{
		Kind: MessageAppendReply, From: MemberID{"b", 2}, To: MemberID{"a", 1}, Term: 3, Start: NewStart(0, 2), Index: index, Last: index,
	}
}

// TestCommitNeedsOwnTerm acknowledges an entry of an earlier term alone: it may
// still be replaced by a leader that lacks it, so it is not committed.
func TestCommitNeedsOwnTerm(t *testing.T) {
	is := is.New(t)
	c, step := newLeader(t)
	step(Received{acknowledged(2)})
	is.Equal(c.Status().Commit, uint64(1))
	step(Received{acknowledged(3)})
	is.Equal(c.Status().Commit, uint64(3))
}

// TestOvertakenAppend has two messages with entries overtake each other on the
// way to a voter, which refuses the later one. Its entries are sent again when
// that refusal comes, also after the answer to the earlier one.
func TestOvertakenAppend(t *testing.T) {
	is := is.New(t)
	_, step := newLeader(t)
	step(Received{acknowledged(3)})
	for i := range 2 {
		step(Proposed{ID: uint64(i + 1), Commands: [][]byte{{byte(i)}}}) // entries 4 and 5
	}
	refusal := acknowledged(4)
	step(Received{refusal})
	refusal.Reject, refusal.Commit, refusal.Last = true, 3, 3 // when only entry 5 had come
	var again []Entry
	for _, m := range step(Received{refusal}) {
		if m.Kind == MessageAppend && m.To == refusal.From {
			again = append(again, m.Entries...)
		}
	}
	is.Equal(len(again), 1)
	is.Equal(again[0].Index, uint64(5))
}

// TestAcknowledgedWhileLoading has a voter ask for entries that are gone, and an
// older acknowledgement of it come while the snapshot for it is still being read.
// The transfer goes on once the snapshot is there, and ends when the voter turns
// out to hold what it covers.
func TestAcknowledgedWhileLoading(t *testing.T) {
	is := is.New(t)
	c, step := newLeader(t)
	refusal := acknowledged(2)
	refusal.Reject, refusal.Commit, refusal.Last = true, 0, 0
	step(Received{refusal})
	is.True(c.progress[refusal.From].transfer != nil) // the snapshot is asked for
	step(Received{acknowledged(3)})
	chunks := 0
	for _, m := range step(SnapshotLoaded{Snapshot{SnapshotMeta: c.snapshot, Data: []byte("state")}}) {
		if m.Kind == MessageSnapshot && m.To == refusal.From {
			chunks++
		}
	}
	is.Equal(chunks, 1)
	step(Received{acknowledged(3)})
	is.True(c.progress[refusal.From].transfer == nil)
	is.Equal(c.Status().Commit, uint64(3))
}

// TestPreferredTransfer hands over to the named voter, and to none that is
// silent: the leader then goes on to take proposals.
func TestPreferredTransfer(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 1, "a", "b", "c")
	n.run(4 * time.Second)
	leader := n.leader()
	followers := slices.DeleteFunc(slices.Clone(n.nodes), func(nd *node) bool { return nd == leader })
	n.cut[followers[0].id] = true
	n.run(4 * time.Second)
	n.step(leader, TransferProposed{To: followers[0].id})
	refused := n.refused
	n.step(leader, Proposed{ID: 1, Commands: [][]byte{[]byte("x")}})
	is.Equal(n.refused, refused)
	n.cut = map[MemberID]bool{followers[1].id: true}
	n.run(time.Second)
	n.step(leader, TransferProposed{To: followers[1].id}) // it was cut off just before
	n.run(PreferredTimeout + 20*time.Millisecond)
	n.step(leader, Proposed{ID: 1, Commands: [][]byte{[]byte("y")}})
	is.Equal(n.refused, refused)
	is.Equal(n.leader(), leader)
	clear(n.cut)
	n.run(4 * time.Second)
	leader = n.leader()
	followers = slices.DeleteFunc(slices.Clone(n.nodes), func(nd *node) bool { return nd == leader })
	n.step(leader, TransferProposed{To: followers[1].id})
	n.run(time.Second)
	is.Equal(n.leader().id, followers[1].id)
}
