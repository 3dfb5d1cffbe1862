package recorder

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/replicator/encoder"
	"github.com/redwingshunt/redwingshunt/wire"
)

// TestSeatOfPromotedVoterIsTaken guards against a log that grows by a voter: an instance
// asks for the seat of a voter whose successor is promoted while the voter, which has
// returned, is not removed yet.
func TestSeatOfPromotedVoterIsTaken(t *testing.T) {
	for delay := time.Duration(0); delay < 600*time.Millisecond; delay += 20 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := emptyNetwork(t, 1)
			n.groups = 2
			for _, name := range []redwingshunt.InstanceID{"a", "b", "c", "d", "e", "router"} {
				n.start(name)
			}
			time.Sleep(10 * time.Second)
			replaced := n.voterThat(false) // it lives, so it is removed after the promotion
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			errs := make(chan error, 2)
			go func() { errs <- n.running["d"].Join(ctx, replaced, wantedVoters) }()
			time.Sleep(delay)
			go func() { errs <- n.running["e"].Join(ctx, replaced, wantedVoters) }()
			first, second := <-errs, <-errs
			is.True((first == nil) != (second == nil))
			refused := errors.Join(first, second)
			is.True(errors.Is(refused, ErrSeatTaken) || errors.Is(refused, ErrFolderInUse)) // the latter if it was a learner
			for _, g := range n.running[n.leader()].Status().Groups {
				is.Equal(len(g.Members), 3)
			}
		})
	}
}

// TestOneFreeSeatForTwoSpares has two instances join at the same time while the log has
// one voter fewer than wanted. The log must not grow beyond that seat.
func TestOneFreeSeatForTwoSpares(t *testing.T) {
	for delay := time.Duration(0); delay < 200*time.Millisecond; delay += 20 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := emptyNetwork(t, 1)
			n.groups = 1
			for _, name := range []redwingshunt.InstanceID{"a", "b", "c", "d", "e", "router"} {
				n.start(name)
			}
			time.Sleep(10 * time.Second)
			removed := n.voterThat(false)
			n.change(t, &wire.LogChange{Remove: encoder.Member(replicator.Member{ID: n.running[removed].self})})
			time.Sleep(time.Second)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			errs := make(chan error, 2)
			go func() { errs <- n.running["d"].Join(ctx, "", wantedVoters) }()
			time.Sleep(delay)
			members := len(n.running[n.leader()].Status().Groups[0].Members)
			go func() { errs <- n.running["e"].Join(ctx, "", wantedVoters) }()
			first, second := <-errs, <-errs
			if members < 3 {
				is.True((first == nil) != (second == nil))
				is.True(errors.Is(errors.Join(first, second), ErrSeatTaken))
				is.Equal(len(n.running[n.leader()].Status().Groups[0].Members), 3)
			}
		})
	}
}
