package placer

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// defaultWindow is the window of a budget that names none.
	defaultWindow = 10 * time.Second
	// budgetShare is the part of the budget that routers spend: they do not
	// know of each other's spending, and requests end unevenly over them.
	budgetShare = 0.75
	// slots of a window in which events are counted.
	windowSlots = 20
)

// repeats counts the requests of a service and their repeats at this router.
type repeats struct {
	requests, repeated [windowSlots]int
	slot               int64 // number of the current one
}

func (c *Core) window() time.Duration {
	if c.options.Budget.Window > 0 {
		return c.options.Budget.Window
	}
	return defaultWindow
}

func (c *Core) repeatsOf(service redwingshunt.ServiceID) *repeats {
	r := c.repeats[service]
	if r == nil {
		r = &repeats{}
		c.repeats[service] = r
	}
	return r
}

// advance clears the slots that time has left behind.
func (r *repeats) advance(now time.Time, window time.Duration) {
	slot := now.UnixNano() / int64(window/windowSlots)
	if slot-r.slot >= windowSlots {
		*r = repeats{slot: slot}
		return
	}
	for r.slot < slot {
		r.slot++
		r.requests[r.slot%windowSlots], r.repeated[r.slot%windowSlots] = 0, 0
	}
}

// requested counts a request of a caller.
func (c *Core) requested(now time.Time, service redwingshunt.ServiceID) {
	r := c.repeatsOf(service)
	r.advance(now, c.window())
	r.requests[r.slot%windowSlots]++
}

// Repeat takes one repeat from the part of the budget that this router has.
func (c *Core) Repeat(now time.Time, service redwingshunt.ServiceID) bool {
	r := c.repeatsOf(service)
	r.advance(now, c.window())
	requests, repeated := 0, 0
	for i := range windowSlots {
		requests += r.requests[i]
		repeated += r.repeated[i]
	}
	budget := c.options.Budget
	allowed := budgetShare * (budget.Ratio/100*float64(requests) + budget.Extra/float64(c.routers))
	if float64(repeated+1) > allowed {
		return false
	}
	r.repeated[r.slot%windowSlots]++
	return true
}
