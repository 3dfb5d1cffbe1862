package relayer

import (
	"net/http"
	"strconv"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/carrier"
	"github.com/redwingshunt/redwingshunt/responder"
)

// newCall returns the request in the form sent to an upstream.
func (x *exchange) newCall(placed redwingshunt.Placed) carrier.Call {
	dialect := x.relayer.options.Dialect
	header := redwingshunt.EndToEnd(x.request.Header)
	for _, name := range append([]string{dialect.Key, dialect.Account, dialect.Expect}, dialect.Internal...) {
		header.Del(name)
	}
	if remaining := time.Until(x.deadline); dialect.Deadline != "" {
		header.Set(dialect.Deadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	}
	if dialect.Expect != "" {
		header.Set(dialect.Expect, string(placed.Upstream.ID))
	}
	if dialect.Account != "" && x.account != "" {
		header.Set(dialect.Account, string(x.account))
	}
	if last, known := x.events.last.Get(); known {
		header.Set(redwingshunt.HeaderLastEvent, strconv.FormatUint(last, 10))
	}
	return carrier.Call{
		Address: placed.Upstream.Address, ID: x.id, Method: x.request.Method, Target: targetOf(x.request),
		Host: x.request.Host, Header: header, Body: x.body, NonIdempotent: !x.route.Idempotent(),
		StillValid: func() bool {
			return x.servingRegions().Has(placed.Upstream.Region) && x.relayer.options.Placer.StillValid(placed.Ticket)
		},
	}
}

// copyHeader copies the header of an upstream's response to the caller.
func (x *exchange) copyHeader(header http.Header) {
	to := x.writer.Header()
	for name, values := range redwingshunt.EndToEnd(header) {
		to[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		to["Content-Type"] = nil // prevents content sniffing by the server
	}
}

// writeBuffered sends a buffered response to the caller.
func (x *exchange) writeBuffered(response *bufferedResponse) error {
	x.copyHeader(response.header)
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	x.writeStatus(response.status)
	if x.request.Method == http.MethodHead {
		return nil
	}
	if _, err := x.writer.Write(response.body); err != nil {
		return errResponseCut
	}
	return nil
}

// writeStatus sends the status of a response.
func (x *exchange) writeStatus(status int) {
	x.started, x.status = true, status
	x.firstByte = time.Since(x.arrived)
	x.writer.WriteHeader(status)
}

// writeError sends an error of this instance. Its Retry-After may have a fraction of
// a second, which callers of routes accept.
func (x *exchange) writeError(err *redwingshunt.OutcomeError) {
	header := x.writer.Header()
	if x.id != "" {
		header.Set(x.relayer.options.Dialect.Request, x.id)
	}
	if err.RetryAfter > 0 {
		header.Set("Retry-After", formatRetryAfter(err.RetryAfter))
	}
	x.status = err.Status
	responder.Write(x.writer, err, x.id)
	if x.bodyUnread {
		x.bodyIncomplete = !skipBody(x.writer, x.request)
	}
}
