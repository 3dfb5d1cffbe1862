package relayer

// The regions in which a request may be served.

import (
	"github.com/redwingshunt/redwingshunt"
)

// regionIndex holds the allowed regions of routes and client accounts of a document.
type regionIndex struct {
	routes   map[*redwingshunt.Route]redwingshunt.AllowedRegions // without those that allow all regions
	accounts map[redwingshunt.AccountID]redwingshunt.AllowedRegions
}

func newRegionIndex(document *redwingshunt.Document) regionIndex {
	i := regionIndex{
		routes:   make(map[*redwingshunt.Route]redwingshunt.AllowedRegions),
		accounts: document.AccountRegions(),
	}
	for j := range document.Routes {
		if route := &document.Routes[j]; len(route.Regions) > 0 {
			i.routes[route] = redwingshunt.NewAllowedRegions(route.Regions...)
		}
	}
	return i
}

// requestRegions is what a configuration says about the regions of one request.
type requestRegions struct {
	snapshot       *redwingshunt.Snapshot
	route, account redwingshunt.AllowedRegions
}

// regionsOf returns the regions of a route of the same configuration and of an account,
// which may be nil or of an earlier one.
func (i *index) regionsOf(route *redwingshunt.Route, account *redwingshunt.Account) requestRegions {
	regions := requestRegions{snapshot: i.snapshot, route: i.regions.routes[route]}
	if account == nil {
		return regions
	}
	allowed, known := i.regions.accounts[account.Name]
	if !known {
		allowed = redwingshunt.NewAllowedRegions(account.Regions...)
	}
	regions.account = allowed
	return regions
}

// servingRegions returns the regions that the configuration in force allows. A route or
// an account that it has no more keeps the regions that it had when the request arrived.
// It changes nothing, since a standby calls it from a goroutine of its own.
func (x *exchange) servingRegions() redwingshunt.AllowedRegions {
	regions := x.regions
	if i := x.relayer.currentIndex(); i != nil && regions.snapshot != nil && i.snapshot != regions.snapshot {
		if route := i.routes.Find(x.request.Host, pathOf(x.request)); route != nil {
			regions.route = i.regions.routes[route]
		}
		if account, known := i.regions.accounts[x.account]; known && x.client != nil {
			regions.account = account
		}
	}
	return regions.route.Intersect(regions.account)
}
