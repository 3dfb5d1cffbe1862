package parser

// The fields of the settings, with their bounds and defaults, and the checks
// between them.

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// defaultDrain is the time limit of a graceful shutdown.
const defaultDrain = 30 * time.Second

// defaultNotice is the time that balancers have to detect that an instance
// leaves.
const defaultNotice = 3 * time.Second

// maxVoters is the maximum number of voters of a log.
const maxVoters = 7

// minFiles is the number of file descriptors below which an instance cannot
// serve requests.
const minFiles = 1024

// minMemory is the memory limit below which there is no memory for callers: the program
// itself takes 20 MiB and the garbage between two collections as much.
const minMemory = 64 << 20

// settings abbreviates the type name in the table below.
type settings = redwingshunt.Settings

var settingsObject = object(
	required("name", func(s *settings) *redwingshunt.InstanceID { return &s.Name }, name[redwingshunt.InstanceID]()),
	required("region", func(s *settings) *redwingshunt.RegionID { return &s.Region }, name[redwingshunt.RegionID]()),
	required("zone", func(s *settings) *redwingshunt.ZoneID { return &s.Zone }, name[redwingshunt.ZoneID]()),
	required("listen", func(s *settings) *netip.AddrPort { return &s.Listen }, address()),
	required("link", func(s *settings) *netip.AddrPort { return &s.Link }, address()),
	required("admin", func(s *settings) *netip.AddrPort { return &s.Admin }, address()),
	optional("metrics", func(s *settings) *netip.AddrPort { return &s.Metrics }, address()),
	optional("peers", func(s *settings) *[]netip.AddrPort { return &s.Peers }, list(netip.AddrPort{}, address())),
	optional("voters", func(s *settings) *[]redwingshunt.InstanceID { return &s.Voters },
		list(redwingshunt.InstanceID(""), name[redwingshunt.InstanceID]())),
	optional("data", func(s *settings) *string { return &s.Data }, nonEmptyText[string]("the path of a folder")),
	optional("document", func(s *settings) *string { return &s.Document }, nonEmptyText[string]("the path of a document")),
	optional("bootstrap", func(s *settings) *redwingshunt.KeyHash { return &s.Bootstrap }, keyHash),
	optional("notice", func(s *settings) *time.Duration { return &s.Notice }, duration(0, time.Minute)),
	optional("drain", func(s *settings) *time.Duration { return &s.Drain }, duration(time.Second, time.Hour)),
	optional("log", func(s *settings) *slog.Level { return &s.Log }, logLevel),
	optional("tls", func(s *settings) *redwingshunt.TLSFiles { return &s.TLS }, tlsObject),
	optional("plain", func(s *settings) *bool { return &s.Plain }, boolean()),
	optional("routes", func(s *settings) *netip.AddrPort { return &s.Routes }, address()),
	optional("ready", func(s *settings) *netip.AddrPort { return &s.Ready }, address()),
	optional("founders", func(s *settings) *[]netip.AddrPort { return &s.Founders }, list(netip.AddrPort{}, address())),
	optional("wanted", func(s *settings) *int { return &s.Wanted }, integer[int](0, maxVoters)),
	optional("tolerate", func(s *settings) *redwingshunt.Tolerance { return &s.Tolerate }, tolerateObject),
	optional("most", func(s *settings) *int { return &s.Most }, integer[int](0, 1_000_000)),
	optional("kept", func(s *settings) *int { return &s.Kept }, integer[int](0, 1_000_000)),
	optional("memory", func(s *settings) *int64 { return &s.Memory }, size(0, 1<<40)),
	optional("files", func(s *settings) *int { return &s.Files }, integer[int](minFiles, 10_000_000)),
	optional("restart", func(s *settings) *bool { return &s.Restart }, boolean()),
	optional("cold", func(s *settings) *redwingshunt.ColdBounds { return &s.Cold }, coldObject),
	optional("repeats", func(s *settings) *redwingshunt.RepeatBudget { return &s.Repeats }, repeatsObject),
	optional("hedge", func(s *settings) *float64 { return &s.Hedge }, percent()),
)

var tolerateObject = object(
	optional("zones", func(t *redwingshunt.Tolerance) *int { return &t.Zones }, integer[int](0, 1)),
	optional("regions", func(t *redwingshunt.Tolerance) *int { return &t.Regions }, integer[int](0, 1)),
)

// minTolerantVoters is the number of voters from which the loss of one can be survived.
const minTolerantVoters = 3

var repeatsObject = object(
	optional("ratio", func(b *redwingshunt.RepeatBudget) *float64 { return &b.Ratio }, percent()),
	optional("extra", func(b *redwingshunt.RepeatBudget) *float64 { return &b.Extra }, number(0, 1_000_000)),
	optional("window", func(b *redwingshunt.RepeatBudget) *time.Duration { return &b.Window }, duration(time.Second, time.Hour)),
)

