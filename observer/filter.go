package observer

import (
	"context"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/redwingshunt/redwingshunt"
)

// unknownLabel is the value of a label whose name is not known.
const unknownLabel = "none"

// durations are the bucket bounds of the request duration histogram.
var durations = tally.DurationBuckets{
	5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	300 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second, 30 * time.Second,
	time.Minute, 2 * time.Minute,
}

// Filter counts requests when they end. It must directly follow the responder in
// the chain, so that it sees the errors of all other filters.
func (o *Observer) Filter(next redwingshunt.Handler) redwingshunt.Handler {
	return redwingshunt.HandlerFunc(func(ctx context.Context, e *redwingshunt.Exchange) error {
		start := time.Now()
		err := next.Serve(ctx, e)
		o.ended(e, err, time.Since(start))
		return err
	})
}

// ended records one request that has ended.
func (o *Observer) ended(e *redwingshunt.Exchange, err error, took time.Duration) {
	account, service := unknownLabel, unknownLabel
	if e.Account != nil {
		account = string(e.Account.Name)
	}
	if e.Service != nil {
		service = string(e.Service.Name)
	}
	outcome, reason := redwingshunt.OutcomeComplete, redwingshunt.Reason(unknownLabel)
	if err != nil {
		fault := redwingshunt.OutcomeOf(err)
		outcome, reason = fault.Outcome, fault.Reason
	}
	o.requests.get(accountOutcome{account, outcome}).Inc(1)
	o.outcomes.get(serviceReason{service, reason}).Inc(1)
	o.took.get(service).RecordDuration(took)
}

// accountOutcome and serviceReason are label sets of counters.
type (
	accountOutcome struct {
		account string
		outcome redwingshunt.Outcome
	}
	serviceReason struct {
		service string
		reason  redwingshunt.Reason
	}
)

func (o *Observer) newRequests(key accountOutcome) tally.Counter {
	labels := map[string]string{"account": key.account, "outcome": string(key.outcome)}
	return o.scope.Tagged(labels).Counter("requests")
}

func (o *Observer) newOutcomes(key serviceReason) tally.Counter {
	labels := map[string]string{"service": key.service, "reason": string(key.reason)}
	return o.scope.Tagged(labels).Counter("outcomes")
}

func (o *Observer) newTook(service string) tally.Histogram {
	return o.scope.Tagged(map[string]string{"service": service}).Histogram("request_seconds", durations)
}

// groupName returns the label value of a log group.
func groupName(group redwingshunt.GroupID) string { return strconv.FormatUint(uint64(group), 10) }
