package bootstrapper

import (
	"cmp"
	"slices"

	"github.com/redwingshunt/redwingshunt"
)

// Successor returns the instance that takes the place of a voter before a planned stop:
// a live one with a data folder that is no member and does not leave itself. With goals
// it is the one that is placed best without the voter, otherwise one in the zone of the
// voter, or else in its region. Without one the voter stops with its vote: the
// log is never made smaller than it was.
func (g Goals) Successor(self redwingshunt.Instance, v View) redwingshunt.Option[redwingshunt.InstanceID] {
	candidates := v.candidates()
	if len(candidates) == 0 {
		return redwingshunt.None[redwingshunt.InstanceID]()
	}
	if g.Tolerate.Enabled() {
		return redwingshunt.Some(slices.MinFunc(candidates, g.newSeating(v, self.ID).compare).ID)
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
