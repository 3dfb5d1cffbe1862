package placer

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// defaultBudgetWindow is the window of a budget that sets none.
	defaultBudgetWindow = 10 * time.Second
	// budgetFraction is the fraction of the budget that routers spend. They do not
	// know each other's spending, and requests are spread unevenly over them.
	budgetFraction = 0.75
	// windowSlots is the number of slots of a window in which events are counted.
	windowSlots = 20
)

// retryCounts counts the requests of a service and their retries at this router in a
// sliding window.
type retryCounts struct {
	requests, retries [windowSlots]int
	slot              int64 // index of the current slot since the Unix epoch
}

func (c *Core) window() time.Duration {
	if c.options.Budget.Window > 0 {
		return c.options.Budget.Window
	}
	return defaultBudgetWindow
}

func (c *Core) retryCountsOf(service redwingshunt.ServiceID) *retryCounts {
	r := c.retryCounts[service]
	if r == nil {
		r = &retryCounts{}
		c.retryCounts[service] = r
	}
	return r
}

// advance moves to the slot of the current time and clears the slots that have
// left the window.
func (r *retryCounts) advance(now time.Time, window time.Duration) {
	slot := now.UnixNano() / int64(window/windowSlots)
	if slot-r.slot >= windowSlots {
		*r = retryCounts{slot: slot}
		return
	}
	for r.slot < slot {
		r.slot++
		r.requests[r.slot%windowSlots], r.retries[r.slot%windowSlots] = 0, 0
	}
}

// countForBudget counts a request of a caller.
func (c *Core) countForBudget(now time.Time, service redwingshunt.ServiceID) {
	r := c.retryCountsOf(service)
	r.advance(now, c.window())
	r.requests[r.slot%windowSlots]++
}

// AllowRetry reports whether this router's part of the retry budget allows one more
// retry, and spends it if so.
func (c *Core) AllowRetry(now time.Time, service redwingshunt.ServiceID) bool {
	r := c.retryCountsOf(service)
	r.advance(now, c.window())
	requests, retries := 0, 0
	for i := range windowSlots {
		requests += r.requests[i]
		retries += r.retries[i]
	}
	budget := c.options.Budget
	allowed := budgetFraction * (budget.Ratio/100*float64(requests) + budget.Extra/float64(c.routers))
	if float64(retries+1) > allowed {
		return false
	}
	r.retries[r.slot%windowSlots]++
	return true
}
