package bootstrapper

import (
	"cmp"
	"slices"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
)

// Goals are the goals for the places of the voters: no region or no availability zone, or
// neither, has more voters than may be lost. A seat is filled in violation of them rather
// than not at all. Without Tolerate there are none.
type Goals struct {
	Tolerate redwingshunt.Tolerance
	Wanted   int // number of voters
}

// limit returns the number of voters that may be lost, and thus be in one place.
func (g Goals) limit() int { return (g.Wanted - 1) / 2 }

// place is an availability zone with its region.
type place struct {
	region redwingshunt.RegionID
	zone   redwingshunt.ZoneID
}

func placeOf(i redwingshunt.Instance) place { return place{i.Region, i.Zone} }

// seating counts the voters by region and by availability zone. A voter whose place is
// not known is in none.
type seating struct {
	goals   Goals
	regions map[redwingshunt.RegionID]int
	zones   map[place]int
}

// emptySeating returns a seating without voters.
func (g Goals) emptySeating() *seating {
	return &seating{goals: g, regions: make(map[redwingshunt.RegionID]int), zones: make(map[place]int)}
}

// newSeating counts the voters, and the learners that are to become voters, but not those
// whose seat is free, lost, or being taken by a learner.
func (g Goals) newSeating(v View, lost redwingshunt.InstanceID) *seating {
	s := g.emptySeating()
	replaced := make(map[replicator.MemberID]bool)
	for _, member := range v.Membership {
		replaced[member.Replaces] = true
	}
	for _, member := range v.Membership {
		rival := !member.Voter && member.Replaces.Instance == lost
		if member.ID.Instance == lost || rival && lost != "" || replaced[member.ID] {
			continue
		}
		if instance, known := v.find(member.ID.Instance); known {
			s.add(placeOf(instance), 1)
		}
	}
	return s
}

// find returns an instance that is live or a member.
func (v View) find(id redwingshunt.InstanceID) (redwingshunt.Instance, bool) {
	for _, instances := range [][]redwingshunt.Instance{v.Live, v.Absent} {
		if i := slices.IndexFunc(instances, func(i redwingshunt.Instance) bool { return i.ID == id }); i >= 0 {
			return instances[i], true
		}
	}
	return redwingshunt.Instance{}, false
}

// candidates returns the instances that can take a seat: live ones with a data folder that
// are no members and do not leave.
func (v View) candidates() []redwingshunt.Instance {
	var candidates []redwingshunt.Instance
	for _, instance := range v.Live {
		if instance.Voter && !instance.Leaving && len(v.Membership.Instance(instance.ID)) == 0 {
			candidates = append(candidates, instance)
		}
	}
	return candidates
}

// beingTaken reports whether a learner of which the leader hears is taking the seat of lost.
func (v View) beingTaken(lost redwingshunt.InstanceID) bool {
	return lost != "" && slices.ContainsFunc(v.Membership, func(m replicator.Member) bool {
		return !m.Voter && m.Replaces.Instance == lost && !slices.Contains(v.Silent, m.ID)
	})
}

func (s *seating) add(p place, voters int) {
	s.regions[p.region] += voters
	s.zones[p] += voters
}

// excess returns the number of voters beyond the goals at a place to which voters are added.
func (s *seating) excess(p place, added int) int {
	excess := 0
	if s.goals.Tolerate.Regions > 0 {
		excess += max(s.regions[p.region]+added-s.goals.limit(), 0)
	}
	if s.goals.Tolerate.Zones > 0 {
		excess += max(s.zones[p]+added-s.goals.limit(), 0)
	}
	return excess
}

// compare orders candidates for a seat, the best placed first: one that keeps the goals,
// then the region with the fewest voters, the availability zone with the fewest, the ID.
func (s *seating) compare(a, b redwingshunt.Instance) int {
	placeA, placeB := placeOf(a), placeOf(b)
	return cmp.Or(
		cmp.Compare(s.excess(placeA, 1), s.excess(placeB, 1)),
		cmp.Compare(s.regions[a.Region], s.regions[b.Region]),
		cmp.Compare(s.zones[placeA], s.zones[placeB]),
		cmp.Compare(a.ID, b.ID),
	)
}

// rank returns the number of candidates that are placed better than an instance.
func (s *seating) rank(instance redwingshunt.Instance, candidates []redwingshunt.Instance) int {
	better := 0
	for _, other := range candidates {
		if s.compare(other, instance) < 0 {
			better++
		}
	}
	return better
}
