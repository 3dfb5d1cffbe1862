// Package responder sends callers the outcome of requests that failed.
//
// It turns an error of the chain into a JSON body and headers with the outcome,
// which tells the caller whether the request may have run. When a part of the
// response has been sent already, a stream ends with an error event instead. The
// connection of any other response is closed, so that no caller takes a partial
// response for a complete one.
//
// # Usage
//
//	r := responder.New(logger)
//	chain := redwingshunt.Chain(last, r.Filter, others...)
package responder

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// Body is the JSON body of a response whose outcome is not complete.
type Body struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody holds the outcome and the reason, and a message for people.
type ErrorBody struct {
	Outcome redwingshunt.Outcome `json:"outcome"`
	Reason  redwingshunt.Reason  `json:"reason"`
	Message string               `json:"message"`
	Request string               `json:"request,omitempty"` // ID of the request
}

// Responder is the filter that responds to requests that failed.
type Responder struct {
	logger *slog.Logger
}

// New returns a responder that logs each failed request.
func New(logger *slog.Logger) *Responder { return &Responder{logger: logger} }

// Filter turns the errors of next into responses. The only error of the returned
// handler is http.ErrAbortHandler, which makes the listener close the connection.
func (r *Responder) Filter(next redwingshunt.Handler) redwingshunt.Handler {
	return redwingshunt.HandlerFunc(func(ctx context.Context, e *redwingshunt.Exchange) error {
		err := next.Serve(ctx, e)
		if err == nil {
			return nil
		}
		outcome := redwingshunt.OutcomeOf(err)
		r.log(e, outcome)
		switch {
		case !e.Started:
			Write(e.Writer, outcome, requestID(e))
			return nil
		case e.Request.Stream:
			writeEvent(e.Writer, outcome, requestID(e))
			return nil
		default:
			return http.ErrAbortHandler
		}
	})
}

func (r *Responder) log(e *redwingshunt.Exchange, outcome *redwingshunt.OutcomeError) {
	account := ""
	if e.Account != nil {
		account = string(e.Account.Name)
	}
	r.logger.Info("request failed", "request", requestID(e), "account", account,
		"outcome", string(outcome.Outcome), "reason", string(outcome.Reason), "detail", outcome.Detail)
}

func requestID(e *redwingshunt.Exchange) string {
	if e.Request == nil {
		return ""
	}
	return e.Request.ID
}

// Write sends an outcome as a complete response. The Retry-After header is in whole
// seconds, rounded up, unless the header already holds a more exact delay.
func Write(w http.ResponseWriter, outcome *redwingshunt.OutcomeError, request string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(redwingshunt.HeaderOutcome, string(outcome.Outcome))
	header.Set(redwingshunt.HeaderReason, string(outcome.Reason))
	if outcome.RetryAfter > 0 && header.Get("Retry-After") == "" {
		seconds := int64((outcome.RetryAfter + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	body := append(Encode(outcome, request), '\n')
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(outcome.Status)
	_, _ = w.Write(body)
}

// writeEvent ends a stream that has begun with an error event.
func writeEvent(w http.ResponseWriter, outcome *redwingshunt.OutcomeError, request string) {
	w.Header().Set(redwingshunt.HeaderOutcome, string(outcome.Outcome))
	_, _ = w.Write([]byte("event: error\ndata: "))
	_, _ = w.Write(Encode(outcome, request))
	_, _ = w.Write([]byte("\n\n"))
	_ = http.NewResponseController(w).Flush()
}

// Abort ends a response of which a part may have been sent, so that no caller takes the part
// for the whole. It panics with http.ErrAbortHandler, on which the server closes the
// connection. Under HTTP/1.0 the end of the connection may be that of the body; it is reset.
func Abort(w http.ResponseWriter, request *http.Request) {
	if !request.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset closes the connection of a response with a reset, without what is not sent yet.
func reset(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // a response recorder
	}
	if encrypted, ok := connection.(interface{ NetConn() net.Conn }); ok {
		connection = encrypted.NetConn() // its Close announces a regular end
	}
	if socket, ok := connection.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0)
	}
	_ = connection.Close()
}

// Encode returns the JSON body of an outcome, without a trailing newline.
func Encode(outcome *redwingshunt.OutcomeError, request string) []byte {
	body, err := json.Marshal(Body{Error: ErrorBody{
		Outcome: outcome.Outcome, Reason: outcome.Reason, Message: outcome.Detail, Request: request,
	}})
	if err != nil {
		return []byte(`{"error":{"outcome":"` + string(outcome.Outcome) + `"}}`)
	}
	return body
}
