package recorder

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/journaler"
	"github.com/redwingshunt/redwingshunt/locator"
	"github.com/redwingshunt/redwingshunt/replicator"
)

// Bounds and periods.
const (
	queueLength     = 1024                   // events that wait for the loop
	attemptTimeout  = time.Second            // for the answer to one attempt of a proposal
	retryDelay      = 50 * time.Millisecond  // between attempts that were refused
	operationDelay  = 200 * time.Millisecond // between looks at a change of membership
	transferTimeout = time.Second            // for handing over leaders before a stop
	snapshotEntries = 20_000                 // after which a snapshot is due
	entryOverhead   = 64                     // bytes that an entry counts besides its data
)

// DefaultCompact is the size in bytes of the entries after which a snapshot is
// due, at least.
const DefaultCompact = 4 << 20

// ErrFolderLost means that the folder holds no vote any more, because its disk
// is older than what the replica had promised or because the replica has been
// replaced. The next New begins a new folder in its place, which takes part
// again after Replace.
var ErrFolderLost = errors.New("the data folder holds no vote any more")

// ErrFolderInUse means that an instance that is to become a voter has state of
// its own already, so that its log could be another one.
var ErrFolderInUse = errors.New("the data folder of the new voter is not empty")

// errNoFolder means that an instance without a folder was asked for its state.
var errNoFolder = errors.New("this instance has no data folder")

// errStopped means that Run has ended.
var errStopped = errors.New("the log has stopped")

// Options describes the logs of one instance.
type Options struct {
	Self      redwingshunt.InstanceID
	Members   redwingshunt.Members
	Link      redwingshunt.Link
	Clock     redwingshunt.Clock
	Logger    *slog.Logger
	Folder    string                    // data folder; empty on an instance without a disk
	Files     journaler.FileSystem      // instead of Folder, for tests
	Initial   []redwingshunt.InstanceID // voters of the first membership
	Bootstrap bool                      // this one of Initial makes the first membership, if nobody has one yet
	Groups    int                       // groups, from GroupControl on; the same on all instances for good
	Compact   int                       // bytes of entries after which a snapshot is due; zero is DefaultCompact
	Machines  func(redwingshunt.GroupID) redwingshunt.StateMachine
	Prefer    Preference // nil for no preference
}

// Preference tells in which region a group is to be led, or none. It is called
// in the loop of the log, must not block and must not call the log.
type Preference func(redwingshunt.GroupID) redwingshunt.Option[redwingshunt.RegionID]

// files returns the file system of the folder, or nil without one.
func (o Options) files() journaler.FileSystem {
	if o.Files != nil {
		return o.Files
	}
	if o.Folder == "" {
		return nil
	}
	return journaler.Disk{Folder: o.Folder}
}

// New opens the folder and restores the state machines from their snapshots. It
// registers with the link, and takes part once Run is called.
func New(o Options) (*Recorder, error) {
	if o.Bootstrap && !slices.Contains(o.Initial, o.Self) {
		return nil, trace.BadParameter("instance %s cannot make the first membership without being part of it", o.Self)
	}
	if o.Compact == 0 {
		o.Compact = DefaultCompact
	}
	r := &Recorder{
		options: o,
		calls:   make(chan func(), queueLength),
		done:    make(chan struct{}),
		jobs:    make(chan []job, 1),
		results: make(chan result, 1),
		groups:  make(map[redwingshunt.GroupID]*group),
		self:    replicator.MemberID{Instance: o.Self},
		client:  newClient(random64()),
		post:    newPost(uint32(random64())),
		windows: make(map[redwingshunt.InstanceID]*window),
		locator: locator.New(),
	}
	if files := o.files(); files != nil {
		if err := r.open(files); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	o.Link.Handle(redwingshunt.KindLog, r.receiveBatch)
	o.Link.Handle(redwingshunt.KindSubmit, r.receiveCall)
	return r, nil
}

// open opens the journal, or begins a new one in place of a lost folder.
func (r *Recorder) open(files journaler.FileSystem) error {
	options := journaler.Options{Files: files, Folder: newFolderID(), Random: uint16(random64())}
	journal, err := journaler.Open(options)
	if err != nil {
		return err
	}
	if lost(journal) {
		r.options.Logger.Warn("data folder holds no vote any more; a new one begins", "folder", journal.Folder())
		if err := errors.Join(journal.Close(), journaler.SetAside(files)); err != nil {
			return err
		}
		if journal, err = journaler.Open(options); err != nil {
			return err
		}
	}
	if journal.Cut() > 0 {
		r.options.Logger.Info("cut off a torn tail of the journal", "bytes", journal.Cut())
	}
	r.journal = journal
	r.self.Folder = journal.Folder()
	return r.openGroups()
}

// openGroups makes the replicas of all groups from what the journal holds.
func (r *Recorder) openGroups() error {
	stored := r.journal.Groups()
	if len(stored) > r.options.Groups {
		return trace.BadParameter("the folder has %d groups, the settings %d", len(stored), r.options.Groups)
	}
	for i := range r.options.Groups {
		id := redwingshunt.GroupID(i)
		snapshot, err := r.journal.ReadSnapshot(id)
		if err != nil {
			return err
		}
		g := newGroup(r, id, stored[id])
		if err := g.restore(snapshot); err != nil {
			return err
		}
		r.groups[id] = g
	}
	return nil
}

// lost reports whether any group of a journal has given up its vote.
func lost(journal *journaler.Journal) bool {
	for _, stored := range journal.Groups() {
		if stored.HardState.Lost {
			return true
		}
	}
	return false
}

func newFolderID() replicator.FolderID {
	return replicator.FolderID(max(random64(), 1))
}

// random64 returns a number that no other process has.
func random64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}
