package daemon

import (
	"cmp"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/bootstrapper"
	"github.com/redwingshunt/redwingshunt/recorder"
	"github.com/redwingshunt/redwingshunt/replicator"
)

// rebalanceInterval is the interval at which a voter checks whether it should move its
// seat. Nothing depends on the time within which it does.
const rebalanceInterval = time.Second

// rebalancer executes the moves of the seat of this voter that package bootstrapper
// decides.
type rebalancer struct {
	daemon  *Daemon
	core    *bootstrapper.Rebalancer
	own     replicator.MemberID // member whose seat is moved
	move    bootstrapper.Move   // in progress; zero if there is none
	moving  atomic.Bool         // a move is in progress
	stopped chan struct{}       // closed by stop
	ended   chan struct{}       // closed when run has ended
}

func newRebalancer(d *Daemon) *rebalancer {
	stable := cmp.Or(d.options.RebalanceAfter, bootstrapper.RebalanceStableTime)
	return &rebalancer{
		daemon: d, core: bootstrapper.NewRebalancer(d.voterGoals(), stable),
		stopped: make(chan struct{}), ended: make(chan struct{}),
	}
}

func (r *rebalancer) run(ctx context.Context) {
	defer close(r.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-r.stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	ticker := time.NewTicker(rebalanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.step(ctx)
		r.moving.Store(r.move != (bootstrapper.Move{}))
	}
}

// stop ends run before a planned stop, and returns the instance that is taking the seat of
// this voter, or "". It must be called once.
func (r *rebalancer) stop() redwingshunt.InstanceID {
	close(r.stopped)
	<-r.ended
	return r.move.Successor
}

// step begins a move if one is due, or makes an attempt at the one in progress.
func (r *rebalancer) step(ctx context.Context) {
	d := r.daemon
	none := bootstrapper.Move{}
	if r.move != none && d.stays(r.move.Successor) {
		r.execute(ctx)
		return
	}
	view := r.view(ctx)
	if r.move == none && r.resume(view) {
		return
	}
	var next redwingshunt.Option[bootstrapper.Move]
	switch {
	case r.move == none:
		next = r.core.Decide(time.Now(), d.settings.Name, view)
	case !d.control.isVoter():
		r.move = none // the seat is that of the successor, which has gone
	default:
		next = r.core.Retarget(time.Now(), d.settings.Name, view)
	}
	move, found := next.Get()
	if !found {
		return
	}
	r.move, r.own = move, view.Own
	r.moving.Store(true)
	d.logger.Info("moving the seat of this voter to a better placed instance", "successor", string(move.Successor),
		"region", string(d.settings.Region), "zone", string(d.settings.Zone), "excess", move.Excess, "left", move.Left)
	r.execute(ctx)
}

// resume takes up a move that this instance has begun before its process was started anew,
// or that another instance began. The log completes it in any case once the successor is up. It reports whether there is one.
func (r *rebalancer) resume(view bootstrapper.View) bool {
	for _, member := range view.Membership {
		if !member.Voter && member.Replaces == view.Own {
			r.move, r.own = bootstrapper.Move{Voter: view.Own.Instance, Successor: member.ID.Instance}, view.Own
			return true
		}
	}
	return false
}

// view returns the state of the fleet and the log. Without a seat that may be moved it has
// no membership.
func (r *rebalancer) view(ctx context.Context) bootstrapper.View {
	d := r.daemon
	view := bootstrapper.View{Live: d.members.Live()}
	if !d.control.isVoter() || d.members.Self().Leaving {
		return view
	}
	ctx, done := context.WithTimeout(ctx, maxMembershipReadTimeout)
	defer done()
	if seats, err := d.control.recorder.Seats(ctx); err == nil {
		view.Membership, view.Silent, view.Own = seats.Membership, seats.Silent, seats.Own
		view.Absent, view.Leader = d.absentMembers(view.Membership), d.control.leader()
	}
	return view
}

// execute makes one attempt at the move in progress. A move that has begun is continued
// with the next attempt, because the log completes it in any case.
func (r *rebalancer) execute(ctx context.Context) {
	d, successor := r.daemon, r.move.Successor
	began := time.Now()
	attempt, done := context.WithTimeout(ctx, membershipChangeTimeout)
	defer done()
	err := d.control.recorder.MoveSeat(attempt, r.own, successor)
	if err == nil {
		r.move = bootstrapper.Move{}
		d.metrics.observer.SeatMoved()
		d.logger.Info("seat of this voter moved", "successor", string(successor), "took", time.Since(began).String())
		return
	}
	d.logger.Warn("seat of this voter not moved", "successor", string(successor), "error", err.Error())
	refused := errors.Is(err, recorder.ErrSeatTaken) || errors.Is(err, recorder.ErrFolderInUse)
	if ctx.Err() == nil && (refused || !r.begun(ctx)) {
		r.move = bootstrapper.Move{}
	}
}

// begun reports whether the successor is a member, as far as this instance can tell.
func (r *rebalancer) begun(ctx context.Context) bool {
	ctx, done := context.WithTimeout(ctx, maxMembershipReadTimeout)
	defer done()
	seats, err := r.daemon.control.recorder.Seats(ctx)
	return err != nil || len(seats.Membership.Instance(r.move.Successor)) > 0
}

// leader returns the leader of the control group, or "" if it is not known.
func (c *control) leader() redwingshunt.InstanceID {
	groups := c.recorder.Status().Groups
	if len(groups) == 0 {
		return ""
	}
	return groups[0].Leader
}
