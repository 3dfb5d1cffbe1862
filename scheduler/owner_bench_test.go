package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// BenchmarkOwner measures an owner of 73 upstreams with 460 accounts backlogged on
// 180 routers. A decision takes back a released slot and grants it again; a refresh
// recomputes all reservations, which happens five times per second.
func BenchmarkOwner(b *testing.B) {
	const accounts, routers, upstreams, slots = 460, 180, 73, 39
	now := time.Unix(1000, 0)
	o := NewOwner(OwnerOptions{Self: "o", Incarnation: 1, Region: "a", Service: "s"})
	rules := map[redwingshunt.AccountID]AccountRule{}
	for i := range accounts {
		rules[redwingshunt.AccountID(fmt.Sprintf("account-%d", i))] = AccountRule{Share: 1}
	}
	o.Step(now, Configured{Accounts: rules})
	o.Step(now, Elected{Term: 1})
	type granted struct {
		router redwingshunt.InstanceID
		id     uint64
	}
	var held []granted
	collect := func(actions []Action) {
		for _, a := range actions {
			if g, ok := a.(SendGrants); ok {
				for i := range g.Grants.Grants {
					held = append(held, granted{g.To, g.Grants.First + uint64(i)})
				}
			}
		}
	}
	for i := range accounts {
		for r := range 4 {
			from := redwingshunt.InstanceID(fmt.Sprintf("r%d", (i+r*45)%routers))
			collect(o.Step(now, StateReceived{From: from, State: &wire.State{
				Incarnation: 1, Sequence: uint64(i + 1), Demands: []*wire.Demand{
					{Account: fmt.Sprintf("account-%d", i), Queued: 1 << 30, AgeMs: uint32(i)},
				},
			}}))
		}
	}
	for u := range upstreams {
		collect(o.Step(now, Announced{Upstream: redwingshunt.Upstream{
			ID: redwingshunt.UpstreamID(fmt.Sprintf("u%d", u)), Region: "a", Slots: slots,
		}, TTL: time.Hour}))
	}
	sequence := uint64(1 << 20)
	b.Run("decision", func(b *testing.B) {
		first := len(held) - upstreams*slots
		for i := range b.N {
			g := held[first+i]
			sequence++
			now = now.Add(time.Millisecond)
			collect(o.Step(now, StateReceived{From: g.router, State: &wire.State{
				Incarnation: 1, Sequence: sequence, Term: 1, Seen: g.id,
				Released: []*wire.Released{{Id: g.id, Cost: 400, TotalMs: 10000}},
			}}))
		}
	})
	b.Run("refresh", func(b *testing.B) {
		for range b.N {
			now = now.Add(refreshPeriod)
			o.Step(now, Ticked{})
		}
	})
}
