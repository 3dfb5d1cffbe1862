package relayer

// The end of a request: its last answer, its line in the log and its record.

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/responder"
)

// Record describes the end of one request, for metrics.
type Record struct {
	Route     redwingshunt.RouteID
	Service   redwingshunt.ServiceID
	Outcome   string
	Attempts  int
	Loads     int           // loads that upstreams reported and that were used
	OddLoads  int           // of such reports, those with an invalid figure
	FirstByte time.Duration // until the first byte of the response; zero without one
	Total     time.Duration
	Hedge     string // HedgeWon, HedgeWasted, or why none was sent when one was due; empty if none was due
}

// Values of Record.Outcome other than a Reason.
const (
	outcomeAnswered = "answered" // by an upstream
	outcomeBroken   = "broken"   // the response was cut off
	outcomeLeft     = "left"     // the caller disconnected within the response
	outcomePanic    = "panic"    // a defect of this program
)

// finish sends the caller an error not yet sent, logs the end of the request and
// cuts the connection if the response is incomplete.
func (x *exchange) finish(ctx context.Context, err error) {
	outcome := outcomeAnswered
	var refusal *redwingshunt.OutcomeError
	switch {
	case errors.Is(err, errResponseCut):
		outcome = outcomeBroken
	case errors.Is(err, errCallerLeft):
		outcome = outcomeLeft
	case err != nil:
		refusal = redwingshunt.OutcomeOf(err)
		outcome = string(refusal.Reason)
		if refusal.Status != redwingshunt.StatusClientClosed {
			x.writeError(refusal)
		}
	}
	logged, suppressed := true, 0
	if x.bodyUnread && refusal != nil {
		logged, suppressed = x.relayer.checkLog.allow(x.arrived, maxCheckLinesPerSecond)
	}
	if logged {
		x.log(ctx, outcome, refusal, err, suppressed)
	}
	if x.relayer.options.Observe != nil {
		x.relayer.options.Observe(x.record(outcome))
	}
	if errors.Is(err, errResponseCut) || errors.Is(err, errCallerLeft) || refusal != nil && refusal.Status == redwingshunt.StatusClientClosed {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) record(outcome string) Record {
	record := Record{
		Service: x.service, Outcome: outcome, Attempts: x.sent, Loads: x.loads, OddLoads: x.oddLoads, FirstByte: x.firstByte, Total: time.Since(x.arrived),
	}
	if x.route != nil {
		record.Route = x.route.Name
	}
	if x.hedge != nil {
		record.Hedge = x.hedge.result
	}
	return record
}

// log writes the summary line of a request at its end.
func (x *exchange) log(ctx context.Context, outcome string, refusal *redwingshunt.OutcomeError, err error, suppressed int) {
	level := slog.LevelInfo
	attributes := []slog.Attr{
		slog.String("request", x.id), slog.String("outcome", outcome), slog.Int("status", x.status),
		slog.String("service", string(x.service)), slog.String("account", string(x.account)),
		slog.String("upstream", string(x.upstream)), slog.String("build", x.build), slog.Int("tries", x.tries), slog.Int("sent", x.sent),
		slog.Duration("predicted", x.predicted), slog.Duration("first", x.firstByte), slog.Duration("total", time.Since(x.arrived)),
	}
	if x.route != nil {
		attributes = append(attributes, slog.String("route", string(x.route.Name)))
	}
	if regions := x.servingRegions(); regions.Limited() {
		attributes = append(attributes, slog.String("regions", regions.String()))
	}
	if suppressed > 0 {
		attributes = append(attributes, slog.Int("untold", suppressed))
	}
	if resumes := x.resumes(); resumes != "" {
		attributes = append(attributes, slog.String("resumes", resumes))
	}
	if last, known := x.events.last.Get(); known {
		attributes = append(attributes, slog.Uint64("event", last))
	}
	if refusal != nil {
		level = slog.LevelWarn
		attributes = append(attributes, slog.String("promise", string(refusal.Outcome)),
			slog.String("detail", refusal.Detail), slog.Duration("after", refusal.RetryAfter))
	} else if err != nil {
		if !errors.Is(err, errCallerLeft) {
			level = slog.LevelWarn
		}
		attributes = append(attributes, slog.String("detail", err.Error()))
	}
	if i := x.relayer.index.Load(); i != nil {
		attributes = append(attributes, slog.Uint64("version", i.snapshot.Document.Version))
	}
	x.relayer.options.Logger.LogAttrs(context.WithoutCancel(ctx), level, "request ended", attributes...)
}

// recordPanic counts and logs a request that ends with a panic other than that of
// finish. The server then closes the connection, and a response that has begun is cut.
func (x *exchange) recordPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		x.relayer.options.Logger.Error("request ended by a panic", "request", x.id, "account", string(x.account),
			"upstream", string(x.upstream), "started", x.started, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
		if x.relayer.options.Observe != nil {
			x.relayer.options.Observe(x.record(outcomePanic))
		}
	}
	if x.started {
		responder.Abort(x.writer, x.request)
	}
	panic(http.ErrAbortHandler)
}
