package measurer

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// Policy selects how the upstreams of a service are shared.
type Policy string

// The policies that can be compared.
const (
	PolicyOwner  Policy = "owner"  // one owner per service and region; owners exchange ledgers
	PolicyLeased Policy = "leased" // one allocator per service for all regions
	PolicyFirst  Policy = "first"  // first come, first served on each router
	PolicyLocal  Policy = "local"  // fair queueing on each router, no exchange
	PolicyShared Policy = "shared" // fair queueing on each router, counters exchanged each second
)

// Place is one region of a scenario.
type Place struct {
	Region    redwingshunt.RegionID
	Zones     int
	Routers   int
	Upstreams int
}

// Load is the traffic of one client account.
type Load struct {
	Account redwingshunt.AccountID
	Share   redwingshunt.Share
	Routers []int         // indexes of the routers that it calls
	Clients int           // callers on each of them; each resends without pause
	Least   int           // tokens of the smallest answer
	Most    int           // tokens of the largest answer
	Think   time.Duration // mean pause of a caller between requests
	From    time.Duration
	Until   time.Duration // zero for the whole run

	// Regions are those whose upstreams the account may use; empty allows all.
	Regions []redwingshunt.RegionID
}

// Scenario is one run over the cores and fakes.
type Scenario struct {
	Name    string
	Policy  Policy
	Places  []Place
	Loads   []Load
	Slots   int     // of one upstream
	Rate    float64 // tokens per second of one slot
	Inside  time.Duration
	Across  time.Duration
	Gap     time.Duration
	Lag     time.Duration // of load reports
	Loss    float64       // probability that a message is lost
	Double  float64       // probability that a message is delivered twice
	Jitter  time.Duration // of the delay; messages can be reordered
	Offset  time.Duration // largest difference between two clocks
	Length  time.Duration
	Warm    time.Duration // warm-up at the start, not measured
	Seed    uint64
	Faults  []Fault
	Retells time.Duration // period of full states; zero for the period that the owner set chooses
}

// Fault is a change to the fleet at a given time.
type Fault struct {
	At time.Duration
	Do func(*Fleet)
}

// capacity returns the cost per second that all upstreams can serve.
func (s *Scenario) capacity() float64 {
	n := 0
	for _, p := range s.Places {
		n += p.Upstreams
	}
	return float64(n*s.Slots) * s.Rate
}

// averageRequestSeconds returns the run time in seconds of an average request; a slot is not free
// sooner.
func (s *Scenario) averageRequestSeconds() float64 {
	sum := 0.0
	for _, l := range s.Loads {
		sum += float64(l.Least+l.Most) / 2
	}
	return sum / float64(len(s.Loads)) / s.Rate
}
