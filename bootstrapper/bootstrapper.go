// Package bootstrapper decides when an instance with a data folder becomes a voter of
// the log: when it bootstraps the first membership, and when it joins, possibly
// as the replacement of a failed voter.
//
// The first membership consists of the founders, which the settings list by link
// address. It is created only at the first start of the fleet, once all founders
// are alive, by the founder with the smallest ID. If that founder stops before
// all others have the membership, any instance that has it sends it to the
// others. After that, an instance that is not a voter joins if the log has fewer
// voters than wanted, if a voter has the instance's own ID but another folder
// (its disk was lost), if the leader does not hear of a voter, or if a voter has been
// gone for longer than VoterGoneTimeout. The
// log completes each change by itself and resolves concurrent changes that
// several instances start.
//
// With Goals, the voters are spread over regions and availability zones: of the instances
// that can take a seat, the best placed one joins at once, and each other one waits for a
// bounded time, in case that one fails.
//
// # Usage
//
//	core := bootstrapper.New(bootstrapper.Options{Self: self, Founders: founders, Goals: bootstrapper.Goals{Wanted: 3}})
//	switch action := core.Decide(now, view).(type) {
//	case bootstrapper.Form: // create the first membership of action.Voters
//	case bootstrapper.Join: // add this instance, in place of action.Lost if it is set
//	}
package bootstrapper

import (
	"net/netip"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
)

// VoterGoneTimeout is the time for which a voter may be gone before another instance
// replaces it. A restarted process returns sooner.
const VoterGoneTimeout = time.Second

// Options configure a Core.
type Options struct {
	Self     redwingshunt.InstanceID
	Founders []netip.AddrPort // link addresses; empty except at the first start of the fleet
	Goals
}

// JoinWait is the time for which an instance leaves a seat to each better placed one, and
// MaxJoinWait limits the sum. A wait covers the interval at which an instance looks for a
// seat, 0.5 s, and the time until its addition is visible. The sum keeps a join within 4 s
// of the loss of a voter, of which VoterGoneTimeout is one.
const (
	JoinWait    = 750 * time.Millisecond
	MaxJoinWait = 2 * JoinWait
)

// View is the state of the fleet and the log as known to this instance.
type View struct {
	Live   []redwingshunt.Instance
	Absent []redwingshunt.Instance // members that are not live, as last seen; needed with Goals only
	Seeded bool                    // the instance's folder has state
	// Unfinished lists the instances of the first membership, if the instance's
	// folder has that membership and the log has never had a leader.
	Unfinished []redwingshunt.InstanceID
	Membership replicator.Membership // as reported by the leader; nil if unknown
	Silent     []replicator.MemberID // members of which the leader has not heard for an election timeout
	Own        replicator.MemberID
	Leader     redwingshunt.InstanceID // of the control group; empty if unknown
}

// Action is the result of Decide: Form, Join, Wait or nil.
type Action interface{ action() }

// Form creates the first membership, or sends it to those of its voters that do
// not have it yet.
type Form struct{ Voters []redwingshunt.InstanceID }

// Join makes this instance a voter. If Lost is set, the instance replaces that
// voter, which may be the same instance with another folder.
type Join struct{ Lost redwingshunt.InstanceID }

// Wait leaves a seat that this instance could take to better placed instances for now.
type Wait struct {
	Lost   redwingshunt.InstanceID // as in Join
	Better int                     // number of better placed instances
}

func (Form) action() {}
func (Wait) action() {}
func (Join) action() {}

// Core decides for one instance. It records since when each voter is gone.
type Core struct {
	options Options
	gone    map[redwingshunt.InstanceID]time.Time
	seat    *openSeat // nil if there is none
}

// openSeat is the seat that the instance could take, and since when.
type openSeat struct {
	lost  redwingshunt.InstanceID // as in Join
	since time.Time
}

// New returns a core.
func New(options Options) *Core {
	return &Core{options: options, gone: make(map[redwingshunt.InstanceID]time.Time)}
}

