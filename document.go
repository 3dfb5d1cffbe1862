package redwingshunt

import "time"

// Section is the name of a part of the document that one team owns and submits.
type Section string

// The sections in document order.
const (
	SectionTeams    Section = "teams"
	SectionRegions  Section = "regions"
	SectionServices Section = "services"
	SectionAccounts Section = "accounts"
	SectionOnce     Section = "once"
	SectionFleet    Section = "fleet"
	SectionRoutes   Section = "routes"
	SectionLimits   Section = "limits"
)

// SectionWhole denotes a document that is stored as one text and replaced as a
// whole. It is not a key in a document.
const SectionWhole Section = "whole"

// Sections lists all sections in document order.
func Sections() []Section {
	return []Section{
		SectionTeams, SectionRegions, SectionServices, SectionAccounts, SectionOnce, SectionFleet,
		SectionRoutes, SectionLimits,
	}
}

// Document is the shared configuration of a fleet. In YAML every key is the
// lower-case field name.
type Document struct {
	Teams    []Team             `yaml:"teams"`
	Regions  []Region           `yaml:"regions"`
	Services []Service          `yaml:"services"`
	Accounts []Account          `yaml:"accounts"`
	Once     []OnceRule         `yaml:"once"`
	Fleet    FleetConfiguration `yaml:"fleet"`

	// Version orders documents that are replaced as a whole: the highest version
	// is in force. It is zero in a document that is edited by section.
	Version uint64        `yaml:"version,omitempty"`
	Routes  []Route       `yaml:"routes"`
	Limits  RequestLimits `yaml:"limits"`

	// Evacuated lists the availability zones whose upstreams get no new requests, in
	// order. It is not part of a submitted document.
	Evacuated []ZoneID `yaml:"-"`
}

// Team is a group of editors, identified by a key, that may change the sections
// in Edits.
type Team struct {
	Name  TeamID    `yaml:"name"`
	Key   KeyHash   `yaml:"key"`
	Edits []Section `yaml:"edits"`
}

// KeyHash is "sha256:" followed by the SHA-256 hash of a bearer key in lower-case
// hexadecimal.
type KeyHash string

// Region is a group of availability zones with low latency between them.
type Region struct {
	Name  RegionID `yaml:"name"`
	Zones []ZoneID `yaml:"zones"`
}

// ServiceKind selects how requests to a service are parsed.
type ServiceKind string

// The kinds of service.
const (
	ServiceEngine ServiceKind = "engine" // chat completions with a usage report
	ServicePlain  ServiceKind = "plain"  // any method, path and body
)

// CostUnit selects how the cost of a request is measured.
type CostUnit string

// The units of cost.
const (
	CostTokens   CostUnit = "tokens"   // prompt and completion tokens of the usage report
	CostRequests CostUnit = "requests" // one per request
	CostTime     CostUnit = "time"     // microseconds from dispatch to the last byte
)

// Service is a service that a set of upstreams provides.
type Service struct {
	Name    ServiceID     `yaml:"name"`
	Kind    ServiceKind   `yaml:"kind"`
	Key     KeyHash       `yaml:"key,omitempty"`   // key that upstreams use to announce themselves; empty if none is required
	Model   string        `yaml:"model,omitempty"` // model name in chat completions; the service name when empty
	Cost    CostUnit      `yaml:"cost"`            // empty means tokens for an engine, requests for a plain service
	Cached  int           `yaml:"cached"`          // cost of a cached prompt token in percent of an uncached one
	Body    int64         `yaml:"body"`            // maximum size of a request body in bytes
	Wait    time.Duration `yaml:"wait"`            // maximum wait for an upstream
	Stall   time.Duration `yaml:"stall"`           // maximum time without data from an upstream during a response
	Retries int           `yaml:"retries"`         // maximum retries of an idempotent request

	Connections int    `yaml:"connections"` // maximum connections that one upstream accepts in total; zero is unlimited
	Engine      Engine `yaml:"engine"`

	Warmup time.Duration `yaml:"warmup"` // how long an upstream is cold after its start
	Ramp   float64       `yaml:"ramp"`   // requests per second that a cold upstream tolerates; zero means that none is cold

	Hedge Option[float64] `yaml:"hedge,omitempty"` // percent of its requests that may be hedged; overrides the setting
}

// maxColdWarmups is the longest time that an upstream may announce to be cold, as a
// multiple of the time that it is cold after its start.
const maxColdWarmups = 10

// LimitCold returns the time for which an upstream that announces a time is taken to be
// cold, and whether that is less. Without a warmup there is no limit.
func (s *Service) LimitCold(announced time.Duration) (remaining time.Duration, limited bool) {
	if s.Warmup <= 0 || announced/maxColdWarmups < s.Warmup {
		return announced, false
	}
	return s.Warmup * maxColdWarmups, announced > s.Warmup*maxColdWarmups
}

// Account is a client account and its share of every service.
type Account struct {
	Name     AccountID `yaml:"name"`
	Key      KeyHash   `yaml:"key"`
	Share    Share     `yaml:"share"`
	Home     RegionID  `yaml:"home"`     // region where its claims are led
	Queue    int       `yaml:"queue"`    // maximum queued requests on one instance
	Bytes    int64     `yaml:"bytes"`    // maximum bytes of queued request bodies on one instance
	Parallel int       `yaml:"parallel"` // maximum concurrent requests in the fleet; zero is unlimited

	Keys    []KeyHash   `yaml:"keys,omitempty"`    // additional keys
	Rank    Option[int] `yaml:"-"`                 // overrides the rank of the route
	Regions []RegionID  `yaml:"regions,omitempty"` // in which its requests may be served; empty allows all
}

// OnceRule selects non-idempotent requests, which run at most once.
type OnceRule struct {
	Service ServiceID `yaml:"service"`
	Methods []string  `yaml:"methods"` // empty means every method except GET, HEAD and OPTIONS
	Path    string    `yaml:"path"`    // path.Match pattern for the path sent to the service; "*" alone matches all
}

// FleetConfiguration holds parameters that apply to the fleet as a whole.
type FleetConfiguration struct {
	Gap    time.Duration `yaml:"gap"`    // maximum difference in service between regions, as time at the service's full capacity
	Groups int           `yaml:"groups"` // number of log groups for claims
	Keep   time.Duration `yaml:"keep"`   // retention of the response to a non-idempotent request
	Space  int64         `yaml:"space"`  // maximum bytes of claims on one voter
	Budget int           `yaml:"budget"` // retry budget in percent of first attempts
	Losses int           `yaml:"losses"` // upstreams lost to one fingerprint before its requests are refused
}

// Snapshot is an accepted document with its revision. It is immutable once
// published.
type Snapshot struct {
	Revision Revision
	Document *Document
	At       time.Time // commit time by the leader's clock
	Sections map[Section]Revision

	Evacuations Revision // of Document.Evacuated; zero if there never was an evacuation
}
