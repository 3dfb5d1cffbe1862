package relayer

// Who holds how much of what requests share: places at the limit, and room.

import (
	"sync"

	"github.com/redwingshunt/redwingshunt"
)

// freeTimes is how many times of what is free an account may hold: one that
// asks most holds 8 of 9 parts, two of them 8 of 17 each, and there is a part
// for accounts that hold little. (Dynamic thresholds, as of shared buffers.)
const freeTimes = 8

// occupancy counts what is held, by account.
type occupancy struct {
	mu    sync.Mutex
	of    map[redwingshunt.AccountID]int
	total int
}

// enter takes an amount for an account, unless that is beyond a limit or the
// account holds too much; zero is unlimited.
func (o *occupancy) enter(account redwingshunt.AccountID, amount, limit int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	free := limit - o.total
	if limit > 0 && (amount > free || o.of[account]+amount > freeTimes*free) {
		return false
	}
	o.add(account, amount)
	return true
}

// exceed takes an amount for an account in any case, and reports whether that is
// beyond a limit; zero is unlimited.
func (o *occupancy) exceed(account redwingshunt.AccountID, amount, limit int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.add(account, amount)
	return limit > 0 && o.total > limit
}

// leave gives an amount back.
func (o *occupancy) leave(account redwingshunt.AccountID, amount int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.add(account, -amount)
}

func (o *occupancy) add(account redwingshunt.AccountID, amount int) {
	if o.of == nil {
		o.of = make(map[redwingshunt.AccountID]int)
	}
	o.total += amount
	if o.of[account] += amount; o.of[account] == 0 {
		delete(o.of, account)
	}
}

// all returns what is held.
func (o *occupancy) all() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.total
}
