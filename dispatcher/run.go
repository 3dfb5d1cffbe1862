package dispatcher

import (
	"context"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/quarantiner"
	"github.com/redwingshunt/redwingshunt/retrier"
)

// run is a request over all its attempts.
type run struct {
	dispatcher *Dispatcher
	exchange   *redwingshunt.Exchange
	avoid      redwingshunt.Set[redwingshunt.UpstreamID]
	notBegun   int  // attempts that handed over no byte
	failures   int  // attempts that may have run
	lost       bool // an upstream was lost
	last       *attempt
}

// attempt admits the request, waits for a grant and runs it once.
func (r *run) attempt(ctx context.Context) error {
	request := r.exchange.Request
	options := r.dispatcher.options
	r.last = nil
	if err := options.Suspects.Admit(ctx, request.Fingerprint); err != nil {
		return err
	}
	grant, err := options.Scheduler.Acquire(ctx, request, r.avoid)
	if err != nil {
		options.Suspects.Ended(request.Fingerprint)
		return err
	}
	r.last = &attempt{dispatcher: r.dispatcher, exchange: r.exchange, grant: grant, start: time.Now()}
	err = r.last.do()
	r.report(err)
	return err
}

// report tells the suspects how the attempt ended.
func (r *run) report(err error) {
	f := r.exchange.Request.Fingerprint
	suspects := r.dispatcher.options.Suspects
	switch {
	case err == nil:
		suspects.Completed(f)
	case r.last.killed(err):
		r.lost = true
		suspects.Lost(f, r.last.grant.Upstream.Key())
	default:
		suspects.Ended(f)
	}
}

// next returns when the request is tried again, or the error to tell.
func (r *run) next(err error) (time.Duration, error) {
	outcome := redwingshunt.OutcomeOf(err)
	e := r.exchange
	if r.last == nil || outcome.Reason == redwingshunt.ReasonCancelled || e.HTTP.Context().Err() != nil {
		return 0, outcome
	}
	upstream := r.last.grant.Upstream.ID
	r.avoid.Add(upstream)
	a := retrier.Attempt{
		Account:  e.Account.Name,
		Once:     e.Request.Once,
		Cause:    r.last.cause(outcome),
		Touched:  r.failures > 0,
		Answered: e.Started,
		Deadline: e.Request.Deadline,
	}
	if outcome.Outcome == redwingshunt.OutcomeNotRun {
		r.notBegun++
		a.Number, a.Retries = r.notBegun, attemptsNotBegun-1
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

// tell returns the error that the caller is told. It never says not run when an
// earlier attempt may have run, and it comes after other instances have heard of
// a lost upstream, so that a resend meets the suspect.
func (r *run) tell(err error) error {
	outcome := redwingshunt.OutcomeOf(err)
	if r.failures > 0 && outcome.Outcome == redwingshunt.OutcomeNotRun {
		told := *outcome
		told.Outcome = redwingshunt.OutcomeMayHaveRun
		outcome = &told
	}
	if r.lost {
		redwingshunt.Pause(r.exchange.HTTP.Context(), quarantiner.Settle)
	}
	return outcome
}

// trusting is a redwingshunt.Suspects that suspects nothing.
type trusting struct{}

func (trusting) Admit(context.Context, redwingshunt.Fingerprint) error   { return nil }
func (trusting) Lost(redwingshunt.Fingerprint, redwingshunt.UpstreamKey) {}
func (trusting) Completed(redwingshunt.Fingerprint)                      {}
func (trusting) Ended(redwingshunt.Fingerprint)                          {}
