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
// the caller goes away, and calling again picks up where they are. It returns
// ErrFolderInUse, wrapped, if fresh has state and is no member.
func (r *Recorder) Replace(ctx context.Context, lost, fresh redwingshunt.InstanceID) error {
	for i := range r.options.Groups {
		replacement := &replacement{recorder: r, group: redwingshunt.GroupID(i), lost: lost, fresh: fresh}
		if err := replacement.run(ctx); err != nil {
			return trace.Wrap(err, "group %d", i)
		}
	}
	return nil
}

// Membership returns the members of the control group as its leader has them,
// and the identity of this instance with its folder.
func (r *Recorder) Membership(ctx context.Context) (replicator.Membership, replicator.MemberID, error) {
	p := &replacement{recorder: r, group: redwingshunt.GroupControl}
	reply := p.askLeader(ctx, &wire.LogRequest{Group: uint32(p.group), Status: true})
	if reply.GetOutcome() != wire.LogOutcome_LOG_OUTCOME_APPLIED {
		return nil, r.self, trace.ConnectionProblem(nil, "the membership of the log is not known: %s", p.obstacle)
	}
	return encoder.ParseMembers(reply.GetMembership()), r.self, nil
}

// replacement carries the replacement of a voter through in one group.
type replacement struct {
	recorder *Recorder
	group    redwingshunt.GroupID
	lost     redwingshunt.InstanceID
	fresh    redwingshunt.InstanceID
	obstacle string // why the last look or change failed
}

// run asks for one change after the other until the membership is as wanted.
func (p *replacement) run(ctx context.Context) error {
	for ctx.Err() == nil {
		done, err := p.advance(ctx)
		if done || err != nil {
			return err
		}
		redwingshunt.Pause(ctx, operationDelay)
	}
	return trace.Wrap(ctx.Err(), "the replacement is not complete: %s", p.obstacle)
}

// advance looks at the membership and asks for the next change. It reports
// whether nothing is left to do.
func (p *replacement) advance(ctx context.Context) (bool, error) {
	identity, err := p.recorder.ask(ctx, p.fresh, &wire.LogRequest{Group: uint32(p.group), Identify: true})
	if err != nil || identity.GetFolder() == 0 {
		p.obstacle = "the new voter does not tell its folder"
		return false, nil
	}
	fresh := replicator.MemberID{Instance: p.fresh, Folder: replicator.FolderID(identity.GetFolder())}
	reply := p.askLeader(ctx, &wire.LogRequest{Group: uint32(p.group), Status: true})
	if reply.GetOutcome() != wire.LogOutcome_LOG_OUTCOME_APPLIED {
		return false, nil
	}
	membership := encoder.ParseMembers(reply.GetMembership())
	if _, known := membership.Find(fresh); !known && identity.GetSeeded() {
		return false, ErrFolderInUse
	}
	change, done := nextChange(membership, p.lost, fresh)
	if change != nil {
		p.askLeader(ctx, &wire.LogRequest{Group: uint32(p.group), Change: change})
	}
	return done && !reply.GetPending(), nil
}

// askLeader sends a request to the leader of the group as far as known. A reply
// of another voter tells who it is; nil means that there was no answer.
func (p *replacement) askLeader(ctx context.Context, request *wire.LogRequest) *wire.LogReply {
	client := p.recorder.client
	target := p.recorder.target(p.group)
	if target == "" {
		p.obstacle = "no voter is known"
		return nil
	}
	reply, err := p.recorder.ask(ctx, target, request)
	if err != nil {
		p.obstacle = "the leader does not answer"
		client.setLeader(p.group, "")
		return nil
	}
	client.learn(p.group, reply)
	p.obstacle = "the new voter has not caught up, or the change is not committed"
	if reply.GetReason() != "" {
		p.obstacle = reply.GetReason()
	}
	return reply
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
