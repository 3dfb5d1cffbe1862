// Package journaler keeps the replicated logs of one instance in its data
// folder.
//
// All groups share one journal, so that one write and one sync cover whatever
// any of them has to persist at that moment (group commit). The folder holds:
//
//	lock                     held while a process uses the folder
//	journal-<number>         the records, in one file
//	snapshot-<group>-<term>-<index>
//	*.tmp                    files that were not finished
//
// The journal is written ahead: a replica answers only once Write has returned.
// When the file has grown, a new one that holds just what still counts is
// written, synced and renamed into place, and the old one goes. A file is thus
// whole when it appears, and from then on only its tail can be torn.
//
// A record has a checksum (CRC32C) over its length and content, and says how
// far the file was synced when it was written. After a crash, a bad record
// beyond that place is the torn tail of writes that nobody relied on, and is
// cut off. A bad record before it has been altered since: Open refuses the
// folder and names file and offset.
//
// The first record holds the identity of the folder, a random number made when
// the folder is first used. A folder without its journal therefore becomes
// another folder, never an empty one under the old identity.
//
// After a failed write or sync nothing is known about the file, so that every
// later Write fails too; the process has to open the folder anew.
//
// # Usage
//
//	journal, err := journaler.Open(journaler.Options{Files: journaler.Disk{Folder: path}, Folder: random})
//	for group, stored := range journal.Groups() {
//		core := replicator.New(config, stored, now)
//	}
//	err = journal.Write([]journaler.Record{{Group: 0, Persist: persist}}) // returns when synced
package journaler
