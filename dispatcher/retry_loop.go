package dispatcher

import (
	"context"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/quarantiner"
	"github.com/redwingshunt/redwingshunt/retrier"
)

// retryLoop is the state of one request across its attempts.
type retryLoop struct {
	dispatcher   *Dispatcher
	exchange     *redwingshunt.Exchange
	avoid        redwingshunt.Set[redwingshunt.UpstreamID]
	notBegun     int  // attempts that did not run
	failures     int  // attempts that may have run
	upstreamLost bool // an upstream failed while it may have run the request
	last         *attempt
}

// attempt admits the request, waits for a grant and sends the request once.
func (r *retryLoop) attempt(ctx context.Context) error {
	request := r.exchange.Request
	options := r.dispatcher.options
	r.last = nil
	if err := options.Suspects.Admit(ctx, request.Fingerprint); err != nil {
		return err
	}
	grant, err := r.acquire(ctx)
	if err != nil {
		options.Suspects.Ended(request.Fingerprint)
		return err
	}
	r.last = &attempt{dispatcher: r.dispatcher, exchange: r.exchange, grant: grant, start: time.Now()}
	err = r.last.execute()
	r.report(err)
	return err
}

// report records in Suspects how the attempt ended.
func (r *retryLoop) report(err error) {
	fingerprint := r.exchange.Request.Fingerprint
	suspects := r.dispatcher.options.Suspects
	switch {
	case err == nil:
		suspects.Completed(fingerprint)
	case r.last.failedWhileRunning(err):
		r.upstreamLost = true
		suspects.Lost(fingerprint, r.last.grant.Upstream.Key())
	default:
		suspects.Ended(fingerprint)
	}
}

// retryDelay returns the delay before the next attempt, or the error that ends
// the request.
func (r *retryLoop) retryDelay(err error) (time.Duration, error) {
	outcome := redwingshunt.OutcomeOf(err)
	e := r.exchange
	if r.last == nil || outcome.Reason == redwingshunt.ReasonCancelled || e.HTTP.Context().Err() != nil {
		return 0, outcome
	}
	upstream := r.last.grant.Upstream.ID
	r.avoid.Add(upstream)
	a := retrier.Attempt{
		Account:           e.Account.Name,
		Once:              e.Request.Once,
		Cause:             r.last.cause(outcome),
		EarlierMayHaveRun: r.failures > 0,
		ResponseStarted:   e.Started,
		Deadline:          e.Request.Deadline,
	}
	if outcome.Outcome == redwingshunt.OutcomeNotRun {
		r.notBegun++
		a.Number, a.Retries = r.notBegun, maxAttemptsNotBegun-1
	} else {
		r.failures++
		a.Number, a.Retries = r.failures, e.Service.Retries
	}
	decision := r.dispatcher.decide(a)
	r.dispatcher.options.Logger.Debug("attempt failed", "request", e.Request.ID,
		"upstream", string(upstream), "error", outcome.Error(), "retry", decision.Kind != retrier.Fail)
	if decision.Kind == retrier.Fail {
		return 0, decision.Outcome
	}
	return decision.After, nil
}

// callerError returns the error to send to the caller. Its outcome is never
// not-run when an earlier attempt may have run. After the loss of an upstream it
// waits until other instances know of the suspect, so that they hold back a retry
// by the caller.
func (r *retryLoop) callerError(err error) error {
	outcome := redwingshunt.OutcomeOf(err)
	if r.failures > 0 && outcome.Outcome == redwingshunt.OutcomeNotRun {
		adjusted := *outcome
		adjusted.Outcome = redwingshunt.OutcomeMayHaveRun
		outcome = &adjusted
	}
	if r.upstreamLost {
		redwingshunt.Pause(r.exchange.HTTP.Context(), quarantiner.NoticeDelay)
	}
	return outcome
}

// noSuspects is a redwingshunt.Suspects that admits every request.
type noSuspects struct{}

func (noSuspects) Admit(context.Context, redwingshunt.Fingerprint) error   { return nil }
func (noSuspects) Lost(redwingshunt.Fingerprint, redwingshunt.UpstreamKey) {}
func (noSuspects) Suspected(redwingshunt.Fingerprint) bool                 { return false }
func (noSuspects) Completed(redwingshunt.Fingerprint)                      {}
func (noSuspects) Ended(redwingshunt.Fingerprint)                          {}
