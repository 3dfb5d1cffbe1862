// Package limiter bounds the requests of client accounts that wait on one instance,
// by their number and by the bytes of their bodies. Each account has its own bounds,
// so the full queue of one account does not cause refusals for another.
//
// Example: an account with a bound of 100 requests has 100 waiting. The next one is
// refused with queue-full and a retry delay in which half of the queue should drain.
// The request has not been run and the caller may resend it.
//
// # Usage
//
//	l := limiter.New(map[redwingshunt.AccountID]limiter.Bound{"a": {Requests: 100, Bytes: 1 << 20}})
//	if refusal := l.Enter(now, "a", bytes); refusal != nil {
//		return refusal
//	}
//	defer l.Leave(now, "a", bytes)
package limiter

import (
	"net/http"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	defaultRequests = 1000     // requests
	defaultBytes    = 64 << 20 // bytes

	// minRetryAfter and maxRetryAfter bound the retry delay of a refusal.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second

	// drainWindow is the time constant of the moving average of the departure rate.
	drainWindow = 10 * time.Second
)

// Bound limits the waiting requests of one account. Zero stands for the default:
// 1000 requests, 64 MiB.
type Bound struct {
	Requests int
	Bytes    int64
}

type usage struct {
	requests      int
	bytes         int64
	rate          float64 // departures per second
	lastDeparture time.Time
}

// Limiter counts the waiting requests of each account. It is not safe for concurrent
// use.
type Limiter struct {
	bounds map[redwingshunt.AccountID]Bound
	usages map[redwingshunt.AccountID]*usage
}

// New returns a limiter with the given bounds. Accounts without one have the default.
func New(bounds map[redwingshunt.AccountID]Bound) *Limiter {
	return &Limiter{bounds: bounds, usages: map[redwingshunt.AccountID]*usage{}}
}

// Configure replaces the bounds. Requests that already wait are not refused.
func (l *Limiter) Configure(bounds map[redwingshunt.AccountID]Bound) { l.bounds = bounds }

// Enter adds a waiting request, or returns the refusal when a bound of the account is
// reached.
func (l *Limiter) Enter(now time.Time, a redwingshunt.AccountID, bytes int64) *redwingshunt.OutcomeError {
	u := l.usages[a]
	if u == nil {
		u = &usage{lastDeparture: now}
		l.usages[a] = u
	}
	b := l.bound(a)
	if u.requests+1 > b.Requests {
		return refusal("the queue of this account holds its limit of requests", u.retryAfter())
	}
	if u.bytes+bytes > b.Bytes {
		return refusal("the queue of this account holds its limit of bytes", u.retryAfter())
	}
	u.requests++
	u.bytes += bytes
	return nil
}

// Leave removes a request that Enter has added.
func (l *Limiter) Leave(now time.Time, a redwingshunt.AccountID, bytes int64) {
	u := l.usages[a]
	if u == nil {
		return
	}
	u.requests--
	u.bytes -= bytes
	u.recordDeparture(now)
	if u.requests <= 0 {
		delete(l.usages, a)
	}
}

// Waiting returns the number of waiting requests of an account.
func (l *Limiter) Waiting(a redwingshunt.AccountID) int {
	if u := l.usages[a]; u != nil {
		return u.requests
	}
	return 0
}

func (l *Limiter) bound(a redwingshunt.AccountID) Bound {
	b := l.bounds[a]
	if b.Requests <= 0 {
		b.Requests = defaultRequests
	}
	if b.Bytes <= 0 {
		b.Bytes = defaultBytes
	}
	return b
}

func refusal(detail string, retryAfter time.Duration) *redwingshunt.OutcomeError {
	e := redwingshunt.NotRun(redwingshunt.ReasonQueueFull, http.StatusTooManyRequests, detail)
	return e.After(retryAfter)
}

// recordDeparture updates the departure rate.
func (u *usage) recordDeparture(now time.Time) {
	gap := now.Sub(u.lastDeparture).Seconds()
	u.lastDeparture = now
	weight := min(1, gap/drainWindow.Seconds())
	u.rate = u.rate*(1-weight) + 1/drainWindow.Seconds()
}

// retryAfter returns the time in which half of the queue should drain, between
// minRetryAfter and maxRetryAfter.
func (u *usage) retryAfter() time.Duration {
	if u.rate <= 0 {
		return minRetryAfter
	}
	d := time.Duration(float64(u.requests) / u.rate / 2 * float64(time.Second))
	return min(max(d, minRetryAfter).Round(time.Second), maxRetryAfter)
}
