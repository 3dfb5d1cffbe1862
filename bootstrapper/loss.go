package bootstrapper

import (
	"cmp"
	"slices"

	"github.com/redwingshunt/redwingshunt"
)

// Survives reports whether the loss of any one availability zone, and of any one region,
// leaves a quorum. A voter that is not live is lost already.
func (v View) Survives() (zone, region bool) {
	quorum := v.Membership.Quorum()
	seats, live := v.liveSeats()
	zone, region = live >= quorum, live >= quorum
	for _, voters := range seats.zones {
		zone = zone && live-voters >= quorum
	}
	for _, voters := range seats.regions {
		region = region && live-voters >= quorum
	}
	return zone, region
}

// LeaderRegion returns the region in which the leader of a group should be, if it should be
// in another one than self, which leads: one with two live voters, from which a commit
// needs one more region instead of two. Of several it is the one with the most voters,
// then the first by name.
func (g Goals) LeaderRegion(self redwingshunt.Instance, v View) redwingshunt.Option[redwingshunt.RegionID] {
	if g.Tolerate.Regions == 0 {
		return redwingshunt.None[redwingshunt.RegionID]()
	}
	seats, _ := v.liveSeats()
	if seats.regions[self.Region] >= 2 || len(seats.regions) == 0 {
		return redwingshunt.None[redwingshunt.RegionID]()
	}
	var regions []redwingshunt.RegionID
	for region := range seats.regions {
		regions = append(regions, region)
	}
	best := slices.MinFunc(regions, func(a, b redwingshunt.RegionID) int {
		return cmp.Or(cmp.Compare(seats.regions[b], seats.regions[a]), cmp.Compare(a, b))
	})
	if seats.regions[best] < 2 {
		return redwingshunt.None[redwingshunt.RegionID]()
	}
	return redwingshunt.Some(best)
}

// liveSeats counts the live voters by place, and all of them.
func (v View) liveSeats() (*seating, int) {
	seats, live := Goals{}.emptySeating(), 0
	for _, instance := range v.Live {
		for _, member := range v.Membership.Instance(instance.ID) {
			if member.Voter {
				seats.add(placeOf(instance), 1)
				live++
			}
		}
	}
	return seats, live
}
