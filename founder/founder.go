// Package founder decides when an instance with a data folder takes part in the
// log: whether it makes the first membership together with others, and whether
// it joins in place of a voter that is gone.
//
// The first membership is made of the founders that the settings name by link
// address, once all of them are alive, by the one with the smallest name, and
// only at the first start of the fleet. Should it stop halfway, whoever holds
// that membership tells the others. From then on an instance that does not
// vote joins when the log has fewer voters than wanted, when a voter of its own
// name has another folder (its disk was lost), or when a voter has been gone
// for a while. Each change is one step that the log itself carries through; a
// change that several instances begin at once is settled by the log.
//
// # Usage
//
//	core := founder.New(founder.Options{Self: self, Founders: founders, Wanted: 3})
//	switch action := core.Decide(now, view).(type) {
//	case founder.Form: // make the first membership of action.Voters
//	case founder.Join: // replace action.Lost, or nobody, by this instance
//	}
package founder

import (
	"net/netip"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
)

// Patience is how long a voter may be gone before another instance takes its
// place; a process that is restarted is back sooner.
const Patience = time.Second

// Options configure a Core.
type Options struct {
	Self     redwingshunt.InstanceID
	Founders []netip.AddrPort // link addresses; empty unless the fleet starts for the first time
	Wanted   int              // voters
}

// View is what the instance knows.
type View struct {
	Live   []redwingshunt.Instance
	Seeded bool // the own folder has state
	// Unfinished are the instances of the first membership, when the own folder
	// holds it and the log has never had a leader.
	Unfinished []redwingshunt.InstanceID
	Membership replicator.Membership // as the leader has it; nil when not known
	Own        replicator.MemberID
}

// Action is what to do: Form, Join, or nil.
type Action interface{ action() }

// Form makes the first membership, or tells those of it who have not learnt of
// it.
type Form struct{ Voters []redwingshunt.InstanceID }

// Join makes this instance a voter in place of a lost one, which may be its own
// name with another folder, or in place of nobody.
type Join struct{ Lost redwingshunt.InstanceID }

func (Form) action() {}
func (Join) action() {}

// Core remembers since when voters are gone.
type Core struct {
	options Options
	gone    map[redwingshunt.InstanceID]time.Time
}

// New returns a core.
func New(options Options) *Core {
	return &Core{options: options, gone: make(map[redwingshunt.InstanceID]time.Time)}
}

// Decide returns what to do now.
func (c *Core) Decide(now time.Time, v View) Action {
	if v.Membership == nil {
		return c.found(v)
	}
	if member, known := v.Membership.Find(v.Own); known && member.Voter {
		return nil
	}
	for _, member := range v.Membership.Instance(c.options.Self) {
		if member.ID != v.Own {
			return Join{Lost: c.options.Self}
		}
	}
	c.watch(now, v)
	if lost := c.lost(now, v.Membership); lost != "" {
		return Join{Lost: lost}
	}
	if v.Membership.Voters() < c.options.Wanted {
		return Join{}
	}
	return nil
}

// found returns Form when this instance is the one to make the first membership.
func (c *Core) found(v View) Action {
	if len(v.Unfinished) > 0 {
		return Form{Voters: v.Unfinished} // the others may not have learnt of it
	}
	if len(c.options.Founders) == 0 || v.Seeded {
		return nil
	}
	var voters []redwingshunt.InstanceID
	for _, instance := range v.Live {
		if instance.Voter && slices.Contains(c.options.Founders, instance.Address) {
			voters = append(voters, instance.ID)
		}
	}
	slices.Sort(voters)
	if len(voters) < len(c.options.Founders) || voters[0] != c.options.Self {
		return nil
	}
	return Form{Voters: voters}
}

// watch notes since when voters are gone.
func (c *Core) watch(now time.Time, v View) {
	live := redwingshunt.NewSet[redwingshunt.InstanceID]()
	for _, instance := range v.Live {
		if !instance.Leaving {
			live.Add(instance.ID)
		}
	}
	for _, member := range v.Membership {
		if live.Has(member.ID.Instance) {
			delete(c.gone, member.ID.Instance)
		} else if _, noted := c.gone[member.ID.Instance]; !noted {
			c.gone[member.ID.Instance] = now
		}
	}
}

// lost returns the voter that has been gone longest, beyond Patience.
func (c *Core) lost(now time.Time, membership replicator.Membership) redwingshunt.InstanceID {
	var lost redwingshunt.InstanceID
	for _, member := range membership {
		since, gone := c.gone[member.ID.Instance]
		if !gone || !member.Voter || now.Sub(since) < Patience {
			continue
		}
		if lost == "" || since.Before(c.gone[lost]) {
			lost = member.ID.Instance
		}
	}
	return lost
}
