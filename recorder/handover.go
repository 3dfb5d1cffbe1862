package recorder

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
)

// ErrSeatTaken means that the successor of a leaving voter has been added in place of
// another member meanwhile.
var ErrSeatTaken = errors.New("the successor replaces another voter")

// HandOver makes the folder of successor a voter of all groups in place of this
// instance, before a planned stop, and returns when that is committed. The folder of
// this instance then has no vote any more, so that its next start begins with a new
// one. The number of voters is never reduced: if the successor is already a member, as
// it replaces another voter, it returns ErrSeatTaken, wrapped.
func (r *Recorder) HandOver(ctx context.Context, successor redwingshunt.InstanceID) error {
	if err := r.setLeaving(ctx, true); err != nil {
		return err
	}
	err := r.replaceInGroups(ctx, replacement{recorder: r, oldVoter: r.options.Self, newVoter: successor, onlyReplace: true})
	if err != nil {
		return errors.Join(err, r.setLeaving(context.WithoutCancel(ctx), false))
	}
	return r.retire(ctx)
}

// setLeaving makes the replicas of this instance stand for election or not.
func (r *Recorder) setLeaving(ctx context.Context, enabled bool) error {
	return trace.Wrap(r.runInLoop(ctx, func() {
		for _, g := range r.orderedGroups() {
			g.step(replicator.Leaving{Enabled: enabled})
		}
	}))
}

// retire gives up the vote of the folder. It must be called only once no group counts
// it any more.
func (r *Recorder) retire(ctx context.Context) error {
	err := r.runInLoop(ctx, func() {
		for _, g := range r.orderedGroups() {
			g.step(replicator.Retired{})
		}
	})
	if err != nil {
		return trace.Wrap(err)
	}
	select {
	case <-r.done: // the log stops once the retirement is synced
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// seatTaken reports whether the new voter is a member in place of another one than the
// old voter.
func (p *replacement) seatTaken(m replicator.Membership, newVoter replicator.MemberID) bool {
	member, known := m.Find(newVoter)
	if !known {
		return false
	}
	for _, old := range m.Instance(p.oldVoter) {
		if old.ID == member.Replaces {
			return false
		}
	}
	return len(m.Instance(p.oldVoter)) > 0
}
