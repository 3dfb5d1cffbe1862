package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/correlator"
	"github.com/redwingshunt/redwingshunt/guarantor"
	"github.com/redwingshunt/redwingshunt/keeper"
	"github.com/redwingshunt/redwingshunt/notifier"
	"github.com/redwingshunt/redwingshunt/quarantiner"
)

// guarantees are the components that enforce the guarantees to callers: a
// non-idempotent request runs at most once, and a request that kills upstreams
// reaches only a few of them.
type guarantees struct {
	keeper     *keeper.Keeper
	guarantor  *guarantor.Guarantor
	notifier   *notifier.Notifier
	correlator *correlator.Correlator
}

// newGuarantees connects the components to the log, the members and the links.
func newGuarantees(
	log redwingshunt.Log,
	members redwingshunt.Members,
	link redwingshunt.Link,
	config redwingshunt.Configuration,
	logger *slog.Logger,
) *guarantees {
	g := &guarantees{keeper: keeper.New(wallClock{}, members, link, config)}
	g.guarantor = guarantor.New(wallClock{}, log, members, config, g.keeper)
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	core := quarantiner.New(members.Self().ID, 1, source)
	g.notifier = notifier.New(wallClock{}, members, link, config, core)
	g.correlator = correlator.New(correlator.Options{Clock: wallClock{}, Members: members, Link: link, Logger: logger})
	return g
}

// run executes the background work until ctx ends.
func (g *guarantees) run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { g.guarantor.Run(ctx); return nil })
	group.Go(func() error { g.notifier.Run(ctx); return nil })
	group.Go(func() error { g.correlator.Run(ctx); return nil })
	return group.Wait()
}

// finish waits until the ends of claims are recorded and hands over kept answers
// to other instances. It runs before the instance stops and returns the number of
// claims that are not recorded and of answers that are not handed over.
func (g *guarantees) finish(ctx context.Context) (unrecorded, left int) {
	for g.guarantor.Pending() > 0 && ctx.Err() == nil {
		redwingshunt.Pause(ctx, finishPollInterval)
	}
	return g.guarantor.Pending(), g.keeper.Handover(ctx)
}

// finishPollInterval is the interval at which finish checks for unrecorded
// claims.
const finishPollInterval = 50 * time.Millisecond
