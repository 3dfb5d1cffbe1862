package parser

// Checks over a whole document: unique names and valid references between
// sections.

import (
	"fmt"
	"slices"

	"github.com/redwingshunt/redwingshunt"
)

// checkDocument reports inconsistencies between the sections of a document.
func checkDocument(document *redwingshunt.Document, report reportFunc) {
	checkRegions(document, report)
	checkServices(document, report)
	checkKeys(document, report)
	checkAccounts(document, report)
	checkTeams(document, report)
	checkOnce(document, report)
	checkRoutes(document, report)
}

// reportDuplicates reports values that occur more than once. Empty values are
// skipped: they are optional, or the decoder has reported them.
func reportDuplicates[T any, V ~string](items []T, path func(i int) string, value func(T) V, report reportFunc) {
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

// indexedPath returns a function that formats an index as a path.
func indexedPath(format string) func(int) string {
	return func(i int) string { return fmt.Sprintf(format, i) }
}

// reportUnknown reports a reference to a name that is not defined.
func reportUnknown[V ~string](path string, value V, all []V, noun string, report reportFunc) {
	if value == "" || slices.Contains(all, value) {
		return
	}
	report(path, "there is no %s %q; %s", noun, value, suggest(string(value), all))
}

// mapItems applies a function to each item.
func mapItems[T, V any](items []T, value func(T) V) []V {
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
func identity[V any](v V) V                                     { return v }

func checkRegions(document *redwingshunt.Document, report reportFunc) {
	reportDuplicates(document.Regions, indexedPath("regions[%d].name"), regionName, report)
	var zones []redwingshunt.ZoneID
	var paths []string
	for i, region := range document.Regions {
		for j, zone := range region.Zones {
			zones = append(zones, zone)
			paths = append(paths, fmt.Sprintf("regions[%d].zones[%d]", i, j))
		}
	}
	reportDuplicates(zones, func(i int) string { return paths[i] }, identity, report)
}

func checkServices(document *redwingshunt.Document, report reportFunc) {
	reportDuplicates(document.Services, indexedPath("services[%d].name"), serviceName, report)
	reportDuplicates(document.Services, indexedPath("services[%d].model"), func(s redwingshunt.Service) string { return s.Model }, report)
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
func checkKeys(document *redwingshunt.Document, report reportFunc) {
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
	reportDuplicates(keys, func(i int) string { return paths[i] }, identity, report)
}

func checkAccounts(document *redwingshunt.Document, report reportFunc) {
	reportDuplicates(document.Accounts, indexedPath("accounts[%d].name"), accountName, report)
	regions := mapItems(document.Regions, regionName)
	maxBodyBytes := int64(0)
	for _, service := range document.Services {
		maxBodyBytes = max(maxBodyBytes, service.Body)
	}
	for i, account := range document.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		reportUnknown(path+".home", account.Home, regions, "region", report)
		checkAllowedRegions(path+".regions", account.Regions, regions, report)
		if account.Bytes < maxBodyBytes {
			report(path+".bytes", "is %s; must hold the largest body of a service, %s", formatSize(account.Bytes), formatSize(maxBodyBytes))
		}
	}
}

// checkAllowedRegions reports regions that do not exist or are listed twice.
func checkAllowedRegions(path string, allowed, regions []redwingshunt.RegionID, report reportFunc) {
	item := indexedPath(path + "[%d]")
	reportDuplicates(allowed, item, identity, report)
	for i, region := range allowed {
		reportUnknown(item(i), region, regions, "region", report)
	}
}

func checkTeams(document *redwingshunt.Document, report reportFunc) {
	reportDuplicates(document.Teams, indexedPath("teams[%d].name"), teamName, report)
	for i, team := range document.Teams {
		path := fmt.Sprintf("teams[%d].edits", i)
		reportDuplicates(team.Edits, func(j int) string { return fmt.Sprintf("%s[%d]", path, j) }, identity, report)
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

func checkOnce(document *redwingshunt.Document, report reportFunc) {
	services := mapItems(document.Services, serviceName)
	for i, rule := range document.Once {
		path := fmt.Sprintf("once[%d]", i)
		reportUnknown(path+".service", rule.Service, services, "service", report)
		reportDuplicates(rule.Methods, func(j int) string { return fmt.Sprintf("%s.methods[%d]", path, j) }, identity, report)
	}
}

// checkRoutes reports routes with the same host and prefix, and routes without a
// usable target.
func checkRoutes(document *redwingshunt.Document, report reportFunc) {
	services := mapItems(document.Services, serviceName)
	regions := mapItems(document.Regions, regionName)
	hostAndPrefix := func(r redwingshunt.Route) string { return r.Host + r.Prefix }
	reportDuplicates(document.Routes, indexedPath("routes[%d].name"), func(r redwingshunt.Route) redwingshunt.RouteID { return r.Name }, report)
	reportDuplicates(document.Routes, indexedPath("routes[%d].prefix"), hostAndPrefix, report)
	for i, route := range document.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		total := 0
		for j, target := range route.Targets {
			reportUnknown(fmt.Sprintf("%s.targets[%d].service", path, j), target.Service, services, "service", report)
			total += target.Weight
		}
		if total == 0 && len(route.Targets) > 0 {
			report(path+".targets", "have weights that add up to 0")
		}
		if route.Resumable && route.Kind != redwingshunt.RouteStream {
			report(path+".resumable", "belongs to a stream; this route is %s", route.Kind)
		}
		checkAllowedRegions(path+".regions", route.Regions, regions, report)
	}
}
