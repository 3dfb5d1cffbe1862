package dispatcher

import (
	"bufio"
	"context"
	"errors"
	"net/http"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/connector"
	"github.com/redwingshunt/redwingshunt/splitter"
)

// copyStream copies server-sent events to the caller. It resumes the stream when
// it ends early and the upstream supports that.
func (a *attempt) copyStream(ctx context.Context, response *http.Response) error {
	a.resumable = isResumable(response) && !a.exchange.Request.Once
	err := a.passEvents(ctx, response)
	for err != nil && a.mayResume(ctx, err) {
		resumed, ok := a.resume(ctx)
		if !ok {
			break
		}
		err = a.passEvents(ctx, resumed)
		resumed.Body.Close()
	}
	return err
}

// passEvents copies server-sent events one by one. A stream is complete when its
// last event says so; one that ends earlier is reported as truncated.
func (a *attempt) passEvents(ctx context.Context, response *http.Response) error {
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, copyBufferBytes), maxEventBytes)
	scanner.Split(splitter.Events)
	for scanner.Scan() {
		event := scanner.Bytes()
		if a.exchange.Service.Kind == redwingshunt.ServicePlain || splitter.HasData(event) {
			a.progress() // incomplete events and comments of an engine don't count
		}
		pass, err := a.accept(event)
		if err != nil {
			return truncated(err.Error())
		}
		if !pass {
			continue
		}
		data, ok := splitter.Field(event, "data")
		if ok {
			a.meter.Event(data)
		}
		a.startStream(response)
		if a.writeEvent(event) != nil {
			return callerGone()
		}
		if a.meter.Done() {
			return nil
		}
	}
	if a.exchange.HTTP.Context().Err() != nil {
		return a.classifyError(ctx, context.Canceled)
	}
	if scanner.Err() == nil && a.exchange.Service.Kind == redwingshunt.ServicePlain && !a.endedWith(ctx, response) {
		return a.endPlain(response)
	}
	detail := "the stream ended before its last event"
	if err := scanner.Err(); err != nil {
		a.silent = errors.Is(err, connector.ErrSilent)
		detail += ": " + err.Error()
	}
	return truncated(detail)
}

// truncated returns the outcome of a stream that ended before its last event.
func truncated(detail string) error {
	return redwingshunt.MayHaveRun(redwingshunt.ReasonTruncated, http.StatusBadGateway, detail)
}

// endPlain ends a stream of a plain service. Such a stream has no last event and
// is complete when the response body ends without an error.
func (a *attempt) endPlain(response *http.Response) error {
	a.meter.Body(nil)
	a.startStream(response)
	a.exchange.Writer.Header().Set(redwingshunt.HeaderOutcome, string(redwingshunt.OutcomeComplete))
	return nil
}

// startStream sends the response header before the first event.
func (a *attempt) startStream(response *http.Response) {
	if a.exchange.Started {
		return
	}
	header := a.exchange.Writer.Header()
	copyHeader(header, response.Header)
	// The outcome of a stream is known only at its end.
	header.Set("Trailer", redwingshunt.HeaderOutcome)
	a.exchange.Started = true
	a.exchange.Writer.WriteHeader(response.StatusCode)
}

func (a *attempt) writeEvent(event []byte) error {
	if a.meter.Done() {
		a.exchange.Writer.Header().Set(redwingshunt.HeaderOutcome, string(redwingshunt.OutcomeComplete))
	}
	a.extendWriteDeadline()
	if _, err := a.exchange.Writer.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(a.exchange.Writer).Flush()
}
