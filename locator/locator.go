// Package locator decides when the leader of a group of the log hands over to a
// voter of the region that the group prefers.
//
// A claim costs one round trip between regions where its group is led at home,
// and two elsewhere. The preference must never cost availability, so a leader
// moves the lead only
//
//   - when it has led without a break, in one term, for Settle,
//   - to a voter of the preferred region that was healthy, caught up and not
//     leaving for all of that time,
//   - while no change of membership is pending.
//
// Each move ends the time of a leader, and the next leader has to lead for
// Settle itself: a group moves at most once in Settle, whoever decides. A
// partition that comes and goes within Settle moves nothing. Each further move
// that one instance asks for within Calm doubles its wait, so that a home that
// answers but does not stay the leader is asked ever less often.
//
// # Usage
//
// The driver asks about each group every few seconds at most and gives the
// result to the core as a TransferProposed:
//
//	l := locator.New()
//	if target, ok := l.Target(now, group, view).Get(); ok {
//		core.Step(now, replicator.TransferProposed{To: target})
//	}
package locator

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
)

const (
	// Settle is how long a leader and its target must be undisturbed.
	Settle = time.Minute
	// Calm is the time without a move after which the wait is Settle again.
	Calm = 2 * time.Hour
	// MaxDoublings bounds the wait to Settle << MaxDoublings, 32 minutes.
	MaxDoublings = 5
	// MaxAdvance is the most that one call advances the time, so that a jump of
	// the clock settles nothing.
	MaxAdvance = 2 * time.Second
)

// View is what an instance knows of one group.
type View struct {
	Status replicator.Status
	Home   redwingshunt.Option[redwingshunt.RegionID] // where the group is to be led
	Live   []redwingshunt.Instance                    // as of the members of the fleet
}

// Locator remembers how long the groups have been undisturbed. It is not safe
// for concurrent use.
type Locator struct {
	groups map[redwingshunt.GroupID]*watch
}

// watch is the state of one group.
type watch struct {
	wall  time.Time     // as last told
	now   time.Duration // by the bounded clock
	term  uint64
	home  redwingshunt.RegionID
	since map[replicator.MemberID]time.Duration // when a candidate became one
	moved time.Duration                         // when the last move was asked for
	moves int                                   // since the last calm
}

// New returns a locator that has seen nothing yet.
func New() *Locator { return &Locator{groups: make(map[redwingshunt.GroupID]*watch)} }

// Target returns the member to which the leader of a group is to hand over now,
// or none. Having returned one it begins to wait anew.
func (l *Locator) Target(now time.Time, group redwingshunt.GroupID, view View) redwingshunt.Option[replicator.MemberID] {
	w := l.groups[group]
	if w == nil {
		w = &watch{wall: now}
		l.groups[group] = w
	}
	w.advance(now)
	home, wanted := view.Home.Get()
	s := view.Status
	away := wanted && s.Role == replicator.RoleLeader && !s.Pending && !s.Lost && regionOf(view.Live, s.Self.Instance) != home
	if !away {
		w.since = nil
		return redwingshunt.None[replicator.MemberID]()
	}
	if s.Term != w.term || home != w.home {
		w.term, w.home, w.since = s.Term, home, nil
	}
	w.observe(candidates(view, home))
	return w.settled(s.Membership)
}

// advance moves the bounded clock.
func (w *watch) advance(now time.Time) {
	w.now += min(max(now.Sub(w.wall), 0), MaxAdvance)
	w.wall = now
	if w.moves > 0 && w.now-w.moved >= Calm {
		w.moves = 0
	}
}

// observe notes since when each candidate has been one without a break.
func (w *watch) observe(found map[replicator.MemberID]bool) {
	since := make(map[replicator.MemberID]time.Duration, len(found))
	for id := range found {
		began, known := w.since[id]
		if !known {
			began = w.now
		}
		since[id] = began
	}
	w.since = since
}

// settled returns the first candidate, in the order of the membership, that has
// been one for long enough.
func (w *watch) settled(members replicator.Membership) redwingshunt.Option[replicator.MemberID] {
	wait := Settle << min(w.moves, MaxDoublings)
	for _, member := range members {
		began, known := w.since[member.ID]
		if !known || w.now-began < wait {
			continue
		}
		w.since = nil
		w.moved = w.now
		w.moves++
		return redwingshunt.Some(member.ID)
	}
	return redwingshunt.None[replicator.MemberID]()
}

// candidates returns the voters of a region that could lead.
func candidates(view View, home redwingshunt.RegionID) map[replicator.MemberID]bool {
	found := make(map[replicator.MemberID]bool)
	for _, m := range view.Status.Members {
		healthy := m.Alive && m.Match > 0 && m.Match+replicator.PromotionLag >= view.Status.Commit
		if healthy && view.Status.Membership.Voter(m.ID) && regionOf(view.Live, m.ID.Instance) == home {
			found[m.ID] = true
		}
	}
	delete(found, view.Status.Self)
	return found
}

// regionOf returns the region of a live instance that stays, or "".
func regionOf(live []redwingshunt.Instance, id redwingshunt.InstanceID) redwingshunt.RegionID {
	for _, instance := range live {
		if instance.ID == id && !instance.Leaving {
			return instance.Region
		}
	}
	return ""
}
