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

// errSeeded means that there is a first membership already.
var errSeeded = errors.New("another initial voter has state already; this folder has to be added with replace")

// states returns the number of groups of which the folder has state.
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

// bootstrap makes the first membership out of all initial voters, once each of
// them has said that its folder is empty. When some have not learnt of it, since
// this instance stopped meanwhile, they are told again.
func (r *Recorder) bootstrap(ctx context.Context, initial []redwingshunt.InstanceID) {
	for ctx.Err() == nil {
		done, err := r.tryBootstrap(ctx, initial)
		if err != nil {
			r.options.Logger.Error("no first membership was made", "error", err)
			return
		}
		if done {
			return
		}
		redwingshunt.Pause(ctx, operationDelay)
	}
}

// tryBootstrap reports whether nothing is left to do.
func (r *Recorder) tryBootstrap(ctx context.Context, initial []redwingshunt.InstanceID) (bool, error) {
	voters, err := r.initialVoters(ctx, initial)
	if err != nil {
		return false, nil // one does not answer yet
	}
	own, err := r.ownState(ctx)
	if err != nil {
		return false, nil
	}
	membership := own.first
	switch {
	case own.led:
		return true, nil // the leaders reach the others
	case own.states == 0 && voters.states > 0:
		return false, errSeeded
	case own.states == 0:
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

// initialVoters is what the initial voters say of their folders.
type initialVoters struct {
	ids        []replicator.MemberID
	incomplete []replicator.MemberID // that lack state of a group; this instance comes first
	states     uint32                // groups with state, over all folders
}

// initialVoters asks all initial voters for their folders.
func (r *Recorder) initialVoters(ctx context.Context, initial []redwingshunt.InstanceID) (initialVoters, error) {
	var voters initialVoters
	for _, instance := range initial {
		reply, err := r.ask(ctx, instance, &wire.LogRequest{Identify: true})
		if err != nil {
			return voters, err
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

// ownState is what the folder of this instance holds.
type ownState struct {
	states uint32                // groups with state
	led    bool                  // all groups have had a leader
	first  replicator.Membership // the first membership, if a group still has it
}

// ownState looks at the groups of this instance.
func (r *Recorder) ownState(ctx context.Context) (ownState, error) {
	found := make(chan ownState, 1)
	err := r.do(ctx, func() {
		own := ownState{states: r.states(), led: true}
		for _, g := range r.ordered() {
			s := g.core.Status()
			own.led = own.led && s.Last > 1
			if s.Last == 1 {
				own.first = s.Membership
			}
		}
		found <- own
	})
	if err != nil {
		return ownState{}, err
	}
	select {
	case own := <-found:
		return own, nil
	case <-r.done:
		return ownState{}, errStopped
	}
}

// Form makes the first membership out of the named instances, this one among
// them, unless one of them has state already. It returns when that is settled
// or ctx ends. Only one of the instances calls it, once Run has begun.
func (r *Recorder) Form(ctx context.Context, initial []redwingshunt.InstanceID) {
	r.bootstrap(ctx, initial)
}

// Seeded reports whether the folder of this instance has state.
func (r *Recorder) Seeded(ctx context.Context) (bool, error) {
	own, err := r.ownState(ctx)
	return own.states > 0, err
}

// Unfinished returns the instances of the first membership while the folder of
// this instance holds it and the log has never had a leader; nothing afterwards.
// Whoever made it may have stopped before all had learnt of it.
func (r *Recorder) Unfinished(ctx context.Context) ([]redwingshunt.InstanceID, error) {
	own, err := r.ownState(ctx)
	if err != nil || own.led {
		return nil, err
	}
	var instances []redwingshunt.InstanceID
	for _, member := range own.first {
		instances = append(instances, member.ID.Instance)
	}
	return instances, nil
}

// takeSeed gives the first membership to the groups that have no state, once.
func (r *Recorder) takeSeed(seed *wire.LogSeed, reply func(*wire.LogReply)) {
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
	left := r.options.Groups - int(r.states())
	for _, g := range r.ordered() {
		if g.seeded() {
			continue
		}
		record, err := g.seed(membership)
		if err != nil {
			r.fail(err)
			return
		}
		r.queue = append(r.queue, job{record: &record, then: func(replicator.Snapshot) {
			r.startSeeded(g, record)
			if left--; left == 0 {
				reply(&wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_APPLIED})
			}
		}})
	}
}

// startSeeded begins a replica that has got its first membership.
func (r *Recorder) startSeeded(g *group, record journaler.Record) {
	snapshot := *record.Persist.Snapshot
	fresh := newGroup(r, g.id, replicator.Stored{Snapshot: snapshot.SnapshotMeta})
	if err := fresh.restore(snapshot); err != nil {
		r.fail(err)
	}
	r.groups[g.id] = fresh
}
