package recorder

import (
	"context"
	"errors"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/journaler"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/replicator/encoder"
	"github.com/redwingshunt/redwingshunt/wire"
)

// errAlreadySeeded means that an initial membership exists already.
var errAlreadySeeded = errors.New("an initial voter has state, or this one had it; add this instance with replace")

// states returns the number of groups that have state in the folder.
func (r *Recorder) states() uint32 {
	n := uint32(0)
	for _, g := range r.groups {
		if g.seeded() {
			n++
		}
	}
	return n
}

// seeded reports whether the folder has state of the group.
func (g *group) seeded() bool { return g.core.Status().Last > 0 }

// bootstrap creates the initial membership out of all initial voters, once each of
// them has reported an empty folder. If this instance stopped before all of them
// received it, the others get it again.
func (r *Recorder) bootstrap(ctx context.Context, initial []redwingshunt.InstanceID) {
	for ctx.Err() == nil {
		done, err := r.tryBootstrap(ctx, initial)
		if err != nil {
			r.options.Logger.Error("initial membership not created", "error", err)
			return
		}
		if done {
			return
		}
		redwingshunt.Pause(ctx, membershipPollDelay)
	}
}

// tryBootstrap makes one attempt and reports whether nothing is left to do.
func (r *Recorder) tryBootstrap(ctx context.Context, initial []redwingshunt.InstanceID) (bool, error) {
	voters, err := r.initialVoters(ctx, initial)
	if err != nil {
		return false, nil // an initial voter has not replied yet
	}
	local, err := r.localState(ctx)
	if err != nil {
		return false, nil
	}
	membership := local.initialMembership
	switch {
	case local.hadLeader:
		return true, nil // the leaders replicate to the others
	case local.states == 0 && (voters.states > 0 || r.identity.Load().successor):
		return false, errAlreadySeeded
	case local.states == 0:
		membership = replicator.NewMembership(voters.ids...)
	}
	for _, id := range voters.incomplete {
		if !membership.Voter(id) {
			continue
		}
		seed := &wire.LogSeed{Membership: encoder.Members(membership), Groups: uint32(r.options.Groups)}
		reply, err := r.ask(ctx, id.Instance, &wire.LogRequest{Seed: seed})
		if err != nil || reply.GetOutcome() != wire.LogOutcome_LOG_OUTCOME_APPLIED {
			return false, nil
		}
	}
	return true, nil
}

// initialVoters is what the initial voters report about their folders.
type initialVoters struct {
	ids        []replicator.MemberID
	incomplete []replicator.MemberID // lack state of a group; this instance comes first
	states     uint32                // groups with state, summed over all folders
}

// initialVoters queries the folders of all initial voters. It returns an error if
// one of them does not reply.
func (r *Recorder) initialVoters(ctx context.Context, initial []redwingshunt.InstanceID) (initialVoters, error) {
	var voters initialVoters
	for _, instance := range initial {
		reply, err := r.ask(ctx, instance, &wire.LogRequest{Identify: true})
		if err != nil {
			return voters, err
		}
		if reply.GetFolder() == 0 {
			return voters, errStopped // its log has stopped, so it cannot tell what the folder has
		}
		id := replicator.MemberID{Instance: instance, Folder: replicator.FolderID(reply.GetFolder())}
		voters.ids = append(voters.ids, id)
		voters.states += reply.GetStates()
		switch {
		case int(reply.GetStates()) == r.options.Groups:
		case instance == r.options.Self:
			voters.incomplete = append([]replicator.MemberID{id}, voters.incomplete...)
		default:
			voters.incomplete = append(voters.incomplete, id)
		}
	}
	return voters, nil
}

// localState is the state in the folder of this instance.
type localState struct {
	states            uint32                // groups with state
	hadLeader         bool                  // all groups have had a leader
	initialMembership replicator.Membership // initial membership, if a group has no later entry
}

// localState returns the state of the groups on this instance.
func (r *Recorder) localState(ctx context.Context) (localState, error) {
	found := make(chan localState, 1)
	err := r.runInLoop(ctx, func() {
		local := localState{states: r.states(), hadLeader: true}
		for _, g := range r.orderedGroups() {
			s := g.core.Status()
			local.hadLeader = local.hadLeader && s.Last > 1
			if s.Last == 1 {
				local.initialMembership = s.Membership
			}
		}
		found <- local
	})
	if err != nil {
		return localState{}, err
	}
	select {
	case local := <-found:
		return local, nil
	case <-r.done:
		return localState{}, errStopped
	}
}

// Form creates the initial membership out of the named instances, which include
// this one, unless one of them has state already. It returns when this is settled
// or ctx ends. Only one of the instances may call it, after Run has begun.
func (r *Recorder) Form(ctx context.Context, initial []redwingshunt.InstanceID) {
	r.bootstrap(ctx, initial)
}

// Seeded reports whether the folder of this instance has state, or had it before it lost
// its vote.
func (r *Recorder) Seeded(ctx context.Context) (bool, error) {
	local, err := r.localState(ctx)
	return local.states > 0 || err == nil && r.identity.Load().successor, err
}

// Unfinished returns the instances of the initial membership while the folder of
// this instance holds it and at least one group has never had a leader, and nil
// otherwise. The instance that created the membership may have stopped before all
// others received it.
func (r *Recorder) Unfinished(ctx context.Context) ([]redwingshunt.InstanceID, error) {
	local, err := r.localState(ctx)
	if err != nil || local.hadLeader {
		return nil, err
	}
	var instances []redwingshunt.InstanceID
	for _, member := range local.initialMembership {
		instances = append(instances, member.ID.Instance)
	}
	return instances, nil
}

// handleSeed writes the initial membership to the groups that have no state. It
// does so once; later requests change nothing.
func (r *Recorder) handleSeed(seed *wire.LogSeed, reply func(*wire.LogReply)) {
	membership := encoder.ParseMembers(seed.GetMembership())
	switch {
	case int(r.states()) == r.options.Groups || r.seeding:
		reply(&wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_APPLIED})
		return
	case !membership.Voter(r.self) || int(seed.GetGroups()) != r.options.Groups:
		reply(refusal("the first membership is not for this folder"))
		return
	}
	r.seeding = true
	remaining := r.options.Groups - int(r.states())
	for _, g := range r.orderedGroups() {
		if g.seeded() {
			continue
		}
		record, err := g.seed(membership)
		if err != nil {
			r.fail(err)
			return
		}
		r.queue = append(r.queue, job{record: &record, onDone: func() {
			r.startSeeded(g, record)
			if remaining--; remaining == 0 {
				reply(&wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_APPLIED})
			}
		}})
	}
}

// startSeeded starts the replica of a group whose initial membership is written.
func (r *Recorder) startSeeded(g *group, record journaler.Record) {
	snapshot := *record.Persist.Snapshot
	seededGroup := newGroup(r, g.id, replicator.Stored{Snapshot: snapshot.SnapshotMeta})
	if err := seededGroup.restore(snapshot); err != nil {
		r.fail(err)
	}
	r.groups[g.id] = seededGroup
}
