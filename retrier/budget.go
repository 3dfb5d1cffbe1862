package retrier

import (
	"cmp"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// accountBurst and instanceBurst bound the accumulated retries.
	accountBurst  = 10
	instanceBurst = 50
	// trickle refills a bucket without traffic, in retries a second.
	trickle = 0.1
	// maxAccounts bounds the accounts with a bucket of their own.
	maxAccounts = 4096
)

// budget limits retries by one token bucket for each account and one for all.
type budget struct {
	percent  int
	all      bucket
	accounts map[redwingshunt.AccountID]*bucket
}

// bucket holds the remaining retries.
type bucket struct {
	level float64 // retries
	at    time.Time
}

// newBudget returns a budget with full buckets. The percentage is that of retries
// to first attempts.
func newBudget(percent int) *budget {
	return &budget{
		percent:  percent,
		all:      bucket{level: instanceBurst},
		accounts: make(map[redwingshunt.AccountID]*bucket),
	}
}

// deposit adds the retries that one first attempt allows.
func (b *budget) deposit(now time.Time, account redwingshunt.AccountID) {
	const hundred = 100
	share := float64(b.percent) / hundred
	b.all.fill(now, share, instanceBurst)
	b.account(now, account).fill(now, share, accountBurst)
}

// withdraw takes one retry and reports whether both buckets had one.
func (b *budget) withdraw(now time.Time, account redwingshunt.AccountID) bool {
	if b.percent <= 0 {
		return false
	}
	own := b.account(now, account)
	own.fill(now, 0, accountBurst)
	b.all.fill(now, 0, instanceBurst)
	if own.level < 1 || b.all.level < 1 {
		return false
	}
	own.level--
	b.all.level--
	return true
}

// account returns the bucket of an account.
func (b *budget) account(now time.Time, id redwingshunt.AccountID) *bucket {
	own := b.accounts[id]
	if own == nil {
		b.makeRoom()
		own = &bucket{level: accountBurst, at: now}
		b.accounts[id] = own
	}
	return own
}

// makeRoom evicts the account that has been idle longest if the map is full.
func (b *budget) makeRoom() {
	if len(b.accounts) < maxAccounts {
		return
	}
	var victim redwingshunt.AccountID
	var oldest *bucket
	for id, own := range b.accounts {
		if oldest == nil || cmp.Or(own.at.Compare(oldest.at), cmp.Compare(id, victim)) < 0 {
			victim, oldest = id, own
		}
	}
	delete(b.accounts, victim)
}

// fill adds retries and the refill since the last call. A clock that goes back adds
// no refill.
func (k *bucket) fill(now time.Time, retries float64, burst float64) {
	if elapsed := now.Sub(k.at); !k.at.IsZero() && elapsed > 0 {
		retries += elapsed.Seconds() * trickle
	}
	if now.After(k.at) {
		k.at = now
	}
	k.level = min(burst, k.level+retries)
}
