package publisher

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/merger"
	"github.com/redwingshunt/redwingshunt/registrar"
	"github.com/redwingshunt/redwingshunt/wire"
)

// overhead is what a frame and its transport add to a payload, in bytes.
const overhead = 60

// accounts is the number of accounts in tests; benchmarks have more.
const accounts = 40

// parcel is a message under way.
type parcel struct {
	from    redwingshunt.InstanceID
	to      redwingshunt.InstanceID
	arrives time.Time
	message redwingshunt.Message
}

// fleet runs cores over a network that delays, and loses or doubles by seed.
type fleet struct {
	tb       testing.TB
	now      time.Time
	live     []redwingshunt.Instance
	cores    map[redwingshunt.InstanceID]*Core
	forced   map[redwingshunt.InstanceID]redwingshunt.Revision
	since    map[redwingshunt.InstanceID]time.Time
	mail     []parcel
	cut      func(from, to redwingshunt.InstanceID) bool
	random   *rand.Rand
	lose     float64
	double   float64
	exact    bool // each configuration in force is compared with the accepted one
	counting bool
	bytes    map[redwingshunt.MessageKind]int // while counting
	across   int
}

// read is a parser that takes every text but one that says so.
func read(_ string, text []byte) (*redwingshunt.Document, redwingshunt.Findings) {
	if bytes.Contains(text, []byte("unreadable")) {
		return nil, redwingshunt.Findings{{Text: "unreadable"}}
	}
	return &redwingshunt.Document{}, nil
}

// newFleet returns instances n000, n001, ... in two regions; the first voters
// of them have the log.
func newFleet(tb testing.TB, count, voters int) *fleet {
	f := &fleet{
		tb: tb, now: time.Unix(1000, 0), exact: true, random: rand.New(rand.NewPCG(1, 2)),
		cores:  map[redwingshunt.InstanceID]*Core{},
		forced: map[redwingshunt.InstanceID]redwingshunt.Revision{}, since: map[redwingshunt.InstanceID]time.Time{},
		cut:   func(_, _ redwingshunt.InstanceID) bool { return false },
		bytes: map[redwingshunt.MessageKind]int{},
	}
	for i := range count {
		f.live = append(f.live, redwingshunt.Instance{
			ID:     redwingshunt.InstanceID(fmt.Sprintf("n%03d", i)),
			Region: []redwingshunt.RegionID{"north", "south"}[i%2],
			Voter:  i < voters,
		})
		f.start(f.live[i])
	}
	return f
}

// start starts an instance empty, or again after a restart.
func (f *fleet) start(self redwingshunt.Instance) {
	f.cores[self.ID] = New(Options{Self: self, Document: read, Seed: f.random.Uint64()})
	f.forced[self.ID] = 0
	f.step(self.ID, Tick{})
}

func (f *fleet) step(id redwingshunt.InstanceID, event Event) {
	core := f.cores[id]
	voter := f.live[slices.IndexFunc(f.live, func(i redwingshunt.Instance) bool { return i.ID == id })].Voter
	actions := core.Step(f.now, Members{Live: f.live, Quorum: voter && !f.isolated(id), Leader: id == f.live[0].ID})
	actions = append(actions, core.Step(f.now, event)...)
	if !core.Deadline().After(f.now) {
		f.tb.Fatalf("%s wants to be called again at once", id)
	}
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			f.post(id, a)
		case Installed:
			if a.State.Revision <= f.forced[id] {
				f.tb.Fatalf("%s went from %d to %d", id, f.forced[id], a.State.Revision)
			}
			if f.exact && !reflect.DeepEqual(a.State, state(a.State.Revision, accounts)) {
				f.tb.Fatalf("%s has another revision %d", id, a.State.Revision)
			}
			f.forced[id], f.since[id] = a.State.Revision, f.now
		}
	}
}

// isolated reports whether an instance reaches no voter.
func (f *fleet) isolated(id redwingshunt.InstanceID) bool {
	return !slices.ContainsFunc(f.live, func(i redwingshunt.Instance) bool { return i.Voter && i.ID != id && !f.cut(id, i.ID) })
}

func (f *fleet) post(from redwingshunt.InstanceID, s Send) {
	delay := time.Millisecond
	far := f.region(from) != f.region(s.To)
	if far {
		delay = 20 * time.Millisecond
	}
	if f.counting {
		f.bytes[s.Message.Kind] += len(s.Message.Payload) + overhead
		if far {
			f.across += len(s.Message.Payload) + overhead
		}
	}
	if f.cut(from, s.To) || f.random.Float64() < f.lose {
		return
	}
	f.mail = append(f.mail, parcel{from, s.To, f.now.Add(delay), s.Message})
	if f.random.Float64() < f.double {
		f.mail = append(f.mail, parcel{from, s.To, f.now.Add(time.Duration(f.random.Int64N(int64(5 * time.Second)))), s.Message})
	}
}

func (f *fleet) region(id redwingshunt.InstanceID) redwingshunt.RegionID {
	return f.cores[id].self.Region
}

