package enroller

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// DefaultTimeout is how long an upstream may send no announcement before it is
	// considered dead: four announcements of the usual period.
	DefaultTimeout = 5 * time.Second
	// retention is how long the entry of an upstream that left or timed out is
	// kept as a tombstone, so that a late announcement does not restore it.
	retention = 2 * time.Minute
	// isolationTimeout is the time without an announcement of any upstream after
	// which this instance considers itself isolated instead of the upstreams dead.
	isolationTimeout = 3 * time.Second
	// maxEntries bounds the table; the oldest entries are evicted first.
	maxEntries = 20_000
)

// Table holds the upstreams known to one instance. It is used by one goroutine at a
// time and takes the time as an argument.
//
// Announcements may be delayed, duplicated and received through several instances.
// For each ID the newest incarnation applies, and within it the highest sequence
// number. An incarnation keeps its service, place and version: an announcement that
// changes one of them comes from another writer. At each address the newest
// incarnation of all IDs applies, since an address is reassigned after its upstream
// has gone. Of upstreams that do not report their start, the one that was announced last
// is the newest.
type Table struct {
	timeout       time.Duration
	entries       map[redwingshunt.UpstreamID]*entry
	dismissed     map[redwingshunt.UpstreamID]time.Time // when it was dismissed before it was known
	lastAnnounced time.Time                             // last announcement of any upstream
}

// entry is the newest announcement of one ID.
type entry struct {
	state         redwingshunt.UpstreamState
	lastAnnounced time.Time // when it was announced
	changed       time.Time // when anything but the sequence last changed
	superseded    bool      // a newer upstream has the address
}

// NewTable returns an empty table. Upstreams are considered dead when they are not
// announced for the given timeout; zero is DefaultTimeout.
func NewTable(timeout time.Duration) *Table {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return &Table{
		timeout:   timeout,
		entries:   make(map[redwingshunt.UpstreamID]*entry),
		dismissed: make(map[redwingshunt.UpstreamID]time.Time),
	}
}

// Enroll applies an announcement that was made at a time. It reports whether the
// announcement is newer than the known one, and whether it changes more than the
// sequence.
func (t *Table) Enroll(s redwingshunt.UpstreamState, announcedAt time.Time) (newer, changed bool) {
	known := t.entries[s.ID]
	if s.Born.IsZero() {
		if known != nil && reportsStart(known.state) {
			return false, false // older than any incarnation that reports its start
		}
		s.Born, s.Sequence = assignIncarnation(known, announcedAt)
	}
	s.Born = time.UnixMilli(s.Born.UnixMilli()) // the precision in messages
	if !s.Cold.IsZero() {
		s.Cold = time.UnixMilli(s.Cold.UnixMilli())
	}
	if at, ok := t.dismissed[s.ID]; ok && s.Born.Before(at) {
		s.Leaving = true
	}
	if known != nil && (notNewer(s, known.state) || t.contradicts(s, known, announcedAt)) {
		return false, false
	}
	if known != nil {
		s = keepCold(s, known.state, announcedAt)
	}
	if t.lastAnnounced.Before(announcedAt) {
		t.lastAnnounced = announcedAt
	}
	e := &entry{state: s, lastAnnounced: announcedAt, changed: announcedAt}
	if known != nil && equalButSequence(s, known.state) {
		e.changed, e.superseded = known.changed, known.superseded
	}
	changed = known == nil || !equalButSequence(s, known.state)
	t.entries[s.ID] = e
	if e.superseded && t.regainsAddress(e) {
		e.superseded, changed = false, true
	}
	if changed {
		t.resolveAddress(e)
	}
	return true, changed
}

// assignIncarnation returns the start and the sequence number for an announcement of
// an upstream that does not report its start. All instances assign the same start until
// the upstream leaves; one that returns afterwards gets a new start. The sequence
// number is derived from the time, so that it also increases when another instance
// receives the next announcement.
func assignIncarnation(known *entry, announcedAt time.Time) (born time.Time, sequence uint64) {
	sequence = uint64(announcedAt.UnixMilli())
	if known == nil {
		return time.UnixMilli(0), sequence
	}
	if known.state.Leaving {
		return announcedAt, sequence
	}
	return known.state.Born, max(sequence, known.state.Sequence+1)
}

// reportsStart reports whether the upstream sent the start in a state. A sequence
// number that assignIncarnation returned is a time since that start.
func reportsStart(s redwingshunt.UpstreamState) bool {
	return s.Born.UnixMilli() > 0 && s.Sequence < uint64(s.Born.UnixMilli())
}

// contradicts reports whether an announcement changes what an incarnation keeps for
// its life, while that incarnation still announces itself. Without a reported start,
// a restart under the same ID may change the address and the version.
func (t *Table) contradicts(s redwingshunt.UpstreamState, known *entry, announcedAt time.Time) bool {
	if !s.Born.Equal(known.state.Born) || announcedAt.Sub(known.lastAnnounced) > cmp.Or(known.state.TTL, t.timeout) {
		return false
	}
	renewed := s.Upstream
	renewed.Slots = known.state.Slots
	if reportsStart(known.state) {
		return renewed != known.state.Upstream
	}
	return renewed.Service != known.state.Service
}

// Correction returns the known announcement for the ID of a state that is outdated:
// it belongs to an older incarnation, or its incarnation has left in the meantime.
// The second result reports whether the state is outdated.
func (t *Table) Correction(s redwingshunt.UpstreamState, now time.Time) (Announced, bool) {
	known := t.entries[s.ID]
	if known == nil || s.Born.After(known.state.Born) || s.Born.Equal(known.state.Born) && (s.Leaving || !known.state.Leaving) {
		return Announced{}, false
	}
	return known.announced(now), true
}

