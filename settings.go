package redwingshunt

import (
	"log/slog"
	"net/netip"
	"time"
)

// Settings is the configuration that an instance reads at startup. In YAML every
// key is the lower-case field name. Configuration shared by the fleet is in
// Document.
type Settings struct {
	Name      InstanceID       // unique in the fleet
	Region    RegionID         // where the instance runs
	Zone      ZoneID           // availability zone within the region
	Listen    netip.AddrPort   // listen address for callers and upstreams
	Link      netip.AddrPort   // listen address for other instances
	Admin     netip.AddrPort   // listen address of the administration API
	Metrics   netip.AddrPort   // listen address for metrics; served on Admin if invalid
	Peers     []netip.AddrPort // link addresses of some other instances
	Voters    []InstanceID     // initial voters; read only if the data folder is new
	Data      string           // data folder; empty for an instance without a disk
	Document  string           // path of an initial document, for tests without voters
	Bootstrap KeyHash          // key that may submit the first document
	Notice    time.Duration    // how long a leaving instance still accepts requests, so that load balancers notice
	Drain     time.Duration    // time limit of the graceful shutdown after Notice
	Log       slog.Level

	Routes   netip.AddrPort   // listen address for callers of the document's routes; invalid if unused
	Ready    netip.AddrPort   // listen address of the readiness check for the load balancer of these callers
	Founders []netip.AddrPort // link addresses of the initial voters; used only at the first start of the fleet
	Wanted   int              // target number of voters; zero leaves membership to operators
	Tolerate Tolerance        // losses that the places of the voters should let the log survive
	Restart  bool             // exit when the log fails, so that a supervisor restarts the process
	Most     int              // maximum concurrent requests of routes, further ones are refused; zero is unlimited
	Kept     int              // open connections of callers of routes above which each response closes its own; zero is unlimited
	Memory   int64            // memory limit of the process in bytes; zero leaves it to the system
	Files    int              // maximum open file descriptors; zero leaves it to the system
	Repeats  RepeatBudget     // bounds retries
	Cold     ColdBounds       // bounds the requests to cold upstreams
	Hedge    float64          // percent of the requests of a service that may be hedged; zero for none
	TLS      TLSFiles
	Plain    bool // allow unencrypted connections; never set together with TLS
}

// TLSFiles are paths of PEM files.
type TLSFiles struct {
	Cert      string // certificate of the instance and its chain
	Key       string // private key of the certificate
	Authority string // CA certificates for verifying other instances
}

// Enabled reports whether any file is named.
func (t TLSFiles) Enabled() bool { return t != TLSFiles{} }

// Tolerance states the losses that the log should survive by the places of its voters.
// The zero value places them without regard to regions and availability zones.
type Tolerance struct {
	Zones   int // availability zones that may be lost, 0 or 1
	Regions int // regions that may be lost, 0 or 1
}

// Enabled reports whether the places of the voters matter.
func (t Tolerance) Enabled() bool { return t != Tolerance{} }

// RepeatBudget bounds the attempts after the first of each request, per service
// over the whole fleet, within a sliding window.
type RepeatBudget struct {
	Ratio  float64 // retries in percent of requests
	Extra  float64 // retries allowed in addition to Ratio
	Window time.Duration
}

// ColdBounds bound the requests that the whole fleet sends to one cold upstream in any
// one second.
type ColdBounds struct {
	Factor float64 // of the ramp of the service
	Extra  float64 // requests in addition
}

// PerSecond returns the maximum number of requests in any one second to a cold upstream
// that tolerates a rate.
func (b ColdBounds) PerSecond(rate float64) float64 { return rate*b.Factor + b.Extra }
