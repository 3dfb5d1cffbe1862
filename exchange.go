package redwingshunt

import (
	"context"
	"net/http"
	"time"
)

// Exchange is the state of one request as it passes through the filter chain.
// Each filter sets the fields that later filters need.
type Exchange struct {
	Writer   http.ResponseWriter
	HTTP     *http.Request
	Arrived  time.Time
	Snapshot *Snapshot // configuration in force when the request arrived
	Account  *Account  // set by the authenticator
	Service  *Service  // set by the classifier
	Request  *Request  // set by the classifier
	Started  bool      // a byte of the response has been sent to the caller
}

// Handler serves an exchange. A returned error has not been sent to the caller
// yet; see OutcomeOf.
type Handler interface {
	Serve(ctx context.Context, e *Exchange) error
}

// HandlerFunc adapts a function to the Handler interface.
type HandlerFunc func(ctx context.Context, e *Exchange) error

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, e *Exchange) error { return f(ctx, e) }

// Filter is middleware: it wraps the next handler of the chain.
type Filter func(next Handler) Handler

// Chain wraps last in the filters; the first filter is the outermost.
func Chain(last Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// Headers exchanged between callers, routers and upstreams.
const (
	HeaderOutcome     = "Redwingshunt-Outcome" // to callers: an Outcome
	HeaderReason      = "Redwingshunt-Reason"  // to callers: a Reason
	HeaderRequest     = "X-Request-Id"         // to upstreams, which echo it
	HeaderBegun       = "Redwingshunt-Begun"   // from upstreams: "no" if a refused request was not started
	HeaderResume      = "Redwingshunt-Resume"  // from upstreams: "yes" if the events of a stream are numbered and it can be resumed
	HeaderLastEvent   = "Last-Event-ID"        // to upstreams: number of the last event received, to resume after it
	HeaderResumes     = "Redwingshunt-Resumes" // from callers: ID of the request that began the stream which this one takes up
	HeaderIdempotency = "Idempotency-Key"      // from callers
)
