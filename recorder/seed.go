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

// seeded reports whether the folder has state.
func (r *Recorder) seeded() bool {
	for _, g := range r.groups {
		if s := g.core.Status(); s.Last > 0 || s.Term > 0 {
			return true
		}
	}
	return false
}

// bootstrap makes the first membership out of all initial voters, once each of
// them has said that its folder is empty. When some have not learnt of it, since
// this instance stopped meanwhile, they are told again.
func (r *Recorder) bootstrap(ctx context.Context) {
	for ctx.Err() == nil {
		done, err := r.tryBootstrap(ctx)
		if err != nil {
			r.options.Logger.Error("no first membership was made", "error", err)
			return
		}
		if done {
			return
		}
		pause(ctx, operationDelay)
	}
}

// tryBootstrap reports whether nothing is left to do.
func (r *Recorder) tryBootstrap(ctx context.Context) (bool, error) {
	ids, empty, err := r.identities(ctx)
	if err != nil {
		return false, nil // one does not answer yet
	}
	membership := replicator.NewMembership(ids...)
	last, own, err := r.ownState(ctx)
	switch {
	case err != nil:
		return false, nil
	case last > 1:
		return true, nil // there has been a leader, who reaches the others
	case last == 1:
		membership = own
	case len(empty) < len(ids):
		return false, errSeeded
	}
	for _, id := range append([]replicator.MemberID{r.self}, empty...) {
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

// identities asks all initial voters for their folders, and returns all of them
// and those without state.
func (r *Recorder) identities(ctx context.Context) (all, empty []replicator.MemberID, err error) {
	for _, instance := range r.options.Initial {
		reply, err := r.ask(ctx, instance, &wire.LogRequest{Identify: true})
		if err != nil {
			return nil, nil, err
		}
		id := replicator.MemberID{Instance: instance, Folder: replicator.FolderID(reply.GetFolder())}
		all = append(all, id)
		if !reply.GetSeeded() {
			empty = append(empty, id)
		}
	}
	return all, empty, nil
}

// ownState returns the last entry of this folder and its membership.
func (r *Recorder) ownState(ctx context.Context) (uint64, replicator.Membership, error) {
	found := make(chan replicator.Status, 1)
	err := r.do(ctx, func() { found <- r.groups[redwingshunt.GroupControl].core.Status() })
	if err != nil {
		return 0, nil, err
	}
	select {
	case s := <-found:
		return s.Last, s.Membership, nil
	case <-r.done:
		return 0, nil, errStopped
	}
}

// takeSeed gives the first membership to an empty folder, once.
func (r *Recorder) takeSeed(seed *wire.LogSeed, reply func(*wire.LogReply)) {
	membership := encoder.ParseMembers(seed.GetMembership())
	switch {
	case r.seeded() || r.seeding:
		reply(&wire.LogReply{Outcome: wire.LogOutcome_LOG_OUTCOME_APPLIED})
		return
	case !membership.Voter(r.self) || int(seed.GetGroups()) != r.options.Groups:
		reply(refusal("the first membership is not for this folder"))
		return
	}
	r.seeding = true
	left := len(r.groups)
	for _, g := range r.ordered() {
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
