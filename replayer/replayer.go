// Package replayer is the filter that claims the key of a non-idempotent
// request before the request goes on, and replays the kept answer to a resend.
//
// Once its claim is granted, a request no longer depends on its caller: it runs
// to its end when the caller goes away, so that a resend gets the answer. The
// answer is recorded before it is sent, and held back for that up to
// claimer.KeptLimit; a stream is passed on as it comes and recorded at its end.
//
// # Usage
//
//	r := replayer.New(guarantor)
//	chain := redwingshunt.Chain(last, filters..., r.Filter)
package replayer

import (
	"context"
	"net/http"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// HeaderReplayed marks an answer that an earlier run of the request gave.
const HeaderReplayed = "Redwingshunt-Replayed"

const (
	// recordWait is how long an answer is held back until it is recorded. It
	// is sent all the same after that, and recorded later.
	recordWait = 2 * time.Second
	// resendAfter is told to a resend whose first request still runs.
	resendAfter = time.Second
)

// Replayer claims keys.
type Replayer struct {
	claimer redwingshunt.Claimer
}

// New returns a replayer over a claimer.
func New(claimer redwingshunt.Claimer) *Replayer { return &Replayer{claimer: claimer} }

// Filter lets a non-idempotent request pass only with a granted claim.
func (r *Replayer) Filter(next redwingshunt.Handler) redwingshunt.Handler {
	return redwingshunt.HandlerFunc(func(ctx context.Context, e *redwingshunt.Exchange) error {
		if !e.Request.Once {
			return next.Serve(ctx, e)
		}
		result, err := r.claimer.Claim(ctx, e.Request)
		if err != nil {
			return err
		}
		if result.State != redwingshunt.ClaimGranted {
			return replay(e, result)
		}
		return r.run(context.WithoutCancel(ctx), next, e)
	})
}

// run runs a request with a granted claim and records how it ended.
func (r *Replayer) run(ctx context.Context, next redwingshunt.Handler, e *redwingshunt.Exchange) error {
	writer := e.Writer
	recorder := newRecorder(writer, e.Request.Stream)
	e.Writer = recorder
	detached, release := redwingshunt.WithoutCaller(e.HTTP.Context())
	defer release()
	e.HTTP = e.HTTP.WithContext(detached)
	ended := false
	defer func() {
		if !ended { // a panic passes
			_ = r.claimer.Finish(ctx, e.Request, nil)
		}
	}()
	err := next.Serve(detached, e)
	ended = true
	e.Writer = writer
	e.Started = e.Started && recorder.passing
	record, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	switch {
	case err == nil:
		// Without a record the answer is whole all the same.
		_ = r.claimer.Finish(record, e.Request, recorder.answer())
		e.Started = true
		recorder.pass()
		return nil
	case redwingshunt.OutcomeOf(err).Outcome == redwingshunt.OutcomeNotRun:
		_ = r.claimer.Abandon(record, e.Request)
	default:
		_ = r.claimer.Finish(record, e.Request, nil)
	}
	return err
}

// replay answers a resend.
func replay(e *redwingshunt.Exchange, result redwingshunt.ClaimResult) error {
	switch result.State {
	case redwingshunt.ClaimAnswered:
		if result.Answer == nil {
			return redwingshunt.MayHaveRun(redwingshunt.ReasonNotKept, http.StatusConflict,
				"the request of this key ran, and its answer is not kept")
		}
		send(e, result.Answer)
		return nil
	case redwingshunt.ClaimInProgress:
		return redwingshunt.MayHaveRun(redwingshunt.ReasonInProgress, http.StatusConflict,
			"the first request with this key still runs").After(resendAfter)
	case redwingshunt.ClaimConflict:
		return redwingshunt.NotRun(redwingshunt.ReasonKeyConflict, http.StatusUnprocessableEntity,
			"the key was used with another method, path or body")
	}
	return redwingshunt.MayHaveRun(redwingshunt.ReasonInterrupted, http.StatusConflict,
		"the run of this key was lost before its answer was recorded")
}

// send sends a kept answer.
func send(e *redwingshunt.Exchange, a *redwingshunt.Answer) {
	header := e.Writer.Header()
	for name, values := range a.Header {
		header[name] = values
	}
	header.Set(HeaderReplayed, "true")
	header.Set(redwingshunt.HeaderOutcome, string(redwingshunt.OutcomeComplete))
	e.Started = true
	e.Writer.WriteHeader(a.Status)
	_, _ = e.Writer.Write(a.Body)
}
