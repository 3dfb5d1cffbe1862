package recorder

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/replicator/encoder"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Replace makes the folder of fresh a voter of all groups in place of the one
// of lost, and returns when that is done. Fresh may be lost itself with a new
// folder; an empty lost only adds fresh. The groups carry on by themselves when
// the caller goes away, and calling again picks up where they are.
func (r *Recorder) Replace(ctx context.Context, lost, fresh redwingshunt.InstanceID) error {
	identity, err := r.identify(ctx, fresh)
	if err != nil {
		return trace.Wrap(err, "instance %s does not tell its folder", fresh)
	}
	for i := range r.options.Groups {
		if err := r.replaceIn(ctx, redwingshunt.GroupID(i), lost, identity); err != nil {
			return trace.Wrap(err, "group %d", i)
		}
	}
	return nil
}

// identify asks an instance for its folder until it answers.
func (r *Recorder) identify(ctx context.Context, instance redwingshunt.InstanceID) (replicator.MemberID, error) {
	for {
		reply, err := r.ask(ctx, instance, &wire.LogRequest{Identify: true})
		if err == nil {
			return replicator.MemberID{Instance: instance, Folder: replicator.FolderID(reply.GetFolder())}, nil
		}
		if ctx.Err() != nil {
			return replicator.MemberID{}, ctx.Err()
		}
		pause(ctx, operationDelay)
	}
}

// replaceIn carries a replacement through in one group.
func (r *Recorder) replaceIn(ctx context.Context, group redwingshunt.GroupID, lost redwingshunt.InstanceID, fresh replicator.MemberID) error {
	for ctx.Err() == nil {
		reply := r.askLeader(ctx, group, &wire.LogRequest{Group: uint32(group), Status: true})
		if reply.GetOutcome() == wire.LogOutcome_LOG_OUTCOME_APPLIED {
			change, done := nextChange(encoder.ParseMembers(reply.GetMembership()), lost, fresh)
			if done && !reply.GetPending() {
				return nil
			}
			if change != nil {
				r.askLeader(ctx, group, &wire.LogRequest{Group: uint32(group), Change: change})
			}
		}
		pause(ctx, operationDelay)
	}
	return ctx.Err()
}

// nextChange returns the change to ask for, if any, and whether the membership
// is as wanted.
func nextChange(m replicator.Membership, lost redwingshunt.InstanceID, fresh replicator.MemberID) (*wire.LogChange, bool) {
	var leaving replicator.MemberID
	for _, member := range m.Instance(lost) {
		if member.ID != fresh {
			leaving = member.ID
		}
	}
	member, known := m.Find(fresh)
	switch {
	case !known:
		add := replicator.Member{ID: fresh, Replaces: leaving}
		return &wire.LogChange{Add: encoder.Member(add)}, false
	case member.Voter && !leaving.IsZero() && member.Replaces != leaving:
		return &wire.LogChange{Remove: encoder.Member(replicator.Member{ID: leaving})}, false
	}
	return nil, member.Voter && leaving.IsZero()
}

// askLeader sends a request to the leader of a group as far as known. A reply
// of another voter tells who it is; nil means that there was no answer.
func (r *Recorder) askLeader(ctx context.Context, group redwingshunt.GroupID, request *wire.LogRequest) *wire.LogReply {
	target := r.target(group)
	if target == "" {
		return nil
	}
	reply, err := r.ask(ctx, target, request)
	if err != nil {
		r.client.setLeader(group, "")
		return nil
	}
	r.client.learn(group, reply)
	return reply
}
