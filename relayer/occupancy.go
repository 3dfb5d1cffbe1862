package relayer

// Which requests are served at the limit.

import (
	"sync"

	"github.com/redwingshunt/redwingshunt"
)

// freeTimes is how many times the free places an account may hold: one that
// sends most holds 8 of 9 places, two of them 8 of 17 each, and there is a place
// for accounts that hold few. (Dynamic thresholds, as of shared buffers.)
const freeTimes = 8

// occupancy counts the requests that are served, by account.
type occupancy struct {
	mu    sync.Mutex
	of    map[redwingshunt.AccountID]int
	total int
}

// enter takes a place for a request of an account, unless all places of a limit
// are taken or the account holds too many; zero is unlimited.
func (o *occupancy) enter(account redwingshunt.AccountID, limit int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if limit > 0 && o.of[account] >= freeTimes*(limit-o.total) {
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
