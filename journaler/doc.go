// Package journaler stores the replicated logs of one instance in its data
// folder.
//
// All groups share one journal, so that one write and one sync cover everything
// that any of them has to persist at that time (group commit). The folder holds:
//
//	lock                     locked while a process uses the folder
//	journal-<number>         the records, in one file
//	snapshot-<group>-<term>-<index>
//	*.tmp                    unfinished files
//
// The journal is a write-ahead log: a replica replies only after Write has
// returned. When the file has grown past a limit, a new file with only the
// current state is written, synced and renamed into place, and the old one is
// removed (compaction). A file is thus complete when it appears under its name,
// and only its tail can be torn afterwards.
//
// Each record has a checksum (CRC32C) over its length and content, and states
// how many bytes of the file were synced when it was written. After a crash, an
// invalid record beyond that point is the torn tail of writes that were never
// acknowledged, and is truncated. An invalid record before that point was
// altered later: Open rejects the folder and reports the file and offset.
//
// The first record holds the identity of the folder, a random number that is
// generated when the folder is first used. A folder that lost its journal thus
// gets a new identity and is never taken for an empty folder with the old one.
//
// After a failed write or sync the state of the file is unknown, so every later
// Write fails too; the process has to open the folder again.
//
// # Usage
//
//	journal, err := journaler.Open(journaler.Options{Files: journaler.Disk{Folder: path}, Folder: random})
//	for group, stored := range journal.Groups() {
//		core := replicator.New(config, stored, now)
//	}
//	err = journal.Write([]journaler.Record{{Group: 0, Persist: persist}}) // returns when synced
package journaler
