package redwingshunt

import (
	"errors"
	"fmt"
	"time"
)

// Outcome tells a caller whether its request was executed.
type Outcome string

// The outcomes. OutcomeNotRun is used only if no byte of the request was sent to
// an upstream, or the upstream itself reported that it had not started.
const (
	OutcomeComplete   Outcome = "complete"
	OutcomeNotRun     Outcome = "not-run"
	OutcomeMayHaveRun Outcome = "may-have-run"
)

// Reason is the machine-readable cause of an outcome other than OutcomeComplete.
type Reason string

// The reasons that callers receive. docs/CALLERS.md lists each of them.
const (
	ReasonUnauthorized    Reason = "unauthorized"     // no account has this key
	ReasonUnknownService  Reason = "unknown-service"  // the document does not define the service
	ReasonInvalidRequest  Reason = "invalid-request"  // the request cannot be parsed
	ReasonTooLarge        Reason = "too-large"        // the body exceeds the limit of the service
	ReasonQueueFull       Reason = "queue-full"       // the queue of this account is full
	ReasonDeadline        Reason = "deadline"         // the deadline passed while the request waited
	ReasonNoUpstream      Reason = "no-upstream"      // no upstream of the service is alive
	ReasonNoRegion        Reason = "no-region"        // no upstream in the allowed regions is usable
	ReasonCold            Reason = "cold"             // all upstreams are cold and get as many requests as they tolerate
	ReasonNoConfiguration Reason = "no-configuration" // the instance has no document yet
	ReasonStopping        Reason = "stopping"         // the instance is shutting down
	ReasonKeyMissing      Reason = "key-missing"      // a non-idempotent request without Idempotency-Key
	ReasonKeyConflict     Reason = "key-conflict"     // the key was used with a different body
	ReasonInProgress      Reason = "in-progress"      // the first request with this key is still running
	ReasonInterrupted     Reason = "interrupted"      // the request was lost before its response was stored
	ReasonNotKept         Reason = "not-kept"         // the request ran, but its response was not stored
	ReasonNoQuorum        Reason = "no-quorum"        // the claim could not be committed
	ReasonClaimsFull      Reason = "claims-full"      // the space for claims is exhausted
	ReasonSuspect         Reason = "suspect"          // upstreams died while running this request
	ReasonUpstreamFailed  Reason = "upstream-failed"  // the upstream failed after it accepted the request
	ReasonUpstreamRefused Reason = "upstream-refused" // the upstream reported that it had not started the request
	ReasonStalled         Reason = "stalled"          // the response made no progress in time
	ReasonRetryBudget     Reason = "retry-budget"     // the retry budget is exhausted
	ReasonCancelled       Reason = "cancelled"        // the caller disconnected
	ReasonOriginUnknown   Reason = "origin-unknown"   // it is not known which version of the upstreams began the stream
	ReasonTruncated       Reason = "truncated"        // the response ended early and could not be resumed
)

// RetrySoon is the Retry-After value for refusals with a short-lived cause, such
// as a missing leader.
const RetrySoon = time.Second

// OutcomeError is the error that ends a request. Any other error that a filter
// returns is treated as OutcomeMayHaveRun.
type OutcomeError struct {
	Outcome    Outcome
	Reason     Reason
	Status     int           // HTTP status for the caller
	RetryAfter time.Duration // zero if the caller should not retry
	Detail     string        // one human-readable sentence
}

// Error returns reason, outcome and detail on one line.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Outcome, e.Detail)
}

// NotRun returns an error for a request of which no upstream received a byte.
func NotRun(reason Reason, status int, detail string) *OutcomeError {
	return &OutcomeError{Outcome: OutcomeNotRun, Reason: reason, Status: status, Detail: detail}
}

// MayHaveRun returns an error for a request that an upstream may have run.
func MayHaveRun(reason Reason, status int, detail string) *OutcomeError {
	return &OutcomeError{Outcome: OutcomeMayHaveRun, Reason: reason, Status: status, Detail: detail}
}

// After returns a copy of the error that asks the caller to retry after d.
func (e *OutcomeError) After(d time.Duration) *OutcomeError {
	c := *e
	c.RetryAfter = d
	return &c
}

// OutcomeOf returns the OutcomeError in err's chain. If there is none, it returns
// one with OutcomeMayHaveRun.
func OutcomeOf(err error) *OutcomeError {
	var outcome *OutcomeError
	if errors.As(err, &outcome) {
		return outcome
	}
	return MayHaveRun(ReasonUpstreamFailed, 502, err.Error())
}
