package claimer

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingshunt/redwingshunt"
)

// maxStripes bounds the stripes of groups. Each home region is assigned one
// stripe; with more regions than stripes, some share one.
const maxStripes = 4

// Locate returns the group that holds the claim of a key. The claims of an
// account are distributed by hash over the groups of its home region; see Home.
// The result depends on the number of groups and on the index of the home region
// in the document; FindMovedKeys reports changes of either.
//
//	4 groups, regions north, south: north has group 1, south has group 2
//	8 groups, regions north, south: north has 1 and 5, south has 2 and 6
func Locate(d *redwingshunt.Document, account redwingshunt.AccountID, key Key) redwingshunt.GroupID {
	groups := uint64(groupsOf(d))
	hash := xxhash.Sum64(key[:])
	stripe, ok := stripeOf(d, account).Get()
	if !ok {
		return redwingshunt.GroupID(1 + hash%groups)
	}
	stripes := min(maxStripes, groups)
	row := hash % (groups / stripes)
	return redwingshunt.GroupID(1 + uint64(stripe) + stripes*row)
}

// groupsOf returns the number of claim groups, at least 1.
func groupsOf(d *redwingshunt.Document) int { return max(1, d.Fleet.Groups) }

// stripeOf returns the stripe of groups that holds the claims of an account, or
// none when the account has no home region and its claims use all groups.
func stripeOf(d *redwingshunt.Document, account redwingshunt.AccountID) redwingshunt.Option[int] {
	home := homeIndex(d, account)
	if home < 0 && groupsOf(d) > 1 {
		return redwingshunt.None[int]()
	}
	return redwingshunt.Some(max(0, home) % min(maxStripes, groupsOf(d)))
}

// Home returns the region in which the leader of a claim group should be, or none
// for a group that belongs to no region.
func Home(d *redwingshunt.Document, group redwingshunt.GroupID) redwingshunt.Option[redwingshunt.RegionID] {
	stripes := min(maxStripes, groupsOf(d))
	stripe := (int(group) - 1) % stripes
	if group == redwingshunt.GroupControl || int(group) > groupsOf(d) || stripe >= len(d.Regions) {
		return redwingshunt.None[redwingshunt.RegionID]()
	}
	return redwingshunt.Some(d.Regions[stripe].Name)
}

// FindMovedKeys returns a finding for every change between two documents that would move
// keys to other groups. Such a change must be refused: a resend would not find
// the claim of its key and would run a second time.
func FindMovedKeys(before, after *redwingshunt.Document) redwingshunt.Findings {
	var findings redwingshunt.Findings
	if groupsOf(before) != groupsOf(after) {
		findings = append(findings, redwingshunt.Finding{
			File: "-",
			Path: "fleet.groups",
			Text: fmt.Sprintf("must stay %d, as claims would move", groupsOf(before)),
		})
	}
	for i, account := range after.Accounts {
		existed := slices.ContainsFunc(before.Accounts, func(a redwingshunt.Account) bool { return a.Name == account.Name })
		if existed && stripeOf(before, account.Name) != stripeOf(after, account.Name) {
			findings = append(findings, redwingshunt.Finding{
				File: "-",
				Path: fmt.Sprintf("accounts[%d].home", i),
				Text: "must keep its region and the region its place in the list, as claims would move",
			})
		}
	}
	return findings
}

// homeIndex returns the index of the home region of an account, or -1.
func homeIndex(d *redwingshunt.Document, account redwingshunt.AccountID) int {
	for _, a := range d.Accounts {
		if a.Name != account {
			continue
		}
		return slices.IndexFunc(d.Regions, func(r redwingshunt.Region) bool { return r.Name == a.Home })
	}
	return -1
}
