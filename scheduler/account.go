package scheduler

import (
	"container/heap"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/balancer"
	"github.com/redwingshunt/redwingshunt/exchanger"
)

// estimateWeight is the weight of a new cost in an account's average.
const estimateWeight = 0.1

// progressLeast is the age from which a running request shows its rate.
const progressLeast = time.Second

// account is what an owner knows of one client account.
type account struct {
	id       redwingshunt.AccountID
	rule     AccountRule
	key      exchanger.Units // virtual time and reservations
	reserved exchanger.Units
	away     exchanger.Units // reserved at peers
	demands  []*demand
	waiting  int       // requests, as far as no grant is on its way
	active   time.Time // when its last request ended
	since    time.Time // since when work waits without a break
	runs     map[*run]struct{}
	remote   map[redwingshunt.InstanceID]remote
	credit   exchanger.Units // charged in excess
	rate     float64         // usual cost a second of one slot; zero when unknown
	learned  bool            // estimate comes from finished requests
	estimate float64         // usual cost of a request; zero when unknown
	lifted   time.Time
	interval time.Duration // between grants that are due in any case; zero for none
	due      time.Time     // of the next one
	enough   int           // running requests here with which none is due
	first    bool          // it is due
	index    int           // in the heap; -1 when not in it
}

// remote is what a peer tells of an account.
type remote struct {
	queued  int
	running int
	pending exchanger.Units // service about to be received
	at      time.Time       // when it was told
}

// demand is the queue of one account on one router.
type demand struct {
	router   *router
	sequence uint64 // of the state that told it
	queued   int    // as told, less the grants seen since
	unseen   int    // grants on their way
	since    time.Time
	hint     redwingshunt.Cost
	avoid    []string
}

// waiting returns the requests for which no grant is on its way.
func (d *demand) waiting() int { return max(0, d.queued-d.unseen) }

// advance moves the time of the oldest request on after a grant, as if the
// requests had arrived evenly.
func (d *demand) advance(now time.Time) {
	if left := d.waiting() + 1; left > 0 {
		d.since = d.since.Add(now.Sub(d.since) / time.Duration(left+1))
	}
}

// run is a grant that has not been given back.
type run struct {
	account *account
	router  *router
	key     balancer.Key
	grant   grantKey
	started time.Time
	cost    redwingshunt.Cost // received, as reported
	reserve exchanger.Units
	unseen  *demand // set until the router has told that it has the grant
}

// grantKey names a grant of one router.
type grantKey struct {
	term uint64
	id   uint64
}

// oldest returns the demand whose oldest request has waited longest.
func (a *account) oldest() *demand {
	var best *demand
	for _, d := range a.demands {
		if d.waiting() > 0 && (best == nil || d.since.Before(best.since)) {
			best = d
		}
	}
	return best
}

// demandOf returns the demand of a router, made when missing.
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

// dropDemand forgets the demand of a router.
func (a *account) dropDemand(r *router) {
	for i, d := range a.demands {
		if d.router == r {
			a.demands = append(a.demands[:i], a.demands[i+1:]...)
			return
		}
	}
}

// recount sums up what waits.
func (a *account) recount() {
	a.waiting = 0
	for _, d := range a.demands {
		a.waiting += d.waiting()
	}
}

// pace sets the time between grants that are due.
func (a *account) pace(now time.Time, interval time.Duration, enough int) {
	if a.interval == 0 {
		a.due = now.Add(interval)
	}
	a.interval, a.enough = interval, enough
	a.hurry(now)
}

// hurry notes whether a grant is due.
func (a *account) hurry(now time.Time) {
	a.first = a.interval > 0 && a.waiting > 0 && len(a.runs) < a.enough && !now.Before(a.due)
}

// served moves the time of the next grant that is due. Neither late nor early
// grants count for more than one interval.
func (a *account) served(now time.Time) {
	if earliest := now.Add(-a.interval); a.due.Before(earliest) {
		a.due = earliest
	}
	a.due = a.due.Add(a.interval)
	if latest := now.Add(a.interval); a.due.After(latest) {
		a.due = latest
	}
	a.hurry(now)
}

// backlogged reports whether work waits here or at a peer.
func (a *account) backlogged() bool {
	for _, r := range a.remote {
		if r.queued > 0 {
			return true
		}
	}
	return a.waiting > 0
}

// allowed reports whether the account may run one more request.
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

// observe learns from a finished request.
func (a *account) observe(c redwingshunt.Cost, total time.Duration) {
	rate := float64(c) / total.Seconds()
	if !a.learned {
		a.estimate, a.rate, a.learned = float64(c), rate, true
		return
	}
	a.estimate += estimateWeight * (float64(c) - a.estimate)
	a.rate += rateWeightOf(total) * (rate - a.rate)
}

// progress learns from a running request that has received a cost so far.
func (a *account) progress(c redwingshunt.Cost, elapsed time.Duration) {
	if elapsed < progressLeast || c <= 0 {
		return
	}
	rate := float64(c) / elapsed.Seconds()
	if a.rate == 0 {
		a.rate = rate
		return
	}
	a.rate += rateWeight * (rate - a.rate)
}

// rateWeightOf returns the weight of one request in a rate: a long request says
// more than a short one.
func rateWeightOf(total time.Duration) float64 {
	return min(1, rateWeight*max(0.1, total.Seconds()))
}

// accountHeap orders accounts with waiting work by virtual time, after those
// of which a grant is due.
type accountHeap []*account

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].first != h[j].first {
		return h[i].first
	}
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
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

// least returns the least virtual time. The heap is not empty.
func (h accountHeap) least() exchanger.Units {
	if !h[0].first {
		return h[0].key
	}
	key := h[0].key
	for _, a := range h {
		key = min(key, a.key)
	}
	return key
}

// remove takes an account out of the heap.
func (h *accountHeap) remove(a *account) {
	if a.index >= 0 {
		heap.Remove(h, a.index)
	}
}

// place puts an account where it belongs, in or out of the heap.
func (h *accountHeap) place(a *account) {
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
