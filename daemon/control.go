package daemon

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/administrator"
	"github.com/redwingshunt/redwingshunt/bootstrapper"
	"github.com/redwingshunt/redwingshunt/claimer"
	"github.com/redwingshunt/redwingshunt/parser"
	"github.com/redwingshunt/redwingshunt/recorder"
	"github.com/redwingshunt/redwingshunt/registrar"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/submitter"
	"github.com/redwingshunt/redwingshunt/subscriber"
)

// quorumInterval is the interval at which a voter checks that it can reach a
// quorum.
const quorumInterval = 200 * time.Millisecond

// control runs this instance's part of the durable state of the fleet: the
// replicated log and the configuration stored in it.
type control struct {
	logger       *slog.Logger
	members      *memberTable
	goals        bootstrapper.Goals
	voters       atomic.Pointer[replicator.Membership] // members of the control group, read at quorumInterval; nil without goals
	documentFunc registrar.DocumentFunc
	failed       chan error // receives the error that stopped the log
	recorder     *recorder.Recorder
	subscription *subscriber.Subscriber
	submitter    *submitter.Submitter
	hasQuorum    atomic.Bool
	isLeader     atomic.Bool
	retiring     atomic.Bool // the seat is handed over; the folder loses its vote
	stop         context.CancelFunc
	stopped      chan struct{}
}

// newControl opens the data folder. It returns fixed as the configuration unless
// that is nil; the configuration in the log is then not used.
func newControl(d *Daemon, fixed *fixedConfiguration) (*control, redwingshunt.Configuration, error) {
	c := &control{logger: d.logger, members: d.members, goals: d.voterGoals(), documentFunc: d.options.documentFunc(), stopped: make(chan struct{}), failed: make(chan error, 1)}
	c.subscription = subscriber.New(subscriber.Options{
		Link:     d.linker,
		Members:  d.members,
		Clock:    wallClock{},
		Document: d.options.documentFunc(),
		Quorum:   c.hasQuorum.Load,
		Leader:   c.isLeader.Load,
		Seed:     uint64(d.members.Self().Incarnation),
		Logger:   d.logger,
	})
	var configuration redwingshunt.Configuration = c.subscription
	if fixed != nil {
		configuration = fixed
	}
	voters := d.settings.Voters
	log, err := recorder.New(recorder.Options{
		Self:      d.settings.Name,
		Members:   d.members,
		Link:      d.linker,
		Clock:     wallClock{},
		Logger:    d.logger,
		Folder:    d.settings.Data,
		Initial:   voters,
		Bootstrap: len(voters) > 0 && voters[0] == d.settings.Name && d.settings.Data != "",
		Groups:    groupCount(d.settings),
		Machines:  c.newMachine,
		Prefer:    c.preferRegion(configuration),
	})
	if err != nil {
		return nil, nil, errors.Join(errRestart, err)
	}
	c.recorder = log
	c.submitter = submitter.New(submitter.Options{
		Log: log, View: c.subscription, Clock: wallClock{}, Section: parser.Section, Logger: d.logger,
	})
	return c, configuration, nil
}

// groupCount returns the number of log groups. An instance without a listen
// address claims no requests and needs only the control group, which holds the
// configuration.
func groupCount(settings redwingshunt.Settings) int {
	if settings.Listen.IsValid() {
		return 1 + redwingshunt.MaxGroups
	}
	return 1
}

// preferRegion places the leader of each claim group in the region that the document in
// force assigns to the group, and that of the control group as the goals for the places of
// the voters say.
func (c *control) preferRegion(configuration redwingshunt.Configuration) recorder.Preference {
	return func(group redwingshunt.GroupID) redwingshunt.Option[redwingshunt.RegionID] {
		if voters := c.voters.Load(); group == redwingshunt.GroupControl && voters != nil {
			return c.goals.LeaderRegion(c.members.Self(), bootstrapper.View{Live: c.members.Live(), Membership: *voters})
		}
		snapshot := configuration.Current()
		if snapshot == nil {
			return redwingshunt.None[redwingshunt.RegionID]()
		}
		return claimer.Home(snapshot.Document, group)
	}
}

// survival returns the losses that a group survives, or nil if it does not matter or this
// instance does not know the voters.
func (c *control) survival(status recorder.GroupStatus) *administrator.Survival {
	if !c.goals.Tolerate.Enabled() || len(status.Members) == 0 {
		return nil
	}
	zone, region := bootstrapper.View{Live: c.members.Live(), Membership: membershipOf(status)}.Survives()
	return &administrator.Survival{Zone: zone, Region: region}
}

// newMachine returns an empty state machine for a group.
func (c *control) newMachine(group redwingshunt.GroupID) redwingshunt.StateMachine {
	if group != redwingshunt.GroupControl {
		return claimer.New()
	}
	return registrar.New(registrar.Options{
		Document:    c.documentFunc,
		Section:     parser.Section,
		CheckChange: claimer.FindMovedKeys,
		Accepted:    c.subscription.Accept,
	})
}

