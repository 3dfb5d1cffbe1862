package redwingshunt

import (
	"log/slog"
	"net/netip"
	"time"
)

// Settings are what one instance reads at its start. In YAML every key is the
// lower-case field name. What the fleet shares stands in the Document instead.
type Settings struct {
	Name      InstanceID       // unique in the fleet
	Region    RegionID         // where the instance runs
	Zone      ZoneID           // availability zone within the region
	Listen    netip.AddrPort   // where callers and upstreams connect
	Link      netip.AddrPort   // where other instances connect
	Admin     netip.AddrPort   // administration API
	Metrics   netip.AddrPort   // scrape endpoint; part of Admin when invalid
	Peers     []netip.AddrPort // link addresses of some other instances
	Voters    []InstanceID     // initial voters; read only when Data is new
	Data      string           // data folder; empty without a disk
	Document  string           // path of a first document, for trials without voters
	Bootstrap KeyHash          // key that may submit the first document
	Notice    time.Duration    // how long a leaving instance still takes requests, so that balancers notice
	Drain     time.Duration    // limit of a graceful shutdown after that
	Log       slog.Level

	Routes   netip.AddrPort   // where callers of the routes of the document connect; invalid when none do
	Ready    netip.AddrPort   // tells the balancer of these callers whether to send connections here
	Founders []netip.AddrPort // link addresses of the first voters, at the first start of the fleet only
	Wanted   int              // voters that the log should have; zero leaves its members to operators
	Restart  bool             // the process ends when its log fails, to be restarted by its supervisor
	Most     int              // requests of routes at once, more are refused; zero is unlimited
	Kept     int              // open connections of callers of routes, beyond which an answer closes its own; zero is unlimited
	Memory   int64            // bytes that the process may take; zero leaves it to the system
	Files    int              // descriptors that the process may have open; zero leaves it to the system
	Repeats  RepeatBudget     // bounds what routers send more than once
	TLS      TLSFiles
	Plain    bool // plain text is allowed; never set together with TLS
}

// TLSFiles are paths of PEM files.
type TLSFiles struct {
	Cert      string // certificate of the instance and its chain
	Key       string // private key of the certificate
	Authority string // certificates that other instances must be signed by
}

// Enabled reports whether any file is named.
func (t TLSFiles) Enabled() bool { return t != TLSFiles{} }

// RepeatBudget bounds the sends beyond the first of each request, over the whole
// fleet and for each service, within a sliding window.
type RepeatBudget struct {
	Ratio  float64 // percent of the requests
	Extra  float64 // beyond that
	Window time.Duration
}
