package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// minReturnDelay and maxReturnDelay bound the delay between the return of a grant and
	// the next wait for one. The owner of the service usually gets the document within
	// milliseconds of this instance.
	minReturnDelay = 20 * time.Millisecond
	maxReturnDelay = 640 * time.Millisecond
	// maxReturnTime is the time after which a request is refused whose grants were all
	// returned. A document is in force on all instances in contact within that time.
	maxReturnTime = 5 * time.Second
)

// unusable returns the refusal of a request by the document in force if it may not be sent
// to an upstream: the availability zone is evacuated, or the region not allowed to the
// account. Otherwise it returns nil.
func (d *Dispatcher) unusable(e *redwingshunt.Exchange, u *redwingshunt.Upstream) *redwingshunt.OutcomeError {
	if d.options.Configuration == nil {
		return nil
	}
	snapshot := d.options.Configuration.Current()
	if snapshot == nil {
		return nil
	}
	if slices.Contains(snapshot.Document.Evacuated, u.Zone) {
		return redwingshunt.NotRun(redwingshunt.ReasonNoUpstream, http.StatusServiceUnavailable,
			"the granted upstream is in an evacuated availability zone").After(redwingshunt.RetrySoon)
	}
	if allowed := d.regionsOf(snapshot, e.Account); !allowed.Has(u.Region) {
		return redwingshunt.NotRun(redwingshunt.ReasonNoRegion, http.StatusServiceUnavailable,
			fmt.Sprint("the granted upstream is not in the allowed regions: ", allowed)).After(redwingshunt.RetrySoon)
	}
	return nil
}

// accountRegions are the allowed regions of all accounts of a snapshot, or nil if no
// account is limited.
type accountRegions struct {
	snapshot *redwingshunt.Snapshot
	regions  map[redwingshunt.AccountID]redwingshunt.AllowedRegions
}

// regionsOf returns the allowed regions of an account in a snapshot. An account that
// the snapshot has no more keeps its last list. The lists are read once a snapshot.
func (d *Dispatcher) regionsOf(snapshot *redwingshunt.Snapshot, account *redwingshunt.Account) redwingshunt.AllowedRegions {
	known := d.accountRegions.Load()
	if known == nil || known.snapshot != snapshot {
		known = &accountRegions{snapshot: snapshot}
		if slices.ContainsFunc(snapshot.Document.Accounts, func(a redwingshunt.Account) bool { return len(a.Regions) > 0 }) {
			known.regions = snapshot.Document.AccountRegions()
		}
		d.accountRegions.Store(known)
	}
	if known.regions == nil && len(account.Regions) == 0 {
		return redwingshunt.AllowedRegions{}
	}
	if allowed, ok := known.regions[account.Name]; ok {
		return allowed
	}
	return lastRegions(snapshot, account)
}

// lastRegions returns the regions of an account as its request was accepted, unless the
// snapshot has the account and limits none.
func lastRegions(snapshot *redwingshunt.Snapshot, account *redwingshunt.Account) redwingshunt.AllowedRegions {
	if slices.ContainsFunc(snapshot.Document.Accounts, func(a redwingshunt.Account) bool { return a.Name == account.Name }) {
		return redwingshunt.AllowedRegions{}
	}
	return redwingshunt.NewAllowedRegions(account.Regions...)
}

// acquire waits for a grant. An owner that has not got an evacuation or the regions of an
// account yet still grants upstreams that they exclude: such grants are returned. They are
// no attempts, so they do not count against the retry budget.
func (r *retryLoop) acquire(ctx context.Context) (redwingshunt.Grant, error) {
	d := r.dispatcher
	var first time.Time // return of a grant
	for delay := minReturnDelay; ; delay = min(2*delay, maxReturnDelay) {
		grant, err := d.options.Scheduler.Acquire(ctx, r.exchange.Request, r.avoid)
		if err != nil {
			return grant, err
		}
		refusal := d.unusable(r.exchange, &grant.Upstream)
		if refusal == nil {
			return grant, nil
		}
		d.options.Scheduler.Release(grant, redwingshunt.Result{})
		now := time.Now()
		d.logReturn(now, r.exchange.Request, &grant.Upstream, refusal.Reason)
		if first.IsZero() {
			first = now
		}
		if now.Sub(first) >= maxReturnTime {
			return redwingshunt.Grant{}, refusal
		}
		r.avoid.Add(grant.Upstream.ID)
		redwingshunt.Pause(ctx, delay)
	}
}

// returns counts the grants that were returned.
type returns struct {
	mu       sync.Mutex
	count    uint64
	loggedAt time.Time
	untold   int // without a log line since loggedAt
}

// logReturn counts the return of a grant, and logs one a second.
func (d *Dispatcher) logReturn(now time.Time, request *redwingshunt.Request, u *redwingshunt.Upstream, reason redwingshunt.Reason) {
	d.returns.mu.Lock()
	defer d.returns.mu.Unlock()
	d.returns.count++
	if now.Sub(d.returns.loggedAt) < time.Second {
		d.returns.untold++
		return
	}
	d.options.Logger.Info("unusable grant returned", "request", request.ID, "account", string(request.Account),
		"service", string(request.Service), "reason", string(reason), "upstream", string(u.ID),
		"region", string(u.Region), "zone", string(u.Zone), "untold", d.returns.untold)
	d.returns.loggedAt, d.returns.untold = now, 0
}

// returned returns the number of grants that were returned.
func (d *Dispatcher) returned() uint64 {
	d.returns.mu.Lock()
	defer d.returns.mu.Unlock()
	return d.returns.count
}