// run starts the background work, which ends with ctx. Only the log runs on until
// close.
func (c *control) run(ctx context.Context) {
	logContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	c.stop = stop
	go func() {
		defer close(c.stopped)
		err := c.recorder.Run(logContext)
		if c.retiring.Load() && errors.Is(err, recorder.ErrFolderLost) {
			return
		}
		if err != nil && !errors.Is(err, context.Canceled) {
			c.logger.Error("the log of this instance has stopped; requests are still routed",
				"error", err.Error(), "next", "restart the instance; see redwingshunt repair")
			c.failed <- errors.Join(errRestart, err)
		}
	}()
	go c.subscription.Run(ctx)
	go c.watchQuorum(ctx)
}

func (c *control) watchQuorum(ctx context.Context) {
	ticker := time.NewTicker(quorumInterval)
	defer ticker.Stop()
	var previous recorder.GroupStatus
	for {
		groups := c.recorder.Status().Groups
		if len(groups) > 0 {
			c.logChange(previous, groups[0])
			previous = groups[0]
			if c.goals.Tolerate.Enabled() {
				voters := membershipOf(groups[0])
				c.voters.Store(&voters)
			}
		}
		c.isLeader.Store(len(groups) > 0 && groups[0].Role == replicator.RoleLeader)
		// A restarted voter knows a leader before it has applied the entries that were
		// committed earlier; what it has until then must not pass for the newest.
		hasQuorum := len(groups) > 0 && groups[0].Role != "" && groups[0].Leader != "" && groups[0].Current
		if hasQuorum != c.hasQuorum.Swap(hasQuorum) {
			c.subscription.Wake()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// logChange logs changes of the leader and the voters of the control group.
func (c *control) logChange(before, after recorder.GroupStatus) {
	if before.Leader != after.Leader {
		c.logger.Info("leader of the log changed", "leader", string(after.Leader), "before", string(before.Leader),
			"term", after.Term, "commit", after.Commit)
	}
	if votersBefore, votersAfter := votersOf(before), votersOf(after); !slices.Equal(votersBefore, votersAfter) {
		c.logger.Info("voters of the log changed", "voters", votersAfter, "before", votersBefore, "commit", after.Commit)
	}
}

// votersOf returns the voters of a log group.
func votersOf(status recorder.GroupStatus) []redwingshunt.InstanceID {
	var voters []redwingshunt.InstanceID
	for _, member := range status.Members {
		if member.Voter {
			voters = append(voters, member.Instance)
		}
	}
	return voters
}

// isVoter reports whether this instance is a voter of the control group.
func (c *control) isVoter() bool {
	status := c.recorder.Status()
	if len(status.Groups) == 0 {
		return false
	}
	for _, member := range status.Groups[0].Members {
		if member.Folder == status.Folder && member.Instance == status.Self {
			return member.Voter
		}
	}
	return false
}

// close stops the log, which transfers the leadership of the groups that this
// instance leads.
func (c *control) close() {
	c.stop()
	<-c.stopped
}

// Logs returns the state of all log groups for the administration API.
func (c *control) Logs() []administrator.LogStatus {
	var logs []administrator.LogStatus
	for _, g := range c.recorder.Status().Groups {
		entry := administrator.LogStatus{
			Group: g.Group, Role: string(g.Role), Leader: g.Leader, Term: g.Term,
			Commit: g.Commit, Last: g.Last, Pending: g.Pending, Lost: g.Lost,
		}
		for _, m := range g.Members {
			entry.Members = append(entry.Members, administrator.LogMember{
				Instance: m.Instance, Voter: m.Voter, Alive: m.Alive, Lag: m.Lag,
			})
		}
		entry.Survives = c.survival(g)
		logs = append(logs, entry)
	}
	return logs
}

// Changes returns up to limit of the most recent accepted changes.
func (c *control) Changes(ctx context.Context, limit int) ([]administrator.Change, error) {
	found, err := c.submitter.Changes(ctx, limit, 0)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	changes := make([]administrator.Change, 0, len(found))
	for _, f := range found {
		changes = append(changes, administrator.Change{
			Revision: f.Revision, Section: f.Section, Team: f.Team, At: f.At, ID: f.ID,
		})
	}
	return changes, nil
}

// Text returns the text of the document at a revision.
func (c *control) Text(ctx context.Context, revision redwingshunt.Revision) ([]byte, error) {
	part, err := c.submitter.Text(ctx, "", revision)
	return part.Text, trace.Wrap(err)
}

// Replace replaces a lost voter by another instance.
func (c *control) Replace(ctx context.Context, lost, replacement redwingshunt.InstanceID) error {
	return trace.Wrap(c.recorder.Replace(ctx, lost, replacement))
}

// Backup writes the committed state to w.
func (c *control) Backup(w io.Writer) error {
	return trace.Wrap(c.recorder.Backup(w))
}
