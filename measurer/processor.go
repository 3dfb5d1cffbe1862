package measurer

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/scheduler"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	loadedAccounts  = 460
	loadedRouters   = 180
	loadedUpstreams = 73
	loadedSlots     = 39
	decisionCount   = 100_000
	refreshCount    = 50
)

// grantRef identifies a grant of a loaded owner.
type grantRef struct {
	router redwingshunt.InstanceID
	id     uint64
}

// loadedOwner is an owner whose slots are all taken while all accounts are backlogged.
type loadedOwner struct {
	owner    *scheduler.Owner
	now      time.Time
	sequence uint64
	grants   []grantRef
}

func newLoadedOwner() *loadedOwner {
	l := &loadedOwner{now: time.Unix(1_700_000_000, 0), owner: scheduler.NewOwner(scheduler.OwnerOptions{
		Self: "owner", Incarnation: 1, Region: "west", Service: service,
	})}
	l.step(scheduler.Elected{Term: 1})
	for i := range loadedAccounts * 4 {
		l.sequence++
		l.step(scheduler.StateReceived{From: redwingshunt.InstanceID(fmt.Sprintf("r%d", i*7%loadedRouters)), State: &wire.State{
			Incarnation: 1, Sequence: l.sequence, Demands: []*wire.Demand{
				{Account: fmt.Sprintf("account-%03d", i%loadedAccounts), Queued: 1 << 30, AgeMs: uint32(i)},
			},
		}})
	}
	for i := range loadedUpstreams {
		l.step(scheduler.Announced{Upstream: redwingshunt.Upstream{
			ID: redwingshunt.UpstreamID(fmt.Sprintf("u%d", i)), Region: "west", Slots: loadedSlots,
		}, TTL: time.Hour})
	}
	return l
}

// step passes an event to the owner and records the grants.
func (l *loadedOwner) step(e scheduler.Event) {
	for _, a := range l.owner.Step(l.now, e) {
		g, ok := a.(scheduler.SendGrants)
		if !ok {
			continue
		}
		for i := range g.Grants.Grants {
			l.grants = append(l.grants, grantRef{g.To, g.Grants.First + uint64(i)})
		}
	}
}

// decide releases one slot, which the owner grants again.
func (l *loadedOwner) decide(i int) {
	g := l.grants[i]
	l.sequence++
	l.now = l.now.Add(time.Millisecond)
	l.step(scheduler.StateReceived{From: g.router, State: &wire.State{
		Incarnation: 1, Sequence: l.sequence, Term: 1, Seen: g.id,
		Released: []*wire.Released{{Id: g.id, Cost: 400, TotalMs: 10_000}},
	}})
}

// measureProcessor measures the processor time per decision of a loaded owner.
func measureProcessor(_ context.Context, _ Options, out io.Writer) error {
	l := newLoadedOwner()
	start := time.Now()
	for i := range decisionCount {
		l.decide(i)
	}
	decision := time.Since(start) / decisionCount
	start = time.Now()
	for range refreshCount {
		l.now = l.now.Add(time.Second)
		l.step(scheduler.Ticked{})
	}
	fmt.Fprintf(out, "\nProcessor of an owner: %d accounts backlogged, %d routers, %d upstreams, %d running requests\n\n",
		loadedAccounts, loadedRouters, loadedUpstreams, loadedUpstreams*loadedSlots)
	fmt.Fprintf(out, "| a slot given back and granted anew | all reservations anew |\n|---|---|\n| %v | %v |\n",
		decision, time.Since(start)/refreshCount)
	return nil
}
