package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// peer is what another router told last.
type peer struct {
	loads *wire.Loads
	at    time.Time
}

// Heard takes what another router tells of its work. Messages may come late or
// twice; the newest counts.
func (c *Core) Heard(now time.Time, from redwingshunt.InstanceID, loads *wire.Loads) {
	if known := c.peers[from]; known != nil && known.loads.GetSequence() >= loads.GetSequence() {
		return
	}
	c.peers[from] = &peer{loads: loads, at: now}
	c.Forget(now)
}

// Forget drops routers that have told nothing for a while and sums up the rest.
func (c *Core) Forget(now time.Time) {
	for id, p := range c.peers {
		if now.Sub(p.at) > lookback {
			delete(c.peers, id)
		}
	}
	c.weighPeers()
}

// weighPeers sums up what other routers have with each upstream.
func (c *Core) weighPeers() {
	for _, u := range c.upstreams {
		u.remote, u.told = work{}, time.Time{}
	}
	for _, a := range c.shares.accounts {
		a.remoteAsked, a.remoteAdmitted = 0, 0
	}
	for _, p := range c.peers {
		for _, load := range p.loads.GetUpstreams() {
			key := redwingshunt.UpstreamKey{
				Service: redwingshunt.ServiceID(load.GetService()), ID: redwingshunt.UpstreamID(load.GetId()),
			}
			u := c.upstreams[key]
			if u == nil {
				continue
			}
			u.remote.unread += int64(load.GetUnread())
			u.remote.running += int64(load.GetRunning())
			u.remote.memory += int64(load.GetMemory())
			if p.at.After(u.told) {
				u.told = p.at
			}
		}
		for _, load := range p.loads.GetAccounts() {
			a := c.shares.of(redwingshunt.AccountID(load.GetAccount()))
			a.remoteAsked += float64(load.GetAsked())
			a.remoteAdmitted += float64(load.GetAdmitted())
		}
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
