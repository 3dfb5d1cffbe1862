package recorder

import (
	"context"
	"sync"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/replicator/encoder"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Replace makes the folder of newVoter a voter of all groups in place of the
// folder of oldVoter, and returns when this is complete. Both may name the same
// instance if it has a new folder; if oldVoter is empty, newVoter is only added.
// The groups complete a change that has begun even if the caller stops, and
// another call continues from there. It returns ErrFolderInUse, wrapped, if
// newVoter has state and is not a member.
//
// After the control group, all others change at the same time, so that the time until
// the new voter counts in each of them does not grow with their number.
func (r *Recorder) Replace(ctx context.Context, oldVoter, newVoter redwingshunt.InstanceID) error {
	return r.replaceInGroups(ctx, replacement{recorder: r, oldVoter: oldVoter, newVoter: newVoter})
}

// replaceInGroups runs a replacement in the control group and then in all others at the
// same time. Of two replacements that exclude each other, the control group thus
// decides for all groups. It returns the error of the first group that has one.
func (r *Recorder) replaceInGroups(ctx context.Context, p replacement) error {
	errs := make([]error, r.options.Groups)
	p.group = redwingshunt.GroupControl
	if err := p.run(ctx); err != nil {
		return trace.Wrap(err, "group %d", p.group)
	}
	var groups sync.WaitGroup
	for i := 1; i < len(errs); i++ {
		inGroup := p
		inGroup.group = redwingshunt.GroupID(i)
		groups.Go(func() { errs[i] = inGroup.run(ctx) })
	}
	groups.Wait()
	for i, err := range errs {
		if err != nil {
			return trace.Wrap(err, "group %d", i)
		}
	}
	return nil
}

// membershipAttempts is the number of voters that Seats asks at most. The first
// one may only know which voter leads.
const membershipAttempts = 3

// Seats are the members of the control group, as its leader knows them.
type Seats struct {
	Membership replicator.Membership
	Silent     []replicator.MemberID // of which the leader has not heard for an election timeout
	Own        replicator.MemberID   // this instance with its folder
}

// Seats returns the members of the control group. Without a reply of the leader only Own
// is set.
func (r *Recorder) Seats(ctx context.Context) (Seats, error) {
	p := &replacement{recorder: r, group: redwingshunt.GroupControl}
	for range membershipAttempts {
		reply := p.askLeader(ctx, &wire.LogRequest{Group: uint32(p.group), Status: true})
		if reply.GetOutcome() == wire.LogOutcome_LOG_OUTCOME_APPLIED {
			seats := Seats{Membership: encoder.ParseMembers(reply.GetMembership()), Own: r.member()}
			for _, silent := range reply.GetSilent() {
				seats.Silent = append(seats.Silent, encoder.ParseMember(silent).ID)
			}
			return seats, nil
		}
		if reply.GetLeader() == "" || ctx.Err() != nil {
			break
		}
	}
	return Seats{Own: r.member()}, trace.ConnectionProblem(nil, "the membership of the log is not known: %s", p.lastFailure)
}

// Restarted reports that the process of an instance has ended and another one runs in
// its place. It never blocks.
func (r *Recorder) Restarted(instance redwingshunt.InstanceID) {
	r.tryRunInLoop(func() {
		for _, g := range r.orderedGroups() {
			g.step(replicator.Restarted{Instance: instance})
		}
	})
}

// replacement is the replacement of a voter in one group.
type replacement struct {
	recorder    *Recorder
	group       redwingshunt.GroupID
	oldVoter    redwingshunt.InstanceID
	newVoter    redwingshunt.InstanceID
	onlyReplace bool   // the new voter takes the seat of the old one or none, see ErrSeatTaken
	wanted      int    // voters, if there is no old voter
	lastFailure string // why the last query or change failed
}

// run requests one change after another until the membership is as requested.
func (p *replacement) run(ctx context.Context) error {
	for ctx.Err() == nil {
		done, err := p.advance(ctx)
		if done || err != nil {
			return err
		}
		redwingshunt.Pause(ctx, membershipPollDelay)
	}
	return trace.Wrap(ctx.Err(), "the replacement is not complete: %s", p.lastFailure)
}

// advance queries the membership and requests the next change. It reports whether
// the replacement is complete.
func (p *replacement) advance(ctx context.Context) (bool, error) {
	identity, err := p.recorder.ask(ctx, p.newVoter, &wire.LogRequest{Group: uint32(p.group), Identify: true})
	if err != nil || identity.GetFolder() == 0 {
		p.lastFailure = "the new voter does not tell its folder"
		return false, nil
	}
	newVoter := replicator.MemberID{Instance: p.newVoter, Folder: replicator.FolderID(identity.GetFolder())}
	reply := p.askLeader(ctx, &wire.LogRequest{Group: uint32(p.group), Status: true})
	if reply.GetOutcome() != wire.LogOutcome_LOG_OUTCOME_APPLIED {
		return false, nil
	}
	membership := encoder.ParseMembers(reply.GetMembership())
	if _, known := membership.Find(newVoter); !known && identity.GetSeeded() {
		return false, ErrFolderInUse
	}
	if p.onlyReplace {
		if p.seatTaken(membership, newVoter) {
			return false, ErrSeatTaken
		}
		if rival, ok := p.rival(membership, newVoter, reply.GetSilent()); ok {
			p.lastFailure = "another instance is taking the seat: " + rival.String()
			return false, nil
		}
	}
	change, done := nextChange(membership, p.oldVoter, newVoter)
	if change != nil {
		p.askLeader(ctx, &wire.LogRequest{Group: uint32(p.group), Change: change})
	}
	return done && !reply.GetPending(), nil
}

// askLeader sends a request to the leader of the group, as far as known. A reply
// from another voter updates the known leader. It returns nil if there was no
// reply.
func (p *replacement) askLeader(ctx context.Context, request *wire.LogRequest) *wire.LogReply {
	client := p.recorder.client
	target := p.recorder.target(p.group)
	if target == "" {
		p.lastFailure = "no voter is known"
		return nil
	}
	reply, err := p.recorder.ask(ctx, target, request)
	if err != nil {
		p.lastFailure = "the leader does not answer"
		client.setLeader(p.group, "")
		return nil
	}
	client.updateGroup(p.group, reply)
	p.lastFailure = "the new voter has not caught up, or the change is not committed"
	if reply.GetReason() != "" {
		p.lastFailure = reply.GetReason()
	}
	return reply
}

// nextChange returns the next change to request, or nil, and whether the
// membership is as requested.
func nextChange(m replicator.Membership, oldVoter redwingshunt.InstanceID, newVoter replicator.MemberID) (*wire.LogChange, bool) {
	var removed replicator.MemberID
	for _, member := range m.Instance(oldVoter) {
		if member.ID != newVoter {
			removed = member.ID
		}
	}
	member, known := m.Find(newVoter)
	switch {
	case !known:
		add := replicator.Member{ID: newVoter, Replaces: removed}
		return &wire.LogChange{Add: encoder.Member(add)}, false
	case member.Voter && !removed.IsZero() && member.Replaces != removed:
		return &wire.LogChange{Remove: encoder.Member(replicator.Member{ID: removed})}, false
	}
	return nil, member.Voter && removed.IsZero()
}
