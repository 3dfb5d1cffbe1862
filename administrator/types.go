package administrator

import (
	"encoding/json"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// Duration is a time.Duration that is encoded in JSON as text, such as "1.5s".
type Duration struct{ time.Duration }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// Health is the response to GET /v1/healthz.
type Health struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"` // why the instance does not serve callers
}

// Status is the response to GET /v1/status.
type Status struct {
	Instance    redwingshunt.InstanceID                        `json:"instance"`
	Incarnation redwingshunt.Incarnation                       `json:"incarnation"`
	Region      redwingshunt.RegionID                          `json:"region"`
	Zone        redwingshunt.ZoneID                            `json:"zone"`
	Version     string                                         `json:"version"`
	Health      Health                                         `json:"health"`
	Revision    redwingshunt.Revision                          `json:"revision"` // in force on this instance
	Since       time.Time                                      `json:"since"`    // when that revision was committed
	Sections    map[redwingshunt.Section]redwingshunt.Revision `json:"sections"`
	Logs        []LogStatus                                    `json:"logs"`
	Fleet       []InstanceStatus                               `json:"fleet"`

	Evacuations redwingshunt.Revision `json:"evacuations"` // of the evacuations in force; zero if there never was one
	Evacuated   []redwingshunt.ZoneID `json:"evacuated"`
}

// InstanceStatus is what one instance knows about another.
type InstanceStatus struct {
	Instance redwingshunt.InstanceID `json:"instance"`
	Region   redwingshunt.RegionID   `json:"region"`
	Zone     redwingshunt.ZoneID     `json:"zone"`
	Link     string                  `json:"link"` // address for links
	Voter    bool                    `json:"voter"`
	Leaving  bool                    `json:"leaving"`
	Revision redwingshunt.Revision   `json:"revision"` // last known; zero when unknown
}

// LogStatus is the state of one replicated log on this instance.
type LogStatus struct {
	Group   redwingshunt.GroupID    `json:"group"`
	Role    string                  `json:"role"`   // empty on an instance without a replica
	Leader  redwingshunt.InstanceID `json:"leader"` // empty when unknown
	Term    uint64                  `json:"term"`
	Commit  uint64                  `json:"commit"`  // index
	Last    uint64                  `json:"last"`    // index
	Pending bool                    `json:"pending"` // a membership change is in progress
	Lost    bool                    `json:"lost"`    // the data folder no longer holds the vote of this instance
	Members []LogMember             `json:"members"`
	// Survives is nil on an instance without a replica, and without the setting tolerate.
	Survives *Survival `json:"survives,omitempty"`
}

// Survival tells whether a log keeps a quorum of live voters after the loss of any one
// availability zone and of any one region.
type Survival struct {
	Zone   bool `json:"zone"`
	Region bool `json:"region"`
}

// LogMember is an instance that holds a replica of a log. Only the leader knows
// Alive and Lag.
type LogMember struct {
	Instance redwingshunt.InstanceID `json:"instance"`
	Voter    bool                    `json:"voter"` // false while it catches up
	Alive    bool                    `json:"alive"`
	Lag      uint64                  `json:"lag"` // entries
}

// Voters returns the members with a vote.
func (l LogStatus) Voters() []redwingshunt.InstanceID { return l.list(true) }

// Learners returns the members that are catching up.
func (l LogStatus) Learners() []redwingshunt.InstanceID { return l.list(false) }

// list returns the members with or without a vote.
func (l LogStatus) list(voter bool) []redwingshunt.InstanceID {
	names := []redwingshunt.InstanceID{}
	for _, m := range l.Members {
		if m.Voter == voter {
			names = append(names, m.Instance)
		}
	}
	return names
}

// Change is one accepted change of the document.
type Change struct {
	Revision redwingshunt.Revision `json:"revision"`
	Section  redwingshunt.Section  `json:"section,omitempty"` // empty for the whole document
	Team     redwingshunt.TeamID   `json:"team"`
	At       time.Time             `json:"at"`
	ID       string                `json:"id"` // of the submission
}

// The scopes of an AccountStatus.
const (
	ViewRegion   = "region"   // the whole region, as seen by the owner of the service
	ViewInstance = "instance" // the requests that are queued on the instance
)

// AccountStatus reports how one service serves one account.
type AccountStatus struct {
	Account  redwingshunt.AccountID  `json:"account"`
	Service  redwingshunt.ServiceID  `json:"service"`
	Instance redwingshunt.InstanceID `json:"instance"` // reporting instance
	View     string                  `json:"view"`     // ViewRegion or ViewInstance
	Cell     int                     `json:"cell"`     // number of the cell, a part of the service's upstreams
	Share    redwingshunt.Share      `json:"share"`
	Virtual  int64                   `json:"virtual"` // service received per share, in the unit of the service; idle time counts as service
	Gap      Duration                `json:"gap"`     // lead over the least served backlogged account, as time of the whole service
	Backlog  int                     `json:"backlog"` // waiting requests
	Running  int                     `json:"running"`
	Wait     Duration                `json:"wait"` // of the oldest request queued on the instance
}

// The health of an upstream.
const (
	HealthAlive     = "alive"
	HealthLeaving   = "leaving"   // gets no new requests
	HealthEjected   = "ejected"   // failed; gets no requests for a limited time
	HealthEvacuated = "evacuated" // its availability zone is; gets no new requests
)

// UpstreamStatus is what the owner of a service knows about one upstream.
type UpstreamStatus struct {
	ID      redwingshunt.UpstreamID `json:"id"`
	Service redwingshunt.ServiceID  `json:"service"`
	Region  redwingshunt.RegionID   `json:"region"`
	Zone    redwingshunt.ZoneID     `json:"zone"`
	Lender  redwingshunt.InstanceID `json:"lender,omitempty"` // owner in the region that lends its slots
	Address string                  `json:"address"`
	Version string                  `json:"version,omitempty"`
	Slots   int                     `json:"slots"`   // as announced
	Window  int                     `json:"window"`  // limit of requests in flight
	Running int                     `json:"running"` // requests of this region
	Lent    int                     `json:"lent"`    // slots lent to other regions
	Foreign int                     `json:"foreign"` // other requests, from its load reports
	Health  string                  `json:"health"`
}

// DumpVersion is the version of the dump format.
const DumpVersion = 1

// Dump is the state of one process.
type Dump struct {
	Version int                        `json:"version"` // DumpVersion
	At      time.Time                  `json:"at"`
	Status  Status                     `json:"status"`
	Parts   map[string]json.RawMessage `json:"parts"`
}

// Replacement is the body of POST /v1/voters/replace.
type Replacement struct {
	Lost redwingshunt.InstanceID `json:"lost"` // empty to only add
	With redwingshunt.InstanceID `json:"with"`
}

// Step is one line of the response to a Replacement. The last line has Done or
// Problem set.
type Step struct {
	Text    string   `json:"text,omitempty"`
	Done    bool     `json:"done,omitempty"`
	Problem *Problem `json:"problem,omitempty"`
}

// Draining is the response to POST /v1/drain.
type Draining struct {
	Draining bool `json:"draining"`
}
