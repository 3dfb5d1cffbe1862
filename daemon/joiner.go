package daemon

import (
	"context"
	"time"

	"github.com/redwingshunt/redwingshunt/founder"
)

const (
	// joinerPeriod is how often an instance with a folder looks whether it
	// should take part in the log.
	joinerPeriod = 500 * time.Millisecond
	// joinerTimeout bounds a look at the membership.
	joinerTimeout = time.Second
	// changeTimeout bounds one change of the membership; it is begun again when
	// it is still wanted.
	changeTimeout = 10 * time.Second
)

// joiner carries out what package founder decides.
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

// turn looks once and does what is to be done.
func (s *joiner) turn(ctx context.Context) {
	log := s.daemon.control.recorder
	look, cancel := context.WithTimeout(ctx, joinerTimeout)
	defer cancel()
	unfinished, err := log.Unfinished(look)
	if err != nil || len(unfinished) == 0 && s.daemon.control.votes() {
		return // a log that has ended is logged where it ends
	}
	view := founder.View{Live: s.daemon.members.Live(), Unfinished: unfinished}
	seeded, err := log.Seeded(look)
	if err != nil {
		return
	}
	view.Seeded = seeded
	view.Membership, view.Own, err = log.Membership(look)
	if err != nil {
		s.daemon.logger.Debug("the membership of the log is not known", "error", err.Error())
	}
	switch action := s.core.Decide(time.Now(), view).(type) {
	case founder.Form:
		s.daemon.logger.Info("making the first membership of the log", "voters", action.Voters)
		forming, done := context.WithTimeout(ctx, changeTimeout)
		defer done()
		log.Form(forming, action.Voters)
	case founder.Join:
		s.daemon.logger.Info("joining the log", "lost", string(action.Lost), "membership", len(view.Membership), "own", view.Own.String())
		joining, done := context.WithTimeout(ctx, changeTimeout)
		defer done()
		if err := log.Replace(joining, action.Lost, s.daemon.settings.Name); err != nil {
			s.daemon.logger.Warn("joining the log has not ended", "error", err.Error())
			return
		}
		s.daemon.logger.Info("joined the log")
	}
}
