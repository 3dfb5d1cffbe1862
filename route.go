package redwingshunt

import (
	"time"
)

// RouteID names a route, as the document spells it.
type RouteID string

// RouteKind tells what may be repeated.
type RouteKind string

// The kinds of route.
const (
	RouteSafe   RouteKind = "safe"   // idempotent requests
	RouteOnce   RouteKind = "once"   // non-idempotent requests
	RouteStream RouteKind = "stream" // answers of numbered events
)

// Target is a service that a route sends requests to.
type Target struct {
	Service ServiceID
	Weight  int // share of the requests, against the sum over the targets
}

// Route sends the requests of a host under a path prefix to services.
type Route struct {
	Name      RouteID
	Host      string // without a port, in lower case
	Prefix    string // begins and ends with a slash
	Kind      RouteKind
	Limit     time.Duration // longest time that a caller is kept waiting
	Aim       time.Duration // latency objective; of a stream, until its first event
	Pause     time.Duration // longest pause between two events that is on time
	Rank      int           // urgency; zero is the most urgent
	Targets   []Target
	Attempts  int  // upstreams that one request may be sent to, at most
	Public    bool // no key is asked for
	Prompt    bool // requests tell the parts of their prompt
	Resumable bool // a stream may be resumed after its last event
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// RequestLimits bound what a caller may send. A zero is no limit.
type RequestLimits struct {
	Header     int64         // bytes
	Body       int64         // bytes
	HeaderTime time.Duration // for sending the header
	Idle       time.Duration // without a request on an open connection
	Tokens     int64         // tokens a second that all engines together produce
}

// Engine describes what the upstreams of a service can hold.
type Engine struct {
	Slots  int   // requests in one batch
	Memory int64 // tokens, of running requests and kept prompt parts
}

// Part is a run of prompt tokens that requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// Placement asks for an upstream for one attempt of a request.
type Placement struct {
	Request  string // for logs
	Service  ServiceID
	Account  AccountID
	Route    *Route
	Prompt   []Part // in order; the last one belongs to the request or its session
	Output   int64  // tokens that are generated at most; zero when unknown
	Attempt  int    // from 1
	Deadline time.Time
	Avoid    Set[UpstreamID]
}

// Tokens returns the length of the prompt.
func (p *Placement) Tokens() int64 {
	total := int64(0)
	for _, part := range p.Prompt {
		total += part.Tokens
	}
	return total
}

// ServiceTokens returns what a request counts for in the shares of accounts: each
// token of its prompt once, and each one generated twice.
func ServiceTokens(prompt, output int64) int64 { return prompt + 2*output }

// PlacementEnd tells how an attempt ended.
type PlacementEnd uint8

// The ends of an attempt.
const (
	EndComplete PlacementEnd = iota // the whole answer came
	EndRefused                      // the upstream had not begun
	EndFailed                       // the upstream broke the attempt, or answered with an error
	EndLost                         // the upstream could not be reached or went silent
	EndLeft                         // the caller went away
)

// Placed is an upstream that an attempt may be sent to.
type Placed struct {
	Ticket    uint64
	Upstream  Upstream
	Born      time.Time     // start of its incarnation
	Predicted time.Duration // until the first event
}

// Placer chooses upstreams for attempts. The error of Place is an OutcomeError
// that says not run.
type Placer interface {
	Place(p *Placement) (Placed, error)
	// Check returns the error that Place would return for the first attempt of
	// a request, or nil; a request that is refused so is not placed.
	Check(p *Placement) error
	// Refused notes a request of an account, for so many tokens, that was refused
	// before Place since the instance serves as many requests as it carries.
	Refused(account AccountID, tokens int64)
	// First notes that the first byte of the answer, or its first event, came.
	First(ticket uint64)
	// End notes the end of an attempt; each Place without an error is followed
	// by one.
	End(ticket uint64, end PlacementEnd)
	// Spare keeps new work from the upstream of an attempt for a while, since it
	// asks for that.
	Spare(ticket uint64, pause time.Duration)
	// Holds reports whether an attempt that has not been sent yet still may be:
	// its upstream takes new work, and it was chosen a moment ago.
	Holds(ticket uint64) bool
	// Repeat asks whether the fleet's budget has room for one more send of a
	// request to a service, and takes it.
	Repeat(service ServiceID) bool
}

// UpstreamState is what an upstream tells of itself.
type UpstreamState struct {
	Upstream
	Born     time.Time     // start of its incarnation; zero when it does not tell
	Sequence uint64        // grows with each announcement of an incarnation; not used without Born
	TTL      time.Duration // how long it holds without another announcement; zero is the fleet's own time
	Leaving  bool          // it takes no new work
}

// Roll takes announcements of upstreams that number their incarnations.
type Roll interface {
	// Enroll takes an announcement; an older one than known changes nothing.
	Enroll(s UpstreamState)
	// Dismiss stops new work for an upstream at once: for its incarnation that
	// began at born, or for any when born is zero.
	Dismiss(id UpstreamID, born time.Time)
}

// Replacement answers a change of the whole document under the rule that the
// highest version is in force.
type Replacement struct {
	Findings Findings // the document is invalid, and not accepted
	Version  uint64   // in force after the change
}
