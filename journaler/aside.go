package journaler

import (
	"strings"

	"github.com/gravitational/trace"
)

// lostPrefix starts the names of the files that SetAside keeps.
const lostPrefix = "lost-"

// SetAside renames the journal and snapshot files of a folder, so that the next
// Open creates a new identity. The renamed files stay until the next call, because
// they may be the last copy of some state.
func SetAside(files FileSystem) error {
	lock, err := files.Lock(lockName)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.NewAggregate(setAside(files), lock.Close())
}

func setAside(files FileSystem) error {
	names, err := files.List()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, name := range names {
		if strings.HasPrefix(name, lostPrefix) {
			if err := files.Remove(name); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	for _, name := range names {
		if strings.HasPrefix(name, journalPrefix) || strings.HasPrefix(name, snapshotPrefix) {
			if err := files.Rename(name, lostPrefix+name); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return trace.Wrap(files.Sync())
}
