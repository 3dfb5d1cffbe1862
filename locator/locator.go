// Package locator decides when the leader of a log group transfers leadership to a
// voter in the region that the group prefers, its home.
//
// A claim costs one round trip between regions when its group is led in its home
// region, and two otherwise. The preference must not reduce availability, so a
// leader transfers leadership only
//
//   - when it has led continuously, in one term, for StableTime,
//   - to a voter of the preferred region that was healthy, caught up and not
//     leaving for all of that time,
//   - while no change of membership is pending.
//
// After a transfer the new leader has to lead for StableTime itself before it may
// transfer again, so a group moves at most once per StableTime, whichever instances
// decide. A partition that lasts less than StableTime causes no transfer. Each
// further transfer that one instance requests within BackoffReset doubles its wait, so
// that a home region that responds but does not keep leadership is tried less
// and less often.
//
// # Usage
//
// The caller calls Target for each group, at intervals of at most a few seconds,
// and passes the result to the replicator as a TransferProposed event:
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
	// StableTime is how long a leader and its target must be stable before a transfer.
	StableTime = time.Minute
	// BackoffReset is the time without a transfer after which the wait is StableTime again.
	BackoffReset = 2 * time.Hour
	// MaxDoublings limits the wait to StableTime << MaxDoublings, which is 32 minutes.
	MaxDoublings = 5
	// MaxAdvance bounds how far one call of Target advances the time, so that a
	// clock jump does not count as a stable period.
	MaxAdvance = 2 * time.Second
)

// View is the state of one group as known to an instance.
type View struct {
	Status replicator.Status
	Home   redwingshunt.Option[redwingshunt.RegionID] // region in which the leader should be
	Live   []redwingshunt.Instance                    // live members of the fleet
}

// Locator tracks how long each group has been stable. It is not safe for concurrent
// use.
type Locator struct {
	groups map[redwingshunt.GroupID]*groupState
}

// groupState is the state of one group.
type groupState struct {
	lastCall     time.Time     // time of the last call of Target
	now          time.Duration // time elapsed; each call adds at most MaxAdvance
	term         uint64
	home         redwingshunt.RegionID
	since        map[replicator.MemberID]time.Duration // when each candidate became one
	lastTransfer time.Duration                         // when the last transfer was requested
	transfers    int                                   // transfers since the last BackoffReset without one
}

// New returns a Locator without state of any group.
func New() *Locator { return &Locator{groups: make(map[redwingshunt.GroupID]*groupState)} }

// Target returns the member to which the leader of a group should transfer
// leadership now, or none. After it returns a member, the wait starts again.
func (l *Locator) Target(now time.Time, group redwingshunt.GroupID, view View) redwingshunt.Option[replicator.MemberID] {
	w := l.groups[group]
	if w == nil {
		w = &groupState{lastCall: now}
		l.groups[group] = w
	}
	w.advance(now)
	home, wanted := view.Home.Get()
	s := view.Status
	eligible := wanted && s.Role == replicator.RoleLeader && !s.Pending && !s.Lost && regionOf(view.Live, s.Self.Instance) != home
	if !eligible {
		w.since = nil
		return redwingshunt.None[replicator.MemberID]()
	}
	if s.Term != w.term || home != w.home {
		w.term, w.home, w.since = s.Term, home, nil
	}
	w.observe(candidates(view, home))
	return w.stableCandidate(s.Membership)
}

// advance advances the elapsed time, and resets the number of transfers after BackoffReset.
func (w *groupState) advance(now time.Time) {
	w.now += min(max(now.Sub(w.lastCall), 0), MaxAdvance)
	w.lastCall = now
	if w.transfers > 0 && w.now-w.lastTransfer >= BackoffReset {
		w.transfers = 0
	}
}

// observe records since when each candidate has been one continuously.
func (w *groupState) observe(found map[replicator.MemberID]bool) {
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

// stableCandidate returns the first candidate, in the order of the membership, that
// has been one for the whole wait, and records the transfer to it.
func (w *groupState) stableCandidate(members replicator.Membership) redwingshunt.Option[replicator.MemberID] {
	wait := StableTime << min(w.transfers, MaxDoublings)
	for _, member := range members {
		began, known := w.since[member.ID]
		if !known || w.now-began < wait {
			continue
		}
		w.since = nil
		w.lastTransfer = w.now
		w.transfers++
		return redwingshunt.Some(member.ID)
	}
	return redwingshunt.None[replicator.MemberID]()
}

// candidates returns the voters of the home region that can take over leadership.
func candidates(view View, home redwingshunt.RegionID) map[replicator.MemberID]bool {
	found := make(map[replicator.MemberID]bool)
	for _, m := range view.Status.Members {
		healthy := m.Alive && m.Match > 0 && m.Match+replicator.PromotionLagEntries >= view.Status.Commit
		if healthy && view.Status.Membership.Voter(m.ID) && regionOf(view.Live, m.ID.Instance) == home {
			found[m.ID] = true
		}
	}
	delete(found, view.Status.Self)
	return found
}

// regionOf returns the region of a live instance that is not leaving, or "".
func regionOf(live []redwingshunt.Instance, id redwingshunt.InstanceID) redwingshunt.RegionID {
	for _, instance := range live {
		if instance.ID == id && !instance.Leaving {
			return instance.Region
		}
	}
	return ""
}
