package scheduler

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingshunt/redwingshunt"
)

// Rank orders the live instances of a region for the ownership of a service by
// rendezvous hashing: the first one owns it, the second one stands by. An
// instance that is leaving comes last. The order of the others does not change
// when an instance comes or goes.
func Rank(members []redwingshunt.Instance, region redwingshunt.RegionID, service redwingshunt.ServiceID) []redwingshunt.Instance {
	var list []redwingshunt.Instance
	for _, m := range members {
		if m.Region == region {
			list = append(list, m)
		}
	}
	weights := make(map[redwingshunt.InstanceID]uint64, len(list))
	for _, m := range list {
		weights[m.ID] = xxhash.Sum64String(string(m.ID) + "\x00" + string(service))
	}
	slices.SortFunc(list, func(a, b redwingshunt.Instance) int {
		if a.Leaving != b.Leaving && b.Leaving {
			return -1
		}
		if a.Leaving != b.Leaving {
			return 1
		}
		return cmp.Or(cmp.Compare(weights[b.ID], weights[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// Regions returns the regions that have live instances, ordered.
func Regions(members []redwingshunt.Instance) []redwingshunt.RegionID {
	var list []redwingshunt.RegionID
	for _, m := range members {
		list = append(list, m.Region)
	}
	slices.Sort(list)
	return slices.Compact(list)
}
