package claimer_test

import (
	"bytes"
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/claimer"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	granted     = wire.ClaimStatus_CLAIM_STATUS_GRANTED
	inProgress  = wire.ClaimStatus_CLAIM_STATUS_IN_PROGRESS
	answered    = wire.ClaimStatus_CLAIM_STATUS_ANSWERED
	interrupted = wire.ClaimStatus_CLAIM_STATUS_INTERRUPTED
	conflict    = wire.ClaimStatus_CLAIM_STATUS_CONFLICT
	full        = wire.ClaimStatus_CLAIM_STATUS_FULL
	abandoned   = wire.ClaimStatus_CLAIM_STATUS_ABANDONED
	refused     = wire.ClaimStatus_CLAIM_STATUS_UNSPECIFIED
)

const keepSeconds = 3600

// The default seed makes runs reproducible; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "6") }

func key(n int) []byte {
	k := claimer.KeyOf("lin", "fitting-app", fmt.Sprint(n))
	return k[:]
}

func fingerprint(n byte) []byte { return bytes.Repeat([]byte{n}, 16) }

func command(from string, incarnation uint64, at time.Duration) *wire.ClaimCommand {
	return &wire.ClaimCommand{Instance: from, Incarnation: incarnation, TimeMs: at.Milliseconds()}
}

func grant(from string, incarnation uint64, at time.Duration, n int, b byte, id uint64) *wire.ClaimCommand {
	c := command(from, incarnation, at)
	c.Action = &wire.ClaimCommand_Grant{Grant: &wire.ClaimGrant{
		Key: key(n), Fingerprint: fingerprint(b), Id: id, KeepS: keepSeconds, Space: 4 * 512,
	}}
	return c
}

func finish(from string, at time.Duration, n int, id uint64) *wire.ClaimCommand {
	c := command(from, 1, at)
	c.Action = &wire.ClaimCommand_Finish{Finish: &wire.ClaimFinish{Key: key(n), Id: id, Answer: []byte("done")}}
	return c
}

func failed(from string, at time.Duration, n int, id uint64) *wire.ClaimCommand {
	c := finish(from, at, n, id)
	c.GetFinish().Interrupted = true
	return c
}

func abandon(from string, at time.Duration, n int, id uint64) *wire.ClaimCommand {
	c := command(from, 1, at)
	c.Action = &wire.ClaimCommand_Abandon{Abandon: &wire.ClaimAbandon{Key: key(n), Id: id}}
	return c
}

func interrupt(from string, at time.Duration, holder string) *wire.ClaimCommand {
	c := command(from, 1, at)
	c.Action = &wire.ClaimCommand_Interrupt{Interrupt: &wire.ClaimInterrupt{Instance: holder, Incarnation: 1}}
	return c
}

type step struct {
	command *wire.ClaimCommand
	want    wire.ClaimStatus
}

func TestMachine(t *testing.T) {
	const day = 24 * time.Hour
	tests := map[string][]step{
		"second instance waits, then replays": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{grant("b", 1, 0, 1, 1, 20), inProgress},
			{finish("a", 0, 1, 10), answered},
			{grant("b", 1, 0, 1, 1, 21), answered},
		},
		"different body is a conflict in every state": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{grant("b", 1, 0, 1, 2, 20), conflict},
			{finish("a", 0, 1, 10), answered},
			{grant("b", 1, 0, 1, 2, 21), conflict},
		},
		"holder proposes the same claim again": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{grant("a", 1, 0, 1, 1, 10), granted},
			{grant("a", 1, 0, 1, 1, 11), inProgress},
		},
		"claim of a lost holder is interrupted and not run again": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{interrupt("b", 0, "a"), interrupted},
			{grant("b", 1, 0, 1, 1, 20), interrupted},
		},
		"restart of the holder interrupts its earlier claims": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{grant("a", 2, 0, 2, 1, 11), granted},
			{grant("b", 1, 0, 1, 1, 20), interrupted},
			{grant("a", 1, 0, 3, 1, 12), abandoned},
		},
		"partitioned holder answers after it was interrupted": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{interrupt("b", 0, "a"), interrupted},
			{finish("a", 0, 1, 10), answered},
			{grant("b", 1, 0, 1, 1, 20), answered},
		},
		"abandoned key is granted again, but not to the same claim": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{abandon("a", 0, 1, 10), abandoned},
			{grant("a", 1, 0, 1, 1, 10), abandoned},
			{grant("b", 1, 0, 1, 1, 20), granted},
			{abandon("a", 0, 1, 10), granted},
			{grant("a", 1, 0, 1, 1, 11), inProgress},
		},
		"abandoned before its claim is committed": {
			{abandon("a", 0, 1, 10), abandoned},
			{grant("a", 1, 0, 1, 1, 10), abandoned},
		},
		"answered claim cannot be abandoned": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{finish("a", 0, 1, 10), answered},
			{abandon("a", 0, 1, 10), answered},
		},
		"failed run is not granted again": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{failed("a", 0, 1, 10), interrupted},
			{grant("b", 1, 0, 1, 1, 20), interrupted},
			{failed("a", 0, 2, 10), refused},
		},
		"answer of an unknown claim is refused": {
			{finish("a", 0, 1, 10), refused},
		},
		"full group refuses new claims and keeps existing ones": {
			{grant("a", 1, 0, 1, 1, 1), granted},
			{grant("a", 1, 0, 2, 1, 2), granted},
			{grant("a", 1, 0, 3, 1, 3), granted},
			{grant("a", 1, 0, 4, 1, 4), granted},
			{grant("a", 1, 0, 5, 1, 5), full},
			{finish("a", 0, 1, 1), answered},
			{grant("b", 1, 0, 1, 1, 6), answered},
		},
		"answer expires when two clocks have passed the retention": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{finish("a", 0, 1, 10), answered},
			{grant("b", 1, keepSeconds*time.Second, 1, 1, 20), answered},
			{grant("c", 1, 2*keepSeconds*time.Second, 2, 1, 30), granted},
			{grant("b", 1, 2*keepSeconds*time.Second, 1, 1, 21), granted},
		},
		"single clock a day ahead expires nothing": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{finish("a", 0, 1, 10), answered},
			{grant("b", 1, time.Minute, 2, 1, 20), granted},
			{grant("c", 1, day, 1, 1, 30), answered},
			{grant("b", 1, time.Minute, 1, 1, 21), answered},
		},
		"clock that is behind does not shorten the retention": {
			{grant("b", 1, 2*time.Hour, 9, 1, 9), granted},
			{grant("c", 1, 2*time.Hour, 8, 1, 8), granted},
			{grant("a", 1, 0, 1, 1, 10), granted},
			{finish("a", 0, 1, 10), answered},
			{grant("b", 1, 2*time.Hour+keepSeconds*time.Second, 1, 1, 20), answered},
		},
		"granted claim never expires": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{grant("b", 1, day, 2, 1, 20), granted},
			{grant("c", 1, day, 1, 1, 30), inProgress},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := claimer.New()
			for i, s := range steps {
				reply, err := claimer.Decode(m.Apply(uint64(i), claimer.Encode(s.command)))
				is.NoErr(err)
				is.Equal(reply.Status, s.want) // step
			}
		})
	}
}

