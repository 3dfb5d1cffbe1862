package journaler

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt/replicator"
)

// testWrite returns the records of the nth write: one entry for each of two
// groups, a hard state, and a snapshot in every seventh write.
func testWrite(n uint64) []Record {
	entry := replicator.Entry{Index: n, Term: 1, Kind: replicator.EntryCommand, Data: bytes.Repeat([]byte{byte(n)}, 100)}
	records := []Record{
		{Group: 0, Persist: replicator.Persist{Entries: []replicator.Entry{entry}}},
		{Group: 1, Persist: replicator.Persist{Entries: []replicator.Entry{entry}, HardState: &replicator.HardState{Term: n}}},
	}
	if n%7 == 0 {
		snapshot := &replicator.Snapshot{SnapshotMeta: replicator.SnapshotMeta{Index: n, Term: 1}, Data: fmt.Append(nil, n)}
		records = append(records, Record{Group: 0, Persist: replicator.Persist{Snapshot: snapshot}})
	}
	return records
}

func openTestJournal(files FileSystem) (*Journal, error) {
	return Open(Options{Files: files, Folder: 42, Rotate: 4000})
}

// writeUntilError writes until an error occurs and returns the number of the last
// successful write.
func writeUntilError(files FileSystem, writes uint64) (uint64, error) {
	j, err := openTestJournal(files)
	if err != nil {
		return 0, err
	}
	for n := range writes {
		if err := j.Write(testWrite(n + 1)); err != nil {
			return n, err
		}
	}
	return writes, nil
}

// checkRecovered opens the folder and checks that it holds all successful writes,
// that the writes of group 1 are complete and in order, and that it accepts new
// writes.
func checkRecovered(t *testing.T, files FileSystem, written uint64) {
	is := is.New(t)
	j, err := openTestJournal(files)
	is.NoErr(err)
	is.Equal(j.Folder(), replicator.FolderID(42))
	groups := j.Groups()
	is.True(uint64(len(groups[1].Entries)) >= written)
	is.True(groups[1].HardState.Term >= written)
	for i, e := range groups[1].Entries {
		is.Equal(e.Index, uint64(i+1))
		is.True(bytes.Equal(e.Data, bytes.Repeat([]byte{byte(i + 1)}, 100)))
	}
	is.True(groups[0].Snapshot.Index+uint64(len(groups[0].Entries)) >= written)
	snapshot, err := j.ReadSnapshot(0)
	is.NoErr(err)
	if snapshot.Index > 0 {
		is.Equal(string(snapshot.Data), fmt.Sprint(snapshot.Index))
	}
	last := uint64(len(groups[1].Entries))
	is.NoErr(j.Write(testWrite(last + 1)[1:2])) // the folder accepts writes after recovery
}

// TestCrashAtEachCall crashes at each file operation, and again while the folder
// is opened. A successful write must survive both crashes.
func TestCrashAtEachCall(t *testing.T) {
	const writes = 40
	reference := newFakeDisk(0)
	_, err := writeUntilError(reference, writes)
	is.New(t).NoErr(err)
	for crashAt := 1; crashAt <= reference.calls; crashAt++ {
		for seed := range uint64(4) {
			disk := newFakeDisk(seed)
			disk.crashAt = crashAt
			written, err := writeUntilError(disk, writes)
			is.New(t).True(errors.Is(err, errCrashed) || err == nil) // a failed removal is not an error of Write
			disk.restart()
			disk.crashAt = disk.calls + 1 + int(seed)
			_, _ = openTestJournal(disk)
			disk.restart()
			checkRecovered(t, disk, written)
		}
	}
}

// TestPowerLossAfterKill ends the process at each file operation, which leaves writes
// that were not synced, and crashes the machine at each operation of the next Open. A
// successful write must survive both, and the folder must not be taken for altered.
func TestPowerLossAfterKill(t *testing.T) {
	const (
		writes    = 25
		openCalls = 14
		seeds     = 2
	)
	reference := newFakeDisk(0)
	_, err := writeUntilError(reference, writes)
	is.New(t).NoErr(err)
	for killAt := 1; killAt <= reference.calls; killAt++ {
		for crashAt := range openCalls {
			for seed := range uint64(seeds) {
				disk := newFakeDisk(seed<<32 | uint64(killAt)<<16 | uint64(crashAt))
				disk.crashAt = killAt
				written, _ := writeUntilError(disk, writes)
				disk.kill()
				disk.crashAt = disk.calls + 1 + crashAt
				_, _ = openTestJournal(disk)
				disk.restart()
				checkRecovered(t, disk, written)
			}
		}
	}
}

