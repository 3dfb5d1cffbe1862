// Package limiter bounds what the client accounts may have waiting on one
// instance, in requests and in bytes of bodies. Each account has bounds of its
// own, so the full queue of one account never refuses another's request.
//
// Example: an account with a queue of 100 requests that has 100 waiting gets
// queue-full for the next one, with the time in which its queue should drain.
// The request was not run and the caller may resend it.
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

	retryLeast = time.Second
	retryMost  = 30 * time.Second

	// drainWindow is the time over which the rate of departures is averaged.
	drainWindow = 10 * time.Second
)

// Bound is what one account may have waiting; zero takes the default.
type Bound struct {
	Requests int
	Bytes    int64
}

type usage struct {
	requests int
	bytes    int64
	rate     float64 // departures a second
	left     time.Time
}

// Limiter counts what waits.
type Limiter struct {
	bounds map[redwingshunt.AccountID]Bound
	usages map[redwingshunt.AccountID]*usage
}

// New returns a limiter with the given bounds.
func New(bounds map[redwingshunt.AccountID]Bound) *Limiter {
	return &Limiter{bounds: bounds, usages: map[redwingshunt.AccountID]*usage{}}
}

// Configure replaces the bounds. What waits already stays.
func (l *Limiter) Configure(bounds map[redwingshunt.AccountID]Bound) { l.bounds = bounds }

// Enter counts a request in, or returns why it may not wait.
func (l *Limiter) Enter(now time.Time, a redwingshunt.AccountID, bytes int64) *redwingshunt.OutcomeError {
	u := l.usages[a]
	if u == nil {
		u = &usage{left: now}
		l.usages[a] = u
	}
	b := l.bound(a)
	if u.requests+1 > b.Requests {
		return refusal("the queue of this account holds its limit of requests", u.drain())
	}
	if u.bytes+bytes > b.Bytes {
		return refusal("the queue of this account holds its limit of bytes", u.drain())
	}
	u.requests++
	u.bytes += bytes
	return nil
}

// Leave counts a request out.
func (l *Limiter) Leave(now time.Time, a redwingshunt.AccountID, bytes int64) {
	u := l.usages[a]
	if u == nil {
		return
	}
	u.requests--
	u.bytes -= bytes
	u.note(now)
	if u.requests <= 0 {
		delete(l.usages, a)
	}
}

// Waiting returns the number of requests of an account that wait.
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

func refusal(detail string, after time.Duration) *redwingshunt.OutcomeError {
	e := redwingshunt.NotRun(redwingshunt.ReasonQueueFull, http.StatusTooManyRequests, detail)
	return e.After(after)
}

// note takes a departure into the rate.
func (u *usage) note(now time.Time) {
	gap := now.Sub(u.left).Seconds()
	u.left = now
	weight := min(1, gap/drainWindow.Seconds())
	u.rate = u.rate*(1-weight) + 1/drainWindow.Seconds()
}

// drain returns the time in which half of the queue should be gone.
func (u *usage) drain() time.Duration {
	if u.rate <= 0 {
		return retryLeast
	}
	d := time.Duration(float64(u.requests) / u.rate / 2 * float64(time.Second))
	return min(max(d, retryLeast).Round(time.Second), retryMost)
}
