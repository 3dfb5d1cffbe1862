package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
)

// versionTimeout limits the question to voters whether they can apply evacuations. It
// is part of the time that an order may take.
const versionTimeout = 200 * time.Millisecond

// Evacuate starts the evacuation of an availability zone, or ends it. It returns once
// the order is committed.
func (d *Daemon) Evacuate(ctx context.Context, zone redwingshunt.ZoneID, end bool) (redwingshunt.Evacuation, error) {
	if err := d.ableVoters.check(ctx, d.members, d.surveyor.Evacuates); err != nil {
		return redwingshunt.Evacuation{}, trace.Wrap(err)
	}
	evacuation, err := d.control.submitter.Evacuate(ctx, zone, end)
	return evacuation, trace.Wrap(err)
}

// ableVoters records which voters can apply evacuations from the log. A voter of a
// version before them would skip the order, and its state would differ from then on.
type ableVoters struct {
	mu    sync.Mutex
	known map[redwingshunt.InstanceID]redwingshunt.Incarnation
}

// check returns an error if a live voter of another version says that it cannot apply
// evacuations. It asks each incarnation once. One that does not respond is no obstacle:
// an order must be possible while voters fail.
func (a *ableVoters) check(
	ctx context.Context, members redwingshunt.Members,
	ask func(context.Context, time.Duration, []redwingshunt.InstanceID) map[redwingshunt.InstanceID]bool,
) error {
	self := members.Self().ID
	incarnations := make(map[redwingshunt.InstanceID]redwingshunt.Incarnation)
	var asked []redwingshunt.InstanceID
	a.mu.Lock()
	for _, member := range members.Live() {
		if member.Voter && member.ID != self && a.known[member.ID] != member.Incarnation {
			incarnations[member.ID] = member.Incarnation
			asked = append(asked, member.ID)
		}
	}
	a.mu.Unlock()
	if len(asked) == 0 {
		return nil
	}
	answers := ask(ctx, versionTimeout, asked)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known == nil {
		a.known = make(map[redwingshunt.InstanceID]redwingshunt.Incarnation)
	}
	for _, id := range asked {
		able, answered := answers[id]
		if answered && !able {
			return trace.Wrap(redwingshunt.ErrNotCommitted, "voter %s runs a version without evacuations", id)
		}
		if answered {
			a.known[id] = incarnations[id]
		}
	}
	return nil
}
