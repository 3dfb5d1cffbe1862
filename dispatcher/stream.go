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

// copyStream passes server-sent events on, and resumes the stream when it ends
// early and the upstream can do that.
func (a *attempt) copyStream(ctx context.Context, response *http.Response) error {
	a.resumable = canResume(response) && !a.exchange.Request.Once
	err := a.passEvents(ctx, response)
	for err != nil && a.mayResume(ctx, err) {
		again, ok := a.resume(ctx)
		if !ok {
			break
		}
		err = a.passEvents(ctx, again)
		again.Body.Close()
	}
	return err
}

// passEvents passes server-sent events on one by one. A stream is whole when
// its last event says so; one that ends before is reported as truncated.
func (a *attempt) passEvents(ctx context.Context, response *http.Response) error {
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, copyBuffer), largestEvent)
	scanner.Split(splitter.Events)
	for scanner.Scan() {
		event := scanner.Bytes()
		if a.exchange.Service.Kind == redwingshunt.ServicePlain || splitter.HasData(event) {
			a.progress() // bytes that complete no event, and comments of an engine, are none
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
			return gone()
		}
		if a.meter.Done() {
			return nil
		}
	}
	if a.exchange.HTTP.Context().Err() != nil {
		return a.failure(ctx, context.Canceled)
	}
	if scanner.Err() == nil && a.exchange.Service.Kind == redwingshunt.ServicePlain {
		return a.endPlain(response)
	}
	detail := "the stream ended before its last event"
	if err := scanner.Err(); err != nil {
		a.silent = errors.Is(err, connector.ErrSilent)
		detail += ": " + err.Error()
	}
	return truncated(detail)
}

// truncated returns the outcome of a stream that ended early.
func truncated(detail string) error {
	return redwingshunt.MayHaveRun(redwingshunt.ReasonTruncated, http.StatusBadGateway, detail)
}

// endPlain ends a stream of a plain service, which has no last event: it is
// whole when its connection says so.
func (a *attempt) endPlain(response *http.Response) error {
	a.meter.Body(nil)
	a.startStream(response)
	a.exchange.Writer.Header().Set(redwingshunt.HeaderOutcome, string(redwingshunt.OutcomeComplete))
	return nil
}

// startStream sends the header of the answer once there is something to send.
func (a *attempt) startStream(response *http.Response) {
	if a.exchange.Started {
		return
	}
	header := a.exchange.Writer.Header()
	copyHeader(header, response.Header)
	// The outcome of a stream is known at its end only.
	header.Set("Trailer", redwingshunt.HeaderOutcome)
	a.exchange.Started = true
	a.exchange.Writer.WriteHeader(response.StatusCode)
}

func (a *attempt) writeEvent(event []byte) error {
	if a.meter.Done() {
		a.exchange.Writer.Header().Set(redwingshunt.HeaderOutcome, string(redwingshunt.OutcomeComplete))
	}
	a.limitWrite()
	if _, err := a.exchange.Writer.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(a.exchange.Writer).Flush()
}
