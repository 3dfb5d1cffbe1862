package replicator

// entryLog holds the entries that a core has in memory: those after the base,
// which is the snapshot or some entry before it.
type entryLog struct {
	base     uint64 // index before the first entry
	baseTerm uint64
	entries  []Entry
}

// last returns the index of the last entry.
func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

// lastTerm returns the term of the last entry.
func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term at an index, and whether it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// matches reports whether the entry at index has the term.
func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from first to last, both within the log.
func (l *entryLog) slice(first, last uint64) []Entry {
	return l.entries[first-l.base-1 : last-l.base : last-l.base]
}

// limited returns entries from first on, at least one and at most limit bytes.
func (l *entryLog) limited(first uint64, limit int) []Entry {
	if first > l.last() {
		return nil
	}
	entries := l.slice(first, l.last())
	size := 0
	for i, entry := range entries {
		size += entry.size()
		if i > 0 && size > limit {
			return entries[:i:i]
		}
	}
	return entries
}

// put appends entries and cuts off what stood from the first of them on. The
// cut copies, because slices of the log may still be on their way out.
func (l *entryLog) put(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	keep := entries[0].Index - l.base - 1
	if keep < uint64(len(l.entries)) {
		l.entries = append([]Entry(nil), l.entries[:keep]...)
	}
	l.entries = append(l.entries, entries...)
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

// reset replaces the whole log by a snapshot.
func (l *entryLog) reset(index, term uint64) {
	l.base, l.baseTerm, l.entries = index, term, nil
}

// newest reports whether a log that ends at index with term is at least as new.
func (l *entryLog) newest(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}
