package replicator

import "errors"

// ErrGap means that stored entries do not follow each other.
var ErrGap = errors.New("an entry does not follow the one before")

// Add brings stored state forward by one Persist, in the way in which a replica
// must find it after a restart.
func (s *Stored) Add(p Persist) error {
	if p.HardState != nil {
		s.HardState = *p.HardState
	}
	if p.Snapshot != nil {
		s.addSnapshot(p.Snapshot.SnapshotMeta)
	}
	s.Commit = max(s.Commit, p.Commit)
	return s.addEntries(p.Entries)
}

// addSnapshot drops the entries that a snapshot covers, and all of them when
// the log does not agree with it.
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

// addEntries appends entries and cuts off what stood from the first of them on.
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
