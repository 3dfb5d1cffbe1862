package pinner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// copies is the number of holders of each record.
	copies = 2
	// spareCopies is the number of holders beyond copies that get a record for which a
	// stream waits, so that one that does not answer holds it up for no longer.
	spareCopies = 1
	// maxHolders bounds the holders of a fleet without voters.
	maxHolders = 16
)

// Holders returns the instances that hold records, nearest first, as an instance sees
// them: the other voters, or all other instances if there is no other voter. The first
// two hold those of the instance itself. Complete reports whether these are all.
func Holders(self redwingshunt.Instance, live []redwingshunt.Instance) (holders []redwingshunt.Instance, complete bool) {
	for _, onlyVoters := range []bool{true, false} {
		for _, i := range live {
			if i.ID != self.ID && (i.Voter || !onlyVoters) {
				holders = append(holders, i)
			}
		}
		if len(holders) > 0 {
			break
		}
	}
	slices.SortFunc(holders, func(a, b redwingshunt.Instance) int {
		return cmp.Or(cmp.Compare(distance(self, a), distance(self, b)), cmp.Compare(weight(self, b), weight(self, a)), cmp.Compare(a.ID, b.ID))
	})
	if len(holders) > maxHolders && !holders[0].Voter {
		return holders[:maxHolders], false
	}
	return holders, true
}

// Copies returns the holders to which an instance sends its records, with a spare one for
// streams that wait for them.
func Copies(holders []redwingshunt.Instance, waits bool) []redwingshunt.Instance {
	n := copies
	if waits {
		n += spareCopies
	}
	return holders[:min(n, len(holders))]
}

// distance orders instances by zone and region.
func distance(a, b redwingshunt.Instance) int {
	switch {
	case a.Zone == b.Zone && a.Region == b.Region:
		return 0
	case a.Region == b.Region:
		return 1
	}
	return 2
}

// weight spreads instances over holders at the same distance.
func weight(self, holder redwingshunt.Instance) uint64 {
	return xxhash.Sum64String(string(self.ID) + "\x00" + string(holder.ID))
}