func TestDiskFull(t *testing.T) {
	is := is.New(t)
	for capacity := 500; capacity < 12_000; capacity += 333 {
		disk := newFakeDisk(1)
		disk.capacity = capacity
		written, err := writeUntilError(disk, 200)
		is.True(errors.Is(err, errFull))
		disk.capacity = 0
		if len(disk.names) > 0 {
			checkRecovered(t, disk, written)
		}
	}
}

// TestFailedCompactionIsRepeated guards against a journal that outgrows its disk: there is
// no room for one compaction, and there is some soon after.
func TestFailedCompactionIsRepeated(t *testing.T) {
	const rotate = 4000
	is := is.New(t)
	disk := newFakeDisk(1)
	j, err := openTestJournal(disk)
	is.NoErr(err)
	write := func(n int) {
		is.NoErr(j.Write([]Record{{Group: 1, Persist: replicator.Persist{HardState: &replicator.HardState{Term: uint64(n)}}}}))
	}
	written := 0
	for ; j.rotateSize == rotate; written++ {
		disk.capacity = disk.used() + 100 // a record fits, a compacted file does not
		write(written)
	}
	disk.capacity = 0
	largest := j.Size()
	for range 10 * written {
		written++
		write(written)
		largest = max(largest, j.Size())
	}
	is.True(j.number > 1)
	is.True(largest <= 2*rotate+100)
}

func TestCorruptionInTheMiddleIsRefused(t *testing.T) {
	is := is.New(t)
	disk := newFakeDisk(1)
	_, err := writeUntilError(disk, 12)
	is.NoErr(err)
	for name, f := range disk.names {
		if !strings.HasPrefix(name, journalPrefix) {
			continue
		}
		var starts []int
		for offset := 0; offset < len(f.data); {
			starts = append(starts, offset)
			record, _ := readFrame(f.data, offset)
			offset = record.end
		}
		for _, start := range starts[:len(starts)-3] { // the last write consists of three frames
			for _, at := range []int{0, 4, 17, frameHeaderBytes} { // magic, length, checksum, payload
				if record, _ := readFrame(f.data, start); len(record.payload) == 0 {
					continue
				}
				f.data[start+at] ^= 0x10
				_, err := openTestJournal(disk)
				f.data[start+at] ^= 0x10
				var corrupt *CorruptError
				is.True(errors.As(err, &corrupt))
				is.Equal(corrupt.File, name)
				is.Equal(corrupt.Offset, int64(start))
			}
		}
	}
}

func TestFolderIsLocked(t *testing.T) {
	is := is.New(t)
	disk := Disk{Folder: t.TempDir()}
	j, err := openTestJournal(disk)
	is.NoErr(err)
	_, err = openTestJournal(disk)
	is.True(err != nil)
	is.NoErr(j.Close())
	j, err = openTestJournal(disk)
	is.NoErr(err)
	is.NoErr(j.Close())
}

// BenchmarkRestart opens a folder with 5,000 entries of 1 KiB that no snapshot
// covers, the worst case for a replica.
func BenchmarkRestart(b *testing.B) {
	disk := Disk{Folder: b.TempDir()}
	j, err := Open(Options{Files: disk, Folder: 42})
	if err != nil {
		b.Fatal(err)
	}
	for n := range uint64(5000) {
		entry := replicator.Entry{Index: n + 1, Term: 1, Data: make([]byte, 1024)}
		j.add(0, replicator.Persist{Entries: []replicator.Entry{entry}})
	}
	if err := j.rotate(); err != nil {
		b.Fatal(err)
	}
	j.Close()
	for b.Loop() {
		j, err := Open(Options{Files: disk})
		if err != nil {
			b.Fatal(err)
		}
		j.Close()
	}
}

// BenchmarkWrite writes and syncs batches of entries of 256 bytes.
func BenchmarkWrite(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprint("batch=", batch), func(b *testing.B) {
			j, err := Open(Options{Files: Disk{Folder: b.TempDir()}, Folder: 42, Rotate: 1 << 40})
			if err != nil {
				b.Fatal(err)
			}
			defer j.Close()
			next := uint64(0)
			for b.Loop() {
				entries := make([]replicator.Entry, batch)
				for i := range entries {
					next++
					entries[i] = replicator.Entry{Index: next, Term: 1, Data: make([]byte, 256)}
				}
				if err := j.Write([]Record{{Persist: replicator.Persist{Entries: entries}}}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(batch)*float64(b.N)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}
