package journaler

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/replicator/encoder"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	lockName        = "lock"
	journalPrefix   = "journal-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"

	rotateFactor     = 4       // a journal is compacted again at this multiple of its compacted size, or later
	recordSplitBytes = 1 << 20 // data of the entries after which a record is split
)

// DefaultRotate is the size in bytes from which a journal is compacted.
const DefaultRotate = 8 << 20

// Options configures Open.
type Options struct {
	Files  FileSystem
	Folder replicator.FolderID // identity for a folder that has none
	Random uint16              // distinguishes this start from others, see replicator.NewStart
	Rotate int64               // bytes from which the journal is compacted; zero means DefaultRotate
}

// Record is one change of the stored state of a group.
type Record struct {
	Group   redwingshunt.GroupID
	Persist replicator.Persist
}

// Journal is an open data folder. It is not safe for concurrent use.
type Journal struct {
	files         FileSystem
	lock          io.Closer
	number        uint64 // of the current file
	file          File
	size          int64 // bytes of the current file, all of them synced
	minRotateSize int64 // Options.Rotate or its default, in bytes
	rotateSize    int64 // bytes at which the journal is compacted next
	truncated     int64 // bytes of a torn tail that Open removed
	folder        replicator.FolderID
	successor     bool // see Successor
	start         uint64
	groups        map[redwingshunt.GroupID]*replicator.Stored
	writeErr      error
}

// Open locks a folder and reads its journal, or creates one if there is none. It
// returns a wrapped *CorruptError if durable content was altered.
func Open(o Options) (*Journal, error) {
	lock, err := o.Files.Lock(lockName)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	j := &Journal{files: o.Files, lock: lock, minRotateSize: o.Rotate, groups: make(map[redwingshunt.GroupID]*replicator.Stored)}
	if j.minRotateSize == 0 {
		j.minRotateSize = DefaultRotate
	}
	if err := j.open(o); err != nil {
		_ = j.Close()
		return nil, trace.Wrap(err)
	}
	return j, nil
}

func (j *Journal) open(o Options) error {
	names, err := j.files.List()
	if err != nil {
		return err
	}
	j.successor = slices.ContainsFunc(names, func(name string) bool { return strings.HasPrefix(name, lostPrefix) })
	newest, err := j.removeStaleFiles(names)
	if err != nil {
		return err
	}
	if newest == "" {
		j.folder = o.Folder
		j.start = replicator.NewStart(0, o.Random)
		return j.rotate()
	}
	if err := j.load(newest); err != nil {
		return err
	}
	j.start = replicator.NewStart(j.start, o.Random)
	return j.appendRecords([]*wire.LogRecord{{Start: j.start}})
}

// removeStaleFiles removes unfinished and superseded files, and returns the name
// of the current journal file, or "" if there is none. The process before may have
// ended before it synced the name of the current file, so that is done first.
func (j *Journal) removeStaleFiles(names []string) (string, error) {
	slices.Sort(names)
	newest := ""
	for _, name := range names {
		if strings.HasPrefix(name, journalPrefix) && !strings.HasSuffix(name, temporarySuffix) {
			newest = name
		}
	}
	if newest != "" {
		if err := j.files.Sync(); err != nil {
			return "", err
		}
	}
	for _, name := range names {
		superseded := strings.HasPrefix(name, journalPrefix) && name != newest
		if superseded || strings.HasSuffix(name, temporarySuffix) {
			if err := j.files.Remove(name); err != nil {
				return "", err
			}
		}
	}
	return newest, nil
}

