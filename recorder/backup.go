package recorder

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/journaler"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/wire"
)

// A backup consists of backupMagic and, for each group, the length of its part and
// the CRC32C of the part as four little-endian bytes each, and the part itself.
const (
	backupMagic        = "redwingshunt backup 1\n"
	maxBackupPartBytes = 1 << 30 // bytes
	backupTimeout      = time.Minute
)

// ErrBackup means that a file is not a complete backup.
var ErrBackup = errors.New("the file is no whole backup")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Backup writes the state of all groups as applied on this voter. Each group is
// consistent in itself; all groups are read at the same moment on this voter.
func (r *Recorder) Backup(w io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), backupTimeout)
	defer cancel()
	parts, err := r.backupParts(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	out := bufio.NewWriter(w)
	if _, err := out.WriteString(backupMagic); err != nil {
		return trace.ConvertSystemError(err)
	}
	for _, part := range parts {
		var header [8]byte
		binary.LittleEndian.PutUint32(header[:], uint32(len(part)))
		binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(part, castagnoli))
		if _, err := out.Write(append(header[:], part...)); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return trace.ConvertSystemError(out.Flush())
}

// backupParts encodes all groups within one call of the loop.
func (r *Recorder) backupParts(ctx context.Context) ([][]byte, error) {
	type result struct {
		parts [][]byte
		err   error
	}
	found := make(chan result, 1)
	err := r.runInLoop(ctx, func() {
		var res result
		for _, g := range r.orderedGroups() {
			part, err := g.backup()
			res.parts, res.err = append(res.parts, part), errors.Join(res.err, err)
		}
		found <- res
	})
	if err != nil {
		return nil, err
	}
	select {
	case res := <-found:
		return res.parts, res.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// backup encodes the state of one group.
func (g *group) backup() ([]byte, error) {
	data, err := g.encode()
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&wire.LogBackup{
		Group:  uint32(g.id),
		Groups: uint32(g.recorder.options.Groups),
		State:  data,
		Index:  g.applied,
		Taken:  g.recorder.options.Clock.Now().UnixNano(),
	})
}

// Restore writes a backup into an empty folder and makes self the only voter of
// all groups. Run it while the daemon is stopped, then start the daemon and add
// the other voters with Replace. It returns ErrBackup, wrapped, if the backup is
// incomplete or damaged.
func Restore(files journaler.FileSystem, self redwingshunt.InstanceID, backup io.Reader) error {
	parts, err := readBackup(backup)
	if err != nil {
		return trace.Wrap(err)
	}
	journal, err := journaler.Open(journaler.Options{Files: files, Folder: newFolderID(), Random: uint16(random64())})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.NewAggregate(restore(journal, self, parts), journal.Close())
}

// restore writes the parts of a backup into an empty journal.
func restore(journal *journaler.Journal, self redwingshunt.InstanceID, parts []*wire.LogBackup) error {
	if len(journal.Groups()) > 0 {
		return trace.AlreadyExists("the folder is not empty")
	}
	membership := replicator.NewMembership(replicator.MemberID{Instance: self, Folder: journal.Folder()})
	var records []journaler.Record
	for _, part := range parts {
		meta := replicator.SnapshotMeta{Index: max(part.GetIndex(), 1), Term: 1, Membership: membership}
		snapshot := &replicator.Snapshot{SnapshotMeta: meta, Data: part.GetState()}
		records = append(records, journaler.Record{
			Group: redwingshunt.GroupID(part.GetGroup()), Persist: replicator.Persist{Snapshot: snapshot},
		})
	}
	return trace.Wrap(journal.Write(records))
}

// readBackup reads and verifies all parts of a backup.
func readBackup(r io.Reader) ([]*wire.LogBackup, error) {
	in := bufio.NewReader(r)
	magic := make([]byte, len(backupMagic))
	if _, err := io.ReadFull(in, magic); err != nil || string(magic) != backupMagic {
		return nil, ErrBackup
	}
	var parts []*wire.LogBackup
	for {
		part, err := readPart(in)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	if len(parts) == 0 || len(parts) != int(parts[0].GetGroups()) {
		return nil, ErrBackup
	}
	return parts, nil
}

// readPart returns the next part, or io.EOF after the last one.
func readPart(r io.Reader) (*wire.LogBackup, error) {
	var header [8]byte
	if _, err := io.ReadFull(r, header[:]); errors.Is(err, io.EOF) {
		return nil, io.EOF
	} else if err != nil {
		return nil, ErrBackup
	}
	length := binary.LittleEndian.Uint32(header[:])
	if length > maxBackupPartBytes {
		return nil, ErrBackup
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, ErrBackup
	}
	var part wire.LogBackup
	if crc32.Checksum(data, castagnoli) != binary.LittleEndian.Uint32(header[4:]) || proto.Unmarshal(data, &part) != nil {
		return nil, ErrBackup
	}
	return &part, nil
}
