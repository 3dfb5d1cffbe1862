package measurer

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// prefill is the time from admission to the first token.
const prefill = 50 * time.Millisecond

// job is a request that was sent to a fake upstream.
type job struct {
	request *request
	router  *node
	started time.Time // admitted to the batch
	ended   bool
}

// engine is a fake upstream: it admits requests in order of arrival, runs up to
// slots of them concurrently and serves each at the same rate.
type engine struct {
	upstream     redwingshunt.Upstream
	slots        int
	rate         float64
	running      []*job
	waiting      []*job
	crashed      bool
	failing      bool                      // fails every new request
	leavingSince time.Time                 // when it announced that it is leaving
	evacuatedAt  time.Time                 // when the order was given; zero if its availability zone is in use
	reports      []redwingshunt.LoadReport // newest last
}

// duration returns the time that a job takes in the batch.
func (e *engine) duration(j *job) time.Duration {
	return prefill + time.Duration(float64(j.request.tokens)/e.rate*float64(time.Second))
}

// served returns the number of tokens generated for a job so far.
func (e *engine) served(now time.Time, j *job) float64 {
	if j.started.IsZero() {
		return 0
	}
	return min(float64(j.request.tokens), max(0, (now.Sub(j.started)-prefill).Seconds()*e.rate))
}

// leaving reports whether the upstream has announced that it is leaving.
func (e *engine) leaving() bool { return !e.leavingSince.IsZero() }

// report returns the load as it was at the given lag before now.
func (e *engine) report(now time.Time, lag time.Duration) redwingshunt.LoadReport {
	e.reports = append(e.reports, redwingshunt.LoadReport{
		Running: len(e.running), Waiting: len(e.waiting), At: now,
	})
	if len(e.reports) > 16 {
		e.reports = e.reports[1:]
	}
	past := e.reports[0]
	for _, r := range e.reports {
		if now.Sub(r.At) >= lag {
			past = r
		}
	}
	return past
}

// request is a fake request of a client.
type request struct {
	ticket           uint64
	load             *Load
	tokens           int
	arrived          time.Time
	requiredCost     float64 // cost that all upstreams must serve until the account's fair share covers its queue
	offeredAtArrival float64 // cost that all upstreams could have given until it arrived
	node             *node
	waiting          bool
	job              *job
	engine           *engine
	charged          float64 // tokens charged so far
	avoid            []string
	sent             time.Time
}

// acceptsRequests reports whether the upstream accepts new requests.
func (e *engine) acceptsRequests() bool {
	return !e.crashed && !e.failing && !e.leaving() && e.evacuatedAt.IsZero()
}