// load reads a journal file, truncates its torn tail and syncs the rest, which the
// process before may have written without a sync: later frames state that it is synced.
func (j *Journal) load(name string) error {
	if _, err := fmt.Sscanf(name, journalPrefix+"%x", &j.number); err != nil {
		return trace.BadParameter("%s is no journal", name)
	}
	data, err := j.files.Read(name)
	if err != nil {
		return err
	}
	end, err := scan(name, data, j.replay)
	if err != nil {
		return err
	}
	if j.folder == 0 {
		return &CorruptError{name, 0, "the identity of the folder is missing"}
	}
	if j.file, err = j.files.Append(name); err != nil {
		return err
	}
	j.size, j.truncated = int64(end), int64(len(data)-end)
	j.rotateSize = max(j.minRotateSize, j.size)
	if j.truncated > 0 {
		if err := j.file.Truncate(j.size); err != nil {
			return err
		}
	}
	return j.file.Sync()
}

// replay applies one record of the journal file to the state in memory.
func (j *Journal) replay(payload []byte) error {
	var record wire.LogRecord
	if err := proto.Unmarshal(payload, &record); err != nil {
		return err
	}
	if record.Folder != 0 {
		j.folder = replicator.FolderID(record.Folder)
	}
	if record.Start != 0 {
		j.start = record.Start
	}
	persist := replicator.Persist{Entries: encoder.ParseEntries(record.Entries), Commit: record.Commit}
	if record.Hard != nil {
		hard := encoder.ParseHardState(record.Hard)
		persist.HardState = &hard
	}
	if record.Snapshot != nil {
		persist.Snapshot = &replicator.Snapshot{SnapshotMeta: encoder.ParseSnapshotMeta(record.Snapshot)}
	}
	if persist.HardState == nil && persist.Snapshot == nil && persist.Entries == nil && persist.Commit == 0 {
		return nil
	}
	return j.add(redwingshunt.GroupID(record.Group), persist)
}

// add applies a change to the state of a group in memory.
func (j *Journal) add(group redwingshunt.GroupID, persist replicator.Persist) error {
	stored := j.groups[group]
	if stored == nil {
		stored = &replicator.Stored{}
		j.groups[group] = stored
	}
	return stored.Apply(persist)
}

// Write makes records durable with a single sync. After an error, all later calls
// return that error and write nothing.
func (j *Journal) Write(records []Record) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	j.writeErr = trace.Wrap(j.writeAll(records))
	return j.writeErr
}

func (j *Journal) writeAll(records []Record) error {
	var converted []*wire.LogRecord
	for _, r := range records {
		if r.Persist.Snapshot != nil {
			if err := j.saveSnapshot(r.Group, *r.Persist.Snapshot); err != nil {
				return err
			}
		}
		converted = append(converted, logRecords(r)...)
	}
	if err := j.appendRecords(converted); err != nil {
		return err
	}
	for _, r := range records {
		if err := j.add(r.Group, r.Persist); err != nil {
			return err
		}
		if r.Persist.Snapshot != nil {
			j.removeSnapshots(r.Group)
		}
	}
	if j.size >= j.rotateSize {
		return j.rotate()
	}
	return nil
}

// logRecords returns the stored records for one change.
func logRecords(r Record) []*wire.LogRecord {
	record := &wire.LogRecord{Group: uint32(r.Group)}
	if r.Persist.HardState != nil {
		record.Hard = encoder.HardState(*r.Persist.HardState)
	}
	if r.Persist.Snapshot != nil {
		record.Snapshot = encoder.SnapshotMeta(r.Persist.Snapshot.SnapshotMeta)
	}
	records := splitEntries(r.Group, r.Persist.Entries, r.Persist.Commit)
	if record.Hard == nil && record.Snapshot == nil {
		return records
	}
	return append([]*wire.LogRecord{record}, records...)
}

// splitEntries returns records of bounded size for entries. Only the last one has
// the commit index, which may refer to any of the entries.
func splitEntries(group redwingshunt.GroupID, entries []replicator.Entry, commit uint64) []*wire.LogRecord {
	var records []*wire.LogRecord
	first, size := 0, 0
	for i, e := range entries {
		size += len(e.Data)
		if size >= recordSplitBytes {
			records = append(records, &wire.LogRecord{Group: uint32(group), Entries: encoder.Entries(entries[first : i+1])})
			first, size = i+1, 0
		}
	}
	return append(records, &wire.LogRecord{Group: uint32(group), Entries: encoder.Entries(entries[first:]), Commit: commit})
}