var coldObject = object(
	optional("factor", func(b *redwingshunt.ColdBounds) *float64 { return &b.Factor }, number(1, 1000)),
	optional("extra", func(b *redwingshunt.ColdBounds) *float64 { return &b.Extra }, number(0, 1_000_000)),
)

// defaultColdFactor is the default of the bound on requests to cold upstreams: they get
// no more than they tolerate.
const defaultColdFactor = 1

// The defaults of the retry budget: the extra load that a failing upstream can
// take.
const (
	defaultRepeatPercent = 20
	defaultRepeatExtra   = 10
	defaultRepeatWindow  = 10 * time.Second
)

var tlsObject = object(
	required("cert", func(t *redwingshunt.TLSFiles) *string { return &t.Cert }, nonEmptyText[string]("the path of a PEM file")),
	required("key", func(t *redwingshunt.TLSFiles) *string { return &t.Key }, nonEmptyText[string]("the path of a PEM file")),
	required("authority", func(t *redwingshunt.TLSFiles) *string { return &t.Authority }, nonEmptyText[string]("the path of a PEM file")),
)

// defaultSettings returns settings that hold the defaults only.
func defaultSettings() settings {
	return settings{
		Notice: defaultNotice, Drain: defaultDrain, Log: slog.LevelInfo,
		Repeats: redwingshunt.RepeatBudget{Ratio: defaultRepeatPercent, Extra: defaultRepeatExtra, Window: defaultRepeatWindow},
		Cold:    redwingshunt.ColdBounds{Factor: defaultColdFactor},
	}
}

// checkSettings reports inconsistencies between the settings.
func checkSettings(s *settings, report reportFunc) {
	checkAddresses(s, report)
	checkVoters(s, report)
	switch {
	case s.TLS.Enabled() && s.Plain:
		report("plain", "contradicts tls; remove one of them")
	case !s.TLS.Enabled() && !s.Plain:
		report("tls", "is missing; give cert, key and authority, or say plain: true to run without encryption")
	}
	if s.Memory > 0 && s.Memory < minMemory {
		report("memory", "is %d bytes; must be at least 64MiB", s.Memory)
	}
	if s.Document != "" && len(s.Voters) > 0 {
		report("document", "contradicts voters, who keep the document themselves; submit the first one with the bootstrap key")
	}
}

// checkAddresses reports duplicate addresses, a link address that other instances
// cannot dial, and a readiness address without a route address.
func checkAddresses(s *settings, report reportFunc) {
	paths := []string{"listen", "link", "admin", "metrics", "routes", "ready"}
	own := []netip.AddrPort{s.Listen, s.Link, s.Admin, s.Metrics, s.Routes, s.Ready}
	reportDuplicates(own, func(i int) string { return paths[i] }, formatAddress, report)
	if s.Link.IsValid() && s.Link.Addr().IsUnspecified() {
		report("link", "is %s; must be an address that other instances can dial", s.Link)
	}
	reportDuplicates(s.Peers, indexedPath("peers[%d]"), formatAddress, report)
	reportDuplicates(s.Founders, indexedPath("founders[%d]"), formatAddress, report)
	if s.Ready.IsValid() && !s.Routes.IsValid() {
		report("ready", "tells of the address routes, which is missing")
	}
}

// formatAddress formats an address; an invalid one gives an empty string.
func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// checkVoters reports an unsuitable number of voters, contradictory settings of
// voters, and a voter without a data folder.
func checkVoters(s *settings, report reportFunc) {
	reportDuplicates(s.Voters, indexedPath("voters[%d]"), identity, report)
	if n := len(s.Voters); n > 0 && (n%2 == 0 || n > maxVoters) {
		report("voters", "are %d; must be an odd number up to %d", n, maxVoters)
	}
	if len(s.Founders) > 0 && len(s.Voters) > 0 {
		report("founders", "contradicts voters; name the first voters in one of the two ways")
	}
	if len(s.Founders) > 0 && s.Data == "" {
		report("data", "is missing; an instance that makes the log needs a folder on a disk")
	}
	if s.Wanted > 0 && s.Wanted%2 == 0 {
		report("wanted", "is %d; must be an odd number", s.Wanted)
	}
	if s.Tolerate.Enabled() && s.Wanted < minTolerantVoters {
		report("tolerate", "needs wanted, at least %d; fewer voters survive no loss", minTolerantVoters)
	}
	if slices.Contains(s.Voters, s.Name) && s.Data == "" {
		report("data", fmt.Sprintf("is missing; %s is a voter and needs a folder on a disk", s.Name))
	}
}
