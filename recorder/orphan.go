package recorder

import (
	"context"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/replicator/encoder"
	"github.com/redwingshunt/redwingshunt/wire"
)

// queryMembership checks until ctx ends whether the folder of this instance was removed
// from the log without a notice, which leaders give only to members and to replicas that
// campaign at them. Such a folder loses its vote, so that the next start creates one with
// which the instance can join again.
func (r *Recorder) queryMembership(ctx context.Context) {
	for ctx.Err() == nil {
		redwingshunt.Pause(ctx, replicator.HeartbeatPeriod)
		silent, err := r.silentGroups(ctx)
		if err != nil || len(silent) == 0 {
			continue
		}
		if leaders, removed := r.removedFrom(ctx, silent); removed {
			r.options.Logger.Info("no leader of the log knows this folder; asking to lose its vote", "member", r.member().String(), "groups", len(silent))
			_ = r.runInLoop(ctx, func() {
				for id, leader := range leaders {
					r.groups[id].step(replicator.LeaderFound{Leader: leader})
				}
			})
		}
	}
}

// silentGroups returns the groups of which the folder has state, or none if a leader of
// one of them is heard.
func (r *Recorder) silentGroups(ctx context.Context) ([]redwingshunt.GroupID, error) {
	found := make(chan []redwingshunt.GroupID, 1)
	err := r.runInLoop(ctx, func() {
		var silent []redwingshunt.GroupID
		for _, g := range r.orderedGroups() {
			switch {
			case g.core.LeaderSilent():
				silent = append(silent, g.id)
			case g.seeded():
				found <- nil
				return
			}
		}
		found <- silent
	})
	if err != nil {
		return nil, err
	}
	select {
	case silent := <-found:
		return silent, nil
	case <-r.done:
		return nil, errStopped
	}
}

// removedFrom returns the leaders of groups, and whether each of them has answered and
// does not know the folder of this instance as a member.
func (r *Recorder) removedFrom(ctx context.Context, groups []redwingshunt.GroupID) (map[redwingshunt.GroupID]replicator.MemberID, bool) {
	leaders := make(map[redwingshunt.GroupID]replicator.MemberID)
	for _, id := range groups {
		reply := r.leaderStatus(ctx, id)
		if reply == nil {
			return nil, false
		}
		membership := encoder.ParseMembers(reply.GetMembership())
		if _, known := membership.Find(r.member()); known {
			return nil, false
		}
		for _, member := range membership.Instance(redwingshunt.InstanceID(reply.GetLeader())) {
			if member.Voter {
				leaders[id] = member.ID
			}
		}
	}
	return leaders, len(leaders) == len(groups)
}

// leaderStatus returns the status of a group from its leader, which any other voter may
// name, or nil.
func (r *Recorder) leaderStatus(ctx context.Context, group redwingshunt.GroupID) *wire.LogReply {
	target := r.target(group)
	for range membershipAttempts {
		if target == "" {
			return nil
		}
		reply, err := r.ask(ctx, target, &wire.LogRequest{Group: uint32(group), Status: true})
		if err != nil {
			return nil
		}
		if reply.GetOutcome() == wire.LogOutcome_LOG_OUTCOME_APPLIED {
			return reply
		}
		target = redwingshunt.InstanceID(reply.GetLeader())
	}
	return nil
}
