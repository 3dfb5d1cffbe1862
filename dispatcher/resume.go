package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/retrier"
	"github.com/redwingshunt/redwingshunt/splitter"
)

// errMissingEventID ends a stream that is declared resumable and has an event
// without an ID.
var errMissingEventID = errors.New("an event of a resumable stream has no number")

// isResumable reports whether the upstream numbers the events of the stream from
// zero and can continue it after a given event.
func isResumable(response *http.Response) bool {
	return response.StatusCode == http.StatusOK && isEventStream(response) &&
		strings.EqualFold(response.Header.Get(redwingshunt.HeaderResume), "yes")
}

// accept reports whether an event is passed on. One that was passed on before is
// skipped; a gap or a missing ID is an error.
func (a *attempt) accept(event []byte) (bool, error) {
	if !a.resumable {
		return true, nil
	}
	offset, ok := splitter.Number(event)
	if !ok {
		return false, errMissingEventID
	}
	return a.position.Accept(offset)
}

// mayResume reports whether the stream was truncated and the caller still waits.
func (a *attempt) mayResume(ctx context.Context, err error) bool {
	return a.resumable && a.position.Next() > 0 && ctx.Err() == nil &&
		redwingshunt.OutcomeOf(err).Reason == redwingshunt.ReasonTruncated
}

// resume requests the rest of the stream, retrying as the policy permits. It
// returns false when the stream can't be resumed, or the document excludes its upstream.
func (a *attempt) resume(ctx context.Context) (*http.Response, bool) {
	for a.dispatcher.unusable(a.exchange, &a.grant.Upstream) == nil {
		a.resumeAttempts++
		decision := a.dispatcher.decide(retrier.Attempt{
			Account:         a.exchange.Account.Name,
			Cause:           retrier.Lost,
			Number:          a.resumeAttempts,
			Retries:         a.exchange.Service.Retries,
			ResponseStarted: true,
			Resumable:       true,
		})
		if decision.Kind != retrier.Resume {
			return nil, false
		}
		redwingshunt.Pause(ctx, decision.After)
		request := a.request(ctx)
		request.Header.Set(redwingshunt.HeaderLastEvent, strconv.FormatUint(a.position.Next()-1, 10))
		response, err := a.transport().RoundTrip(request)
		if err != nil {
			continue
		}
		if isResumable(response) && a.checkID(response) == nil {
			a.silent = false
			a.progress()
			return response, true
		}
		response.Body.Close()
		return nil, false
	}
	return nil, false
}
