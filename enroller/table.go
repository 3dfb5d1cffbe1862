package enroller

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// DefaultSilence is how long an upstream may stay silent before it is
	// taken for dead: four announcements of the usual period.
	DefaultSilence = 5 * time.Second
	// forgetAfter is how long an upstream that left or fell silent is
	// remembered, so that a late announcement does not bring it back.
	forgetAfter = 2 * time.Minute
	// feedSilence is how long this instance may hear nothing of any upstream
	// before it distrusts its own view instead of the upstreams.
	feedSilence = 3 * time.Second
	// maxEntries bounds the table; the oldest go first.
	maxEntries = 20_000
)

// Table is what one instance knows of the upstreams. It is used by one
// goroutine at a time and takes time as an argument.
//
// Announcements may come late, twice and through several instances. The newest
// incarnation of an identity counts, within it the largest sequence; and at an
// address the newest incarnation of all identities, since an address is given
// to another upstream when its holder is gone.
type Table struct {
	silence time.Duration
	entries map[redwingshunt.UpstreamID]*entry
	left    map[redwingshunt.UpstreamID]time.Time // dismissed before they were known, and when
	heard   time.Time                             // last announcement of any upstream
}

// entry is the newest announcement of one identity.
type entry struct {
	state   redwingshunt.UpstreamState
	heard   time.Time // when it was announced
	changed time.Time // when something but the sequence changed
	gone    bool      // a newer upstream has its address
}

// NewTable returns an empty table. Upstreams are taken for dead after silence.
func NewTable(silence time.Duration) *Table {
	if silence == 0 {
		silence = DefaultSilence
	}
	return &Table{
		silence: silence,
		entries: make(map[redwingshunt.UpstreamID]*entry),
		left:    make(map[redwingshunt.UpstreamID]time.Time),
	}
}

// Enroll takes an announcement that was made at a time. It reports whether it
// was news, and whether it changed more than the time of the last news.
func (t *Table) Enroll(s redwingshunt.UpstreamState, made time.Time) (news, changed bool) {
	known := t.entries[s.ID]
	if s.Born.IsZero() {
		s.Born, s.Sequence = incarnation(known, made)
	}
	s.Born = time.UnixMilli(s.Born.UnixMilli()) // as it is told to other instances
	if at, ok := t.left[s.ID]; ok && s.Born.Before(at) {
		s.Leaving = true
	}
	if known != nil && older(s, known.state) {
		return false, false
	}
	if t.heard.Before(made) {
		t.heard = made
	}
	e := &entry{state: s, heard: made, changed: made}
	if known != nil && same(s, known.state) {
		e.changed, e.gone = known.changed, known.gone
	}
	changed = known == nil || !same(s, known.state)
	t.entries[s.ID] = e
	if changed {
		t.settleAddress(e)
	}
	return true, changed
}

// incarnation numbers an announcement of an upstream that does not tell its
// start. All instances take the same start for it until it leaves, and one that
// comes back after that begins anew. The sequence follows the time, so that
// another instance that takes the next announcement goes on with it.
func incarnation(known *entry, made time.Time) (born time.Time, sequence uint64) {
	sequence = uint64(made.UnixMilli())
	if known == nil {
		return time.UnixMilli(0), sequence
	}
	if known.state.Leaving {
		return made, sequence
	}
	return known.state.Born, max(sequence, known.state.Sequence+1)
}

// Correction returns what is known of the identity of a state when that belongs
// to an older incarnation, or to one that has left meanwhile: whoever told it
// has missed that.
func (t *Table) Correction(s redwingshunt.UpstreamState, now time.Time) (Announced, bool) {
	known := t.entries[s.ID]
	if known == nil || s.Born.After(known.state.Born) || s.Born.Equal(known.state.Born) && (s.Leaving || !known.state.Leaving) {
		return Announced{}, false
	}
	return known.announced(now), true
}

// older reports whether a is no newer than b, of the same identity. Once an
// incarnation leaves it does not come back, in whatever order that is heard.
func older(a, b redwingshunt.UpstreamState) bool {
	if c := a.Born.Compare(b.Born); c != 0 {
		return c < 0
	}
	if b.Leaving && !a.Leaving {
		return true
	}
	if a.Leaving && !b.Leaving {
		return false
	}
	return a.Sequence <= b.Sequence
}

