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

// Limits and timeouts.
const (
	callQueueLength        = 1024                   // calls that wait for the loop
	attemptTimeout         = time.Second            // for the reply to one attempt of a proposal
	retryDelay             = 50 * time.Millisecond  // after a refused attempt
	membershipPollDelay    = 100 * time.Millisecond // between checks of a membership change
	transferTimeout        = time.Second            // for transferring leadership before a stop
	snapshotTriggerEntries = 20_000                 // entries after which a snapshot is due
	entryOverheadBytes     = 64                     // added to the data size of each entry
)

// DefaultCompact is the minimum size in bytes of the entries after which a
// snapshot is due.
const DefaultCompact = 4 << 20

// ErrFolderLost means that the folder has lost its vote, because its content is
// older than what the replica acknowledged or because the replica was replaced.
// The next New creates a new folder in its place, which can vote again after
// Replace.
var ErrFolderLost = errors.New("the data folder has lost its vote")

// ErrFolderInUse means that the instance to be added as a voter already has state,
// which may belong to another log.
var ErrFolderInUse = errors.New("the data folder of the new voter is not empty")

// errNoFolder means that the instance has no folder and therefore no replicas.
var errNoFolder = errors.New("this instance has no data folder")

// errStopped means that Run has ended.
var errStopped = errors.New("the log has stopped")

// Options configures the replicated logs of one instance.
type Options struct {
	Self      redwingshunt.InstanceID
	Members   redwingshunt.Members
	Link      redwingshunt.Link
	Clock     redwingshunt.Clock
	Logger    *slog.Logger
	Folder    string                    // data folder; empty on an instance without a disk
	Files     journaler.FileSystem      // used instead of Folder in tests
	Initial   []redwingshunt.InstanceID // voters of the initial membership
	Bootstrap bool                      // this member of Initial creates the initial membership if none exists
	Groups    int                       // number of groups, numbered from GroupControl; equal on all instances and never changed
	Compact   int                       // minimum bytes of entries between snapshots; zero means DefaultCompact
	Machines  func(redwingshunt.GroupID) redwingshunt.StateMachine
	Prefer    Preference // nil means no preference
}

// Preference returns the region that should lead a group, or none. It is called in
// the event loop of the log, so it must not block or call the log.
type Preference func(redwingshunt.GroupID) redwingshunt.Option[redwingshunt.RegionID]

// files returns the file system of the folder, or nil if there is no folder.
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
// registers with the link; the replicas take part in their groups once Run is
// called.
func New(o Options) (*Recorder, error) {
	if o.Bootstrap && !slices.Contains(o.Initial, o.Self) {
		return nil, trace.BadParameter("instance %s cannot create the initial membership: it is not an initial voter", o.Self)
	}
	if o.Compact == 0 {
		o.Compact = DefaultCompact
	}
	r := &Recorder{
		options: o,
		calls:   make(chan func(), callQueueLength),
		done:    make(chan struct{}),
		self:    replicator.MemberID{Instance: o.Self},
		client:  newClient(random64()),
	}
	r.reset()
	if files := o.files(); files != nil {
		if err := r.open(files); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	o.Link.Handle(redwingshunt.KindLog, r.receiveBatch)
	o.Link.Handle(redwingshunt.KindSubmit, r.receiveCall)
	return r, nil
}

// reset creates the state that belongs to one start of one folder.
func (r *Recorder) reset() {
	r.groups = make(map[redwingshunt.GroupID]*group)
	r.batcher = newBatcher(uint32(random64()))
	r.windows = make(map[redwingshunt.InstanceID]*requestWindow)
	r.locator = locator.New()
	r.queue, r.writing, r.seeding, r.failed = nil, false, false, nil
	r.jobs, r.results = make(chan []job, 1), make(chan result, 1)
}

// open opens the journal, or creates a new one if the folder has lost its vote.
func (r *Recorder) open(files journaler.FileSystem) error {
	options := journaler.Options{Files: files, Folder: newFolderID(), Random: uint16(random64())}
	journal, err := journaler.Open(options)
	if err != nil {
		return err
	}
	if voteLost(journal) {
		r.options.Logger.Warn("data folder has lost its vote; creating a new one", "folder", journal.Folder())
		if err := errors.Join(journal.Close(), journaler.SetAside(files)); err != nil {
			return err
		}
		if journal, err = journaler.Open(options); err != nil {
			return err
		}
	}
	if journal.Cut() > 0 {
		r.options.Logger.Info("torn tail of the journal truncated", "bytes", journal.Cut())
	}
	r.journal = journal
	r.self.Folder = journal.Folder()
	r.identity.Store(&identity{self: r.self, start: journal.Start(), successor: journal.Successor()})
	if err := r.openGroups(); err != nil {
		return errors.Join(err, journal.Close())
	}
	return nil
}

// openGroups creates the replicas of all groups from the stored state.
func (r *Recorder) openGroups() error {
	stored := r.journal.Groups()
	if len(stored) > r.options.Groups {
		return trace.BadParameter("the data folder has %d groups, the settings specify %d", len(stored), r.options.Groups)
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

// voteLost reports whether any group of a journal has lost its vote.
func voteLost(journal *journaler.Journal) bool {
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

// random64 returns a number that is unique with overwhelming probability.
func random64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never returns an error
	return binary.LittleEndian.Uint64(b[:])
}
