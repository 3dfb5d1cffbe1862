// Package matcher finds the route of a request: among the routes of its host, the
// one with the longest matching path prefix.
//
// # Usage
//
//	table := matcher.New(document)
//	route := table.Find(host, path) // nil when no route matches
//	service := matcher.Pick(route, number)
package matcher

import (
	"strings"

	"github.com/redwingshunt/redwingshunt"
)

// Table is an immutable index of routes.
type Table struct {
	hosts map[string]map[string]*redwingshunt.Route // by host and prefix
}

// New returns the table of a document.
func New(document *redwingshunt.Document) *Table {
	t := &Table{hosts: make(map[string]map[string]*redwingshunt.Route)}
	for i := range document.Routes {
		route := &document.Routes[i]
		prefixes := t.hosts[route.Host]
		if prefixes == nil {
			prefixes = make(map[string]*redwingshunt.Route)
			t.hosts[route.Host] = prefixes
		}
		prefixes[route.Prefix] = route
	}
	return t
}

// Find returns the route of a request, or nil. The host may include a port.
func (t *Table) Find(host, path string) *redwingshunt.Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	prefixes := t.hosts[strings.ToLower(host)]
	// Every prefix ends with a slash, so only the parts of the path up to a slash
	// are looked up, the longest first.
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := prefixes[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}

// Pick returns the service that a uniformly distributed number selects by the
// weights of the targets, or an empty ID when they have no weight. The same number
// selects the same service.
func Pick(route *redwingshunt.Route, number uint64) redwingshunt.ServiceID {
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return ""
	}
	remainder := int(number % uint64(total))
	for _, target := range route.Targets {
		if remainder < target.Weight {
			return target.Service
		}
		remainder -= target.Weight
	}
	return ""
}
