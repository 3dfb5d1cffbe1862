package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/bootstrapper"
)

const (
	// joinerInterval is the interval at which an instance with a data folder that is
	// no voter checks whether it should join the log, for joinerAlertTime after its
	// start and after each change of the live instances, and while it leaves a seat to
	// better placed instances. A voter whose disk was lost
	// must count again before another one may be lost.
	joinerInterval  = 100 * time.Millisecond
	joinerAlertTime = 10 * time.Second
	// joinerIdleInterval is the interval at other times.
	joinerIdleInterval = 500 * time.Millisecond
	// minMembershipReadTimeout and maxMembershipReadTimeout limit the time for reading
	// the membership. It doubles after each failure, because the first request to an
	// instance that has just restarted is often lost with an old connection.
	minMembershipReadTimeout = 300 * time.Millisecond
	maxMembershipReadTimeout = time.Second
	// membershipChangeTimeout limits the time for one change of the membership.
	// A change that did not complete and is still needed is retried.
	membershipChangeTimeout = 10 * time.Second
)

// joiner executes the decisions of package bootstrapper.
type joiner struct {
	daemon     *Daemon
	core       *bootstrapper.Core
	started    time.Time
	live       []redwingshunt.Instance // in the last step
	alertUntil time.Time
	nextStep   time.Time

	readTimeout time.Duration     // of the next read of the membership
	waiting     bootstrapper.Wait // last decision if it was a Wait, otherwise zero
}

func newJoiner(d *Daemon) *joiner {
	return &joiner{daemon: d, started: time.Now(), readTimeout: minMembershipReadTimeout, core: bootstrapper.New(bootstrapper.Options{
		Self: d.settings.Name, Founders: d.settings.Founders, Goals: d.voterGoals(),
	})}
}

func (j *joiner) run(ctx context.Context) {
	ticker := time.NewTicker(joinerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if j.due(now) {
				j.step(ctx)
			}
		}
	}
}

// due reports whether a step is due, and schedules the next one.
func (j *joiner) due(now time.Time) bool {
	live := j.daemon.members.Live()
	if !slices.Equal(live, j.live) {
		j.live = live
		j.alertUntil = now.Add(joinerAlertTime)
	}
	if now.Before(j.nextStep) {
		return false
	}
	if now.After(j.alertUntil) && j.waiting.Better == 0 {
		j.nextStep = now.Add(joinerIdleInterval)
	}
	return true
}

// step reads the membership once and executes the decision on it.
func (j *joiner) step(ctx context.Context) {
	if j.daemon.members.Self().Leaving {
		return // a seat that is taken now would be lost at once
	}
	if mover := j.daemon.rebalancer; mover != nil && mover.moving.Load() {
		return // the seat that this instance gives up is not complete
	}
	log := j.daemon.control.recorder
	readContext, cancel := context.WithTimeout(ctx, j.readTimeout)
	defer cancel()
	unfinished, err := log.Unfinished(readContext)
	if err != nil || len(unfinished) == 0 && j.daemon.control.isVoter() {
		return // control.run logs the error of a stopped log
	}
	view := bootstrapper.View{Live: j.daemon.members.Live(), Unfinished: unfinished}
	seeded, err := log.Seeded(readContext)
	if err != nil {
		return
	}
	view.Seeded = seeded
	seats, err := log.Seats(readContext)
	view.Membership, view.Silent, view.Own = seats.Membership, seats.Silent, seats.Own
	view.Absent = j.daemon.absentMembers(view.Membership)
	if err != nil {
		j.readTimeout = min(2*j.readTimeout, maxMembershipReadTimeout)
		j.daemon.logger.Debug("log membership unknown", "error", err.Error())
	} else {
		j.readTimeout = minMembershipReadTimeout
	}
	action := j.core.Decide(time.Now(), view)
	j.logWait(action, view)
	switch action := action.(type) {
	case bootstrapper.Form:
		j.daemon.logger.Info("creating the initial log membership", "voters", action.Voters)
		formContext, done := context.WithTimeout(ctx, membershipChangeTimeout)
		defer done()
		log.Form(formContext, action.Voters)
	case bootstrapper.Join:
		began := time.Now()
		j.daemon.logger.Info("joining the log", "lost", string(action.Lost), "membership", len(view.Membership),
			"own", view.Own.String(), "uptime", began.Sub(j.started).String())
		joinContext, done := context.WithTimeout(ctx, membershipChangeTimeout)
		defer done()
		if err := log.Join(joinContext, action.Lost, j.daemon.settings.Wanted); err != nil {
			j.daemon.logger.Warn("joining the log did not complete", "error", err.Error())
			return
		}
		j.daemon.metrics.observer.Joined(time.Since(j.started))
		j.daemon.logger.Info("joined the log", "took", time.Since(began).String(), "uptime", time.Since(j.started).String())
	}
}

// logWait logs the begin of a wait for better placed instances.
func (j *joiner) logWait(action bootstrapper.Action, view bootstrapper.View) {
	wait, _ := action.(bootstrapper.Wait)
	if wait.Better > 0 && (j.waiting.Better == 0 || wait.Lost != j.waiting.Lost) {
		j.daemon.logger.Info("leaving a seat of the log to better placed instances", "lost", string(wait.Lost),
			"better", wait.Better, "membership", len(view.Membership))
	}
	j.waiting = wait
}
