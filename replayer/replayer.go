// Package replayer implements a filter that claims the idempotency key of a
// non-idempotent request before it is dispatched, and replays the kept answer to
// a resend.
//
// A request with a granted claim runs to completion even when its caller
// disconnects, so that a resend gets the answer. The answer is recorded before it
// is sent and is buffered until then, up to claimer.KeptLimitBytes. A stream is
// forwarded immediately and recorded when it ends.
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

// HeaderReplayed marks an answer that was produced by an earlier run of the request.
const HeaderReplayed = "Redwingshunt-Replayed"

const (
	// recordTimeout bounds how long an answer is held until it is recorded. After
	// it, the answer is sent unrecorded and recorded later.
	recordTimeout = 2 * time.Second
	// resendRetryAfter is the Retry-After of a resend while the first request runs.
	resendRetryAfter = time.Second
)

// Replayer claims idempotency keys and replays kept answers.
type Replayer struct {
	claimer redwingshunt.Claimer
}

// New returns a Replayer that uses a claimer.
func New(claimer redwingshunt.Claimer) *Replayer { return &Replayer{claimer: claimer} }

// Filter dispatches a non-idempotent request only when its claim is granted.
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
	returned := false
	defer func() {
		if !returned { // next panicked
			_ = r.claimer.Finish(ctx, e.Request, nil)
		}
	}()
	err := next.Serve(detached, e)
	returned = true
	e.Writer = writer
	e.Started = e.Started && recorder.forwarding
	recordCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	switch {
	case err == nil:
		// The answer is complete even when it could not be recorded.
		_ = r.claimer.Finish(recordCtx, e.Request, recorder.answer())
		e.Started = true
		recorder.forward()
		return nil
	case redwingshunt.OutcomeOf(err).Outcome == redwingshunt.OutcomeNotRun:
		_ = r.claimer.Abandon(recordCtx, e.Request)
	default:
		_ = r.claimer.Finish(recordCtx, e.Request, nil)
	}
	return err
}

// replay answers a request whose claim was not granted.
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
			"the first request with this key still runs").After(resendRetryAfter)
	case redwingshunt.ClaimConflict:
		return redwingshunt.NotRun(redwingshunt.ReasonKeyConflict, http.StatusUnprocessableEntity,
			"the key was used with another method, path or body")
	}
	return redwingshunt.MayHaveRun(redwingshunt.ReasonInterrupted, http.StatusConflict,
		"the run of this key was lost before its answer was recorded")
}

// send sends a kept answer to the caller.
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
