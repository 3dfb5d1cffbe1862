// Package queuer schedules first come, first served on one instance. It knows
// nothing of shares or of other instances, and stands as the baseline that the
// fair scheduler is compared with.
//
// # Usage
//
//	q := queuer.New(time.Now)
//	q.Announce(upstream, load, ttl)
//	grant, err := q.Acquire(ctx, request, nil)
//	q.Release(grant, result)
package queuer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// Queuer is a redwingshunt.Scheduler and a redwingshunt.Directory.
type Queuer struct {
	now func() time.Time

	mu        sync.Mutex
	last      uint64
	upstreams map[redwingshunt.UpstreamKey]*entry
	waiting   map[redwingshunt.ServiceID][]*waiter
	service   map[redwingshunt.AccountID]redwingshunt.Cost
}

type entry struct {
	upstream redwingshunt.Upstream
	expires  time.Time
	running  int
}

type waiter struct {
	request *redwingshunt.Request
	avoid   redwingshunt.Set[redwingshunt.UpstreamID]
	granted chan redwingshunt.Grant
}

// New returns a queuer that knows no upstream.
func New(now func() time.Time) *Queuer {
	return &Queuer{
		now:       now,
		upstreams: make(map[redwingshunt.UpstreamKey]*entry),
		waiting:   make(map[redwingshunt.ServiceID][]*waiter),
		service:   make(map[redwingshunt.AccountID]redwingshunt.Cost),
	}
}

// Announce adds or renews an upstream.
func (q *Queuer) Announce(u redwingshunt.Upstream, _ redwingshunt.LoadReport, ttl time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	known, ok := q.upstreams[u.Key()]
	if !ok {
		known = &entry{}
		q.upstreams[u.Key()] = known
	}
	known.upstream = u
	known.expires = q.now().Add(ttl)
	q.serve(u.Service)
}

// Leave stops new work for an upstream.
func (q *Queuer) Leave(key redwingshunt.UpstreamKey) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.upstreams, key)
}

// Acquire waits for a slot in the order of arrival.
func (q *Queuer) Acquire(
	ctx context.Context, r *redwingshunt.Request, avoid redwingshunt.Set[redwingshunt.UpstreamID],
) (redwingshunt.Grant, error) {
	w := &waiter{request: r, avoid: avoid, granted: make(chan redwingshunt.Grant, 1)}
	q.mu.Lock()
	q.waiting[r.Service] = append(q.waiting[r.Service], w)
	q.serve(r.Service)
	q.mu.Unlock()
	select {
	case grant := <-w.granted:
		return grant, nil
	case <-ctx.Done():
		return q.withdraw(ctx, w)
	}
}

func (q *Queuer) withdraw(ctx context.Context, w *waiter) (redwingshunt.Grant, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case grant := <-w.granted: // granted meanwhile
		return grant, nil
	default:
	}
	queue := q.waiting[w.request.Service]
	q.waiting[w.request.Service] = slices.DeleteFunc(queue, func(other *waiter) bool { return other == w })
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return redwingshunt.Grant{}, redwingshunt.NotRun(redwingshunt.ReasonCancelled, 499, "the caller went away")
	}
	return redwingshunt.Grant{}, redwingshunt.NotRun(redwingshunt.ReasonDeadline, http.StatusServiceUnavailable,
		"no upstream had a free slot in time").After(redwingshunt.RetrySoon)
}

// Charge adds service that a running request has received.
func (q *Queuer) Charge(g redwingshunt.Grant, delta redwingshunt.Cost) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.service[g.Account] += delta
}

// Release gives the slot back.
func (q *Queuer) Release(g redwingshunt.Grant, _ redwingshunt.Result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if known, ok := q.upstreams[g.Upstream.Key()]; ok && known.running > 0 {
		known.running--
	}
	q.serve(g.Service)
}

// serve grants free slots to the oldest waiters of a service.
func (q *Queuer) serve(service redwingshunt.ServiceID) {
	for len(q.waiting[service]) > 0 {
		w := q.waiting[service][0]
		free := q.pick(service, w.avoid)
		if free == nil {
			return
		}
		q.waiting[service] = q.waiting[service][1:]
		free.running++
		q.last++
		w.granted <- redwingshunt.Grant{
			ID: q.last, Service: service, Account: w.request.Account, Upstream: free.upstream,
		}
	}
}

// pick returns the least loaded live upstream with a free slot, one that is
// not to be avoided if there is any.
func (q *Queuer) pick(service redwingshunt.ServiceID, avoid redwingshunt.Set[redwingshunt.UpstreamID]) *entry {
	now := q.now()
	var best *entry
	better := func(a, b *entry) bool {
		if avoidA, avoidB := avoid.Has(a.upstream.ID), avoid.Has(b.upstream.ID); avoidA != avoidB {
			return avoidB
		}
		if a.running != b.running {
			return a.running < b.running
		}
		return a.upstream.ID < b.upstream.ID
	}
	for key, e := range q.upstreams {
		if now.After(e.expires) {
			delete(q.upstreams, key)
			continue
		}
		if key.Service != service || e.running >= e.upstream.Slots {
			continue
		}
		if best == nil || better(e, best) {
			best = e
		}
	}
	return best
}
