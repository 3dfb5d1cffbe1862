package redwingshunt

import (
	"fmt"
	"slices"
	"strings"
)

// maxRegionsInText bounds the names in the text of AllowedRegions, since a document may
// list any number of them.
const maxRegionsInText = 10

// AllowedRegions is the set of regions in which a request may be served. The zero value
// allows all regions. It is immutable.
type AllowedRegions struct {
	limited bool
	names   []RegionID // in ascending order, without duplicates
}

// NewAllowedRegions returns the set of the given regions; without any it allows all.
func NewAllowedRegions(names ...RegionID) AllowedRegions {
	if len(names) == 0 {
		return AllowedRegions{}
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return AllowedRegions{limited: true, names: slices.Compact(sorted)}
}

// Limited reports whether at least one region is not allowed.
func (a AllowedRegions) Limited() bool { return a.limited }

// Has reports whether a region is allowed. An empty name stands for an unknown region,
// which only an unlimited set allows.
func (a AllowedRegions) Has(region RegionID) bool {
	if !a.limited {
		return true
	}
	_, found := slices.BinarySearch(a.names, region)
	return found && region != ""
}

// Intersect returns the regions that both sets allow, which may be none.
func (a AllowedRegions) Intersect(b AllowedRegions) AllowedRegions {
	switch {
	case !a.limited:
		return b
	case !b.limited:
		return a
	}
	both := AllowedRegions{limited: true}
	for _, name := range a.names {
		if b.Has(name) {
			both.names = append(both.names, name)
		}
	}
	return both
}

// String returns "all", "none" or the names, of which it lists at most maxRegionsInText.
func (a AllowedRegions) String() string {
	switch {
	case !a.limited:
		return "all"
	case len(a.names) == 0:
		return "none"
	}
	listed := make([]string, 0, maxRegionsInText)
	for _, name := range a.names[:min(len(a.names), maxRegionsInText)] {
		listed = append(listed, string(name))
	}
	text := strings.Join(listed, ", ")
	if more := len(a.names) - len(listed); more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

// AccountRegions returns the allowed regions of each client account. The platform may list
// a name twice; each of its constraints applies.
func (d *Document) AccountRegions() map[AccountID]AllowedRegions {
	regions := make(map[AccountID]AllowedRegions, len(d.Accounts))
	for i := range d.Accounts {
		account := &d.Accounts[i]
		regions[account.Name] = regions[account.Name].Intersect(NewAllowedRegions(account.Regions...))
	}
	return regions
}
