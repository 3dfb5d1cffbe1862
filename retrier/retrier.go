// Package retrier decides what follows a failed attempt on an upstream: another
// attempt, resuming a stream, or a failure with an exact outcome.
//
//   - The outcome is "not run" only if no attempt sent a byte to an upstream, or
//     each upstream that got one reported that it had not begun.
//   - A non-idempotent request is retried only while it is "not run".
//   - An idempotent request is retried until a byte of the response has been sent
//     to the caller, and after that only if the upstream can resume at an offset.
//   - Retries draw on a budget of the account and one of the instance, each
//     filled by first attempts, so that retries cannot multiply the load in an
//     outage. The budgets of the instances add up to that of the fleet.
//
// Delays grow exponentially with jitter. The first retry goes to another
// upstream; the caller of this package avoids those already tried.
//
// # Usage
//
//	policy := retrier.New(document.Fleet.Budget, rand.New(rand.NewPCG(1, 2)))
//	policy.First(now, account)
//	decision := policy.Decide(now, attempt)
//	switch decision.Kind {
//	case retrier.Retry: // wait decision.After, then dispatch again
//	case retrier.Resume: // the same, from the offset of the stream
//	case retrier.Fail: // return decision.Outcome to the caller
//	}
package retrier

import (
	"math/rand/v2"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// Cause is how an attempt failed.
type Cause int

// The causes.
const (
	Unreachable Cause = iota // no byte of the request was sent
	Refused                  // the upstream reported that it had not begun
	Lost                     // the upstream failed after it had received a byte
	Stalled                  // the upstream made no progress for too long
	Malformed                // the response was malformed or belongs to another request
)

// Attempt is the state of a request after a failed attempt.
type Attempt struct {
	Account           redwingshunt.AccountID
	Once              bool
	Cause             Cause
	EarlierMayHaveRun bool // an earlier attempt may have run
	Number            int  // of this attempt, from 1
	Retries           int  // attempts allowed after the first
	ResponseStarted   bool // a byte of the response was sent to the caller
	Resumable         bool // the stream can be resumed where it stopped
	Deadline          time.Time
}

// Kind is what to do next.
type Kind int

// The kinds of decision.
const (
	Fail Kind = iota
	Retry
	Resume
)

// Decision is the result of Decide.
type Decision struct {
	Kind    Kind
	After   time.Duration              // with Retry and Resume
	Outcome *redwingshunt.OutcomeError // with Fail
}

const (
	baseDelay = 10 * time.Millisecond
	maxDelay  = time.Second
	// refusedRetryAfter is the Retry-After of a refusal.
	refusedRetryAfter = time.Second
)

// Policy decides on retries. It is not safe for concurrent use.
type Policy struct {
	budget *budget
	rand   *rand.Rand
}

// New returns a policy that allows retries as a percentage of first attempts.
func New(percent int, source *rand.Rand) *Policy {
	return &Policy{budget: newBudget(percent), rand: source}
}

// SetPercent changes the percentage.
func (p *Policy) SetPercent(percent int) { p.budget.percent = percent }

// First records the first attempt of a request.
func (p *Policy) First(now time.Time, account redwingshunt.AccountID) {
	p.budget.deposit(now, account)
}

// Decide returns what follows a failed attempt.
func (p *Policy) Decide(now time.Time, a Attempt) Decision {
	mayHaveRun := a.EarlierMayHaveRun || a.ResponseStarted || a.Cause != Unreachable && a.Cause != Refused
	kind := Retry
	switch {
	case a.ResponseStarted && !a.Resumable:
		return fail(redwingshunt.MayHaveRun(redwingshunt.ReasonTruncated, 502,
			"the answer ended early and could not be resumed"))
	case a.ResponseStarted:
		kind = Resume
	case a.Once && mayHaveRun:
		return fail(failureOutcome(a.Cause, mayHaveRun))
	}
	if a.Number > a.Retries {
		return fail(exhaustedOutcome(a, mayHaveRun))
	}
	after := p.delay(a.Number)
	if !a.Deadline.IsZero() && now.Add(after).After(a.Deadline) {
		return fail(newOutcome(redwingshunt.ReasonDeadline, 504, mayHaveRun,
			"the deadline leaves no time for another attempt"))
	}
	if !p.budget.withdraw(now, a.Account) {
		return fail(newOutcome(redwingshunt.ReasonRetryBudget, 503, mayHaveRun,
			"the budget for retries is used up").After(refusedRetryAfter))
	}
	return Decision{Kind: kind, After: after}
}

// delay returns the backoff before the attempt after attempt n: half of it fixed,
// half random, doubled each time up to maxDelay.
func (p *Policy) delay(n int) time.Duration {
	d := baseDelay << min(n-1, 10)
	d = min(d, maxDelay)
	return d/2 + time.Duration(p.rand.Int64N(int64(d/2)+1))
}

// exhaustedOutcome returns the outcome if no attempt is left.
func exhaustedOutcome(a Attempt, mayHaveRun bool) *redwingshunt.OutcomeError {
	if a.ResponseStarted {
		return redwingshunt.MayHaveRun(redwingshunt.ReasonTruncated, 502,
			"the answer ended early and could not be resumed")
	}
	return failureOutcome(a.Cause, mayHaveRun)
}

// failureOutcome returns the outcome of a failed attempt.
func failureOutcome(c Cause, mayHaveRun bool) *redwingshunt.OutcomeError {
	switch c {
	case Unreachable:
		return newOutcome(redwingshunt.ReasonNoUpstream, 503, mayHaveRun,
			"no upstream could be reached").After(refusedRetryAfter)
	case Refused:
		return newOutcome(redwingshunt.ReasonUpstreamRefused, 503, mayHaveRun,
			"the upstream refused the request before it began").After(refusedRetryAfter)
	case Stalled:
		return newOutcome(redwingshunt.ReasonStalled, 504, mayHaveRun,
			"the upstream made no progress in time")
	case Lost, Malformed:
	}
	return newOutcome(redwingshunt.ReasonUpstreamFailed, 502, mayHaveRun,
		"the upstream failed while it had the request")
}

// newOutcome returns an outcome error of either kind.
func newOutcome(
	r redwingshunt.Reason, status int, mayHaveRun bool, detail string,
) *redwingshunt.OutcomeError {
	if mayHaveRun {
		return redwingshunt.MayHaveRun(r, status, detail)
	}
	return redwingshunt.NotRun(r, status, detail)
}

// fail returns the decision to fail.
func fail(o *redwingshunt.OutcomeError) Decision { return Decision{Kind: Fail, Outcome: o} }