// appendRecords appends records to the file and syncs it.
func (j *Journal) appendRecords(records []*wire.LogRecord) error {
	var buffer []byte
	for _, record := range records {
		payload, err := proto.Marshal(record)
		if err != nil {
			return err
		}
		buffer = appendFrame(buffer, payload, j.size)
	}
	if _, err := j.file.Write(buffer); err != nil {
		return err
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	j.size += int64(len(buffer))
	return nil
}

// rotate replaces the file by a compacted one. The new file is renamed into place
// after it is synced, so each of its frames states that all bytes before it are
// synced. If writing the new file fails, for example on a full disk, the current
// file stays in use and compaction is retried after some more records.
func (j *Journal) rotate() error {
	data, err := j.compactedData()
	if err != nil {
		return err
	}
	name := journalName(j.number + 1)
	if err := writeTemporary(j.files, name, data); err != nil {
		if j.file == nil {
			return err
		}
		j.rotateSize = j.size + j.minRotateSize
		return nil
	}
	if err := renameTemporary(j.files, name); err != nil {
		return err
	}
	file, err := j.files.Append(name)
	if err != nil {
		return err
	}
	if j.file != nil {
		j.file.Close()
		_ = j.files.Remove(journalName(j.number)) // best effort: Open removes leftovers
	}
	j.number++
	j.file, j.size = file, int64(len(data))
	j.rotateSize = max(j.minRotateSize, rotateFactor*j.size)
	return nil
}

func journalName(number uint64) string { return fmt.Sprintf("%s%016x", journalPrefix, number) }

// compactedData returns the content of a compacted file: the identity of the
// folder and the current state of each group. The last record is empty; its frame
// states that the record before it was synced.
func (j *Journal) compactedData() ([]byte, error) {
	records := []*wire.LogRecord{{Folder: uint64(j.folder), Start: j.start}}
	for _, group := range slices.Sorted(maps.Keys(j.groups)) {
		stored := j.groups[group]
		records = append(records, &wire.LogRecord{
			Group:    uint32(group),
			Hard:     encoder.HardState(stored.HardState),
			Snapshot: encoder.SnapshotMeta(stored.Snapshot),
		})
		records = append(records, splitEntries(group, stored.Entries, stored.Commit)...)
	}
	var data []byte
	for _, record := range append(records, &wire.LogRecord{}) {
		payload, err := proto.Marshal(record)
		if err != nil {
			return nil, err
		}
		data = appendFrame(data, payload, int64(len(data)))
	}
	return data, nil
}

// Folder returns the identity of the folder.
func (j *Journal) Folder() replicator.FolderID { return j.folder }

// Successor reports whether the folder was created in place of one that SetAside put
// aside.
func (j *Journal) Successor() bool { return j.successor }

// Start returns the number of this start on the folder. It grows with each Open.
func (j *Journal) Start() uint64 { return j.start }

// Cut returns the number of bytes that Open truncated as a torn tail.
func (j *Journal) Cut() int64 { return j.truncated }

// Size returns the size of the journal file in bytes, without snapshots.
func (j *Journal) Size() int64 { return j.size }

// Groups returns a copy of the stored state of each group.
func (j *Journal) Groups() map[redwingshunt.GroupID]replicator.Stored {
	groups := make(map[redwingshunt.GroupID]replicator.Stored, len(j.groups))
	for group, stored := range j.groups {
		s := *stored
		s.Entries = slices.Clone(s.Entries)
		groups[group] = s
	}
	return groups
}

// Close closes the journal file and releases the lock on the folder.
func (j *Journal) Close() error {
	if j.file != nil {
		j.file.Close()
	}
	return trace.Wrap(j.lock.Close())
}
