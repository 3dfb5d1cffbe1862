package scheduler

import (
	"container/heap"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/balancer"
	"github.com/redwingshunt/redwingshunt/exchanger"
)

// estimateWeight is the weight of a new cost in an account's moving average.
const estimateWeight = 0.1

// minProgressAge is the age from which the reported cost of a running request is
// used to estimate its rate.
const minProgressAge = time.Second

// account is an owner's state of one client account.
type account struct {
	id             redwingshunt.AccountID
	rule           AccountRule
	orderKey       exchanger.Units // virtual time plus reservations
	reserved       exchanger.Units
	peerReserved   exchanger.Units // received and reserved at peers, not in the ledger yet
	demands        []*demand
	waiting        int       // requests without a grant on its way
	lastEnd        time.Time // end of its last request
	backlogSince   time.Time // start of the current uninterrupted backlog
	runs           map[*run]struct{}
	remote         map[redwingshunt.InstanceID]remote
	credit         exchanger.Units // overcharge to offset against later charges
	rate           float64         // typical cost per second of one slot; zero when unknown
	measured       bool            // estimate comes from finished requests
	estimate       float64         // typical cost of a request; zero when unknown
	liftedAt       time.Time
	grantInterval  time.Duration // between guaranteed grants; zero for none
	nextGrant      time.Time     // time of the next guaranteed grant
	guaranteedRuns int           // number of running requests here from which no grant is guaranteed
	grantDue       bool          // a guaranteed grant is due
	index          int           // in the heap; -1 when not in it
}

// remote is what a peer last reported of an account.
type remote struct {
	queued  int
	running int
	pending exchanger.Units // service received by running requests, not counted yet
	at      time.Time       // time of the report
}

// demand is the queue of one account on one router, as last reported.
type demand struct {
	router      *router
	sequence    uint64 // of the state message that reported it
	queued      int    // as reported, less the grants acknowledged since
	unacked     int    // grants that are not acknowledged yet
	oldestSince time.Time
	costHint    redwingshunt.Cost
	avoid       []string
}

// waiting returns the number of requests without a grant on its way.
func (d *demand) waiting() int { return max(0, d.queued-d.unacked) }

// advance moves the arrival time of the oldest request forward after a grant. It
// assumes that the requests arrived at a constant rate.
func (d *demand) advance(now time.Time) {
	if left := d.waiting() + 1; left > 0 {
		d.oldestSince = d.oldestSince.Add(now.Sub(d.oldestSince) / time.Duration(left+1))
	}
}

// run is a grant that has not been released.
type run struct {
	account *account
	router  *router
	key     balancer.Key
	grant   grantKey
	started time.Time
	cost    redwingshunt.Cost // received so far, as reported
	reserve exchanger.Units
	unacked *demand // counts the grant as unacknowledged; nil once it is acknowledged
}

// grantKey identifies a grant to one router.
type grantKey struct {
	term uint64
	id   uint64
}

// oldest returns the demand whose oldest request has waited longest.
func (a *account) oldest() *demand {
	var best *demand
	for _, d := range a.demands {
		if d.waiting() > 0 && (best == nil || d.oldestSince.Before(best.oldestSince)) {
			best = d
		}
	}
	return best
}

// demandOf returns the demand of a router and creates it if it is missing.
func (a *account) demandOf(r *router) *demand {
	for _, d := range a.demands {
		if d.router == r {
			return d
		}
	}
	d := &demand{router: r}
	a.demands = append(a.demands, d)
	return d
}

// dropDemand removes the demand of a router.
func (a *account) dropDemand(r *router) {
	for i, d := range a.demands {
		if d.router == r {
			a.demands = append(a.demands[:i], a.demands[i+1:]...)
			return
		}
	}
}

// recount recomputes the number of waiting requests.
func (a *account) recount() {
	a.waiting = 0
	for _, d := range a.demands {
		a.waiting += d.waiting()
	}
}

