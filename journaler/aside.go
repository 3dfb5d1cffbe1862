package journaler

import (
	"strings"

	"github.com/gravitational/trace"
)

// asidePrefix begins the names of files that SetAside has kept.
const asidePrefix = "lost-"

// SetAside empties a folder, which gets a new identity when it is next opened.
// The files stay under other names until the next call, since they may be the
// last copy of something.
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
		if strings.HasPrefix(name, asidePrefix) {
			if err := files.Remove(name); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	for _, name := range names {
		if strings.HasPrefix(name, journalPrefix) || strings.HasPrefix(name, snapshotPrefix) {
			if err := files.Rename(name, asidePrefix+name); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return trace.Wrap(files.Sync())
}
