package measurer

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/exchanger"
	"github.com/redwingshunt/redwingshunt/wire"

	"google.golang.org/protobuf/proto"
)

// localRouter is a router of the baseline policies. It has a fixed subset of the slots
// of each upstream in its region and schedules them on its own.
type localRouter struct {
	fleet         *Fleet
	node          *node
	freeSlots     map[*engine]int // free slots
	regionEngines []*engine
	queues        map[redwingshunt.AccountID][]*request
	arrivals      []*request // in order of arrival
	ledger        *exchanger.Ledger
	lastExchange  time.Time
}

func newLocalRouter(f *Fleet, n *node) *localRouter {
	l := &localRouter{
		fleet: f, node: n, freeSlots: map[*engine]int{},
		queues: map[redwingshunt.AccountID][]*request{},
		ledger: exchanger.NewLedger(exchanger.Origin{Instance: n.instance.ID, Incarnation: n.instance.Incarnation}),
	}
	rank, routers, slot := 0, 0, 0
	for _, other := range f.nodes {
		if other.instance.Region != n.instance.Region {
			continue
		}
		if other == n {
			rank = routers
		}
		routers++
	}
	for _, e := range f.engines {
		if e.upstream.Region != n.instance.Region {
			continue
		}
		l.regionEngines = append(l.regionEngines, e)
		for range e.slots {
			if slot%routers == rank {
				l.freeSlots[e]++
			}
			slot++
		}
	}
	return l
}

func (l *localRouter) arrive(r *request) {
	l.queues[r.load.Account] = append(l.queues[r.load.Account], r)
	l.arrivals = append(l.arrivals, r)
	l.dispatch()
}

func (l *localRouter) release(r *request, result redwingshunt.Result) {
	l.freeSlots[r.engine]++
	l.charge(r, result.Cost-redwingshunt.Cost(r.charged))
	l.dispatch()
}

func (l *localRouter) charge(r *request, delta redwingshunt.Cost) {
	if l.fleet.usesCores() {
		return
	}
	l.ledger.Charge(r.load.Account, exchanger.UnitsOf(delta, r.load.Share))
}

// dispatch assigns queued requests to the free slots.
func (l *localRouter) dispatch() {
	for _, e := range l.regionEngines {
		for l.freeSlots[e] > 0 && !e.crashed {
			r := l.next()
			if r == nil {
				return
			}
			l.freeSlots[e]--
			l.fleet.dispatch(l.node, r, e)
		}
	}
}

// next removes and returns the request to run next, or nil.
func (l *localRouter) next() *request {
	if l.fleet.scenario.Policy == PolicyFirst {
		for len(l.arrivals) > 0 {
			r := l.arrivals[0]
			l.arrivals = l.arrivals[1:]
			if r.waiting {
				return r
			}
		}
		return nil
	}
	var best redwingshunt.AccountID
	key := exchanger.Units(0)
	for i := range l.fleet.scenario.Loads {
		load := &l.fleet.scenario.Loads[i]
		if len(l.queues[load.Account]) == 0 {
			continue
		}
		if v := l.virtual(load); best == "" || v < key {
			best, key = load.Account, v
		}
	}
	if best == "" {
		return nil
	}
	r := l.queues[best][0]
	l.queues[best] = l.queues[best][1:]
	return r
}

// virtual returns the sum of service and reservations of an account on this router.
func (l *localRouter) virtual(load *Load) exchanger.Units {
	v := l.ledger.Virtual(load.Account)
	second := redwingshunt.Cost(l.fleet.scenario.Rate)
	for r := range l.fleet.tokens[load.Account].active {
		if r.node == l.node {
			v += exchanger.UnitsOf(second, load.Share)
		}
	}
	return v
}

// tick sends the counters to all other routers once a second under PolicyShared.
func (l *localRouter) tick() {
	f := l.fleet
	if f.scenario.Policy != PolicyShared || f.now.Sub(l.lastExchange) < time.Second {
		return
	}
	l.lastExchange = f.now
	m := &wire.Ledger{Service: string(service), Incarnation: uint64(l.node.instance.Incarnation), Sequence: 1}
	for i := range f.scenario.Loads {
		id := f.scenario.Loads[i].Account
		m.Accounts = append(m.Accounts, exchanger.Hash(id))
		m.Units = append(m.Units, uint64(l.ledger.Own(id)>>10))
	}
	size := proto.Size(m) + messageOverheadBytes
	origin := exchanger.Origin{Instance: l.node.instance.ID, Incarnation: l.node.instance.Incarnation}
	for _, other := range f.nodes {
		if other == l.node || !other.alive || other.side != l.node.side {
			continue
		}
		f.gauge.countMessage(l.node, other, redwingshunt.KindLedger, size)
		for i := range f.scenario.Loads {
			id := f.scenario.Loads[i].Account
			own := l.ledger.Own(id)
			f.after(f.delay(l.node.instance.Region, other.instance.Region), func() {
				other.localRouter.ledger.Merge(f.now, origin, id, own)
			})
		}
	}
}
