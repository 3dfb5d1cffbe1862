package bootstrapper

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
)

const (
	// RebalanceStableTime is the time for which the membership must not have changed, all
	// voters and the successor must have been live, and no seat may be moved.
	RebalanceStableTime = time.Minute
	// maxRebalanceDoublings limits the doubling of that time after moves without effect.
	maxRebalanceDoublings = 5
)

// Move is the transfer of the seat of a voter to an instance that is placed better.
type Move struct {
	Voter     redwingshunt.InstanceID
	Successor redwingshunt.InstanceID
	Excess    int // voters beyond the goals before
	Left      int // voters beyond the goals afterwards
}

// Rebalancer decides on a voter when it moves its seat because its region or availability
// zone has more voters than the goals allow. Each move lowers the number of voters beyond
// the goals, so that moves come to an end and none undoes another. All instances
// choose the same voter if they know the same, and only that one moves.
type Rebalancer struct {
	goals      Goals
	stable     time.Duration
	membership replicator.Membership
	since      time.Time // since when the membership is unchanged, all voters are live, and no move was decided
	live       map[redwingshunt.InstanceID]liveSince
	moves      int // since the membership changed
}

// liveSince is one start of an instance and since when it is live and does not leave.
type liveSince struct {
	incarnation redwingshunt.Incarnation
	since       time.Time
}

// NewRebalancer returns a rebalancer that has seen nothing yet. Stable is the time for which
// nothing must have changed, usually RebalanceStableTime.
func NewRebalancer(goals Goals, stable time.Duration) *Rebalancer {
	return &Rebalancer{goals: goals, stable: stable}
}

// Decide returns the move to begin now, if it is that of the voter self. It must be called
// at short intervals, because it takes what it sees for unchanged in between.
func (r *Rebalancer) Decide(now time.Time, self redwingshunt.InstanceID, v View) redwingshunt.Option[Move] {
	r.updateLive(now, v)
	if !r.calm(v) || !slices.Equal(v.Membership, r.membership) {
		r.membership, r.since, r.moves = v.Membership, now, 0
		return redwingshunt.None[Move]()
	}
	if now.Sub(r.since) < r.stable<<min(r.moves, maxRebalanceDoublings) {
		return redwingshunt.None[Move]()
	}
	move, found := r.bestMove(now, v).Get()
	if !found || move.Voter != self {
		return redwingshunt.None[Move]()
	}
	r.since = now
	r.moves++
	return redwingshunt.Some(move)
}

// updateLive records since when each instance is live.
func (r *Rebalancer) updateLive(now time.Time, v View) {
	live := make(map[redwingshunt.InstanceID]liveSince, len(v.Live))
	for _, instance := range v.Live {
		if instance.Leaving {
			continue
		}
		entry, known := r.live[instance.ID]
		if !known || entry.incarnation != instance.Incarnation {
			entry = liveSince{instance.Incarnation, now}
		}
		live[instance.ID] = entry
	}
	r.live = live
}

// calm reports whether there are as many voters as wanted, all of them live, and no change
// of the membership is in progress.
func (r *Rebalancer) calm(v View) bool {
	if !r.goals.Tolerate.Enabled() || len(v.Membership) != r.goals.Wanted || len(v.Silent) > 0 {
		return false
	}
	for _, member := range v.Membership {
		if _, live := r.live[member.ID.Instance]; !live || !member.Voter {
			return false
		}
	}
	return true
}

// bestMove returns the move that lowers the number of voters beyond the goals the most.
// Of equal ones it takes that of a voter that does not lead, then that out of the fullest
// region and availability zone, then that of the largest ID.
func (r *Rebalancer) bestMove(now time.Time, v View) redwingshunt.Option[Move] {
	var moves []Move
	for _, member := range v.Membership {
		if move, found := r.moveOf(now, member.ID.Instance, v).Get(); found {
			moves = append(moves, move)
		}
	}
	if len(moves) == 0 {
		return redwingshunt.None[Move]()
	}
	all := r.goals.newSeating(v, "")
	leads := func(m Move) int {
		if m.Voter == v.Leader {
			return 1
		}
		return 0
	}
	return redwingshunt.Some(slices.MinFunc(moves, func(a, b Move) int {
		voterA, _ := v.find(a.Voter)
		voterB, _ := v.find(b.Voter)
		return cmp.Or(
			cmp.Compare(a.Left, b.Left),
			cmp.Compare(leads(a), leads(b)),
			cmp.Compare(all.regions[voterB.Region], all.regions[voterA.Region]),
			cmp.Compare(all.zones[placeOf(voterB)], all.zones[placeOf(voterA)]),
			cmp.Compare(b.Voter, a.Voter),
		)
	}))
}

// Retarget returns the move of the voter self to the instance that is placed best now, in
// place of a move whose successor has gone before it counted, or none that lowers the
// number of voters beyond the goals.
func (r *Rebalancer) Retarget(now time.Time, self redwingshunt.InstanceID, v View) redwingshunt.Option[Move] {
	r.updateLive(now, v)
	return r.moveOf(now, self, v)
}

// moveOf returns the best move of one voter, if any lowers the number of voters beyond the
// goals.
func (r *Rebalancer) moveOf(now time.Time, id redwingshunt.InstanceID, v View) redwingshunt.Option[Move] {
	var candidates []redwingshunt.Instance
	for _, instance := range v.candidates() {
		if now.Sub(r.live[instance.ID].since) >= r.stable {
			candidates = append(candidates, instance)
		}
	}
	voter, known := v.find(id)
	if len(candidates) == 0 || !known || len(v.Membership.Instance(id)) == 0 {
		return redwingshunt.None[Move]()
	}
	seats := r.goals.newSeating(v, id)
	successor := slices.MinFunc(candidates, seats.compare)
	seats.add(placeOf(voter), 1)
	move := Move{Voter: id, Successor: successor.ID, Excess: seats.totalExcess()}
	seats.add(placeOf(voter), -1)
	seats.add(placeOf(successor), 1)
	move.Left = seats.totalExcess()
	if move.Left >= move.Excess {
		return redwingshunt.None[Move]()
	}
	return redwingshunt.Some(move)
}

// totalExcess returns the number of voters beyond the goals in all places.
func (s *seating) totalExcess() int {
	total := 0
	if s.goals.Tolerate.Regions > 0 {
		for _, voters := range s.regions {
			total += max(voters-s.goals.limit(), 0)
		}
	}
	if s.goals.Tolerate.Zones > 0 {
		for _, voters := range s.zones {
			total += max(voters-s.goals.limit(), 0)
		}
	}
	return total
}
