package claimer

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingshunt/redwingshunt"
)

// lanes is the number of home regions that are told apart when groups are
// given to them.
const lanes = 4

// Locate returns the group that holds the claims of a key. Group g is led in
// the region that Home returns; the claims of an account are spread over the
// groups of its home. The result depends on the number of groups and on the
// place of the home region in the document, which Moves guards.
//
//	4 groups, regions north, south: north has group 1, south has group 2
//	8 groups, regions north, south: north has 1 and 5, south has 2 and 6
func Locate(d *redwingshunt.Document, account redwingshunt.AccountID, key Key) redwingshunt.GroupID {
	groups := uint64(groupsOf(d))
	hash := xxhash.Sum64(key[:])
	lane, ok := laneOf(d, account).Get()
	if !ok {
		return redwingshunt.GroupID(1 + hash%groups)
	}
	width := min(lanes, groups)
	row := hash % (groups / width)
	return redwingshunt.GroupID(1 + uint64(lane) + width*row)
}

// groupsOf returns the number of groups of claims.
func groupsOf(d *redwingshunt.Document) int { return max(1, d.Fleet.Groups) }

// laneOf returns which groups hold the claims of an account: those with this
// remainder, or all of them.
func laneOf(d *redwingshunt.Document, account redwingshunt.AccountID) redwingshunt.Option[int] {
	home := homeIndex(d, account)
	if home < 0 && groupsOf(d) > 1 {
		return redwingshunt.None[int]()
	}
	return redwingshunt.Some(max(0, home) % min(lanes, groupsOf(d)))
}

// Home returns the region in which a group of claims should be led, or none for
// a group that is not used.
func Home(d *redwingshunt.Document, group redwingshunt.GroupID) redwingshunt.Option[redwingshunt.RegionID] {
	width := min(lanes, groupsOf(d))
	lane := (int(group) - 1) % width
	if group == redwingshunt.GroupControl || int(group) > groupsOf(d) || lane >= len(d.Regions) {
		return redwingshunt.None[redwingshunt.RegionID]()
	}
	return redwingshunt.Some(d.Regions[lane].Name)
}

// Moves reports every change between two documents that would move keys to
// other groups. Such a change is refused, as a resend would find no claim and
// run a second time.
func Moves(before, after *redwingshunt.Document) redwingshunt.Findings {
	var findings redwingshunt.Findings
	if groupsOf(before) != groupsOf(after) {
		findings = append(findings, redwingshunt.Finding{
			File: "-",
			Path: "fleet.groups",
			Text: fmt.Sprintf("must stay %d, as claims would move", groupsOf(before)),
		})
	}
	for i, account := range after.Accounts {
		earlier := slices.ContainsFunc(before.Accounts, func(a redwingshunt.Account) bool { return a.Name == account.Name })
		if earlier && laneOf(before, account.Name) != laneOf(after, account.Name) {
			findings = append(findings, redwingshunt.Finding{
				File: "-",
				Path: fmt.Sprintf("accounts[%d].home", i),
				Text: "must keep its region and the region its place in the list, as claims would move",
			})
		}
	}
	return findings
}

// homeIndex returns the place of an account's home among the regions, or -1.
func homeIndex(d *redwingshunt.Document, account redwingshunt.AccountID) int {
	for _, a := range d.Accounts {
		if a.Name != account {
			continue
		}
		return slices.IndexFunc(d.Regions, func(r redwingshunt.Region) bool { return r.Name == a.Home })
	}
	return -1
}
