package guarantor

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/redwingshunt/redwingshunt/claimer"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// again is the pause between two attempts to commit what is pending.
	again = 500 * time.Millisecond
	// parallel bounds the proposals of pending commands at once.
	parallel = 16
)

// pending is a command that ends a claim and is not committed yet.
type pending struct {
	key     claimer.Key
	mine    run
	command *wire.ClaimCommand
}

// Run commits what is pending until ctx ends.
func (g *Guarantor) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		for g.drain(ctx) > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(again):
			}
		}
	}
}

// Pending returns the number of claims of which the end is not committed.
func (g *Guarantor) Pending() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// drain proposes each pending command once and returns how many are left.
func (g *Guarantor) drain(ctx context.Context) int {
	g.mu.Lock()
	work := g.pending
	g.pending = nil
	g.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(parallel)
	for _, p := range work {
		group.Go(func() error {
			err := g.end(ctx, p.key, p.mine, p.command)
			g.mu.Lock()
			defer g.mu.Unlock()
			if err != nil {
				g.pending = append(g.pending, p)
				return nil
			}
			g.open--
			return nil
		})
	}
	_ = group.Wait()
	return g.Pending()
}

// close ends a claim now, or later when the log can't be reached.
func (g *Guarantor) close(ctx context.Context, key claimer.Key, mine run, command *wire.ClaimCommand) error {
	err := g.end(ctx, key, mine, command)
	if err != nil {
		g.later(pending{key: key, mine: mine, command: command})
	}
	return err
}

// end proposes the end of a claim, which is held here until it is committed.
func (g *Guarantor) end(ctx context.Context, key claimer.Key, mine run, command *wire.ClaimCommand) error {
	if _, err := g.propose(ctx, mine.group, command); err != nil {
		return err
	}
	g.leave(key, mine)
	return nil
}

// abandonLater ends a claim of which no byte left, as soon as the log can be
// reached.
func (g *Guarantor) abandonLater(key claimer.Key, mine run) {
	g.later(pending{key: key, mine: mine, command: abandon(key, mine.id)})
}

// later queues a command.
func (g *Guarantor) later(p pending) {
	g.mu.Lock()
	g.pending = append(g.pending, p)
	g.open++
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// abandon returns the command that frees a key.
func abandon(key claimer.Key, id uint64) *wire.ClaimCommand {
	return &wire.ClaimCommand{Action: &wire.ClaimCommand_Abandon{
		Abandon: &wire.ClaimAbandon{Key: key[:], Id: id},
	}}
}
