package recorder

import (
	"context"
	"errors"
	"slices"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/replicator/encoder"
)

// ErrChangePending means that another change of the membership is in progress.
var ErrChangePending = errors.New("another change of the members is in progress")

// MoveSeat makes the folder of successor a voter of all groups in place of this instance,
// as HandOver does, but this instance runs on: its folder loses its vote and is set aside,
// and a new empty one takes its place, with which it can join again. The state is as after
// a start with the new folder. It returns ErrChangePending, wrapped, if another seat is
// changing hands. If it fails midway, another call with the same arguments continues.
// Own is the member that gives its vote up; if it has done so already, MoveSeat only
// completes the replacement.
func (r *Recorder) MoveSeat(ctx context.Context, own replicator.MemberID, successor redwingshunt.InstanceID) error {
	if err := r.checkNoOtherChange(ctx, own, successor); err != nil {
		return err
	}
	reopened := make(chan struct{})
	err := r.runInLoop(ctx, func() {
		if r.self == own {
			r.reopened = reopened
		}
	})
	if err == nil {
		err = r.setLeaving(ctx, true)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	p := replacement{recorder: r, oldVoter: r.options.Self, newVoter: successor, onlyReplace: true}
	if err := r.replaceInGroups(ctx, p); err != nil {
		return errors.Join(err, r.setLeaving(context.WithoutCancel(ctx), false))
	}
	if r.member() != own {
		return nil
	}
	if err := r.retireReplicas(ctx, own); err != nil {
		return err
	}
	select {
	case <-reopened:
		return nil
	case <-r.done:
		return errStopped
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// checkNoOtherChange returns an error unless the leaders of all groups know of no change of
// the members but a replacement of own, or that of the control group knows successor as a
// member, which then takes the seat already.
func (r *Recorder) checkNoOtherChange(ctx context.Context, own replicator.MemberID, successor redwingshunt.InstanceID) error {
	for i := range r.options.Groups {
		reply := r.leaderStatus(ctx, redwingshunt.GroupID(i))
		if reply == nil {
			return trace.ConnectionProblem(nil, "the leader of group %d is not known", i)
		}
		membership := encoder.ParseMembers(reply.GetMembership())
		if i == 0 && len(membership.Instance(successor)) > 0 {
			return nil
		}
		ownChange := func(m replicator.Member) bool { return m.Replaces == own }
		otherChange := func(m replicator.Member) bool { return !m.Voter && !ownChange(m) }
		if reply.GetPending() && !slices.ContainsFunc(membership, ownChange) || slices.ContainsFunc(membership, otherChange) {
			return trace.Wrap(ErrChangePending, "group %d", i)
		}
	}
	return nil
}

// reopen sets the folder aside, which has lost its vote, and opens a new one. Proposals
// that waited for the old one get no reply; their proposers time out and try again.
func (r *Recorder) reopen() error {
	r.reset()
	if err := r.open(r.options.files()); err != nil {
		return err
	}
	close(r.reopened)
	r.reopened = nil
	return nil
}

// hasFolder reports whether this instance has replicas.
func (r *Recorder) hasFolder() bool { return r.identity.Load() != nil }

// member returns this instance with its folder, if any.
func (r *Recorder) member() replicator.MemberID {
	if current := r.identity.Load(); current != nil {
		return current.self
	}
	return replicator.MemberID{Instance: r.options.Self}
}
