package daemon

import (
	"context"
	"time"

	"github.com/redwingshunt/redwingshunt/bootstrapper"
)

const (
	// joinerInterval is the interval at which an instance with a data folder
	// checks whether it should join the log.
	joinerInterval = 500 * time.Millisecond
	// membershipReadTimeout limits the time for reading the membership.
	membershipReadTimeout = time.Second
	// membershipChangeTimeout limits the time for one change of the membership.
	// A change that did not complete and is still needed is retried.
	membershipChangeTimeout = 10 * time.Second
)

// joiner executes the decisions of package bootstrapper.
type joiner struct {
	daemon *Daemon
	core   *bootstrapper.Core
}

func newJoiner(d *Daemon) *joiner {
	return &joiner{daemon: d, core: bootstrapper.New(bootstrapper.Options{
		Self: d.settings.Name, Founders: d.settings.Founders, Wanted: d.settings.Wanted,
	})}
}

func (j *joiner) run(ctx context.Context) {
	ticker := time.NewTicker(joinerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			j.step(ctx)
		}
	}
}

// step reads the membership once and executes the decision on it.
func (j *joiner) step(ctx context.Context) {
	log := j.daemon.control.recorder
	readContext, cancel := context.WithTimeout(ctx, membershipReadTimeout)
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
	view.Membership, view.Own, err = log.Membership(readContext)
	if err != nil {
		j.daemon.logger.Debug("log membership unknown", "error", err.Error())
	}
	switch action := j.core.Decide(time.Now(), view).(type) {
	case bootstrapper.Form:
		j.daemon.logger.Info("creating the initial log membership", "voters", action.Voters)
		formContext, done := context.WithTimeout(ctx, membershipChangeTimeout)
		defer done()
		log.Form(formContext, action.Voters)
	case bootstrapper.Join:
		j.daemon.logger.Info("joining the log", "lost", string(action.Lost), "membership", len(view.Membership), "own", view.Own.String())
		joinContext, done := context.WithTimeout(ctx, membershipChangeTimeout)
		defer done()
		if err := log.Replace(joinContext, action.Lost, j.daemon.settings.Name); err != nil {
			j.daemon.logger.Warn("joining the log did not complete", "error", err.Error())
			return
		}
		j.daemon.logger.Info("joined the log")
	}
}
