package observer

import (
	"context"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/redwingshunt/redwingshunt"
)

// nobody stands in a label for a name that is not known yet.
const nobody = "none"

// durations are the bounds of the histogram of whole requests.
var durations = tally.DurationBuckets{
	5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	300 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second, 30 * time.Second,
	time.Minute, 2 * time.Minute,
}

// Filter counts requests as they end. It belongs right behind the responder,
// where the errors of all other filters pass.
func (o *Observer) Filter(next redwingshunt.Handler) redwingshunt.Handler {
	return redwingshunt.HandlerFunc(func(ctx context.Context, e *redwingshunt.Exchange) error {
		begin := time.Now()
		err := next.Serve(ctx, e)
		o.ended(e, err, time.Since(begin))
		return err
	})
}

// ended counts one request.
func (o *Observer) ended(e *redwingshunt.Exchange, err error, took time.Duration) {
	account, service := nobody, nobody
	if e.Account != nil {
		account = string(e.Account.Name)
	}
	if e.Service != nil {
		service = string(e.Service.Name)
	}
	outcome, reason := redwingshunt.OutcomeComplete, redwingshunt.Reason(nobody)
	if err != nil {
		fault := redwingshunt.OutcomeOf(err)
		outcome, reason = fault.Outcome, fault.Reason
	}
	o.requests.get(accountOutcome{account, outcome}).Inc(1)
	o.outcomes.get(serviceReason{service, reason}).Inc(1)
	o.took.get(service).RecordDuration(took)
}

// accountOutcome and serviceReason are the labels of counters.
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

// groupName returns the label of a group of the log.
func groupName(group redwingshunt.GroupID) string { return strconv.FormatUint(uint64(group), 10) }
