package relayer

import (
	"net/http"
	"strconv"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/carrier"
	"github.com/redwingshunt/redwingshunt/responder"
)

// call returns the request in the form sent to an upstream.
func (x *exchange) call(placed redwingshunt.Placed) carrier.Call {
	dialect := x.relayer.options.Dialect
	header := redwingshunt.EndToEnd(x.request.Header)
	for _, name := range append([]string{dialect.Key, dialect.Account, dialect.Expect}, dialect.Internal...) {
		header.Del(name)
	}
	if left := time.Until(x.deadline); dialect.Deadline != "" {
		header.Set(dialect.Deadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	}
	if dialect.Expect != "" {
		header.Set(dialect.Expect, string(placed.Upstream.ID))
	}
	if dialect.Account != "" && x.account != "" {
		header.Set(dialect.Account, string(x.account))
	}
	if x.events.last > 0 {
		header.Set(redwingshunt.HeaderLastEvent, strconv.FormatUint(x.events.last, 10))
	}
	return carrier.Call{
		Address: placed.Upstream.Address, ID: x.id, Method: x.request.Method, Target: targetOf(x.request),
		Host: x.request.Host, Header: header, Body: x.body, Once: !x.route.Idempotent(),
		Holds: func() bool { return x.relayer.options.Placer.Holds(placed.Ticket) },
	}
}

// answerHeader copies the header of an upstream's response to the caller.
func (x *exchange) answerHeader(header http.Header) {
	to := x.writer.Header()
	for name, values := range redwingshunt.EndToEnd(header) {
		to[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		to["Content-Type"] = nil // prevents content sniffing by the server
	}
}

// write sends a buffered response to the caller.
func (x *exchange) write(made *answer) error {
	x.answerHeader(made.header)
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(made.body)))
	x.begin(made.status)
	if x.request.Method == http.MethodHead {
		return nil
	}
	if _, err := x.writer.Write(made.body); err != nil {
		return errBroken
	}
	return nil
}

// begin sends the status of a response.
func (x *exchange) begin(status int) {
	x.started, x.status = true, status
	x.first = time.Since(x.arrived)
	x.writer.WriteHeader(status)
}

// refuse sends an error of this instance. Its Retry-After may have a fraction of
// a second, which callers of routes accept.
func (x *exchange) refuse(err *redwingshunt.OutcomeError) {
	header := x.writer.Header()
	if x.id != "" {
		header.Set(x.relayer.options.Dialect.Request, x.id)
	}
	if err.RetryAfter > 0 {
		header.Set("Retry-After", retryAfter(err.RetryAfter))
	}
	x.status = err.Status
	responder.Write(x.writer, err, x.id)
	if x.unread {
		x.partial = !skipBody(x.writer, x.request)
	}
}
