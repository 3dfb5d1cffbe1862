package redwingshunt

import "time"

// Section names a part of the document that one team owns and submits.
type Section string

// The sections, in the order in which they stand in a document.
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

// SectionWhole stands for a document that is kept as one text and changed as a
// whole. It is not a key of a document.
const SectionWhole Section = "whole"

// Sections lists all sections in document order.
func Sections() []Section {
	return []Section{
		SectionTeams, SectionRegions, SectionServices, SectionAccounts, SectionOnce, SectionFleet,
		SectionRoutes, SectionLimits,
	}
}

// Document is the one configuration document of a fleet. In YAML every key is
// the lower-case field name.
type Document struct {
	Teams    []Team             `yaml:"teams"`
	Regions  []Region           `yaml:"regions"`
	Services []Service          `yaml:"services"`
	Accounts []Account          `yaml:"accounts"`
	Once     []OnceRule         `yaml:"once"`
	Fleet    FleetConfiguration `yaml:"fleet"`

	// Version orders whole documents: the highest one is in force. It is zero
	// in a document of sections.
	Version uint64        `yaml:"version,omitempty"`
	Routes  []Route       `yaml:"routes"`
	Limits  RequestLimits `yaml:"limits"`
}

// Team may edit the named sections with the key of which the hash is given.
type Team struct {
	Name  TeamID    `yaml:"name"`
	Key   KeyHash   `yaml:"key"`
	Edits []Section `yaml:"edits"`
}

// KeyHash is "sha256:" and the SHA-256 of a bearer key in lower-case hex.
type KeyHash string

// Region is a group of availability zones with short delays between them.
type Region struct {
	Name  RegionID `yaml:"name"`
	Zones []ZoneID `yaml:"zones"`
}

// ServiceKind tells how requests of a service are read.
type ServiceKind string

// The kinds of service.
const (
	ServiceEngine ServiceKind = "engine" // chat completions with a usage report
	ServicePlain  ServiceKind = "plain"  // any method, path and body
)

// CostUnit tells how the cost of a request is counted.
type CostUnit string

// The units of cost.
const (
	CostTokens   CostUnit = "tokens"   // prompt and completion tokens of the usage report
	CostRequests CostUnit = "requests" // one a request
	CostTime     CostUnit = "time"     // microseconds from dispatch to the last byte
)

// Service is a kind of work that upstreams offer.
type Service struct {
	Name    ServiceID     `yaml:"name"`
	Kind    ServiceKind   `yaml:"kind"`
	Key     KeyHash       `yaml:"key,omitempty"`   // key that upstreams announce with; empty when they need none
	Model   string        `yaml:"model,omitempty"` // model name in chat completions; the service name when empty
	Cost    CostUnit      `yaml:"cost"`            // tokens for an engine, requests for a plain service when empty
	Cached  int           `yaml:"cached"`          // percent of a prompt token that a cached one costs
	Body    int64         `yaml:"body"`            // largest request body in bytes
	Wait    time.Duration `yaml:"wait"`            // longest wait for an upstream
	Stall   time.Duration `yaml:"stall"`           // longest silence of an upstream within an answer
	Retries int           `yaml:"retries"`         // attempts after the first for an idempotent request

	Connections int    `yaml:"connections"` // that one upstream accepts from all callers; zero is unlimited
	Engine      Engine `yaml:"engine"`
}

// Account is a client account and its share of every service.
type Account struct {
	Name     AccountID `yaml:"name"`
	Key      KeyHash   `yaml:"key"`
	Share    Share     `yaml:"share"`
	Home     RegionID  `yaml:"home"`     // where its claims are led
	Queue    int       `yaml:"queue"`    // requests that may wait on one instance
	Bytes    int64     `yaml:"bytes"`    // bytes of bodies that may wait on one instance
	Parallel int       `yaml:"parallel"` // requests that may run at once on the fleet; zero is unlimited

	Keys []KeyHash   `yaml:"keys,omitempty"` // further keys
	Rank Option[int] `yaml:"-"`              // urgency instead of that of the route
}

// OnceRule marks requests that run at most once (non-idempotent requests).
type OnceRule struct {
	Service ServiceID `yaml:"service"`
	Methods []string  `yaml:"methods"` // every method but GET, HEAD and OPTIONS when empty
	Path    string    `yaml:"path"`    // path.Match pattern on the path given to the service; "*" alone matches all
}

// FleetConfiguration holds what the fleet as a whole promises.
type FleetConfiguration struct {
	Gap    time.Duration `yaml:"gap"`    // largest gap between regions, in time of the service's whole capacity
	Groups int           `yaml:"groups"` // groups of claims
	Keep   time.Duration `yaml:"keep"`   // how long an answer to a once request is kept
	Space  int64         `yaml:"space"`  // bytes that claims may take on one voter
	Budget int           `yaml:"budget"` // retries in percent of first attempts
	Losses int           `yaml:"losses"` // upstreams lost to one fingerprint before it is refused
}

// Snapshot is an accepted document with its revision. It is not changed once
// it has been handed out.
type Snapshot struct {
	Revision Revision
	Document *Document
	At       time.Time // when it was committed, by the clock of the leader
	Sections map[Section]Revision
}
