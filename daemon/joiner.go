package daemon

import (
	"context"
	"time"

	"github.com/redwingshunt/redwingshunt/founder"
)

const (
	// joinerInterval is the interval at which an instance with a data folder
	// checks whether it should join the log.
	joinerPeriod = 500 * time.Millisecond
	// membershipReadTimeout limits the time for reading the membership.
	joinerTimeout = time.Second
	// membershipChangeTimeout limits the time for one change of the membership.
	// A change that did not complete and is still needed is retried.
	changeTimeout = 10 * time.Second
)

// joiner executes the decisions of package founder.
type joiner struct {
	daemon *Daemon
	core   *founder.Core
}

func newJoiner(d *Daemon) *joiner {
	return &joiner{daemon: d, core: founder.New(founder.Options{
		Self: d.settings.Name, Founders: d.settings.Founders, Wanted: d.settings.Wanted,
	})}
}

func (s *joiner) run(ctx context.Context) {
	ticker := time.NewTicker(joinerPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.turn(ctx)
		}
	}
}

// step reads the membership once and executes the decision on it.
func (s *joiner) turn(ctx context.Context) {
	log := s.daemon.control.recorder
	look, cancel := context.WithTimeout(ctx, joinerTimeout)
	defer cancel()
	unfinished, err := log.Unfinished(look)
	if err != nil || len(unfinished) == 0 && s.daemon.control.votes() {
		return // control.run logs the error of a stopped log
	}
	view := founder.View{Live: s.daemon.members.Live(), Unfinished: unfinished}
	seeded, err := log.Seeded(look)
	if err != nil {
		return
	}
	view.Seeded = seeded
	view.Membership, view.Own, err = log.Membership(look)
	if err != nil {
		s.daemon.logger.Debug("log membership unknown", "error", err.Error())
	}
	switch action := s.core.Decide(time.Now(), view).(type) {
	case founder.Form:
		s.daemon.logger.Info("creating the initial log membership", "voters", action.Voters)
		forming, done := context.WithTimeout(ctx, changeTimeout)
		defer done()
		log.Form(forming, action.Voters)
	case founder.Join:
		s.daemon.logger.Info("joining the log", "lost", string(action.Lost), "membership", len(view.Membership), "own", view.Own.String())
		joining, done := context.WithTimeout(ctx, changeTimeout)
		defer done()
		if err := log.Replace(joining, action.Lost, s.daemon.settings.Name); err != nil {
			s.daemon.logger.Warn("joining the log did not complete", "error", err.Error())
			return
		}
		s.daemon.logger.Info("joined the log")
	}
}
