package submitter

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/registrar"
)

// Evacuate starts the evacuation of an availability zone, or ends it, and returns once
// the order is committed. An order that repeats an earlier one is committed, too. After
// an error that wraps redwingshunt.ErrUnknown the order may still take effect; a retry is
// safe.
//
// A copy of the command that is delayed has no effect once a later order for the zone is
// committed. The order itself goes on with the state that includes the other order, as
// it may be the later one: this instance may not have known that state when it got the
// order. The caller must therefore end ctx before it sends another order for the zone. A
// deadline is compared with the clock before each proposal: when a process goes on after a
// pause, the timer of ctx may not have run yet.
func (s *Submitter) Evacuate(ctx context.Context, zone redwingshunt.ZoneID, end bool) (redwingshunt.Evacuation, error) {
	known := s.options.View.Evacuations()
	for {
		if deadline, limited := ctx.Deadline(); limited && time.Until(deadline) <= 0 {
			return redwingshunt.Evacuation{}, trace.Wrap(redwingshunt.ErrUnknown, "the time of the order is over")
		}
		command, err := registrar.Evacuate(s.options.Clock.Now(), zone, end, known)
		if err != nil {
			return redwingshunt.Evacuation{}, trace.Wrap(err)
		}
		reply, err := s.commit(ctx, command)
		if err != nil {
			return redwingshunt.Evacuation{}, trace.Wrap(err)
		}
		known = registrar.DecodeEvacuations(reply.GetEvacuations())
		if known.Has(zone) != end {
			return redwingshunt.Evacuation{Revision: known.Revision, Zones: append([]redwingshunt.ZoneID{}, known.Zones...)}, nil
		}
	}
}
