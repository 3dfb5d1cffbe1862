package recorder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/journaler"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// rejoinTime is the time in which a voter that returns with an empty disk must be a
	// voter again. After it, the next disk may be lost.
	rejoinTime = 4 * time.Second
	// farRate is the rate in bytes a second of one connection between regions: a window
	// of 256 KiB for each round trip.
	farRate = (256 << 10) * int(time.Second/(2*farDelay))
)

// rejoinCase is a state of the log and the voter that loses its disk.
type rejoinCase struct {
	state    int // bytes of a snapshot
	commands int // committed since the stored snapshots
	size     int // bytes of each of them
	leader   bool
}

// rejoin takes the disk of a voter and returns the time from its return until it and
// the two others are the voters of all groups.
func rejoin(t *testing.T, c rejoinCase) time.Duration {
	is := is.New(t)
	n := emptyNetwork(t, 1)
	n.ballast = c.state
	for _, name := range []redwingshunt.InstanceID{"a", "b", "c", "router"} {
		n.start(name)
	}
	time.Sleep(10 * time.Second)
	n.mu.Lock()
	n.rate = farRate
	n.mu.Unlock()
	for i := range c.commands {
		command := append(fmt.Append(nil, "=", i, " "), bytes.Repeat([]byte{'x'}, c.size)...)
		_, err := n.propose("router", string(command), 20*time.Second)
		is.NoErr(err)
	}
	lost := n.leader()
	for _, other := range []redwingshunt.InstanceID{"a", "b", "c"} {
		if !c.leader && other != n.leader() {
			lost = other
		}
	}
	n.crash(lost)
	is.NoErr(os.RemoveAll(n.folder(lost)))
	time.Sleep(200 * time.Millisecond)
	n.start(lost)
	began := time.Now()
	for name, p := range n.running {
		if name != lost {
			p.Restarted(lost)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	is.NoErr(n.running[lost].Replace(ctx, lost, lost))
	took := time.Since(began)
	is.NoErr(n.checkVoters(lost, "a", "b", "c"))
	return took
}

// TestLostDiskIsReplacedInTime guards against a second lost disk that ends the log: a
// voter with an empty disk must count again within rejoinTime, whatever the size of
// the state and of the changes since the stored snapshots.
func TestLostDiskIsReplacedInTime(t *testing.T) {
	tests := map[string]rejoinCase{
		"small state":          {state: 10 << 10, commands: 10, size: 100},
		"many changes":         {state: 300 << 10, commands: 100, size: 260 << 10},
		"many changes, leader": {state: 300 << 10, commands: 100, size: 260 << 10, leader: true},
		"large state":          {state: 8 << 20, commands: 1, size: 100},
		"large state, leader":  {state: 8 << 20, commands: 1, size: 100, leader: true},
		"large state, changes": {state: 6 << 20, commands: 8, size: 1 << 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				took := rejoin(t, test)
				t.Logf("a voter again after %v", took)
				is.New(t).True(took <= rejoinTime)
			})
		})
	}
}

// handOverCase is a planned stop of a voter.
type handOverCase struct {
	state  int // bytes of a snapshot
	leader bool
	second bool // another voter is lost for good once the first one has ended
}

// TestPlannedStopHandsSeatOver guards against a log that ends with one lost disk right
// after a planned stop: the voter must not end before its successor counts, must not
// wait longer than a stop may take, and its old folder must not vote again.
func TestPlannedStopHandsSeatOver(t *testing.T) {
	const graceTime = 8 * time.Second
	tests := map[string]handOverCase{
		"follower":                      {second: true},
		"leader":                        {leader: true, second: true},
		"follower, large state":         {state: 8 << 20, second: true},
		"leader, large state":           {state: 8 << 20, leader: true, second: true},
		"follower that is started anew": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := emptyNetwork(t, 1)
				n.ballast = test.state
				for _, name := range []redwingshunt.InstanceID{"a", "b", "c", "d", "router"} {
					n.start(name)
				}
				time.Sleep(10 * time.Second)
				n.mu.Lock()
				n.rate = farRate
				n.mu.Unlock()
				_, err := n.propose("router", "=7", 5*time.Second)
				is.NoErr(err)
				stopped := n.voterThat(test.leader)
				ctx, cancel := context.WithTimeout(context.Background(), graceTime)
				defer cancel()
				began := time.Now()
				is.NoErr(n.running[stopped].HandOver(ctx, "d"))
				t.Logf("handed over after %v", time.Since(began))
				is.True(errors.Is(<-n.running[stopped].ended, ErrFolderLost))
				n.removeMember(stopped)
				var left []redwingshunt.InstanceID
				for _, id := range []redwingshunt.InstanceID{"a", "b", "c", "d"} {
					if id != stopped {
						left = append(left, id)
					}
				}
				is.NoErr(n.checkVoters("d", left...))
				if test.second {
					n.crash(n.voterThat(false)) // the only one that is neither stopped, nor d, nor the leader; or d
				} else {
					n.start(stopped) // with its folder
					time.Sleep(3 * time.Second)
					is.NoErr(n.checkVoters("d", left...))
				}
				value, err := n.propose("router", "read", 10*time.Second)
				is.NoErr(err)
				is.Equal(value, "7")
			})
		})
	}
}

