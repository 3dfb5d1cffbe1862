package daemon

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/bootstrapper"
	"github.com/redwingshunt/redwingshunt/recorder"
	"github.com/redwingshunt/redwingshunt/replicator"
)

const (
	// handOverTimeout limits the time in which a voter that stops hands its seat over.
	handOverTimeout = 5 * time.Second
	// handOverAttemptTimeout limits the time for one successor, which may stop as well.
	handOverAttemptTimeout = 3 * time.Second
	// handOverRetryDelay is the delay before another successor is chosen.
	handOverRetryDelay = 100 * time.Millisecond
)

// handOver makes another instance a voter in place of this one before a planned stop.
// Without that, the loss of another voter would end the log until a successor has taken
// the seat. It returns at once if no instance can take it: a restart keeps the vote.
func (d *Daemon) handOver(ctx context.Context) {
	if d.settings.Wanted == 0 || d.settings.Data == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	began := time.Now()
	var successor redwingshunt.InstanceID
	if d.rebalancer != nil {
		successor = d.rebalancer.stop() // a move that has begun is completed
	}
	for ctx.Err() == nil && (successor != "" || d.control.isVoter()) {
		if successor == "" {
			view := bootstrapper.View{Live: d.members.Live(), Membership: d.control.membership()}
			view.Absent = d.absentMembers(view.Membership)
			best, found := d.voterGoals().Successor(d.members.Self(), view).Get()
			if !found {
				d.logger.Info("voter stops with its seat", "reason", "no other instance can take it")
				return
			}
			successor = best
		}
		d.control.retiring.Store(true)
		attempt, done := context.WithTimeout(ctx, handOverAttemptTimeout)
		err := d.control.recorder.HandOver(attempt, successor)
		done()
		if err == nil {
			d.logger.Info("seat of the voter handed over", "successor", string(successor), "took", time.Since(began).String())
			return
		}
		d.logger.Warn("seat of the voter not handed over", "successor", string(successor), "error", err.Error())
		if errors.Is(err, recorder.ErrSeatTaken) || !d.stays(successor) {
			successor = ""
		}
		redwingshunt.Pause(ctx, handOverRetryDelay)
	}
}

// voterGoals returns the goals for the places of the voters.
func (d *Daemon) voterGoals() bootstrapper.Goals {
	return bootstrapper.Goals{Tolerate: d.settings.Tolerate, Wanted: d.settings.Wanted}
}

// absentMembers returns the instances of members that are not live, as last seen.
func (d *Daemon) absentMembers(membership replicator.Membership) []redwingshunt.Instance {
	if !d.settings.Tolerate.Enabled() {
		return nil
	}
	live := d.members.Live()
	var absent []redwingshunt.Instance
	for _, member := range membership {
		id := member.ID.Instance
		if slices.ContainsFunc(live, func(i redwingshunt.Instance) bool { return i.ID == id }) {
			continue
		}
		if instance, known := d.members.find(id); known {
			absent = append(absent, instance)
		}
	}
	return absent
}

// stays reports whether an instance is live and does not leave.
func (d *Daemon) stays(id redwingshunt.InstanceID) bool {
	return slices.ContainsFunc(d.members.Live(), func(i redwingshunt.Instance) bool { return i.ID == id && !i.Leaving })
}

// membership returns the members of the control group as this instance knows them.
func (c *control) membership() replicator.Membership {
	groups := c.recorder.Status().Groups
	if len(groups) == 0 {
		return nil
	}
	return membershipOf(groups[0])
}

// membershipOf returns the members of a group.
func membershipOf(status recorder.GroupStatus) replicator.Membership {
	var membership replicator.Membership
	for _, m := range status.Members {
		membership = append(membership, replicator.Member{
			ID: replicator.MemberID{Instance: m.Instance, Folder: m.Folder}, Voter: m.Voter,
		})
	}
	return membership
}
