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

// errUnnumbered ends a stream that said it could be resumed.
var errUnnumbered = errors.New("an event of a resumable stream has no number")

// canResume reports whether an upstream numbers the events of a stream from
// zero and continues it after a given one.
func canResume(response *http.Response) bool {
	return response.StatusCode == http.StatusOK && isEventStream(response) &&
		strings.EqualFold(response.Header.Get(redwingshunt.HeaderResume), "yes")
}

// accept reports whether an event is passed on. It is not when it was before.
func (a *attempt) accept(event []byte) (bool, error) {
	if !a.resumable {
		return true, nil
	}
	offset, ok := splitter.Number(event)
	if !ok {
		return false, errUnnumbered
	}
	return a.position.Accept(offset)
}

// mayResume reports whether the stream broke off and somebody still wants it.
func (a *attempt) mayResume(ctx context.Context, err error) bool {
	return a.resumable && a.position.Next() > 0 && ctx.Err() == nil &&
		redwingshunt.OutcomeOf(err).Reason == redwingshunt.ReasonTruncated
}

// resume asks the upstream for the rest of the stream on another connection.
func (a *attempt) resume(ctx context.Context) (*http.Response, bool) {
	for {
		a.resumed++
		decision := a.dispatcher.decide(retrier.Attempt{
			Account:  a.exchange.Account.Name,
			Cause:    retrier.Lost,
			Number:   a.resumed,
			Retries:  a.exchange.Service.Retries,
			Answered: true,
			Resumes:  true,
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
		if canResume(response) && a.checkID(response) == nil {
			a.silent = false
			a.progress()
			return response, true
		}
		response.Body.Close()
		return nil, false
	}
}
