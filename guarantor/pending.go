package guarantor

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwingshunt/redwingshunt/claimer"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// pendingRetryDelay is the delay before pending commands are proposed again.
	pendingRetryDelay = 500 * time.Millisecond
	// maxParallelProposals bounds the concurrent proposals of pending commands.
	maxParallelProposals = 16
)

// pending is a command that ends a claim and is not known to be committed.
type pending struct {
	key     claimer.Key
	claim   heldClaim
	command *wire.ClaimCommand
}

// Run proposes pending commands until ctx ends.
func (g *Guarantor) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		for g.proposePending(ctx) > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(pendingRetryDelay):
			}
		}
	}
}

// Pending returns the number of commands that end a claim and are not known to be
// committed.
func (g *Guarantor) Pending() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unfinished
}

// proposePending proposes each pending command once and returns how many remain.
func (g *Guarantor) proposePending(ctx context.Context) int {
	g.mu.Lock()
	batch := g.pending
	g.pending = nil
	g.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(maxParallelProposals)
	for _, p := range batch {
		group.Go(func() error {
			err := g.end(ctx, p.key, p.claim, p.command)
			g.mu.Lock()
			defer g.mu.Unlock()
			if err != nil {
				g.pending = append(g.pending, p)
				return nil
			}
			g.unfinished--
			return nil
		})
	}
	_ = group.Wait()
	return g.Pending()
}

// close proposes the end of a claim. When that fails, it queues the command and
// returns the error.
func (g *Guarantor) close(ctx context.Context, key claimer.Key, claim heldClaim, command *wire.ClaimCommand) error {
	err := g.end(ctx, key, claim, command)
	if err != nil {
		g.queue(pending{key: key, claim: claim, command: command})
	}
	return err
}

// end proposes the end of a claim and releases the claim once it is committed.
func (g *Guarantor) end(ctx context.Context, key claimer.Key, claim heldClaim, command *wire.ClaimCommand) error {
	if _, err := g.propose(ctx, claim.group, command); err != nil {
		return err
	}
	g.release(key, claim)
	return nil
}

// queueAbandon queues the command that abandons a claim.
func (g *Guarantor) queueAbandon(key claimer.Key, claim heldClaim) {
	g.queue(pending{key: key, claim: claim, command: abandonCommand(key, claim.id)})
}

// queue adds a pending command and wakes Run.
func (g *Guarantor) queue(p pending) {
	g.mu.Lock()
	g.pending = append(g.pending, p)
	g.unfinished++
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// abandonCommand returns the command that abandons a claim.
func abandonCommand(key claimer.Key, id uint64) *wire.ClaimCommand {
	return &wire.ClaimCommand{Action: &wire.ClaimCommand_Abandon{
		Abandon: &wire.ClaimAbandon{Key: key[:], Id: id},
	}}
}
