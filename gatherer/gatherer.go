// Package gatherer aggregates the loads of routers, their outstanding work on
// upstreams, so that a router gets the load of the whole fleet in one message,
// whatever the number of routers.
//
// Each router sends its loads to one gatherer, a nearby voter of the log. A gatherer
// sends the sum over its routers to the other gatherers, and to each of its routers
// the sum over all other routers. The messages of a router thus do not grow with the
// fleet, and only sums are sent between regions.
//
// Core computes the sums, and Chooser chooses the gatherer of a router; they read no
// clock and send nothing. Relay drives a Core, package allocator a Chooser.
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
	"github.com/redwingshunt/redwingshunt/pooler"
	"github.com/redwingshunt/redwingshunt/wire"
)

// maxLoadAge is the age at which the loads of a router or of another gatherer are
// dropped. It is several periods, so that a lost message has no effect.
const maxLoadAge = 1500 * time.Millisecond

// report is the last message of a router or of another gatherer.
type report struct {
	loads *wire.Loads
	at    time.Time
}

// Core is the state of one gatherer. It is used by one goroutine at a time.
type Core struct {
	routers   map[redwingshunt.InstanceID]report
	gatherers map[redwingshunt.InstanceID]report
	history   history
	times     *pooler.Pool
}

// New returns a core without loads.
func New() *Core {
	return &Core{
		routers:   make(map[redwingshunt.InstanceID]report),
		gatherers: make(map[redwingshunt.InstanceID]report),
		times:     pooler.New(),
	}
}

// Receive takes the loads of a router or the sum of another gatherer. Messages may be
// reordered or duplicated; the highest sequence number applies, or any one after
// the previous loads have become too old.
func (c *Core) Receive(now time.Time, from redwingshunt.InstanceID, loads *wire.Loads) {
	reports := c.routers
	if loads.GetSum() {
		reports = c.gatherers
	} else if _, known := reports[from]; !known && hasTimesOnly(loads) {
		return // a router without load is sent no loads
	}
	if known, ok := reports[from]; ok && known.loads.GetSequence() >= loads.GetSequence() && now.Sub(known.at) < maxLoadAge {
		return
	}
	reports[from] = report{loads: loads, at: now}
}

// expire drops loads that are too old.
func (c *Core) expire(now time.Time) {
	for _, reports := range []map[redwingshunt.InstanceID]report{c.routers, c.gatherers} {
		for id, n := range reports {
			if now.Sub(n.at) > maxLoadAge {
				delete(reports, id)
			}
		}
	}
}

// Routers returns the routers with current loads, ordered by ID.
func (c *Core) Routers(now time.Time) []redwingshunt.InstanceID {
	c.expire(now)
	ids := make([]redwingshunt.InstanceID, 0, len(c.routers))
	for id := range c.routers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Own returns the sum over the routers of this gatherer, to be sent to other
// gatherers.
func (c *Core) Own(now time.Time) *wire.Loads {
	c.expire(now)
	s := newSum()
	for _, n := range c.routers {
		s.add(n.loads, 1)
	}
	return s.loads()
}

// Others returns, for each router of this gatherer, the sum over all other routers
// of the fleet.
func (c *Core) Others(now time.Time) map[redwingshunt.InstanceID]*wire.Loads {
	s := c.total(now)
	others := make(map[redwingshunt.InstanceID]*wire.Loads, len(c.routers))
	for id, n := range c.routers {
		s.add(n.loads, -1)
		others[id] = s.loads()
		s.add(n.loads, 1)
	}
	return others
}

// total returns the sum over all routers of the fleet.
func (c *Core) total(now time.Time) *sum {
	c.expire(now)
	s := newSum()
	for _, reports := range []map[redwingshunt.InstanceID]report{c.routers, c.gatherers} {
		for _, n := range reports {
			s.add(n.loads, 1)
		}
	}
	return s
}

// sum accumulates loads.
type sum struct {
	upstreams map[redwingshunt.UpstreamKey]*[3]int64 // unread, running, memory
	accounts  map[string]*[2]int64                   // asked, admitted
}

func newSum() *sum {
	return &sum{upstreams: make(map[redwingshunt.UpstreamKey]*[3]int64), accounts: make(map[string]*[2]int64)}
}

// add adds loads, or subtracts them if sign is -1.
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

// loads returns the sums that are not zero, ordered by service, upstream and
// account.
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

// Of returns the gatherer of an instance: the nearest live voter, or the first live
// instance when there is no voter. A silent voter is used when all voters are, and a
// leaving instance only when there is no other one.
func Of(
	self redwingshunt.Instance, live []redwingshunt.Instance, silent redwingshunt.Set[redwingshunt.InstanceID],
) redwingshunt.InstanceID {
	best, lowest := redwingshunt.InstanceID(""), 0
	for _, instance := range live { // ordered by ID
		if p := penaltyOf(self, instance, silent.Has(instance.ID)); best == "" || p < lowest {
			best, lowest = instance.ID, p
		}
	}
	return best
}

// The penalties by which gatherers are compared; the lowest sum wins.
const (
	sameZone      = 1
	sameRegion    = 2
	otherRegion   = 3
	silentPenalty = 3
	notVoter      = 7
	leavePenalty  = 7
)

func penaltyOf(self, instance redwingshunt.Instance, silent bool) int {
	penalty := otherRegion
	switch {
	case !instance.Voter:
		penalty = notVoter
	case instance.Region == self.Region && instance.Zone == self.Zone:
		penalty = sameZone
	case instance.Region == self.Region:
		penalty = sameRegion
	}
	if silent && instance.Voter {
		penalty += silentPenalty
	}
	if instance.Leaving {
		penalty += leavePenalty
	}
	return penalty
}
