package relayer

// Which requests are served at the limit.

import (
	"sync"

	"github.com/redwingshunt/redwingshunt"
)

// reservePart is the part of the limit that is kept for accounts that hold less
// than it: one account that fills an instance does not shut out the others.
const reservePart = 8

// occupancy counts the requests that are served, by account.
type occupancy struct {
	mu    sync.Mutex
	of    map[redwingshunt.AccountID]int
	total int
}

// enter takes a place for a request of an account, unless a limit of all places
// allows none; zero is unlimited.
func (o *occupancy) enter(account redwingshunt.AccountID, limit int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	reserve := limit / reservePart
	if limit > 0 && o.total >= limit && (o.total >= limit+reserve || o.of[account] >= reserve) {
		return false
	}
	if o.of == nil {
		o.of = make(map[redwingshunt.AccountID]int)
	}
	o.of[account]++
	o.total++
	return true
}

// leave gives the place of a request back.
func (o *occupancy) leave(account redwingshunt.AccountID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.total--
	if o.of[account]--; o.of[account] == 0 {
		delete(o.of, account)
	}
}

// all returns the number of requests that are served.
func (o *occupancy) all() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.total
}
