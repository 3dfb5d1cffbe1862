package replicator

import "errors"

// ErrGap means that an index is missing between stored entries.
var ErrGap = errors.New("stored log entries have a gap")

// Apply applies one Persist to the stored state. The result is what a replica must
// find after a restart. The error is ErrGap if the entries do not follow those
// that are stored.
func (s *Stored) Apply(p Persist) error {
	if p.HardState != nil {
		s.HardState = *p.HardState
	}
	if p.Snapshot != nil {
		s.addSnapshot(p.Snapshot.SnapshotMeta)
	}
	s.Commit = max(s.Commit, p.Commit)
	return s.addEntries(p.Entries)
}

// addSnapshot drops the entries that a snapshot covers, or all entries if the
// log does not match the snapshot at its index.
func (s *Stored) addSnapshot(meta SnapshotMeta) {
	if meta.Index <= s.Snapshot.Index {
		return
	}
	covered := meta.Index - s.Snapshot.Index
	if covered <= uint64(len(s.Entries)) && s.Entries[covered-1].Term == meta.Term {
		s.Entries = append([]Entry(nil), s.Entries[covered:]...)
	} else {
		s.Entries = nil
	}
	s.Snapshot = meta
}

// addEntries truncates the stored log before the first of the given entries and
// appends them.
func (s *Stored) addEntries(entries []Entry) error {
	for len(entries) > 0 && entries[0].Index <= s.Snapshot.Index {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return nil
	}
	keep := entries[0].Index - s.Snapshot.Index - 1
	if keep > uint64(len(s.Entries)) {
		return ErrGap
	}
	if keep < uint64(len(s.Entries)) {
		s.Entries = s.Entries[:keep:keep]
	}
	s.Entries = append(s.Entries, entries...)
	return nil
}
