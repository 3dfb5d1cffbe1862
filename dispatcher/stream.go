package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net/http"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/connector"
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
	scanner := bufio.NewScanner(&progressReader{attempt: a, reader: response.Body})
	scanner.Buffer(make([]byte, 0, copyBuffer), largestEvent)
	scanner.Split(splitEvents)
	for scanner.Scan() {
		event := scanner.Bytes()
		pass, err := a.accept(event)
		if err != nil {
			return truncated(err.Error())
		}
		if !pass {
			continue
		}
		data, ok := eventData(event)
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

// splitEvents is a bufio.SplitFunc for server-sent events; each ends with an
// empty line, which is kept. An event cut off by the end of the stream is
// dropped.
func splitEvents(data []byte, atEOF bool) (int, []byte, error) {
	first := -1
	ahead := data // where an earlier end may be
	for _, empty := range emptyLines {
		if i := bytes.Index(ahead, empty); i >= 0 {
			first = i + len(empty)
			ahead = data[:first]
		}
	}
	switch {
	case first >= 0:
		return first, data[:first], nil
	case atEOF:
		return len(data), nil, nil
	}
	return 0, nil, nil
}

// emptyLines are the ends of a line and of the empty line that follows it.
var emptyLines = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// eventData returns the data of a server-sent event.
func eventData(event []byte) ([]byte, bool) {
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			return bytes.TrimSpace(data), true
		}
	}
	return nil, false
}
