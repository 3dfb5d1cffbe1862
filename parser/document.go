package parser

// The fields of the document, with their bounds and defaults.

import (
	"path"
	"regexp"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/redwingshunt/redwingshunt"
)

// The defaults of the document.
const (
	defaultBodyBytes     = 4 << 20
	defaultWait          = 60 * time.Second
	defaultStall         = 30 * time.Second
	defaultRetries       = 2
	defaultQueueRequests = 512
	defaultQueueBytes    = 64 << 20
	defaultGap           = time.Second
	defaultGroups        = 1
	defaultKeep          = 24 * time.Hour
	defaultSpaceBytes    = 64 << 20
	defaultBudgetPercent = 10
	defaultLosses        = 2
	defaultLimit         = 30 * time.Second
	defaultAim           = time.Second
)

const day = 24 * time.Hour

var documentObject = object(documentFields()...)

func documentFields() []field[redwingshunt.Document] {
	type document = redwingshunt.Document
	service := redwingshunt.Service{
		Body: defaultBodyBytes, Wait: defaultWait, Stall: defaultStall, Retries: defaultRetries,
	}
	route := redwingshunt.Route{Limit: defaultLimit, Aim: defaultAim, Attempts: 1}
	account := redwingshunt.Account{Share: 1, Queue: defaultQueueRequests, Bytes: defaultQueueBytes}
	return []field[document]{
		optional("teams", func(d *document) *[]redwingshunt.Team { return &d.Teams }, list(redwingshunt.Team{}, teamObject)),
		required("regions", func(d *document) *[]redwingshunt.Region { return &d.Regions }, nonEmptyList(list(redwingshunt.Region{}, regionObject))),
		required("services", func(d *document) *[]redwingshunt.Service { return &d.Services }, nonEmptyList(list(service, readService))),
		required("accounts", func(d *document) *[]redwingshunt.Account { return &d.Accounts }, list(account, accountObject)),
		optional("once", func(d *document) *[]redwingshunt.OnceRule { return &d.Once }, list(redwingshunt.OnceRule{}, onceObject)),
		optional("fleet", func(d *document) *redwingshunt.FleetConfiguration { return &d.Fleet }, fleetObject),
		optional("routes", func(d *document) *[]redwingshunt.Route { return &d.Routes }, list(route, routeObject)),
		optional("limits", func(d *document) *redwingshunt.RequestLimits { return &d.Limits }, limitsObject),
	}
}

var teamObject = object(
	required("name", func(t *redwingshunt.Team) *redwingshunt.TeamID { return &t.Name }, name[redwingshunt.TeamID]()),
	required("key", func(t *redwingshunt.Team) *redwingshunt.KeyHash { return &t.Key }, keyHash),
	required("edits", func(t *redwingshunt.Team) *[]redwingshunt.Section { return &t.Edits },
		nonEmptyList(list(redwingshunt.Section(""), oneOf(redwingshunt.Sections()...)))),
)

var regionObject = object(
	required("name", func(r *redwingshunt.Region) *redwingshunt.RegionID { return &r.Name }, name[redwingshunt.RegionID]()),
	required("zones", func(r *redwingshunt.Region) *[]redwingshunt.ZoneID { return &r.Zones },
		nonEmptyList(list(redwingshunt.ZoneID(""), name[redwingshunt.ZoneID]()))),
)

// regionNames decodes the regions in which requests may be served.
var regionNames = list(redwingshunt.RegionID(""), name[redwingshunt.RegionID]())

var serviceObject = object(
	required("name", func(s *redwingshunt.Service) *redwingshunt.ServiceID { return &s.Name }, name[redwingshunt.ServiceID]()),
	required("kind", func(s *redwingshunt.Service) *redwingshunt.ServiceKind { return &s.Kind },
		oneOf(redwingshunt.ServiceEngine, redwingshunt.ServicePlain)),
	optional("key", func(s *redwingshunt.Service) *redwingshunt.KeyHash { return &s.Key }, keyHash),
	optional("model", func(s *redwingshunt.Service) *string { return &s.Model }, nonEmptyText[string]("the name of a model")),
	optional("cost", func(s *redwingshunt.Service) *redwingshunt.CostUnit { return &s.Cost },
		oneOf(redwingshunt.CostTokens, redwingshunt.CostRequests, redwingshunt.CostTime)),
	optional("cached", func(s *redwingshunt.Service) *int { return &s.Cached }, integer[int](0, 100)),
	optional("body", func(s *redwingshunt.Service) *int64 { return &s.Body }, size(1<<10, 1<<30)),
	optional("wait", func(s *redwingshunt.Service) *time.Duration { return &s.Wait }, duration(time.Second, time.Hour)),
	optional("stall", func(s *redwingshunt.Service) *time.Duration { return &s.Stall }, duration(time.Second, time.Hour)),
	optional("retries", func(s *redwingshunt.Service) *int { return &s.Retries }, integer[int](0, 10)),
	optional("connections", func(s *redwingshunt.Service) *int { return &s.Connections }, integer[int](0, 1_000_000)),
	optional("warmup", func(s *redwingshunt.Service) *time.Duration { return &s.Warmup }, duration(0, 24*time.Hour)),
	optional("ramp", func(s *redwingshunt.Service) *float64 { return &s.Ramp }, number(0, 1_000_000)),
	optional("engine", func(s *redwingshunt.Service) *redwingshunt.Engine { return &s.Engine }, engineObject),
	optional("hedge", func(s *redwingshunt.Service) *redwingshunt.Option[float64] { return &s.Hedge }, some(percent())),
)