// same reports whether two states differ in their sequence at most.
func same(a, b redwingshunt.UpstreamState) bool {
	a.Sequence = b.Sequence
	return a == b
}

// settleAddress leaves an address to the newest incarnation that announced it.
func (t *Table) settleAddress(e *entry) {
	for _, other := range t.entries {
		if other == e || other.state.Address != e.state.Address || other.gone || e.gone {
			continue
		}
		if other.state.Born.After(e.state.Born) {
			e.gone = true
			continue
		}
		other.gone = true
	}
}

// Dismiss marks an incarnation of an identity as leaving, or any when born is
// zero, and returns the state to pass on, whether it is known, and whether its
// leaving is news.
func (t *Table) Dismiss(id redwingshunt.UpstreamID, born, now time.Time) (s redwingshunt.UpstreamState, known, news bool) {
	e := t.entries[id]
	if e != nil && !born.IsZero() && e.state.Born.After(born) {
		return redwingshunt.UpstreamState{}, false, false // an older incarnation left
	}
	if e == nil {
		t.left[id] = now // an announcement that is on its way must not bring it back
		return redwingshunt.UpstreamState{}, false, false
	}
	news = !e.state.Leaving
	if news {
		e.state.Leaving, e.changed = true, now
	}
	return e.state, true, news
}

// Usable returns the upstreams that take new work, ordered by service and name.
// While nothing is heard of any upstream, this instance is cut off from the
// announcements, and those known last stay.
func (t *Table) Usable(now time.Time) []redwingshunt.UpstreamState {
	t.forget(now)
	cutOff := now.Sub(t.heard) > feedSilence
	var usable []redwingshunt.UpstreamState
	for _, e := range t.entries {
		unheard := now.Sub(e.heard)
		if cutOff {
			unheard = t.heard.Sub(e.heard)
		}
		if !e.gone && !e.state.Leaving && unheard <= cmp.Or(e.state.TTL, t.silence) {
			usable = append(usable, e.state)
		}
	}
	slices.SortFunc(usable, func(a, b redwingshunt.UpstreamState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return usable
}

// Announced is one entry with the age of its announcement.
type Announced struct {
	State redwingshunt.UpstreamState
	Age   time.Duration
}

// announced returns an entry as it is told to other instances.
func (e *entry) announced(now time.Time) Announced {
	return Announced{State: e.state, Age: max(now.Sub(e.heard), 0)}
}

// Told returns the announcement of an identity, and how long ago more than its
// sequence changed.
func (t *Table) Told(id redwingshunt.UpstreamID, now time.Time) (a Announced, changed time.Duration, known bool) {
	e := t.entries[id]
	if e == nil {
		return Announced{}, 0, false
	}
	return e.announced(now), now.Sub(e.changed), true
}

// Empty reports whether nobody has been announced.
func (t *Table) Empty() bool { return len(t.entries) == 0 }

// All returns every entry, ordered by name.
func (t *Table) All(now time.Time) []Announced {
	all := make([]Announced, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e.announced(now))
	}
	slices.SortFunc(all, func(a, b Announced) int { return cmp.Compare(a.State.ID, b.State.ID) })
	return all
}

// Left returns the entries that began to leave within some time before now.
func (t *Table) Left(now time.Time, within time.Duration) []Announced {
	var left []Announced
	for _, e := range t.entries {
		if e.state.Leaving && now.Sub(e.changed) <= within {
			left = append(left, e.announced(now))
		}
	}
	return left
}

// forget drops what was heard of long ago.
func (t *Table) forget(now time.Time) {
	for id, e := range t.entries {
		if now.Sub(e.heard) > forgetAfter && t.heard.Sub(e.heard) > forgetAfter {
			delete(t.entries, id)
		}
	}
	for id, at := range t.left {
		if now.Sub(at) > forgetAfter {
			delete(t.left, id)
		}
	}
	for len(t.entries) > maxEntries {
		var oldest redwingshunt.UpstreamID
		for id, e := range t.entries {
			if oldest == "" || e.heard.Before(t.entries[oldest].heard) {
				oldest = id
			}
		}
		delete(t.entries, oldest)
	}
}
