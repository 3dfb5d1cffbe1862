package redwingshunt

import (
	"context"
	"net/http"
	"time"
)

// Exchange is one request of a caller on its way through the chain. Each filter
// fills in what the next ones need.
type Exchange struct {
	Writer   http.ResponseWriter
	HTTP     *http.Request
	Arrived  time.Time
	Snapshot *Snapshot // configuration in force when the request arrived
	Account  *Account  // set by the authenticator
	Service  *Service  // set by the classifier
	Request  *Request  // set by the classifier
	Started  bool      // a byte of the answer has gone to the caller
}

// Handler serves an exchange. An error it returns has not been told to the
// caller yet; see OutcomeOf.
type Handler interface {
	Serve(ctx context.Context, e *Exchange) error
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(ctx context.Context, e *Exchange) error

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, e *Exchange) error { return f(ctx, e) }

// Filter puts one concern in front of the handlers behind it.
type Filter func(next Handler) Handler

// Chain joins filters in the order given, in front of last.
func Chain(last Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// Headers between callers, routers and upstreams.
const (
	HeaderOutcome     = "Redwingshunt-Outcome" // to callers: an Outcome
	HeaderReason      = "Redwingshunt-Reason"  // to callers: a Reason
	HeaderRequest     = "X-Request-Id"         // to upstreams, and echoed by them
	HeaderBegun       = "Redwingshunt-Begun"   // from upstreams: "no" when a refused request had not begun
	HeaderResume      = "Redwingshunt-Resume"  // from upstreams: "yes" when the events of a stream are numbered and can be resumed
	HeaderLastEvent   = "Last-Event-ID"        // to upstreams: number of the last event that came, to resume after it
	HeaderIdempotency = "Idempotency-Key"      // from callers
)