// guarantee sets the time between guaranteed grants, and the number of running
// requests from which no grant is guaranteed.
func (a *account) guarantee(now time.Time, grantInterval time.Duration, guaranteedRuns int) {
	if a.grantInterval == 0 {
		a.nextGrant = now.Add(grantInterval)
	}
	a.grantInterval, a.guaranteedRuns = grantInterval, guaranteedRuns
	a.updateGrantDue(now)
}

// updateGrantDue records whether a guaranteed grant is due.
func (a *account) updateGrantDue(now time.Time) {
	a.grantDue = a.grantInterval > 0 && a.waiting > 0 && len(a.runs) < a.guaranteedRuns && !now.Before(a.nextGrant)
}

// scheduleNextGrant moves the time of the next guaranteed grant after a grant. A
// late or early grant shifts it by one interval at most.
func (a *account) scheduleNextGrant(now time.Time) {
	if earliest := now.Add(-a.grantInterval); a.nextGrant.Before(earliest) {
		a.nextGrant = earliest
	}
	a.nextGrant = a.nextGrant.Add(a.grantInterval)
	if latest := now.Add(a.grantInterval); a.nextGrant.After(latest) {
		a.nextGrant = latest
	}
	a.updateGrantDue(now)
}

// backlogged reports whether requests wait here or at a peer.
func (a *account) backlogged() bool {
	for _, r := range a.remote {
		if r.queued > 0 {
			return true
		}
	}
	return a.waiting > 0
}

// allowed reports whether the limit on parallel requests admits one more.
func (a *account) allowed() bool {
	if a.rule.Parallel <= 0 {
		return true
	}
	running := len(a.runs)
	for _, r := range a.remote {
		running += r.running
	}
	return running < a.rule.Parallel
}

// observe updates the averages from a finished request.
func (a *account) observe(c redwingshunt.Cost, total time.Duration) {
	rate := float64(c) / total.Seconds()
	if !a.measured {
		a.estimate, a.rate, a.measured = float64(c), rate, true
		return
	}
	a.estimate += estimateWeight * (float64(c) - a.estimate)
	a.rate += rateWeightOf(total) * (rate - a.rate)
}

// progress updates the rate from the cost that a running request has received so
// far.
func (a *account) progress(c redwingshunt.Cost, elapsed time.Duration) {
	if elapsed < minProgressAge || c <= 0 {
		return
	}
	rate := float64(c) / elapsed.Seconds()
	if a.rate == 0 {
		a.rate = rate
		return
	}
	a.rate += rateWeight * (rate - a.rate)
}

// rateWeightOf returns the weight of one request in the moving average of a rate.
// It grows with the duration, since a long request is a better sample.
func rateWeightOf(total time.Duration) float64 {
	return min(1, rateWeight*max(0.1, total.Seconds()))
}

// accountHeap orders accounts with waiting requests by virtual time. Accounts with
// a guaranteed grant due come first.
type accountHeap []*account

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].grantDue != h[j].grantDue {
		return h[i].grantDue
	}
	if h[i].orderKey != h[j].orderKey {
		return h[i].orderKey < h[j].orderKey
	}
	return h[i].id < h[j].id
}

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.index = -1
	return last
}

// minKey returns the lowest order key. The heap must not be empty.
func (h accountHeap) minKey() exchanger.Units {
	if !h[0].grantDue {
		return h[0].orderKey
	}
	orderKey := h[0].orderKey
	for _, a := range h {
		orderKey = min(orderKey, a.orderKey)
	}
	return orderKey
}

// remove removes an account from the heap, if it is there.
func (h *accountHeap) remove(a *account) {
	if a.index >= 0 {
		heap.Remove(h, a.index)
	}
}

// update inserts, moves or removes an account as its state requires.
func (h *accountHeap) update(a *account) {
	ready := a.waiting > 0 && a.allowed()
	switch {
	case ready && a.index < 0:
		heap.Push(h, a)
	case ready:
		heap.Fix(h, a.index)
	default:
		h.remove(a)
	}
}
