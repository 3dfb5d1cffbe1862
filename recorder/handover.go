package recorder

import (
	"context"
	"errors"
	"slices"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/replicator/encoder"
	"github.com/redwingshunt/redwingshunt/wire"
)

// ErrSeatTaken means that another instance has the seat that an instance was to take, or
// that this instance has been added in place of another member meanwhile.
var ErrSeatTaken = errors.New("the seat is taken, or the successor replaces another voter")

// HandOver makes the folder of successor a voter of all groups in place of this
// instance, before a planned stop, and returns when that is committed. The folder of
// this instance then has no vote any more, so that its next start begins with a new
// one. The number of voters is never reduced: if the successor is already a member, as
// it replaces another voter, it returns ErrSeatTaken, wrapped.
func (r *Recorder) HandOver(ctx context.Context, successor redwingshunt.InstanceID) error {
	if err := r.runInLoop(ctx, func() { r.reopened = nil }); err != nil {
		return trace.Wrap(err)
	}
	if err := r.setLeaving(ctx, true); err != nil {
		return err
	}
	own := r.member()
	err := r.replaceInGroups(ctx, replacement{recorder: r, oldVoter: r.options.Self, newVoter: successor, onlyReplace: true})
	if err != nil {
		return errors.Join(err, r.setLeaving(context.WithoutCancel(ctx), false))
	}
	if err := r.retireReplicas(ctx, own); err != nil {
		return err
	}
	select {
	case <-r.done: // the log stops once the retirement is synced
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Join makes the folder of this instance a voter of all groups in place of the folder of
// lost, which may be this instance with another folder, or in addition if lost is empty
// and there are fewer voters than wanted.
// Of several instances that join for one seat, the first one whose addition is committed
// gets it, unless the leader does not hear of it any more; the others get ErrSeatTaken,
// wrapped.
func (r *Recorder) Join(ctx context.Context, lost redwingshunt.InstanceID, wanted int) error {
	return r.replaceInGroups(ctx, replacement{
		recorder: r, oldVoter: lost, newVoter: r.options.Self, onlyReplace: true, wanted: wanted,
	})
}

// setLeaving makes the replicas of this instance stand for election or not.
func (r *Recorder) setLeaving(ctx context.Context, enabled bool) error {
	return trace.Wrap(r.runInLoop(ctx, func() {
		for _, g := range r.orderedGroups() {
			g.step(replicator.Leaving{Enabled: enabled})
		}
	}))
}

// retireReplicas gives up the vote of the folder of a member of this instance. It must be
// called only once no group counts it any more. The log then stops or begins with a new
// folder.
func (r *Recorder) retireReplicas(ctx context.Context, own replicator.MemberID) error {
	return trace.Wrap(r.runInLoop(ctx, func() {
		if r.self != own {
			return
		}
		for _, g := range r.orderedGroups() {
			g.step(replicator.Retired{})
		}
	}))
}

// seatTaken reports whether the new voter cannot take the seat of the old one: it is a
// member in place of another one, or the old voter is no member any more. A free seat is
// taken once there are as many voters as wanted.
func (p *replacement) seatTaken(m replicator.Membership, newVoter replicator.MemberID) bool {
	if p.oldVoter == "" {
		_, known := m.Find(newVoter)
		return !known && m.Voters() >= p.wanted
	}
	var seats []replicator.MemberID
	for _, old := range m.Instance(p.oldVoter) {
		if old.ID != newVoter {
			seats = append(seats, old.ID)
		}
	}
	member, known := m.Find(newVoter)
	if !known {
		return len(seats) == 0
	}
	return len(seats) > 0 && !slices.Contains(seats, member.Replaces)
}

// rival returns the member that is taking the seat of the old voter, or a free one, for
// another instance, if any: a voter, or a learner of which the leader hears.
func (p *replacement) rival(m replicator.Membership, newVoter replicator.MemberID, silent []*wire.LogMember) (replicator.MemberID, bool) {
	for _, member := range m {
		old, replaces := m.Find(member.Replaces)
		sameSeat := replaces && old.ID.Instance == p.oldVoter || !replaces && !member.Voter && p.oldVoter == ""
		if member.ID.Instance == newVoter.Instance || !sameSeat {
			continue
		}
		heard := !slices.ContainsFunc(silent, func(s *wire.LogMember) bool { return encoder.ParseMember(s).ID == member.ID })
		if member.Voter || heard {
			return member.ID, true
		}
	}
	return replicator.MemberID{}, false
}
