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

const keep = 3600 // seconds

// The histories are the same in each run; -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "6") }

func key(n int) []byte {
	k := claimer.KeyOf("lin", "fitting-app", fmt.Sprint(n))
	return k[:]
}

func body(n byte) []byte { return bytes.Repeat([]byte{n}, 16) }

func command(from string, incarnation uint64, at time.Duration) *wire.ClaimCommand {
	return &wire.ClaimCommand{Instance: from, Incarnation: incarnation, TimeMs: at.Milliseconds()}
}

func grant(from string, incarnation uint64, at time.Duration, n int, b byte, id uint64) *wire.ClaimCommand {
	c := command(from, incarnation, at)
	c.Action = &wire.ClaimCommand_Grant{Grant: &wire.ClaimGrant{
		Key: key(n), Fingerprint: body(b), Id: id, KeepS: keep, Space: 4 * 512,
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

func gone(from string, at time.Duration, holder string) *wire.ClaimCommand {
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
		"a second router waits, then replays": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{grant("b", 1, 0, 1, 1, 20), inProgress},
			{finish("a", 0, 1, 10), answered},
			{grant("b", 1, 0, 1, 1, 21), answered},
		},
		"another body is a conflict in every state": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{grant("b", 1, 0, 1, 2, 20), conflict},
			{finish("a", 0, 1, 10), answered},
			{grant("b", 1, 0, 1, 2, 21), conflict},
		},
		"proposed again by the holder": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{grant("a", 1, 0, 1, 1, 10), granted},
			{grant("a", 1, 0, 1, 1, 11), inProgress},
		},
		"a dead holder leaves interrupted, never a second run": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{gone("b", 0, "a"), interrupted},
			{grant("b", 1, 0, 1, 1, 20), interrupted},
		},
		"a restarted holder interrupts its earlier claims": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{grant("a", 2, 0, 2, 1, 11), granted},
			{grant("b", 1, 0, 1, 1, 20), interrupted},
			{grant("a", 1, 0, 3, 1, 12), abandoned},
		},
		"a holder that was only cut off answers after all": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{gone("b", 0, "a"), interrupted},
			{finish("a", 0, 1, 10), answered},
			{grant("b", 1, 0, 1, 1, 20), answered},
		},
		"abandoned is granted again, but not to the same claim": {
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
		"an answer is not abandoned": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{finish("a", 0, 1, 10), answered},
			{abandon("a", 0, 1, 10), answered},
		},
		"a run that failed is not granted again": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{failed("a", 0, 1, 10), interrupted},
			{grant("b", 1, 0, 1, 1, 20), interrupted},
			{failed("a", 0, 2, 10), refused},
		},
		"an answer of an unknown claim is refused": {
			{finish("a", 0, 1, 10), refused},
		},
		"a full group refuses the new and keeps the old": {
			{grant("a", 1, 0, 1, 1, 1), granted},
			{grant("a", 1, 0, 2, 1, 2), granted},
			{grant("a", 1, 0, 3, 1, 3), granted},
			{grant("a", 1, 0, 4, 1, 4), granted},
			{grant("a", 1, 0, 5, 1, 5), full},
			{finish("a", 0, 1, 1), answered},
			{grant("b", 1, 0, 1, 1, 6), answered},
		},
		"an answer expires by two clocks": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{finish("a", 0, 1, 10), answered},
			{grant("b", 1, keep*time.Second, 1, 1, 20), answered},
			{grant("c", 1, 2*keep*time.Second, 2, 1, 30), granted},
			{grant("b", 1, 2*keep*time.Second, 1, 1, 21), granted},
		},
		"one clock a day ahead forgets nothing": {
			{grant("a", 1, 0, 1, 1, 10), granted},
			{finish("a", 0, 1, 10), answered},
			{grant("b", 1, time.Minute, 2, 1, 20), granted},
			{grant("c", 1, day, 1, 1, 30), answered},
			{grant("b", 1, time.Minute, 1, 1, 21), answered},
		},
		"a clock that is behind shortens no promise": {
			{grant("b", 1, 2*time.Hour, 9, 1, 9), granted},
			{grant("c", 1, 2*time.Hour, 8, 1, 8), granted},
			{grant("a", 1, 0, 1, 1, 10), granted},
			{finish("a", 0, 1, 10), answered},
			{grant("b", 1, 2*time.Hour+keep*time.Second, 1, 1, 20), answered},
		},
		"a granted claim never expires": {
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

// TestMachineRunsOnce draws histories and checks that a key is granted to one
// claim only, as long as that claim is not abandoned, also over a snapshot.
func TestMachineRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, copied := claimer.New(), claimer.New()
		runs := make(map[int]uint64) // claim that may have run, by key
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			from := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "from")
			n := rapid.IntRange(1, 2).Draw(t, "key")
			id := rapid.Uint64Range(1, 4).Draw(t, "id")
			at := time.Duration(rapid.IntRange(0, 50).Draw(t, "minutes")) * time.Minute
			c := grant(from, rapid.Uint64Range(1, 2).Draw(t, "incarnation"), at, n, 1, id)
			ends := false
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 3:
				c = failed(from, at, n, id)
			case 0:
				c = finish(from, at, n, id)
			case 1:
				c, ends = abandon(from, at, n, id), true
			case 2:
				c = gone(from, at, "a")
			}
			out := m.Apply(uint64(i), claimer.Encode(c))
			if !bytes.Equal(out, copied.Apply(uint64(i), claimer.Encode(c))) {
				t.Fatal("two voters answer differently")
			}
			reply, _ := claimer.Decode(out)
			if ends && reply.Status == abandoned && runs[n] == id {
				delete(runs, n)
			}
			if c.GetGrant() != nil && reply.Status == granted {
				if other, ok := runs[n]; ok && other != id {
					t.Fatalf("key %d was granted to %d and to %d", n, other, id)
				}
				runs[n] = id
			}
			s, err := m.Snapshot()
			if err != nil || copied.Restore(s) != nil {
				t.Fatal("the snapshot is not restored")
			}
			if copied.Used() != m.Used() || copied.Len() != m.Len() {
				t.Fatalf("used %d and %d after a restore", m.Used(), copied.Used())
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
	is.Equal(claimer.Home(d, 9), redwingshunt.None[redwingshunt.RegionID]()) // not used
	moved := *d
	moved.Accounts = []redwingshunt.Account{{Name: "a", Home: "north"}, {Name: "c", Home: "south"}}
	is.Equal(len(claimer.Moves(d, &moved)), 1)
	is.Equal(len(claimer.Moves(d, d)), 0)
	moved.Fleet.Groups = 4
	is.Equal(len(claimer.Moves(d, &moved)), 2)
	single, other := *d, moved
	single.Fleet.Groups, other.Fleet.Groups = 1, 1
	is.Equal(len(claimer.Moves(&single, &other)), 0) // one group holds all
}

// BenchmarkApply applies a grant and an answer a claim, and reports the memory
// that remains beside what the group counts.
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
