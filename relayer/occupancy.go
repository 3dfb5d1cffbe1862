package relayer

// Accounting, by client account, of what requests share: the places of concurrent
// requests and the space of buffers.

import (
	"sync"

	"github.com/redwingshunt/redwingshunt"
)

// thresholdFactor is the multiple of the free amount that an account may hold
// (dynamic thresholds, as in shared-memory switches). A single account can hold 8 of
// 9 parts, two of them 8 of 17 each, and a part remains for accounts that hold
// little.
const thresholdFactor = 8

// occupancy counts the amounts held, in total and by account.
type occupancy struct {
	mu        sync.Mutex
	byAccount map[redwingshunt.AccountID]int
	total     int
}

// tryAcquire acquires an amount for an account, unless that exceeds the limit or the
// account's threshold. A limit of zero is unlimited.
func (o *occupancy) tryAcquire(account redwingshunt.AccountID, amount, limit int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	free := limit - o.total
	if limit > 0 && (amount > free || o.byAccount[account]+amount > thresholdFactor*free) {
		return false
	}
	o.add(account, amount)
	return true
}

// acquire acquires an amount for an account in any case and reports whether the
// total is beyond the limit. A limit of zero is unlimited.
func (o *occupancy) acquire(account redwingshunt.AccountID, amount, limit int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.add(account, amount)
	return limit > 0 && o.total > limit
}

// release releases an amount.
func (o *occupancy) release(account redwingshunt.AccountID, amount int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.add(account, -amount)
}

func (o *occupancy) add(account redwingshunt.AccountID, amount int) {
	if o.byAccount == nil {
		o.byAccount = make(map[redwingshunt.AccountID]int)
	}
	o.total += amount
	if o.byAccount[account] += amount; o.byAccount[account] == 0 {
		delete(o.byAccount, account)
	}
}

// sum returns the total amount held.
func (o *occupancy) sum() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.total
}
