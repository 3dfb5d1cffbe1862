package parser

// Checks over a whole document: unique names and valid references between
// sections.

import (
	"fmt"
	"slices"

	"github.com/redwingshunt/redwingshunt"
)

// check reports inconsistencies between the sections of a document.
func check(document *redwingshunt.Document, report reporter) {
	checkRegions(document, report)
	checkServices(document, report)
	checkKeys(document, report)
	checkAccounts(document, report)
	checkTeams(document, report)
	checkOnce(document, report)
	checkRoutes(document, report)
}

// unique reports duplicate values. Empty values are skipped: they are optional,
// or the decoder has reported them.
func unique[T any, V ~string](items []T, path func(i int) string, value func(T) V, report reporter) {
	first := make(map[V]int, len(items))
	for i, item := range items {
		v := value(item)
		if v == "" {
			continue
		}
		if j, ok := first[v]; ok {
			report(path(i), "is the same as %s", path(j))
			continue
		}
		first[v] = i
	}
}

// at returns a function that formats an index as a path.
func at(format string) func(int) string {
	return func(i int) string { return fmt.Sprintf(format, i) }
}

// known reports a reference to a name that is not defined.
func known[V ~string](path string, value V, all []V, what string, report reporter) {
	if value == "" || slices.Contains(all, value) {
		return
	}
	report(path, "there is no %s %q; %s", what, value, suggest(string(value), all))
}

// collect applies a function to each item.
func collect[T, V any](items []T, value func(T) V) []V {
	all := make([]V, len(items))
	for i, item := range items {
		all[i] = value(item)
	}
	return all
}

func regionName(r redwingshunt.Region) redwingshunt.RegionID    { return r.Name }
func serviceName(s redwingshunt.Service) redwingshunt.ServiceID { return s.Name }
func accountName(a redwingshunt.Account) redwingshunt.AccountID { return a.Name }
func teamName(t redwingshunt.Team) redwingshunt.TeamID          { return t.Name }
func same[V any](v V) V                                         { return v }

func checkRegions(document *redwingshunt.Document, report reporter) {
	unique(document.Regions, at("regions[%d].name"), regionName, report)
	var zones []redwingshunt.ZoneID
	var paths []string
	for i, region := range document.Regions {
		for j, zone := range region.Zones {
			zones = append(zones, zone)
			paths = append(paths, fmt.Sprintf("regions[%d].zones[%d]", i, j))
		}
	}
	unique(zones, func(i int) string { return paths[i] }, same, report)
}

func checkServices(document *redwingshunt.Document, report reporter) {
	unique(document.Services, at("services[%d].name"), serviceName, report)
	unique(document.Services, at("services[%d].model"), func(s redwingshunt.Service) string { return s.Model }, report)
	for i, service := range document.Services {
		if service.Kind != redwingshunt.ServicePlain {
			continue
		}
		path := fmt.Sprintf("services[%d]", i)
		if service.Model != "" {
			report(path+".model", "belongs to an engine; this service is plain")
		}
		if service.Cached != 0 {
			report(path+".cached", "belongs to an engine; this service is plain")
		}
		if service.Cost == redwingshunt.CostTokens {
			report(path+".cost", "is tokens, which a plain service does not report; expected one of requests, time")
		}
	}
}

// checkKeys reports a key that is used twice among accounts and teams.
func checkKeys(document *redwingshunt.Document, report reporter) {
	var keys []redwingshunt.KeyHash
	var paths []string
	for i, team := range document.Teams {
		keys = append(keys, team.Key)
		paths = append(paths, fmt.Sprintf("teams[%d].key", i))
	}
	for i, account := range document.Accounts {
		keys = append(keys, account.Key)
		paths = append(paths, fmt.Sprintf("accounts[%d].key", i))
	}
	unique(keys, func(i int) string { return paths[i] }, same, report)
}

func checkAccounts(document *redwingshunt.Document, report reporter) {
	unique(document.Accounts, at("accounts[%d].name"), accountName, report)
	regions := collect(document.Regions, regionName)
	largest := int64(0)
	for _, service := range document.Services {
		largest = max(largest, service.Body)
	}
	for i, account := range document.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		known(path+".home", account.Home, regions, "region", report)
		if account.Bytes < largest {
			report(path+".bytes", "is %s; must hold the largest body of a service, %s", formatSize(account.Bytes), formatSize(largest))
		}
	}
}

func checkTeams(document *redwingshunt.Document, report reporter) {
	unique(document.Teams, at("teams[%d].name"), teamName, report)
	for i, team := range document.Teams {
		path := fmt.Sprintf("teams[%d].edits", i)
		unique(team.Edits, func(j int) string { return fmt.Sprintf("%s[%d]", path, j) }, same, report)
	}
	if len(document.Teams) == 0 {
		return
	}
	for _, team := range document.Teams {
		if slices.Contains(team.Edits, redwingshunt.SectionTeams) {
			return
		}
	}
	report("teams", "no team edits the section teams, so that no key could be changed any more")
}

func checkOnce(document *redwingshunt.Document, report reporter) {
	services := collect(document.Services, serviceName)
	for i, rule := range document.Once {
		path := fmt.Sprintf("once[%d]", i)
		known(path+".service", rule.Service, services, "service", report)
		unique(rule.Methods, func(j int) string { return fmt.Sprintf("%s.methods[%d]", path, j) }, same, report)
	}
}

// checkRoutes reports routes with the same host and prefix, and routes without a
// usable target.
func checkRoutes(document *redwingshunt.Document, report reporter) {
	services := collect(document.Services, serviceName)
	place := func(r redwingshunt.Route) string { return r.Host + r.Prefix }
	unique(document.Routes, at("routes[%d].name"), func(r redwingshunt.Route) redwingshunt.RouteID { return r.Name }, report)
	unique(document.Routes, at("routes[%d].prefix"), place, report)
	for i, route := range document.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		total := 0
		for j, target := range route.Targets {
			known(fmt.Sprintf("%s.targets[%d].service", path, j), target.Service, services, "service", report)
			total += target.Weight
		}
		if total == 0 && len(route.Targets) > 0 {
			report(path+".targets", "have weights that add up to 0")
		}
		if route.Resumable && route.Kind != redwingshunt.RouteStream {
			report(path+".resumable", "belongs to a stream; this route is %s", route.Kind)
		}
	}
}
