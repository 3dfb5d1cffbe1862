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
	o.scope.Tagged(map[string]string{"account": account, "outcome": string(outcome)}).Counter("requests").Inc(1)
	byService := o.scope.Tagged(map[string]string{"service": service})
	byService.Tagged(map[string]string{"reason": string(reason)}).Counter("outcomes").Inc(1)
	byService.Histogram("request_seconds", durations).RecordDuration(took)
}

// groupName returns the label of a group of the log.
func groupName(group redwingshunt.GroupID) string { return strconv.FormatUint(uint64(group), 10) }
