package replicator

// entryLog holds the log entries in memory: those after base, which is the index
// of the snapshot or a smaller one.
type entryLog struct {
	base     uint64 // index before the first entry in memory
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

// matches reports whether the log has an entry at index with that term.
func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from first to last, which both must be in the log.
func (l *entryLog) slice(first, last uint64) []Entry {
	return l.entries[first-l.base-1 : last-l.base : last-l.base]
}

// entriesFrom returns the entries from first on, up to limit bytes but at least one
// entry if there is one.
func (l *entryLog) entriesFrom(first uint64, limit int) []Entry {
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

// truncateAndAppend truncates the log before the first of the given entries and
// appends them. Truncation copies the log, because messages that are not yet sent
// may still refer to slices of it.
func (l *entryLog) truncateAndAppend(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	keep := entries[0].Index - l.base - 1
	if keep < uint64(len(l.entries)) {
		l.entries = append([]Entry(nil), l.entries[:keep]...)
	}
	l.entries = append(l.entries, entries...)
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

// reset drops all entries and sets the base to a snapshot.
func (l *entryLog) reset(index, term uint64) {
	l.base, l.baseTerm, l.entries = index, term, nil
}

// isUpToDate reports whether another log, whose last entry has the given index and
// term, is at least as up to date as this one.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}
