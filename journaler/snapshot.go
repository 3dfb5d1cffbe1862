package journaler

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
)

// snapshotName returns the file name of a snapshot.
func snapshotName(group redwingshunt.GroupID, meta replicator.SnapshotMeta) string {
	return fmt.Sprintf("%s%d-%d-%d", snapshotPrefix, group, meta.Term, meta.Index)
}

// saveSnapshot writes the data of a snapshot. The snapshot takes effect once a
// record refers to it.
func (j *Journal) saveSnapshot(group redwingshunt.GroupID, snapshot replicator.Snapshot) error {
	var data []byte
	for offset := 0; offset == 0 || offset < len(snapshot.Data); offset += maxPayloadBytes {
		chunk := snapshot.Data[offset:min(offset+maxPayloadBytes, len(snapshot.Data))]
		data = appendFrame(data, chunk, int64(len(data)))
	}
	return writeAtomic(j.files, snapshotName(group, snapshot.SnapshotMeta), data)
}

// ReadSnapshot returns the newest snapshot of a group. The data is empty when the
// index is zero, or when the snapshot only carries the initial membership.
func (j *Journal) ReadSnapshot(group redwingshunt.GroupID) (replicator.Snapshot, error) {
	stored := j.groups[group]
	if stored == nil || stored.Snapshot.Index == 0 {
		return replicator.Snapshot{}, nil
	}
	snapshot := replicator.Snapshot{SnapshotMeta: stored.Snapshot}
	name := snapshotName(group, stored.Snapshot)
	data, err := j.files.Read(name)
	if err != nil {
		return snapshot, trace.Wrap(err)
	}
	end, err := scan(name, data, func(payload []byte) error {
		snapshot.Data = append(snapshot.Data, payload...)
		return nil
	})
	if err == nil && (end < len(data) || len(data) == 0) {
		err = &CorruptError{name, int64(end), "a record does not match its checksum"}
	}
	return snapshot, trace.Wrap(err)
}

// removeSnapshots deletes all snapshots of a group except the newest. Files that
// cannot be deleted are harmless and are retried after the next snapshot.
func (j *Journal) removeSnapshots(group redwingshunt.GroupID) {
	names, err := j.files.List()
	if err != nil {
		return
	}
	newest := snapshotName(group, j.groups[group].Snapshot)
	for _, name := range names {
		if strings.HasPrefix(name, fmt.Sprintf("%s%d-", snapshotPrefix, group)) && name != newest {
			_ = j.files.Remove(name)
		}
	}
}