// TestSeatIsTakenOnce has two voters hand their seats to the same successor at the same
// time. One of them must keep its seat.
func TestSeatIsTakenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := emptyNetwork(t, 1)
		for _, name := range []redwingshunt.InstanceID{"a", "b", "c", "d", "router"} {
			n.start(name)
		}
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		errs := make(chan error, 2)
		for _, id := range []redwingshunt.InstanceID{"a", "b"} {
			p := n.running[id]
			go func() { errs <- p.HandOver(ctx, "d") }()
		}
		first, second := <-errs, <-errs
		t.Log(first, second)
		is.True((first == nil) != (second == nil))
		for _, g := range n.running["d"].Status().Groups {
			is.Equal(len(g.Members), 3)
		}
	})
}

// TestOneSeatForTwoSpares has two instances join for the seat of a lost voter at the same
// time. One must get it in time, the other one none: neither may push the other's
// transfer out, and the log must not grow.
func TestOneSeatForTwoSpares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := emptyNetwork(t, 1)
		n.ballast = 4 << 20
		for _, name := range []redwingshunt.InstanceID{"a", "b", "c", "d", "e", "router"} {
			n.start(name)
		}
		time.Sleep(10 * time.Second)
		n.mu.Lock()
		n.rate = farRate
		n.mu.Unlock()
		lost := n.voterThat(false)
		n.crash(lost)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		began := time.Now()
		errs := make(chan error, 2)
		for _, id := range []redwingshunt.InstanceID{"d", "e"} {
			p := n.running[id]
			go func() { errs <- p.Join(ctx, lost, wantedVoters) }()
		}
		first, second := <-errs, <-errs
		t.Log(first, second, time.Since(began))
		is.True((first == nil) != (second == nil))
		is.True(errors.Is(errors.Join(first, second), ErrSeatTaken))
		is.True(time.Since(began) <= rejoinTime)
		for _, g := range n.running[n.leader()].Status().Groups {
			is.Equal(len(g.Members), 3)
		}
	})
}

// voterThat returns the instance that leads group 1, or one of the initial voters that
// does not.
func (n *network) voterThat(leads bool) redwingshunt.InstanceID {
	leader := n.leader()
	if leads {
		return leader
	}
	for _, id := range []redwingshunt.InstanceID{"a", "b", "c"} {
		if id != leader && n.running[id] != nil {
			return id
		}
	}
	return ""
}

// TestRejoinTimes writes the time until a voter with an empty disk counts again, by the
// size of the state, to the file that REDWINGSHUNT_TIMES names.
func TestRejoinTimes(t *testing.T) {
	name := os.Getenv("REDWINGSHUNT_TIMES")
	if name == "" {
		t.Skip("REDWINGSHUNT_TIMES is not set")
	}
	is := is.New(t)
	file, err := os.Create(name)
	is.NoErr(err)
	_, err = fmt.Fprintln(file, "bytes,follower,leader")
	is.NoErr(err)
	for size := 64 << 10; size <= 16<<20; size *= 2 {
		times := make(map[bool]time.Duration)
		for _, leader := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				times[leader] = rejoin(t, rejoinCase{state: size, commands: 1, size: 100, leader: leader})
			})
		}
		_, err = fmt.Fprintf(file, "%d,%.2f,%.2f\n", size, times[false].Seconds(), times[true].Seconds())
		is.NoErr(err)
	}
	is.NoErr(file.Close())
}

// TestFailedOpenReleasesFolder opens a folder with a snapshot that cannot be read. Once it
// can be read, the same process must be able to open the folder.
func TestFailedOpenReleasesFolder(t *testing.T) {
	is := is.New(t)
	n := emptyNetwork(t, 1)
	n.groups = 1
	disk := journaler.Disk{Folder: n.folder("a")}
	journal, err := journaler.Open(journaler.Options{Files: disk, Folder: newFolderID()})
	is.NoErr(err)
	meta := replicator.SnapshotMeta{Index: 1, Term: 1}
	state, err := proto.Marshal(&wire.LogState{Machine: []byte("0")})
	is.NoErr(err)
	first := replicator.Persist{Snapshot: &replicator.Snapshot{SnapshotMeta: meta, Data: state}}
	is.NoErr(journal.Write([]journaler.Record{{Persist: first}}))
	is.NoErr(journal.Close())
	options := Options{
		Self: "a", Link: link{n, "a"}, Clock: clock{}, Files: disk, Groups: 1,
		Machines: func(redwingshunt.GroupID) redwingshunt.StateMachine { return &register{} },
	}
	const snapshot = "snapshot-0-1-1"
	is.NoErr(disk.Rename(snapshot, "elsewhere"))
	_, err = New(options)
	is.True(err != nil)
	is.NoErr(disk.Rename("elsewhere", snapshot))
	r, err := New(options)
	is.NoErr(err)
	is.NoErr(r.journal.Close())
}