var engineObject = object(
	optional("slots", func(e *redwingshunt.Engine) *int { return &e.Slots }, integer[int](0, 100_000)),
	optional("memory", func(e *redwingshunt.Engine) *int64 { return &e.Memory }, integer[int64](0, 1<<50)),
)

var routeObject = object(
	required("name", func(r *redwingshunt.Route) *redwingshunt.RouteID { return &r.Name }, name[redwingshunt.RouteID]()),
	required("host", func(r *redwingshunt.Route) *string { return &r.Host },
		text[string]("a host in lower case without a port, as shop.example", hostPattern.MatchString)),
	required("prefix", func(r *redwingshunt.Route) *string { return &r.Prefix },
		text[string]("a path that begins and ends with a slash, as /bookings/", validPrefix)),
	required("kind", func(r *redwingshunt.Route) *redwingshunt.RouteKind { return &r.Kind },
		oneOf(redwingshunt.RouteSafe, redwingshunt.RouteOnce, redwingshunt.RouteStream)),
	optional("limit", func(r *redwingshunt.Route) *time.Duration { return &r.Limit }, duration(time.Millisecond, time.Hour)),
	optional("aim", func(r *redwingshunt.Route) *time.Duration { return &r.Aim }, duration(time.Millisecond, time.Hour)),
	optional("pause", func(r *redwingshunt.Route) *time.Duration { return &r.Pause }, duration(0, time.Hour)),
	optional("rank", func(r *redwingshunt.Route) *int { return &r.Rank }, integer[int](0, 1000)),
	required("targets", func(r *redwingshunt.Route) *[]redwingshunt.Target { return &r.Targets }, nonEmptyList(list(redwingshunt.Target{Weight: 1}, targetObject))),
	optional("attempts", func(r *redwingshunt.Route) *int { return &r.Attempts }, integer[int](1, 10)),
	optional("public", func(r *redwingshunt.Route) *bool { return &r.Public }, boolean()),
	optional("prompt", func(r *redwingshunt.Route) *bool { return &r.Prompt }, boolean()),
	optional("resumable", func(r *redwingshunt.Route) *bool { return &r.Resumable }, boolean()),
	optional("regions", func(r *redwingshunt.Route) *[]redwingshunt.RegionID { return &r.Regions }, regionNames),
)

var targetObject = object(
	required("service", func(t *redwingshunt.Target) *redwingshunt.ServiceID { return &t.Service }, name[redwingshunt.ServiceID]()),
	optional("weight", func(t *redwingshunt.Target) *int { return &t.Weight }, integer[int](0, 1_000_000)),
)

var limitsObject = object(
	optional("header", func(l *redwingshunt.RequestLimits) *int64 { return &l.Header }, size(0, 1<<20)),
	optional("body", func(l *redwingshunt.RequestLimits) *int64 { return &l.Body }, size(0, 1<<30)),
	optional("headertime", func(l *redwingshunt.RequestLimits) *time.Duration { return &l.HeaderTime }, duration(0, time.Hour)),
	optional("idle", func(l *redwingshunt.RequestLimits) *time.Duration { return &l.Idle }, duration(0, time.Hour)),
	optional("tokens", func(l *redwingshunt.RequestLimits) *int64 { return &l.Tokens }, integer[int64](0, 1<<50)),
)

// hostPattern matches the host names that routes accept.
var hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// validPrefix reports whether a path is valid as the prefix of a route.
func validPrefix(prefix string) bool {
	return strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/")
}