// run lets time pass in steps of a millisecond, jumping over those without events.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		next := end
		for _, p := range f.mail {
			next = earlier(next, p.arrives)
		}
		for _, i := range f.live {
			next = earlier(next, f.cores[i.ID].Deadline())
		}
		f.now = earlier(end, later(next, f.now.Add(time.Millisecond)))
		var due []parcel
		f.mail = slices.DeleteFunc(f.mail, func(p parcel) bool {
			if p.arrives.After(f.now) {
				return false
			}
			due = append(due, p)
			return true
		})
		for _, p := range due {
			f.step(p.to, Received{From: p.from, Kind: p.message.Kind, Payload: p.message.Payload})
		}
		for _, i := range f.live {
			if !f.cores[i.ID].Deadline().After(f.now) {
				f.step(i.ID, Tick{})
			}
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// state returns the configuration at a revision. Odd revisions change the share
// of one account, even ones the regions.
func state(revision redwingshunt.Revision, accounts int) registrar.State {
	odd, even := revision-(revision+1)%2, max(revision-revision%2, 1)
	text := []byte("accounts:\n")
	for i := range accounts {
		share := 1
		if i == int(odd)%accounts {
			share = int(odd)
		}
		text = fmt.Appendf(text, "  - {name: account-%03d, share: %d, home: north, key: \"sha256:%064x\"}\n", i, share, i)
	}
	return registrar.State{Revision: revision, At: time.Unix(int64(revision), 0), Document: &redwingshunt.Document{}, Parts: []merger.Part{
		{Section: redwingshunt.SectionRegions, Revision: even, Text: fmt.Appendf(nil, "regions: [] # %d\n", even)},
		{Section: redwingshunt.SectionAccounts, Revision: odd, Text: text},
	}}
}

// commit lets all voters apply a revision.
func (f *fleet) commit(revision redwingshunt.Revision) {
	accepted := state(revision, accounts)
	for _, i := range f.live {
		if i.Voter {
			f.step(i.ID, Accepted{State: accepted})
		}
	}
}

// at returns the number of instances on which a revision is in force.
func (f *fleet) at(revision redwingshunt.Revision) int {
	count := 0
	for _, i := range f.live {
		if f.forced[i.ID] == revision {
			count++
		}
	}
	return count
}

func TestPush(t *testing.T) {
	tests := map[string]struct {
		count, voters int
		lose, double  float64
		within        time.Duration
	}{
		"alone":            {1, 1, 0, 0, 500 * time.Millisecond},
		"nine":             {9, 3, 0, 0, 500 * time.Millisecond},
		"target":           {360, 5, 0, 0, 500 * time.Millisecond},
		"one voter region": {9, 1, 0, 0, 500 * time.Millisecond},
		"lost and doubled": {90, 3, 0.2, 0.3, 5 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, test.count, test.voters)
			f.lose, f.double = test.lose, test.double
			f.commit(1)
			f.run(10 * time.Second)
			for revision := redwingshunt.Revision(2); revision < 6; revision++ {
				f.commit(revision)
				f.run(test.within)
				is.Equal(f.at(revision), test.count)
			}
			f.run(10 * time.Second) // late and doubled messages move nothing back, see step
			is.Equal(f.at(5), test.count)
		})
	}
}

func TestPartition(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 20, 3)
	f.commit(1)
	f.run(5 * time.Second)
	lonely := redwingshunt.InstanceID("n019")
	f.cut = func(from, to redwingshunt.InstanceID) bool { return from == lonely || to == lonely }
	for revision := redwingshunt.Revision(2); revision <= 4; revision++ {
		f.commit(revision)
		f.run(time.Minute)
	}
	is.Equal(f.at(4), 19)
	is.Equal(f.forced[lonely], redwingshunt.Revision(1))  // keeps serving the last one
	is.True(f.cores[lonely].Age(f.now) > 170*time.Second) // and says how old it is
	is.True(f.cores["n018"].Age(f.now) < freshAge)
	f.cut = func(_, _ redwingshunt.InstanceID) bool { return false }
	f.run(5 * time.Second)
	is.Equal(f.at(4), 20)
}

// TestEmptyStart restarts an instance empty among peers of which one is stale.
func TestEmptyStart(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 1)
	f.commit(1)
	f.run(5 * time.Second)
	stale := redwingshunt.InstanceID("n002")
	f.cut = func(from, to redwingshunt.InstanceID) bool { return from == stale || to == stale }
	f.commit(2)
	f.run(time.Minute)
	is.Equal(f.forced[stale], redwingshunt.Revision(1))

	// The restarted instance reaches the stale one first, and serves nothing yet.
	restarted := f.live[4]
	f.cut = func(from, to redwingshunt.InstanceID) bool {
		return from == restarted.ID && to != stale || to == restarted.ID && from != stale
	}
	f.start(restarted)
	f.run(startPatience / 2)
	is.Equal(f.cores[restarted.ID].Revision(), redwingshunt.Revision(1))
	is.Equal(f.forced[restarted.ID], redwingshunt.Revision(0))
	f.cut = func(_, _ redwingshunt.InstanceID) bool { return false }
	for range 50 {
		f.run(100 * time.Millisecond)
		is.True(f.forced[restarted.ID] != 1) // the stale one is never served
	}
	is.Equal(f.at(2), 6)

	// With nobody but stale peers it serves what they have.
	f.cut = func(from, to redwingshunt.InstanceID) bool { return from == "n000" || to == "n000" }
	f.run(time.Minute)
	f.start(restarted)
	f.run(startPatience + time.Second)
	is.Equal(f.forced[restarted.ID], redwingshunt.Revision(2))
}