// notNewer reports whether a is not newer than b, which has the same ID. The leave of
// an incarnation is final, in whatever order the announcements are received.
func notNewer(a, b redwingshunt.UpstreamState) bool {
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

// equalButSequence reports whether two states are equal except for their sequence
// numbers, and for whether it is known that the upstream is warm.
func equalButSequence(a, b redwingshunt.UpstreamState) bool {
	a.ColdUnknown = b.ColdUnknown
	return equalInUse(a, b)
}

// equalInUse reports whether two states are equal for those that send requests.
func equalInUse(a, b redwingshunt.UpstreamState) bool {
	a.Sequence = b.Sequence
	return a == b
}

// resolveAddress marks all entries with the address of e as superseded, except for
// the newest incarnation.
func (t *Table) resolveAddress(e *entry) {
	for _, other := range t.entries {
		if other == e || other.state.Address != e.state.Address || other.superseded || e.superseded {
			continue
		}
		if other.startedAfter(e) || !e.startedAfter(other) && other.lastAnnounced.After(e.lastAnnounced) {
			e.superseded = true
			continue
		}
		other.superseded = true
	}
}

// startedAfter reports whether an entry is known to have started later than another one.
// An assigned start says so only if the other one has been assigned one too.
func (e *entry) startedAfter(other *entry) bool {
	return e.state.Born.After(other.state.Born) && (reportsStart(e.state) || other.state.Born.UnixMilli() > 0)
}

// regainsAddress reports whether a superseded entry that was just announced has its
// address again: no other one started later, and none that did not start earlier is in
// use. A late announcement of an upstream that has gone may have superseded that of its
// successor.
func (t *Table) regainsAddress(e *entry) bool {
	for _, other := range t.entries {
		if other == e || other.state.Address != e.state.Address || other.superseded {
			continue
		}
		inUse := !other.state.Leaving && e.lastAnnounced.Sub(other.lastAnnounced) <= cmp.Or(other.state.TTL, t.timeout)
		if other.startedAfter(e) || !e.startedAfter(other) && inUse {
			return false
		}
	}
	return true
}

// Dismiss marks the incarnation of an upstream that started at born as leaving, or
// any incarnation when born is zero. It returns the state to forward, and reports
// whether the incarnation is known and whether it was not leaving before.
func (t *Table) Dismiss(id redwingshunt.UpstreamID, born, now time.Time) (s redwingshunt.UpstreamState, known, newlyLeft bool) {
	e := t.entries[id]
	if e != nil && !born.IsZero() && e.state.Born.After(born) {
		return redwingshunt.UpstreamState{}, false, false // an older incarnation left
	}
	if e == nil {
		if len(t.dismissed) < maxEntries {
			t.dismissed[id] = now // an announcement in transit must not add it
		}
		return redwingshunt.UpstreamState{}, false, false
	}
	newlyLeft = !e.state.Leaving
	if newlyLeft {
		e.state.Leaving, e.changed = true, now
	}
	return e.state, true, newlyLeft
}

// Usable returns the upstreams that accept new work, ordered by service and ID.
// While no upstream is announced at all, this instance is isolated from the
// announcements, and the upstreams known last stay usable.
func (t *Table) Usable(now time.Time) []redwingshunt.UpstreamState {
	t.expire(now)
	isolated := now.Sub(t.lastAnnounced) > isolationTimeout
	var usable []redwingshunt.UpstreamState
	for _, e := range t.entries {
		age := now.Sub(e.lastAnnounced)
		if isolated {
			age = t.lastAnnounced.Sub(e.lastAnnounced)
		}
		if !e.superseded && !e.state.Leaving && age <= cmp.Or(e.state.TTL, t.timeout) {
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

// announced returns an entry as it is sent to other instances.
func (e *entry) announced(now time.Time) Announced {
	return Announced{State: e.state, Age: max(now.Sub(e.lastAnnounced), 0)}
}

// Get returns the announcement of an ID, the time since more than its sequence
// changed, and whether the ID is known.
func (t *Table) Get(id redwingshunt.UpstreamID, now time.Time) (a Announced, changed time.Duration, known bool) {
	e := t.entries[id]
	if e == nil {
		return Announced{}, 0, false
	}
	return e.announced(now), now.Sub(e.changed), true
}

// Empty reports whether the table has no entries.
func (t *Table) Empty() bool { return len(t.entries) == 0 }

// All returns every entry, ordered by ID.
func (t *Table) All(now time.Time) []Announced {
	all := make([]Announced, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e.announced(now))
	}
	slices.SortFunc(all, func(a, b Announced) int { return cmp.Compare(a.State.ID, b.State.ID) })
	return all
}

// RecentLeaves returns the entries that began to leave within the given time before now.
func (t *Table) RecentLeaves(now time.Time, within time.Duration) []Announced {
	var left []Announced
	for _, e := range t.entries {
		if e.state.Leaving && now.Sub(e.changed) <= within {
			left = append(left, e.announced(now))
		}
	}
	return left
}

// expire drops entries that were announced long ago, and evicts the oldest entries
// above maxEntries.
func (t *Table) expire(now time.Time) {
	for id, e := range t.entries {
		if now.Sub(e.lastAnnounced) > retention && t.lastAnnounced.Sub(e.lastAnnounced) > retention {
			delete(t.entries, id)
		}
	}
	for id, at := range t.dismissed {
		if now.Sub(at) > retention {
			delete(t.dismissed, id)
		}
	}
	for len(t.entries) > maxEntries {
		var oldest redwingshunt.UpstreamID
		for id, e := range t.entries {
			if oldest == "" || e.lastAnnounced.Before(t.entries[oldest].lastAnnounced) {
				oldest = id
			}
		}
		delete(t.entries, oldest)
	}
}
