package redwingshunt

import (
	"errors"
	"fmt"
	"time"
)

// Outcome says what a caller may believe about its request.
type Outcome string

// The outcomes. OutcomeNotRun is only given when no byte of the request was
// handed to an upstream, or the upstream itself said that it had not begun.
const (
	OutcomeComplete   Outcome = "complete"
	OutcomeNotRun     Outcome = "not-run"
	OutcomeMayHaveRun Outcome = "may-have-run"
)

// Reason is the machine-readable cause of an outcome other than complete.
type Reason string

// The reasons given to callers. Each is listed in docs/CALLERS.md.
const (
	ReasonUnauthorized    Reason = "unauthorized"     // no account has this key
	ReasonUnknownService  Reason = "unknown-service"  // the document has no such service
	ReasonInvalidRequest  Reason = "invalid-request"  // the request does not parse
	ReasonTooLarge        Reason = "too-large"        // the body exceeds the limit of the service
	ReasonQueueFull       Reason = "queue-full"       // the queue of this account is full
	ReasonDeadline        Reason = "deadline"         // the deadline passed while the request waited
	ReasonNoUpstream      Reason = "no-upstream"      // no upstream of the service is alive
	ReasonNoConfiguration Reason = "no-configuration" // the instance has no document yet
	ReasonStopping        Reason = "stopping"         // the instance is shutting down
	ReasonKeyMissing      Reason = "key-missing"      // a non-idempotent request without Idempotency-Key
	ReasonKeyConflict     Reason = "key-conflict"     // the key was used with another body
	ReasonInProgress      Reason = "in-progress"      // the first request with this key still runs
	ReasonInterrupted     Reason = "interrupted"      // the run of this key was lost before its answer was kept
	ReasonNotKept         Reason = "not-kept"         // the request of this key ran; its answer is not kept
	ReasonNoQuorum        Reason = "no-quorum"        // the claim could not be committed
	ReasonClaimsFull      Reason = "claims-full"      // the space for claims is used up
	ReasonSuspect         Reason = "suspect"          // upstreams died while they ran this request
	ReasonUpstreamFailed  Reason = "upstream-failed"  // the upstream failed after it had taken the request
	ReasonUpstreamRefused Reason = "upstream-refused" // the upstream said that it had not begun
	ReasonStalled         Reason = "stalled"          // the answer made no progress in time
	ReasonRetryBudget     Reason = "retry-budget"     // the budget for retries is used up
	ReasonCancelled       Reason = "cancelled"        // the caller went away
	ReasonTruncated       Reason = "truncated"        // the answer ended early and could not be resumed
)

// RetrySoon is the Retry-After of refusals that end as soon as the fleet has
// settled, such as a missing leader.
const RetrySoon = time.Second

// OutcomeError is the error that ends a request. Every error that leaves a
// filter of the chain is one, or is treated as OutcomeMayHaveRun.
type OutcomeError struct {
	Outcome    Outcome
	Reason     Reason
	Status     int           // HTTP status towards the caller
	RetryAfter time.Duration // zero when the caller should not resend
	Detail     string        // one sentence for a person
}

// Error returns outcome, reason and detail in one line.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Outcome, e.Detail)
}

// NotRun returns an error for a request of which no upstream saw a byte.
func NotRun(reason Reason, status int, detail string) *OutcomeError {
	return &OutcomeError{Outcome: OutcomeNotRun, Reason: reason, Status: status, Detail: detail}
}

// MayHaveRun returns an error for a request that an upstream may have run.
func MayHaveRun(reason Reason, status int, detail string) *OutcomeError {
	return &OutcomeError{Outcome: OutcomeMayHaveRun, Reason: reason, Status: status, Detail: detail}
}

// After returns a copy of the error that tells the caller when to resend.
func (e *OutcomeError) After(d time.Duration) *OutcomeError {
	c := *e
	c.RetryAfter = d
	return &c
}

// OutcomeOf returns the outcome error within err. An error without one means
// that the request may have run.
func OutcomeOf(err error) *OutcomeError {
	var outcome *OutcomeError
	if errors.As(err, &outcome) {
		return outcome
	}
	return MayHaveRun(ReasonUpstreamFailed, 502, err.Error())
}