// TestMachineRunsOnce applies random sequences of commands and checks that a key is
// granted to a single claim until that claim is abandoned, and that a machine
// restored from a snapshot after each command gives the same replies.
func TestMachineRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, restored := claimer.New(), claimer.New()
		runs := make(map[int]uint64) // identifier of the claim that may have run, by key
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			from := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "from")
			n := rapid.IntRange(1, 2).Draw(t, "key")
			id := rapid.Uint64Range(1, 4).Draw(t, "id")
			at := time.Duration(rapid.IntRange(0, 50).Draw(t, "minutes")) * time.Minute
			c := grant(from, rapid.Uint64Range(1, 2).Draw(t, "incarnation"), at, n, 1, id)
			abandons := false
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 3:
				c = failed(from, at, n, id)
			case 0:
				c = finish(from, at, n, id)
			case 1:
				c, abandons = abandon(from, at, n, id), true
			case 2:
				c = interrupt(from, at, "a")
			}
			out := m.Apply(uint64(i), claimer.Encode(c))
			if !bytes.Equal(out, restored.Apply(uint64(i), claimer.Encode(c))) {
				t.Fatal("reply of the restored machine differs")
			}
			reply, _ := claimer.Decode(out)
			if abandons && reply.Status == abandoned && runs[n] == id {
				delete(runs, n)
			}
			if c.GetGrant() != nil && reply.Status == granted {
				if other, ok := runs[n]; ok && other != id {
					t.Fatalf("key %d granted to claim %d and to claim %d", n, other, id)
				}
				runs[n] = id
			}
			s, err := m.Snapshot()
			if err != nil || restored.Restore(s) != nil {
				t.Fatal("snapshot cannot be restored")
			}
			if restored.Used() != m.Used() || restored.Len() != m.Len() {
				t.Fatalf("used bytes: %d before restore, %d after", m.Used(), restored.Used())
			}
		}
	})
}

func TestLocate(t *testing.T) {
	is := is.New(t)
	d := &redwingshunt.Document{
		Regions:  []redwingshunt.Region{{Name: "north"}, {Name: "south"}},
		Accounts: []redwingshunt.Account{{Name: "a", Home: "south"}, {Name: "b"}},
		Fleet:    redwingshunt.FleetConfiguration{Groups: 8},
	}
	used := redwingshunt.NewSet[redwingshunt.GroupID]()
	for n := range 200 {
		group := claimer.Locate(d, "a", claimer.Key(key(n)))
		used.Add(group)
		is.Equal(claimer.Home(d, group).Or(""), redwingshunt.RegionID("south"))
	}
	is.Equal(used.Sorted(), []redwingshunt.GroupID{2, 6})
	is.Equal(claimer.Home(d, 9), redwingshunt.None[redwingshunt.RegionID]()) // beyond the number of groups
	moved := *d
	moved.Accounts = []redwingshunt.Account{{Name: "a", Home: "north"}, {Name: "c", Home: "south"}}
	is.Equal(len(claimer.FindMovedKeys(d, &moved)), 1)
	is.Equal(len(claimer.FindMovedKeys(d, d)), 0)
	moved.Fleet.Groups = 4
	is.Equal(len(claimer.FindMovedKeys(d, &moved)), 2)
	single, other := *d, moved
	single.Fleet.Groups, other.Fleet.Groups = 1, 1
	is.Equal(len(claimer.FindMovedKeys(&single, &other)), 0) // a single group holds all claims
}

// BenchmarkApply applies a grant and a finish for each claim. It reports the heap
// that a claim uses and the size that the group accounts for it.
func BenchmarkApply(b *testing.B) {
	m := claimer.New()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range b.N {
		at := time.Duration(i) * time.Millisecond
		c := grant("a", 1, at, i, 1, uint64(i))
		c.GetGrant().Space = 1 << 40
		m.Apply(uint64(2*i), claimer.Encode(c))
		m.Apply(uint64(2*i+1), claimer.Encode(finish("a", at, i, uint64(i))))
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(m.Len()), "heap-B/claim")
	b.ReportMetric(float64(m.Used())/float64(m.Len()), "counted-B/claim")
}
