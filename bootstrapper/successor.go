package bootstrapper

import (
	"cmp"
	"slices"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
)

// Successor returns the instance that takes the place of a voter before a planned stop:
// a live one with a data folder that is no member and does not leave itself. It prefers
// the zone of the voter, then its region. Without one the voter stops with its vote: the
// log is never made smaller than it was.
func Successor(self redwingshunt.Instance, live []redwingshunt.Instance, membership replicator.Membership) redwingshunt.Option[redwingshunt.InstanceID] {
	var candidates []redwingshunt.Instance
	for _, instance := range live {
		if instance.Voter && !instance.Leaving && len(membership.Instance(instance.ID)) == 0 {
			candidates = append(candidates, instance)
		}
	}
	if len(candidates) == 0 {
		return redwingshunt.None[redwingshunt.InstanceID]()
	}
	distance := func(i redwingshunt.Instance) int {
		switch {
		case i.Zone == self.Zone:
			return 0
		case i.Region == self.Region:
			return 1
		}
		return 2
	}
	nearest := slices.MinFunc(candidates, func(a, b redwingshunt.Instance) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(a.ID, b.ID))
	})
	return redwingshunt.Some(nearest.ID)
}
