package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/guarantor"
	"github.com/redwingshunt/redwingshunt/keeper"
	"github.com/redwingshunt/redwingshunt/notifier"
	"github.com/redwingshunt/redwingshunt/quarantiner"
)

// guarantees are the parts that keep what callers are promised: that a
// non-idempotent request runs at most once, and that a request takes no more
// than a few upstreams.
type guarantees struct {
	keeper    *keeper.Keeper
	guarantor *guarantor.Guarantor
	notifier  *notifier.Notifier
}

// newGuarantees connects the parts to the log, the members and the links.
func newGuarantees(
	log redwingshunt.Log,
	members redwingshunt.Members,
	link redwingshunt.Link,
	config redwingshunt.Configuration,
) *guarantees {
	p := &guarantees{keeper: keeper.New(wallClock{}, members, link, config)}
	p.guarantor = guarantor.New(wallClock{}, log, members, config, p.keeper)
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	core := quarantiner.New(members.Self().ID, 1, source)
	p.notifier = notifier.New(wallClock{}, members, link, config, core)
	return p
}

// run carries out what is due until ctx ends.
func (p *guarantees) run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { p.guarantor.Run(ctx); return nil })
	group.Go(func() error { p.notifier.Run(ctx); return nil })
	return group.Wait()
}

// finish hands over kept answers and waits for ends of claims to be recorded,
// both before the instance stops.
func (p *guarantees) finish(ctx context.Context) (unrecorded, left int) {
	for p.guarantor.Pending() > 0 && ctx.Err() == nil {
		redwingshunt.Pause(ctx, finishPause)
	}
	return p.guarantor.Pending(), p.keeper.Handover(ctx)
}

// finishPause is the time between two looks at what is not recorded yet.
const finishPause = 50 * time.Millisecond
