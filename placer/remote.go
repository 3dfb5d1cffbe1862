package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// remoteLoads holds the aggregated loads of all other routers.
type remoteLoads struct {
	from  redwingshunt.InstanceID // gatherer that aggregated them
	loads *wire.Loads
	at    time.Time
}

// SetRemoteLoads takes the loads of all other routers as aggregated by a gatherer. Messages
// may be reordered or duplicated; the highest sequence number applies. A message of
// another gatherer applies at once, since a router changes its gatherer only when
// the previous one has gone.
func (c *Core) SetRemoteLoads(now time.Time, from redwingshunt.InstanceID, loads *wire.Loads) {
	if c.remoteLoads.from == from && c.remoteLoads.loads.GetSequence() >= loads.GetSequence() {
		return
	}
	c.remoteLoads = remoteLoads{from: from, loads: loads, at: now}
	c.applyRemote()
}

// ExpireRemoteLoads drops the loads of other routers once they are too old to be
// used, and reports whether it has.
func (c *Core) ExpireRemoteLoads(now time.Time) bool {
	if c.remoteLoads.loads == nil || now.Sub(c.remoteLoads.at) <= maxLoadAge {
		return false
	}
	c.remoteLoads = remoteLoads{}
	c.applyRemote()
	return true
}

// applyRemote copies the loads of other routers to the upstreams and accounts.
func (c *Core) applyRemote() {
	for _, u := range c.upstreams {
		u.remote, u.remoteAt = work{}, c.remoteLoads.at
	}
	for _, a := range c.shares.accounts {
		a.remoteAsked, a.remoteAdmitted = 0, 0
	}
	for _, load := range c.remoteLoads.loads.GetUpstreams() {
		key := redwingshunt.UpstreamKey{
			Service: redwingshunt.ServiceID(load.GetService()), ID: redwingshunt.UpstreamID(load.GetId()),
		}
		if u := c.upstreams[key]; u != nil {
			u.remote = work{
				unread: int64(load.GetUnread()), running: int64(load.GetRunning()), memory: int64(load.GetMemory()),
			}
		}
	}
	for _, load := range c.remoteLoads.loads.GetAccounts() {
		a := c.shares.of(redwingshunt.AccountID(load.GetAccount()))
		a.remoteAsked, a.remoteAdmitted = float64(load.GetAsked()), float64(load.GetAdmitted())
	}
}

// Loads returns the outstanding work of this router by upstream and its rates by
// account, to be sent to other routers.
func (c *Core) Loads(now time.Time) *wire.Loads {
	loads := &wire.Loads{}
	for _, u := range c.upstreams {
		if u.own == (work{}) {
			continue
		}
		loads.Upstreams = append(loads.Upstreams, &wire.UpstreamLoad{
			Id: string(u.ID), Service: string(u.Service),
			Unread: uint32(max(u.own.unread, 0)), Running: uint32(max(u.own.running, 0)), Memory: uint32(max(u.own.memory, 0)),
		})
	}
	for id, a := range c.shares.accounts {
		asked, admitted := a.asked.get(now), a.admitted.get(now)
		if asked >= minTokensPerSecond || admitted >= minTokensPerSecond {
			loads.Accounts = append(loads.Accounts, &wire.AccountLoad{
				Account: string(id), Asked: uint32(asked), Admitted: uint32(admitted),
			})
		}
	}
	slices.SortFunc(loads.Upstreams, func(a, b *wire.UpstreamLoad) int { return cmp.Compare(a.GetId(), b.GetId()) })
	slices.SortFunc(loads.Accounts, func(a, b *wire.AccountLoad) int { return cmp.Compare(a.GetAccount(), b.GetAccount()) })
	return loads
}