// Decide returns the action to take now, or nil. A voter counts as gone from the
// first call in which it is not live or is leaving.
func (c *Core) Decide(now time.Time, v View) Action {
	action := c.decide(now, v)
	join, ok := action.(Join)
	if !ok {
		c.seat = nil
		return action
	}
	if better := c.betterPlaced(now, v, join); better > 0 {
		return Wait{Lost: join.Lost, Better: better}
	}
	return join
}

// decide returns the action without regard to better placed instances.
func (c *Core) decide(now time.Time, v View) Action {
	if v.Membership == nil {
		return c.formMembership(v)
	}
	if member, known := v.Membership.Find(v.Own); known && member.Voter {
		return nil
	}
	for _, member := range v.Membership.Instance(c.options.Self) {
		if member.ID != v.Own {
			return Join{Lost: c.options.Self}
		}
	}
	c.updateGone(now, v)
	if lostVoter := c.lostVoter(now, v); lostVoter != "" {
		return Join{Lost: lostVoter}
	}
	if v.Membership.Voters() < c.options.Wanted {
		return c.joinFreeSeat(v)
	}
	return nil
}

// betterPlaced returns the number of better placed instances to which this one leaves a
// seat for now. A member whose addition is in progress or whose disk was lost does not wait.
func (c *Core) betterPlaced(now time.Time, v View, join Join) int {
	self, live := v.find(c.options.Self)
	if !c.options.Tolerate.Enabled() || !live || len(v.Membership.Instance(self.ID)) > 0 {
		return 0
	}
	if c.seat == nil || c.seat.lost != join.Lost {
		c.seat = &openSeat{lost: join.Lost, since: now}
	}
	better := c.options.newSeating(v, join.Lost).rank(self, v.candidates())
	if v.beingTaken(join.Lost) {
		better++
	}
	if now.Sub(c.seat.since) >= min(time.Duration(better)*JoinWait, MaxJoinWait) {
		return 0
	}
	return better
}

// joinFreeSeat returns the action if the log has fewer voters than wanted. A learner is
// already on its way to the seat unless the leader does not hear of it; if it came back
// after another one has the seat, the log would grow.
func (c *Core) joinFreeSeat(v View) Action {
	lostLearner := Join{}
	for _, member := range v.Membership {
		switch {
		case member.Voter || member.ID == v.Own:
		case slices.Contains(v.Silent, member.ID):
			lostLearner.Lost = member.ID.Instance
		default:
			return nil
		}
	}
	return lostLearner
}

// formMembership returns Form if this instance must create the first membership,
// or send it to the other founders.
func (c *Core) formMembership(v View) Action {
	if len(v.Unfinished) > 0 {
		return Form{Voters: v.Unfinished} // the others may not have it yet
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

// updateGone records since when voters are gone.
func (c *Core) updateGone(now time.Time, v View) {
	live := redwingshunt.NewSet[redwingshunt.InstanceID]()
	for _, instance := range v.Live {
		if !instance.Leaving {
			live.Add(instance.ID)
		}
	}
	for _, member := range v.Membership {
		if live.Has(member.ID.Instance) {
			delete(c.gone, member.ID.Instance)
		} else if _, recorded := c.gone[member.ID.Instance]; !recorded {
			c.gone[member.ID.Instance] = now
		}
	}
}

// lostVoter returns a voter of which the leader does not hear, or else the one that has
// been gone the longest, if that is at least VoterGoneTimeout, or "". The leader notices
// the loss of a machine long before all instances agree that it is dead.
func (c *Core) lostVoter(now time.Time, v View) redwingshunt.InstanceID {
	for _, silent := range v.Silent {
		if v.Membership.Voter(silent) {
			return silent.Instance
		}
	}
	var lostVoter redwingshunt.InstanceID
	for _, member := range v.Membership {
		since, gone := c.gone[member.ID.Instance]
		if !gone || !member.Voter || now.Sub(since) < VoterGoneTimeout {
			continue
		}
		if lostVoter == "" || since.Before(c.gone[lostVoter]) {
			lostVoter = member.ID.Instance
		}
	}
	return lostVoter
}
