package redwingshunt

import (
	"time"
)

// RouteID is the name of a route in the document.
type RouteID string

// RouteKind determines whether requests of a route may be retried.
type RouteKind string

// The kinds of route.
const (
	RouteSafe   RouteKind = "safe"   // idempotent requests
	RouteOnce   RouteKind = "once"   // non-idempotent requests
	RouteStream RouteKind = "stream" // streams of numbered events
)

// Target is a service that receives requests of a route.
type Target struct {
	Service ServiceID
	Weight  int // share of the requests, relative to the sum over all targets
}

// Route maps requests for a host and path prefix to services.
type Route struct {
	Name      RouteID
	Host      string // without a port, in lower case
	Prefix    string // starts and ends with a slash
	Kind      RouteKind
	Limit     time.Duration // maximum time that a caller waits
	Aim       time.Duration // latency objective; for a stream, until its first event
	Pause     time.Duration // objective for the interval between two events
	Rank      int           // priority; zero is the highest
	Targets   []Target
	Attempts  int  // maximum number of upstreams that one request is sent to
	Public    bool // no key is required
	Prompt    bool // requests list the parts of their prompt
	Resumable bool // a stream may be resumed after the last event received

	Regions []RegionID `yaml:"regions,omitempty"` // in which its requests may be served; empty allows all
}

// Idempotent reports whether requests of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// RequestLimits bounds what callers may send. Zero means no limit.
type RequestLimits struct {
	Header     int64         // bytes
	Body       int64         // bytes
	HeaderTime time.Duration // to receive the header
	Idle       time.Duration // without a request on a keep-alive connection
	Tokens     int64         // tokens per second that all engines together generate
}

// Engine describes the capacity of each upstream of a service.
type Engine struct {
	Slots  int   // requests in one batch
	Memory int64 // tokens, of running requests and cached prompt parts
}

// Part is a sequence of prompt tokens that requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// Placement is a request for an upstream for one attempt.
type Placement struct {
	Request  string // for logs
	Service  ServiceID
	Account  AccountID
	Route    *Route
	Prompt   []Part // in order; the last one belongs to the request or its session
	Output   int64  // maximum tokens to generate; zero if unknown
	Attempt  int    // from 1
	Deadline time.Time
	Avoid    Set[UpstreamID]
	Version  Option[string] // the only software version that continues the stream; none for a request that begins
	Regions  AllowedRegions // of the upstreams that may serve the request
	Warm     bool           // no cold upstream: the attempt is not needed for an answer
}

// SharedPrompt names those parts of a prompt that other requests may have, too: all
// but the last one.
type SharedPrompt struct {
	Service ServiceID
	Account AccountID
	Parts   []string // in order
}

// Tokens returns the length of the prompt in tokens.
func (p *Placement) Tokens() int64 {
	total := int64(0)
	for _, part := range p.Prompt {
		total += part.Tokens
	}
	return total
}

// ServiceTokens returns the service that a request counts against the share of
// its account: prompt tokens once, generated tokens twice.
func ServiceTokens(prompt, output int64) int64 { return prompt + 2*output }

// PlacementEnd is the way an attempt ended.
type PlacementEnd uint8

// The ways an attempt can end.
const (
	EndComplete PlacementEnd = iota // the whole response was received
	EndRefused                      // the upstream had not started the request
	EndFailed                       // the upstream aborted the attempt or responded with an error
	EndLost                         // the upstream was unreachable or stopped responding
	EndLeft                         // the caller disconnected
	EndStalled                      // the upstream was silent and is replaced; it may go on
	EndSlow                         // the upstream is slow and a hedge replaced it
)

// Placed is the upstream chosen for an attempt.
type Placed struct {
	Ticket    uint64
	Upstream  Upstream
	Born      time.Time     // start of the upstream's incarnation
	Predicted time.Duration // predicted time until the first event
	Wait      time.Duration // part of Predicted before the upstream begins with the request
	Blind     bool          // the loads of other instances are not known, so Wait may be longer
}

// Placer chooses upstreams for attempts.
type Placer interface {
	// Place chooses an upstream. Its error is an OutcomeError with
	// OutcomeNotRun.
	Place(p *Placement) (Placed, error)
	// Check returns the error that Place would return for the first attempt of
	// a request, or nil. A request that it refuses must not be placed.
	Check(p *Placement) error
	// Refused records a request of an account, with its tokens, that was refused
	// before Place because the instance is at its limit of concurrent requests.
	Refused(account AccountID, tokens int64)
	// First records that the first byte or event of the response was received.
	First(ticket uint64)
	// Report records the load that a response of the attempt's upstream reported.
	Report(ticket uint64, load ReportedLoad)
	// End records the end of an attempt. It must be called once for each
	// successful Place.
	End(ticket uint64, end PlacementEnd)
	// Pause stops new requests to the upstream of an attempt for the duration
	// that the upstream asked for.
	Pause(ticket uint64, pause time.Duration)
	// StillValid reports whether an attempt that has not been sent yet may still be
	// sent: its upstream accepts new requests and was chosen only recently.
	StillValid(ticket uint64) bool
	// AllowRetry takes one retry for a service from the fleet's retry budget and
	// reports whether the budget allowed it.
	AllowRetry(service ServiceID) bool
}

// UpstreamState is the state that an upstream announces.
type UpstreamState struct {
	Upstream
	Born     time.Time     // start of its incarnation; zero if not announced
	Sequence uint64        // increases with each announcement of an incarnation; unused if Born is zero
	TTL      time.Duration // time until the announcement expires unless renewed; zero means the fleet's default
	Leaving  bool          // it accepts no new requests
	Cold     time.Time     // until when it is cold and tolerates only the ramp of its service; zero if it is warm

	ColdUnknown bool // it is not known whether the upstream is cold; Cold is zero
}

// Roll registers upstreams whose announcements carry their incarnation.
type Roll interface {
	// Enroll processes an announcement; one older than the last known is
	// ignored.
	Enroll(s UpstreamState)
	// Dismiss immediately stops new requests to an upstream: to the incarnation
	// that started at born, or to any incarnation if born is zero.
	Dismiss(id UpstreamID, born time.Time)
}

// Replacement is the response to a change of the whole document, where the
// highest version is in force.
type Replacement struct {
	Findings Findings // errors in the document; it is not accepted if there are any
	Version  uint64   // in force after the change
}

// Evacuation is the response to an order to start or to end the evacuation of an
// availability zone.
type Evacuation struct {
	Revision Revision `json:"revision"` // of the evacuations; independent of that of the document
	Zones    []ZoneID `json:"zones"`    // evacuated after the order
}
