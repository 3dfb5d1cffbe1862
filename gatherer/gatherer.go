// Package gatherer sums up the work that routers have with upstreams, so that a
// router hears of the whole fleet in one message, whatever the number of
// routers.
//
// Each router tells its loads to one gatherer, an instance near by that keeps
// the log. A gatherer tells the sum of its routers to the other gatherers, and
// to each of its routers the sum of all others. So the messages of a router do
// not grow with the fleet, and between regions only sums travel.
//
// Core decides; it reads no clock and sends nothing. Relay drives it.
//
// # Usage
//
//	r := gatherer.NewRelay(gatherer.Options{Members: members, Link: link, Clock: clock, Logger: logger})
//	go r.Run(ctx)
package gatherer

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// lookback is how old the news of a router or of another gatherer may be to
// count; several periods, so that a lost message changes nothing.
const lookback = 1500 * time.Millisecond

// news is what one router or gatherer told last.
type news struct {
	loads *wire.Loads
	at    time.Time
}

// Core is the state of one gatherer. It is used by one goroutine at a time.
type Core struct {
	routers   map[redwingshunt.InstanceID]news
	gatherers map[redwingshunt.InstanceID]news
}

// New returns a core that has heard of nobody.
func New() *Core {
	return &Core{
		routers:   make(map[redwingshunt.InstanceID]news),
		gatherers: make(map[redwingshunt.InstanceID]news),
	}
}

// Heard takes what a router, or another gatherer, told. Messages may come late
// or twice; the newest counts.
func (c *Core) Heard(now time.Time, from redwingshunt.InstanceID, loads *wire.Loads) {
	all := c.routers
	if loads.GetSum() {
		all = c.gatherers
	}
	if known, ok := all[from]; ok && known.loads.GetSequence() >= loads.GetSequence() && now.Sub(known.at) < lookback {
		return
	}
	all[from] = news{loads: loads, at: now}
}

// forget drops what is too old.
func (c *Core) forget(now time.Time) {
	for _, all := range []map[redwingshunt.InstanceID]news{c.routers, c.gatherers} {
		for id, n := range all {
			if now.Sub(n.at) > lookback {
				delete(all, id)
			}
		}
	}
}

// Routers returns the routers that told of themselves lately.
func (c *Core) Routers(now time.Time) []redwingshunt.InstanceID {
	c.forget(now)
	ids := make([]redwingshunt.InstanceID, 0, len(c.routers))
	for id := range c.routers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Own returns the sum over the routers of this gatherer, for other gatherers.
func (c *Core) Own(now time.Time) *wire.Loads {
	c.forget(now)
	s := newSum()
	for _, n := range c.routers {
		s.add(n.loads, 1)
	}
	return s.loads()
}

// Others returns for each router of this gatherer the sum over all other
// routers of the fleet.
func (c *Core) Others(now time.Time) map[redwingshunt.InstanceID]*wire.Loads {
	c.forget(now)
	s := newSum()
	for _, n := range c.routers {
		s.add(n.loads, 1)
	}
	for _, n := range c.gatherers {
		s.add(n.loads, 1)
	}
	others := make(map[redwingshunt.InstanceID]*wire.Loads, len(c.routers))
	for id, n := range c.routers {
		s.add(n.loads, -1)
		others[id] = s.loads()
		s.add(n.loads, 1)
	}
	return others
}

// sum adds loads up.
type sum struct {
	upstreams map[redwingshunt.UpstreamKey]*[3]int64 // unread, running, memory
	accounts  map[string]*[2]int64                   // asked, admitted
}

func newSum() *sum {
	return &sum{upstreams: make(map[redwingshunt.UpstreamKey]*[3]int64), accounts: make(map[string]*[2]int64)}
}

// add adds loads, or takes them off again with a negative sign.
func (s *sum) add(loads *wire.Loads, sign int64) {
	for _, u := range loads.GetUpstreams() {
		key := redwingshunt.UpstreamKey{Service: redwingshunt.ServiceID(u.GetService()), ID: redwingshunt.UpstreamID(u.GetId())}
		total := s.upstreams[key]
		if total == nil {
			total = new([3]int64)
			s.upstreams[key] = total
		}
		total[0] += sign * int64(u.GetUnread())
		total[1] += sign * int64(u.GetRunning())
		total[2] += sign * int64(u.GetMemory())
	}
	for _, a := range loads.GetAccounts() {
		total := s.accounts[a.GetAccount()]
		if total == nil {
			total = new([2]int64)
			s.accounts[a.GetAccount()] = total
		}
		total[0] += sign * int64(a.GetAsked())
		total[1] += sign * int64(a.GetAdmitted())
	}
}

// loads returns the sums that are not zero, in order.
func (s *sum) loads() *wire.Loads {
	loads := &wire.Loads{Sum: true}
	for key, total := range s.upstreams {
		if *total != [3]int64{} {
			loads.Upstreams = append(loads.Upstreams, &wire.UpstreamLoad{
				Id: string(key.ID), Service: string(key.Service),
				Unread: uint32(total[0]), Running: uint32(total[1]), Memory: uint32(total[2]),
			})
		}
	}
	for account, total := range s.accounts {
		if *total != [2]int64{} {
			loads.Accounts = append(loads.Accounts, &wire.AccountLoad{
				Account: account, Asked: uint32(total[0]), Admitted: uint32(total[1]),
			})
		}
	}
	slices.SortFunc(loads.Upstreams, func(a, b *wire.UpstreamLoad) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetId(), b.GetId()))
	})
	slices.SortFunc(loads.Accounts, func(a, b *wire.AccountLoad) int { return cmp.Compare(a.GetAccount(), b.GetAccount()) })
	return loads
}

// Of returns the gatherer of an instance: the nearest one with a data folder,
// or the first of the fleet when there is none.
func Of(self redwingshunt.Instance, live []redwingshunt.Instance) redwingshunt.InstanceID {
	best, distance := redwingshunt.InstanceID(""), 0
	for _, instance := range live { // ordered by name
		d := 3
		switch {
		case !instance.Voter:
			d = 4
		case instance.Region == self.Region && instance.Zone == self.Zone:
			d = 1
		case instance.Region == self.Region:
			d = 2
		}
		if instance.Leaving {
			d += 4
		}
		if best == "" || d < distance {
			best, distance = instance.ID, d
		}
	}
	return best
}
