package recorder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/journaler"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/wire"
)

// operation is an input of the register model: a write of a value or a read.
type operation struct {
	write bool
	value int
}

var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		op := input.(operation)
		if op.write {
			return true, op.value
		}
		return output == nil || output.(int) == state.(int), state
	},
}

// TestLinearizable checks that one register is linearizable while clients on
// voters and on a router access it, a voter is isolated and restarted, and
// messages are lost or duplicated.
func TestLinearizable(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(t, seed, "a", "b", "c", "router")
			n.setLoss(0.05)
			var mu sync.Mutex
			var history []porcupine.Operation
			var clients sync.WaitGroup
			started := time.Now()
			for client, name := range []redwingshunt.InstanceID{"router", "router", "b", "c"} {
				clients.Go(func() {
					random := rand.New(rand.NewPCG(seed, uint64(client)))
					recorder := n.running[name]
					for i := range 40 {
						op := operation{random.IntN(2) == 0, client*1000 + i}
						command := "read"
						if op.write {
							command = fmt.Sprint("=", op.value)
						}
						ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
						call := time.Since(started).Nanoseconds()
						answer, err := recorder.Propose(ctx, 1, []byte(command))
						cancel()
						event := porcupine.Operation{ClientId: client, Input: op, Call: call, Return: time.Since(started).Nanoseconds()}
						switch {
						case err == nil:
							event.Output, _ = strconv.Atoi(string(answer))
						case errors.Is(err, redwingshunt.ErrNotCommitted):
							continue
						default:
							event.Return = time.Hour.Nanoseconds() // it may take effect at any time
							event.ClientId = 100*(client+1) + i
						}
						mu.Lock()
						history = append(history, event)
						mu.Unlock()
						time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
					}
				})
			}
			for range 3 {
				time.Sleep(3 * time.Second)
				n.isolate("a", true)
				time.Sleep(4 * time.Second)
				n.isolate("a", false)
				n.crash("a")
				time.Sleep(time.Second)
				n.start("a")
			}
			clients.Wait()
			is := is.New(t)
			is.True(len(history) > 100)
			is.True(porcupine.CheckOperations(registerModel, history))
		})
	}
}

// TestLeaderLossDuringProposals stops the leader while commands are proposed. Each
// answered command must be applied exactly once, each with an unknown outcome at
// most once, and no other at all.
func TestLeaderLossDuringProposals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 1, "a", "b", "c", "router")
		n.setLoss(0.1)
		var mu sync.Mutex
		var clients sync.WaitGroup
		answered, unknown := 0, 0
		for i := range 200 {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * 40 * time.Millisecond)
				_, err := n.propose("router", "+", time.Duration(i%40)*100*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					answered++
				case errors.Is(err, redwingshunt.ErrUnknown):
					unknown++
				}
			})
		}
		time.Sleep(3 * time.Second)
		lost := n.leader()
		n.crash(lost)
		clients.Wait()
		sum, err := n.propose("router", "read", 10*time.Second)
		is.NoErr(err)
		value, err := strconv.Atoi(sum)
		is.NoErr(err)
		is.True(answered > 50)
		is.True(unknown > 0)
		is.True(answered <= value && value <= answered+unknown)
	})
}

// TestProposalAfterLeaderLoss checks that a command commits within 5 s of
// simulated time after the leader is lost.
func TestProposalAfterLeaderLoss(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(t, seed, "a", "b", "c", "router")
			_, err := n.propose("router", "+", 5*time.Second)
			is.New(t).NoErr(err)
			time.Sleep(time.Duration(seed) * 100 * time.Millisecond)
			n.crash(n.leader())
			_, err = n.propose("router", "+", 5*time.Second)
			is.New(t).NoErr(err)
		})
	}
}

func TestIsolatedLeaderServesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 1, "a", "b", "c")
		old := n.leader()
		n.isolate(old, true)
		_, err := n.propose(old, "+", 2*time.Second)
		is.Equal(err, redwingshunt.ErrUnknown) // its entry may still be committed by a later leader
		time.Sleep(5 * time.Second)
		is.True(n.running[old].Status().Groups[1].Role != replicator.RoleLeader)
		_, err = n.propose(old, "read", 2*time.Second)
		is.True(err != nil)
	})
}

// TestWipedVoterIsReplaced wipes the folder of the instance that created the
// initial membership. That instance must not create another one and may vote again
// only after Replace. Replace may be called again after its caller has stopped.
func TestWipedVoterIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 1, "a", "b", "c", "router")
		_, err := n.propose("router", "=7", 5*time.Second)
		is.NoErr(err)
		n.crash("a")
		is.NoErr(os.RemoveAll(n.folder("a")))
		n.start("a")
		time.Sleep(10 * time.Second)
		for _, g := range n.running["a"].Status().Groups {
			is.Equal(len(g.Members), 0)
		}
		for limit := 100 * time.Millisecond; n.checkVoters("a", "a", "b", "c") != nil; limit *= 2 {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			_ = n.running["router"].Replace(ctx, "a", "a")
			cancel()
			is.True(limit < time.Minute)
			time.Sleep(time.Second)
		}
		n.crash("b")
		value, err := n.propose("router", "read", 10*time.Second)
		is.NoErr(err)
		is.Equal(value, "7")
		n.start("b")
		n.start("d")
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		is.NoErr(n.running["d"].Replace(ctx, "c", "d")) // replaces a live voter by another instance
		is.NoErr(n.checkVoters("d", "a", "b", "d"))
		time.Sleep(5 * time.Second)
		is.True(errors.Is(<-n.running["c"].ended, ErrFolderLost))
		folder := n.running["c"].Status().Folder
		n.removeMember("c")
		n.start("c") // creates a new folder, which has no vote
		time.Sleep(5 * time.Second)
		is.True(n.running["c"].Status().Folder != folder)
		is.True(errors.Is(n.checkVoters("c"), nil))
	})
}

// TestFirstMembership restarts the instance that creates the initial membership
// after one of two groups was written. It must continue once all initial voters
// reply again.
func TestFirstMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 1)
		var ids []replicator.MemberID
		for _, name := range []redwingshunt.InstanceID{"c", "b", "a"} {
			journal, err := journaler.Open(journaler.Options{Files: n.files(name), Folder: newFolderID()})
			is.NoErr(err)
			ids = append(ids, replicator.MemberID{Instance: name, Folder: journal.Folder()})
			if name == "a" {
				meta := replicator.SnapshotMeta{Index: 1, Term: 1, Membership: replicator.NewMembership(ids...)}
				state, err := proto.Marshal(&wire.LogState{Machine: []byte("0")})
				is.NoErr(err)
				first := replicator.Persist{Snapshot: &replicator.Snapshot{SnapshotMeta: meta, Data: state}}
				is.NoErr(journal.Write([]journaler.Record{{Persist: first}}))
			}
			is.NoErr(journal.Close())
		}
		n.start("a")
		n.start("b")
		time.Sleep(10 * time.Second)
		is.Equal(n.leader(), redwingshunt.InstanceID("")) // c may have state
		n.start("c")
		_, err := n.propose("b", "+", 10*time.Second)
		is.NoErr(err)
		is.NoErr(n.checkVoters("a", "a", "b", "c"))
	})
}

func TestBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 1, "a", "b", "c")
		_, err := n.propose("b", "=7", 5*time.Second)
		is.NoErr(err)
		var file bytes.Buffer
		is.NoErr(n.running[n.leader()].Backup(&file))
		disk := journaler.Disk{Folder: n.folder("d")}
		is.True(errors.Is(Restore(disk, "d", bytes.NewReader(file.Bytes()[:file.Len()-1])), ErrBackup))
		is.NoErr(Restore(disk, "d", &file))
		is.True(Restore(disk, "d", &file) != nil) // existing state is never overwritten
		n.start("d")
		value, err := n.propose("d", "read", 10*time.Second)
		is.NoErr(err)
		is.Equal(value, "7")
	})
}

func TestGracefulStopHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 1, "a", "b", "c", "router")
		p := n.running[n.leader()]
		p.stop()
		is.NoErr(<-p.ended)
		began := time.Now()
		n.removeMember(p.options.Self)
		_, err := n.propose("router", "+", 10*time.Second)
		is.NoErr(err)
		is.True(time.Since(began) < 2*time.Second) // less than an election timeout; time is simulated
	})
}

// failingFiles is a disk whose syncs fail once it is broken.
type failingFiles struct {
	journaler.Disk
	broken *atomic.Bool
}

func (f failingFiles) Append(name string) (journaler.File, error) {
	file, err := f.Disk.Append(name)
	return failingFile{file, f.broken}, err
}

type failingFile struct {
	journaler.File
	broken *atomic.Bool
}

var errDisk = errors.New("input/output error")

func (f failingFile) Sync() error {
	if f.broken.Load() {
		return errDisk
	}
	return f.File.Sync()
}

// TestDiskErrorEndsTheVoter breaks the disk of the leader. The leader must stop,
// and the other voters must continue.
func TestDiskErrorEndsTheVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 1, "a", "b", "c", "router")
		n.brokenDisks[n.leader()].Store(true)
		p := n.running[n.leader()]
		_, err := n.propose("router", "+", 10*time.Second)
		is.NoErr(err)
		is.True(errors.Is(<-p.ended, errDisk))
		value, err := n.propose("router", "read", 10*time.Second)
		is.NoErr(err)
		is.Equal(value, "1")
	})
}

// TestLaggingVoterGetsSnapshot stops a voter until the entries that it lacks are
// compacted away, and later restarts all voters from their snapshots.
func TestLaggingVoterGetsSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 1, "a", "b", "c", "router")
		n.compact = 10_000
		for _, name := range []redwingshunt.InstanceID{"a", "b"} {
			n.crash(name)
			n.start(name)
		}
		_, err := n.propose("router", "+", 10*time.Second)
		is.NoErr(err)
		n.crash("c")
		var clients sync.WaitGroup
		const commands = 1500
		for range commands {
			clients.Go(func() {
				_, err := n.propose("router", "+", 10*time.Second)
				is.NoErr(err)
			})
		}
		clients.Wait()
		n.start("c")
		time.Sleep(5 * time.Second)
		is.True(n.running["c"].Status().Groups[1].Snapshot > 1)
		for _, name := range []redwingshunt.InstanceID{"a", "b", "c"} {
			n.crash(name)
		}
		for _, name := range []redwingshunt.InstanceID{"a", "b", "c"} {
			n.start(name)
		}
		value, err := n.propose("router", "read", 10*time.Second)
		is.NoErr(err)
		is.Equal(value, strconv.Itoa(commands+1))
		time.Sleep(2 * time.Second)
		for _, name := range []redwingshunt.InstanceID{"a", "b", "c"} {
			is.Equal(n.running[name].machines[1].value, commands+1)
		}
	})
}

func TestSessions(t *testing.T) {
	is := is.New(t)
	s, applied := newSessions(), 0
	execute := func(index uint64, c *wire.LogCommand) (string, bool) {
		answer, ok := s.execute(index, c, c.GetCommand() != nil, func() []byte {
			applied++
			return fmt.Append(nil, applied)
		})
		return string(answer), ok
	}
	first := &wire.LogCommand{Session: 1, Sequence: 1, Floor: 1, Base: 1}
	second := &wire.LogCommand{Session: 1, Sequence: 2, Floor: 2, Base: 1}
	for index := range uint64(3) {
		answer, ok := execute(index+2, first)
		is.Equal(answer, "1") // also after a restart from a snapshot
		is.True(ok)
		s = parseSessions(s.encode())
	}
	_, ok := execute(5, second)
	is.True(ok)
	_, ok = execute(6, first) // the proposer has received this answer
	is.True(!ok)
	_, ok = execute(sessionWindowEntries+2, &wire.LogCommand{Session: 2, Sequence: 1, Base: 1}) // its base is too old
	is.True(!ok)
	is.Equal(applied, 2)
	read := &wire.LogCommand{Session: 2, Sequence: 1, Floor: 1, Base: 1, Command: []byte("read")}
	for index := range uint64(2) {
		answer, ok := execute(index+7, read)
		is.Equal(answer, fmt.Sprint(index+3)) // read again
		is.True(ok)
	}
	is.Equal(len(s.byNumber[2].answers), 0)
	execute(sweepPeriodEntries*100, &wire.LogCommand{Session: 3, Sequence: 1, Base: sweepPeriodEntries * 100})
	is.Equal(len(s.byNumber), 1) // inactive sessions are removed
}