// TestEdits hands single messages to a core at revision 3.
func TestEdits(t *testing.T) {
	edit := func(base, next redwingshunt.Revision) *wire.SectionUpdate {
		before, after := state(base, accounts).Parts[1], state(next, accounts).Parts[1]
		return &wire.SectionUpdate{
			Section: "accounts", Base: uint64(before.Revision), Revision: uint64(after.Revision),
			Edit: merger.Compare(before.Text, after.Text),
		}
	}
	tests := map[string]struct {
		message  *wire.Publish
		revision redwingshunt.Revision
		asks     uint64 // for what is newer than this
	}{
		"next":              {&wire.Publish{Since: 3, Revision: 5, At: state(5, 1).At.UnixNano(), Sections: []*wire.SectionUpdate{edit(3, 5)}}, 5, 0},
		"after a gap":       {&wire.Publish{Since: 4, Revision: 5, Sections: []*wire.SectionUpdate{edit(3, 5)}}, 3, 3},
		"over an unknown":   {&wire.Publish{Since: 1, Revision: 5, Sections: []*wire.SectionUpdate{edit(1, 5)}}, 3, 0},
		"older than itself": {&wire.Publish{Since: 0, Revision: 2, Sections: []*wire.SectionUpdate{edit(1, 2)}}, 3, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 2, 1)
			f.exact = false
			f.commit(3)
			f.run(time.Minute)
			payload, err := proto.Marshal(test.message)
			is.NoErr(err)
			core := f.cores["n001"]
			actions := core.Step(f.now, Received{From: "n000", Kind: redwingshunt.KindPublish, Payload: payload})
			is.Equal(core.Revision(), test.revision)
			if name == "after a gap" || name == "over an unknown" {
				var question wire.Digest
				is.NoErr(proto.Unmarshal(actions[0].(Send).Message.Payload, &question))
				is.True(question.GetAsk())
				is.Equal(question.GetRevision(), test.asks)
			}
		})
	}
}

// TestAgeOfAnother tells that only the own revision is confirmed by a digest.
func TestAgeOfAnother(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 0)
	core := f.cores["n000"]
	core.Step(f.now, Accepted{State: state(3, accounts)})
	for revision, want := range map[uint64]time.Duration{2: Never, 4: Never, 3: time.Second} {
		core.confirmed = time.Time{}
		payload, err := proto.Marshal(&wire.Digest{Revision: revision, Age: 1000})
		is.NoErr(err)
		core.Step(f.now, Received{From: "n001", Kind: redwingshunt.KindDigest, Payload: payload})
		is.Equal(core.Age(f.now), want)
	}
}

func TestUnreadable(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1)
	f.exact = false
	f.commit(1)
	f.run(5 * time.Second)
	bad := state(2, accounts)
	bad.Parts[0] = merger.Part{Section: redwingshunt.SectionRegions, Revision: 2, Text: []byte("unreadable")}
	f.step("n000", Accepted{State: bad})
	f.run(5 * time.Second)
	is.Equal(f.at(1), 2) // the last one stays in force where it cannot be read
	f.commit(3)
	f.run(5 * time.Second)
	is.Equal(f.at(3), 3)
}

// BenchmarkSpread measures the push and the digest at the target size. Times are
// of the network only; reading a document is measured in package parser.
func BenchmarkSpread(b *testing.B) {
	for b.Loop() {
		f := newFleet(b, 360, 5)
		f.exact = false
		for _, i := range f.live[:5] {
			f.step(i.ID, Accepted{State: state(2, 460)})
		}
		f.run(20 * time.Second)
		f.counting = true
		f.run(100 * time.Second)
		b.ReportMetric(float64(f.bytes[redwingshunt.KindDigest])/100/360, "digest-B/s/instance")
		b.ReportMetric(float64(f.across)/100, "across-B/s")
		oldest := time.Duration(0)
		for _, i := range f.live {
			oldest = max(oldest, f.cores[i.ID].Age(f.now))
		}
		b.ReportMetric(oldest.Seconds(), "oldest-s")
		f.bytes, f.across = map[redwingshunt.MessageKind]int{}, 0
		began := f.now
		for _, i := range f.live[:5] {
			f.step(i.ID, Accepted{State: state(3, 460)})
		}
		f.run(500 * time.Millisecond)
		last := began
		for _, i := range f.live {
			last = later(last, f.since[i.ID])
		}
		b.ReportMetric(float64(f.bytes[redwingshunt.KindPublish]), "push-B/change")
		b.ReportMetric(last.Sub(began).Seconds()*1000, "in-force-ms")
		if f.at(3) != 360 {
			b.Fatal(f.at(3))
		}
	}
}
