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

	rotateFactor = 4       // a journal is written anew at this many times its first size, or later
	recordBytes  = 1 << 20 // entries in one record, if there are more
)

// DefaultRotate is the size in bytes from which a journal is written anew.
const DefaultRotate = 8 << 20

// Options opens a folder.
type Options struct {
	Files  FileSystem
	Folder replicator.FolderID // identity that the folder gets if it has none
	Random uint16              // tells this start from others, see replicator.NewStart
	Rotate int64               // bytes from which the journal is written anew; zero is DefaultRotate
}

// Record is one change of what a group stores.
type Record struct {
	Group   redwingshunt.GroupID
	Persist replicator.Persist
}

// Journal is an open folder. It is not safe for concurrent use.
type Journal struct {
	files    FileSystem
	lock     io.Closer
	number   uint64 // of the file
	file     File
	size     int64 // bytes of the file, all of them synced
	rotateAt int64 // Options.Rotate
	limit    int64 // size at which the next file is due
	cut      int64 // bytes of a torn tail that Open removed
	folder   replicator.FolderID
	start    uint64
	groups   map[redwingshunt.GroupID]*replicator.Stored
	failed   error
}

// Open locks a folder and reads its journal; it begins one if there is none. It
// returns a *CorruptError, wrapped, if durable content has been altered.
func Open(o Options) (*Journal, error) {
	lock, err := o.Files.Lock(lockName)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	j := &Journal{files: o.Files, lock: lock, rotateAt: o.Rotate, groups: make(map[redwingshunt.GroupID]*replicator.Stored)}
	if j.rotateAt == 0 {
		j.rotateAt = DefaultRotate
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
	newest, err := j.tidy(names)
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
	return j.write([]*wire.LogRecord{{Start: j.start}})
}

// tidy removes unfinished and superseded files and returns the journal's name.
func (j *Journal) tidy(names []string) (string, error) {
	slices.Sort(names)
	newest := ""
	for _, name := range names {
		if strings.HasPrefix(name, journalPrefix) && !strings.HasSuffix(name, temporarySuffix) {
			newest = name
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

// load reads a journal and cuts off its torn tail.
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
	j.size, j.cut = int64(end), int64(len(data)-end)
	j.limit = max(j.rotateAt, j.size)
	if j.cut == 0 {
		return nil
	}
	if err := j.file.Truncate(j.size); err != nil {
		return err
	}
	return j.file.Sync()
}

// replay takes in one record.
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

// add brings the state of a group forward.
func (j *Journal) add(group redwingshunt.GroupID, persist replicator.Persist) error {
	stored := j.groups[group]
	if stored == nil {
		stored = &replicator.Stored{}
		j.groups[group] = stored
	}
	return stored.Add(persist)
}

// Write makes records durable with one sync. After an error it must not be
// called again but to get the same error.
func (j *Journal) Write(records []Record) error {
	if j.failed != nil {
		return j.failed
	}
	j.failed = trace.Wrap(j.writeAll(records))
	return j.failed
}

func (j *Journal) writeAll(records []Record) error {
	var converted []*wire.LogRecord
	for _, r := range records {
		if r.Persist.Snapshot != nil {
			if err := j.saveSnapshot(r.Group, *r.Persist.Snapshot); err != nil {
				return err
			}
		}
		converted = append(converted, convert(r)...)
	}
	if err := j.write(converted); err != nil {
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
	if j.size >= j.limit {
		return j.rotate()
	}
	return nil
}

// convert returns the records that hold a change.
func convert(r Record) []*wire.LogRecord {
	record := &wire.LogRecord{Group: uint32(r.Group)}
	if r.Persist.HardState != nil {
		record.Hard = encoder.HardState(*r.Persist.HardState)
	}
	if r.Persist.Snapshot != nil {
		record.Snapshot = encoder.SnapshotMeta(r.Persist.Snapshot.SnapshotMeta)
	}
	records := divide(r.Group, r.Persist.Entries, r.Persist.Commit)
	if record.Hard == nil && record.Snapshot == nil {
		return records
	}
	return append([]*wire.LogRecord{record}, records...)
}

// divide returns records of a bounded size for entries. The last one has the
// commit index, which may concern any of them.
func divide(group redwingshunt.GroupID, entries []replicator.Entry, commit uint64) []*wire.LogRecord {
	var records []*wire.LogRecord
	first, size := 0, 0
	for i, e := range entries {
		size += len(e.Data)
		if size >= recordBytes {
			records = append(records, &wire.LogRecord{Group: uint32(group), Entries: encoder.Entries(entries[first : i+1])})
			first, size = i+1, 0
		}
	}
	return append(records, &wire.LogRecord{Group: uint32(group), Entries: encoder.Entries(entries[first:]), Commit: commit})
}

// write appends records to the file and syncs it.
func (j *Journal) write(records []*wire.LogRecord) error {
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

// rotate replaces the file by a new one that holds what still counts. The new
// file appears when it is synced; each of its frames says that all before it
// is. When there is no room for it yet, the present file goes on.
func (j *Journal) rotate() error {
	data, err := j.summary()
	if err != nil {
		return err
	}
	name := journalName(j.number + 1)
	if err := writeTemporary(j.files, name, data); err != nil {
		if j.file == nil {
			return err
		}
		j.limit = rotateFactor * j.size
		return nil
	}
	if err := reveal(j.files, name); err != nil {
		return err
	}
	file, err := j.files.Append(name)
	if err != nil {
		return err
	}
	if j.file != nil {
		j.file.Close()
		_ = j.files.Remove(journalName(j.number)) // Open removes what is left
	}
	j.number++
	j.file, j.size = file, int64(len(data))
	j.limit = max(j.rotateAt, rotateFactor*j.size)
	return nil
}

func journalName(number uint64) string { return fmt.Sprintf("%s%016x", journalPrefix, number) }

// summary returns the content of a new file. Its last record is empty: the
// frame vouches for the one before.
func (j *Journal) summary() ([]byte, error) {
	records := []*wire.LogRecord{{Folder: uint64(j.folder), Start: j.start}}
	for _, group := range slices.Sorted(maps.Keys(j.groups)) {
		stored := j.groups[group]
		records = append(records, &wire.LogRecord{
			Group:    uint32(group),
			Hard:     encoder.HardState(stored.HardState),
			Snapshot: encoder.SnapshotMeta(stored.Snapshot),
		})
		records = append(records, divide(group, stored.Entries, stored.Commit)...)
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

// Start returns the number of this start with the folder.
func (j *Journal) Start() uint64 { return j.start }

// Cut returns the bytes of a torn tail that Open has cut off.
func (j *Journal) Cut() int64 { return j.cut }

// Size returns the bytes of the journal without snapshots.
func (j *Journal) Size() int64 { return j.size }

// Groups returns copies of what each group has stored.
func (j *Journal) Groups() map[redwingshunt.GroupID]replicator.Stored {
	groups := make(map[redwingshunt.GroupID]replicator.Stored, len(j.groups))
	for group, stored := range j.groups {
		s := *stored
		s.Entries = slices.Clone(s.Entries)
		groups[group] = s
	}
	return groups
}

// Close releases the folder.
func (j *Journal) Close() error {
	if j.file != nil {
		j.file.Close()
	}
	return trace.Wrap(j.lock.Close())
}
