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

// change returns the nth write of a test: entries of two groups, a vote, and
// now and then a snapshot.
func change(n uint64) []Record {
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

func open(files FileSystem) (*Journal, error) {
	return Open(Options{Files: files, Folder: 42, Rotate: 4000})
}

// run writes changes until one fails and returns the number of the last good one.
func run(files FileSystem, changes uint64) (uint64, error) {
	j, err := open(files)
	if err != nil {
		return 0, err
	}
	for n := range changes {
		if err := j.Write(change(n + 1)); err != nil {
			return n, err
		}
	}
	return changes, nil
}

// check opens the folder and verifies that it holds a whole number of group 1's
// changes, at least those that were written with success.
func check(t *testing.T, files FileSystem, written uint64) {
	is := is.New(t)
	j, err := open(files)
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
	is.NoErr(j.Write(change(last + 1)[1:2])) // the folder can be written again
}

// TestCrashAtEachCall crashes at each write, sync, rename and removal, and then
// once more while the folder is opened.
func TestCrashAtEachCall(t *testing.T) {
	const changes = 40
	whole := newFakeDisk(0)
	_, err := run(whole, changes)
	is.New(t).NoErr(err)
	for crashAt := 1; crashAt <= whole.calls; crashAt++ {
		for seed := range uint64(4) {
			disk := newFakeDisk(seed)
			disk.crashAt = crashAt
			written, err := run(disk, changes)
			is.New(t).True(errors.Is(err, errCrashed) || err == nil) // a removal may fail
			disk.restart()
			disk.crashAt = disk.calls + 1 + int(seed)
			_, _ = open(disk)
			disk.restart()
			check(t, disk, written)
		}
	}
}

func TestDiskFull(t *testing.T) {
	is := is.New(t)
	for capacity := 500; capacity < 12_000; capacity += 333 {
		disk := newFakeDisk(1)
		disk.capacity = capacity
		written, err := run(disk, 200)
		is.True(errors.Is(err, errFull))
		disk.capacity = 0
		if len(disk.names) > 0 {
			check(t, disk, written)
		}
	}
}

func TestCorruptionInTheMiddleIsRefused(t *testing.T) {
	is := is.New(t)
	disk := newFakeDisk(1)
	_, err := run(disk, 12)
	is.NoErr(err)
	for name, f := range disk.names {
		if !strings.HasPrefix(name, journalPrefix) {
			continue
		}
		var starts []int
		for offset := 0; offset < len(f.data); {
			starts = append(starts, offset)
			whole, _ := readFrame(f.data, offset)
			offset = whole.end
		}
		for _, start := range starts[:len(starts)-3] { // the last write has three frames
			for _, at := range []int{0, 4, 17, frameHeader} { // magic, length, checksum, payload
				if whole, _ := readFrame(f.data, start); len(whole.payload) == 0 {
					continue
				}
				f.data[start+at] ^= 0x10
				_, err := open(disk)
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
	j, err := open(disk)
	is.NoErr(err)
	_, err = open(disk)
	is.True(err != nil)
	is.NoErr(j.Close())
	j, err = open(disk)
	is.NoErr(err)
	is.NoErr(j.Close())
}

// BenchmarkRestart opens a folder after 5,000 changes of 1 KiB that no snapshot
// covers, the worst that a replica finds.
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

// BenchmarkWrite syncs a batch of entries of 256 bytes.
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