// TestReplacedEntryIsRefused commits another leader's entry at the index of a
// proposal. The proposal never takes effect and must not get the answer to the
// other entry.
func TestReplacedEntryIsRefused(t *testing.T) {
	is := is.New(t)
	n := &network{
		t: t, root: t.TempDir(), groups: 1, brokenDisks: make(map[redwingshunt.InstanceID]*atomic.Bool),
		handlers: make(map[redwingshunt.InstanceID]map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte)),
	}
	r, err := New(Options{
		Self: "a", Link: link{n, "a"}, Clock: clock{}, Files: n.files("a"), Groups: 1,
		Machines: func(redwingshunt.GroupID) redwingshunt.StateMachine { return &register{} },
	})
	is.NoErr(err)
	defer r.journal.Close()
	var reply *wire.LogReply
	g := r.groups[0]
	g.waiting[1] = waiter{term: 1, reply: func(r *wire.LogReply) { reply = r }}
	g.apply([]replicator.Entry{{Index: 1, Term: 2, Kind: replicator.EntryCommand}})
	is.Equal(reply.GetOutcome(), wire.LogOutcome_LOG_OUTCOME_REFUSED)
}

func TestWindowDropsCopies(t *testing.T) {
	is := is.New(t)
	w := &requestWindow{}
	is.True(w.add(1))
	is.True(!w.add(1))
	is.True(w.add(3))
	is.True(w.add(2))
	is.True(!w.add(2))
	is.True(w.add(10 * windowRequests))
	is.True(!w.add(3)) // too old, so it counts as a duplicate
	is.True(w.add(10*windowRequests - 1))
	is.True(!w.add(10 * windowRequests))
}

// TestFormInterrupted stops the instance that creates the initial membership after
// only its own folder holds it. When that instance runs again, it must send the
// same membership to the others; no other one may be created.
func TestFormInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := emptyNetwork(t, 1)
		n.explicitForm = true
		names := []redwingshunt.InstanceID{"a", "b", "c"}
		for _, name := range names {
			n.start(name)
		}
		time.Sleep(time.Second)
		forming, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { n.running["a"].Form(forming, names); close(ended) }()
		for seeded := false; !seeded; time.Sleep(time.Millisecond) {
			var err error
			seeded, err = n.running["a"].Seeded(t.Context())
			is.NoErr(err)
		}
		n.isolate("a", true)
		time.Sleep(time.Second) // messages in flight are lost
		stop()
		<-ended
		n.crash("a")
		seeded, err := n.running["b"].Seeded(t.Context())
		is.NoErr(err)
		is.True(!seeded)

		n.start("a")
		time.Sleep(10 * time.Second)
		is.Equal(n.leader(), redwingshunt.InstanceID("")) // one voter is not a quorum
		unfinished, err := n.running["a"].Unfinished(t.Context())
		is.NoErr(err)
		is.Equal(unfinished, names)
		n.running["a"].Form(t.Context(), unfinished)
		time.Sleep(10 * time.Second)
		is.True(n.leader() != "")
		unfinished, err = n.running["a"].Unfinished(t.Context())
		is.NoErr(err)
		is.Equal(len(unfinished), 0)
	})
}