// readService decodes a service and fills in the defaults that depend on its kind.
func readService(r *reader, path string, node *yaml.Node, into *redwingshunt.Service) {
	serviceObject(r, path, node, into)
	if into.Model == "" && into.Kind == redwingshunt.ServiceEngine {
		into.Model = string(into.Name)
	}
	if into.Cost != "" {
		return
	}
	into.Cost = redwingshunt.CostRequests
	if into.Kind == redwingshunt.ServiceEngine {
		into.Cost = redwingshunt.CostTokens
	}
}

var accountObject = object(
	required("name", func(a *redwingshunt.Account) *redwingshunt.AccountID { return &a.Name }, name[redwingshunt.AccountID]()),
	required("key", func(a *redwingshunt.Account) *redwingshunt.KeyHash { return &a.Key }, keyHash),
	optional("share", func(a *redwingshunt.Account) *redwingshunt.Share { return &a.Share }, integer[redwingshunt.Share](1, 1_000_000)),
	required("home", func(a *redwingshunt.Account) *redwingshunt.RegionID { return &a.Home }, name[redwingshunt.RegionID]()),
	optional("queue", func(a *redwingshunt.Account) *int { return &a.Queue }, integer[int](1, 100_000)),
	optional("bytes", func(a *redwingshunt.Account) *int64 { return &a.Bytes }, size(1<<10, 1<<36)),
	optional("parallel", func(a *redwingshunt.Account) *int { return &a.Parallel }, integer[int](0, 1_000_000)),
	optional("regions", func(a *redwingshunt.Account) *[]redwingshunt.RegionID { return &a.Regions }, regionNames),
)

var onceObject = object(
	required("service", func(o *redwingshunt.OnceRule) *redwingshunt.ServiceID { return &o.Service }, name[redwingshunt.ServiceID]()),
	optional("methods", func(o *redwingshunt.OnceRule) *[]string { return &o.Methods },
		list("", text[string]("an HTTP method in capitals, as POST", methodPattern.MatchString))),
	required("path", func(o *redwingshunt.OnceRule) *string { return &o.Path },
		text[string]("* or a pattern of a path, as /bookings/*", validPathPattern)),
)

// validPathPattern reports whether a path pattern is valid in a once rule.
func validPathPattern(pattern string) bool {
	_, err := path.Match(pattern, "/")
	return err == nil && (pattern == "*" || path.IsAbs(pattern))
}

var fleetObject = object(
	optional("gap", func(f *redwingshunt.FleetConfiguration) *time.Duration { return &f.Gap }, duration(100*time.Millisecond, time.Hour)),
	optional("groups", func(f *redwingshunt.FleetConfiguration) *int { return &f.Groups }, integer[int](1, redwingshunt.MaxGroups)),
	optional("keep", func(f *redwingshunt.FleetConfiguration) *time.Duration { return &f.Keep }, duration(time.Minute, 30*day)),
	optional("space", func(f *redwingshunt.FleetConfiguration) *int64 { return &f.Space }, size(1<<20, 1<<40)),
	optional("budget", func(f *redwingshunt.FleetConfiguration) *int { return &f.Budget }, integer[int](0, 100)),
	optional("losses", func(f *redwingshunt.FleetConfiguration) *int { return &f.Losses }, integer[int](1, 10)),
)

// Empty returns a document with the defaults of the section fleet and no other
// content.
func Empty() redwingshunt.Document {
	return redwingshunt.Document{Fleet: redwingshunt.FleetConfiguration{
		Gap: defaultGap, Groups: defaultGroups, Keep: defaultKeep,
		Space: defaultSpaceBytes, Budget: defaultBudgetPercent, Losses: defaultLosses,
	}}
}

// resetSection sets a section to its value in a document that omits it.
func resetSection(document *redwingshunt.Document, section redwingshunt.Section) {
	empty := Empty()
	switch section {
	case redwingshunt.SectionTeams:
		document.Teams = empty.Teams
	case redwingshunt.SectionRegions:
		document.Regions = empty.Regions
	case redwingshunt.SectionServices:
		document.Services = empty.Services
	case redwingshunt.SectionAccounts:
		document.Accounts = empty.Accounts
	case redwingshunt.SectionOnce:
		document.Once = empty.Once
	case redwingshunt.SectionFleet:
		document.Fleet = empty.Fleet
	case redwingshunt.SectionRoutes:
		document.Routes = empty.Routes
	case redwingshunt.SectionLimits:
		document.Limits = empty.Limits
	}
}

// sectionObject returns a decoder of a mapping whose only key is the section.
func sectionObject(section redwingshunt.Section) decoder[redwingshunt.Document] {
	for _, f := range documentFields() {
		if f.name == string(section) {
			f.required = true
			return object(f)
		}
	}
	return documentObject
}
