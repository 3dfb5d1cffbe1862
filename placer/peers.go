package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// others is what is known of all other routers together.
type others struct {
	from  redwingshunt.InstanceID // who summed it up
	loads *wire.Loads
	at    time.Time
}

// Heard takes what all other routers have, as a gatherer summed it up. Messages
// may come late or twice; the newest counts. Another gatherer has the word at
// once, since a router changes it only when the last one is gone.
func (c *Core) Heard(now time.Time, from redwingshunt.InstanceID, loads *wire.Loads) {
	if c.others.from == from && c.others.loads.GetSequence() >= loads.GetSequence() {
		return
	}
	c.others = others{from: from, loads: loads, at: now}
	c.weighOthers()
}

// Forget drops what others had when nothing was heard of them for a while.
func (c *Core) Forget(now time.Time) {
	if c.others.loads != nil && now.Sub(c.others.at) > lookback {
		c.others = others{}
		c.weighOthers()
	}
}

// weighOthers notes what other routers have with each upstream.
func (c *Core) weighOthers() {
	for _, u := range c.upstreams {
		u.remote, u.told = work{}, c.others.at
	}
	for _, a := range c.shares.accounts {
		a.remoteAsked, a.remoteAdmitted = 0, 0
	}
	for _, load := range c.others.loads.GetUpstreams() {
		key := redwingshunt.UpstreamKey{
			Service: redwingshunt.ServiceID(load.GetService()), ID: redwingshunt.UpstreamID(load.GetId()),
		}
		if u := c.upstreams[key]; u != nil {
			u.remote = work{
				unread: int64(load.GetUnread()), running: int64(load.GetRunning()), memory: int64(load.GetMemory()),
			}
		}
	}
	for _, load := range c.others.loads.GetAccounts() {
		a := c.shares.of(redwingshunt.AccountID(load.GetAccount()))
		a.remoteAsked, a.remoteAdmitted = float64(load.GetAsked()), float64(load.GetAdmitted())
	}
}

// Loads returns what this router has with upstreams, for other routers.
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
		if asked >= leastRate || admitted >= leastRate {
			loads.Accounts = append(loads.Accounts, &wire.AccountLoad{
				Account: string(id), Asked: uint32(asked), Admitted: uint32(admitted),
			})
		}
	}
	slices.SortFunc(loads.Upstreams, func(a, b *wire.UpstreamLoad) int { return cmp.Compare(a.GetId(), b.GetId()) })
	slices.SortFunc(loads.Accounts, func(a, b *wire.AccountLoad) int { return cmp.Compare(a.GetAccount(), b.GetAccount()) })
	return loads
}
