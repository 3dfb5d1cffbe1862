package retrier

import (
	"cmp"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// accountBurstRetries and instanceBurstRetries bound the accumulated retries.
	accountBurstRetries  = 10
	instanceBurstRetries = 50
	// refillPerSecond refills a bucket without traffic, in retries a second.
	refillPerSecond = 0.1
	// maxAccounts bounds the accounts with a bucket of their own.
	maxAccounts = 4096
)

// budget limits retries by one token bucket for each account and one for all.
type budget struct {
	percent  int
	instance bucket
	accounts map[redwingshunt.AccountID]*bucket
}

// bucket holds the remaining retries.
type bucket struct {
	remaining float64 // retries
	updated   time.Time
}

// newBudget returns a budget with full buckets. The percentage is that of retries
// to first attempts.
func newBudget(percent int) *budget {
	return &budget{
		percent:  percent,
		instance: bucket{remaining: instanceBurstRetries},
		accounts: make(map[redwingshunt.AccountID]*bucket),
	}
}

// deposit adds the retries that one first attempt allows.
func (b *budget) deposit(now time.Time, account redwingshunt.AccountID) {
	const hundred = 100
	share := float64(b.percent) / hundred
	b.instance.refill(now, share, instanceBurstRetries)
	b.account(now, account).refill(now, share, accountBurstRetries)
}

// withdraw takes one retry and reports whether both buckets had one.
func (b *budget) withdraw(now time.Time, account redwingshunt.AccountID) bool {
	if b.percent <= 0 {
		return false
	}
	own := b.account(now, account)
	own.refill(now, 0, accountBurstRetries)
	b.instance.refill(now, 0, instanceBurstRetries)
	if own.remaining < 1 || b.instance.remaining < 1 {
		return false
	}
	own.remaining--
	b.instance.remaining--
	return true
}

// account returns the bucket of an account.
func (b *budget) account(now time.Time, id redwingshunt.AccountID) *bucket {
	own := b.accounts[id]
	if own == nil {
		b.evictOldest()
		own = &bucket{remaining: accountBurstRetries, updated: now}
		b.accounts[id] = own
	}
	return own
}

// evictOldest evicts the account that has been idle longest if the map is full.
func (b *budget) evictOldest() {
	if len(b.accounts) < maxAccounts {
		return
	}
	var victim redwingshunt.AccountID
	var oldest *bucket
	for id, own := range b.accounts {
		if oldest == nil || cmp.Or(own.updated.Compare(oldest.updated), cmp.Compare(id, victim)) < 0 {
			victim, oldest = id, own
		}
	}
	delete(b.accounts, victim)
}

// refill adds retries and the refill since the last call. A clock that goes back adds
// no refill.
func (k *bucket) refill(now time.Time, retries float64, burst float64) {
	if elapsed := now.Sub(k.updated); !k.updated.IsZero() && elapsed > 0 {
		retries += elapsed.Seconds() * refillPerSecond
	}
	if now.After(k.updated) {
		k.updated = now
	}
	k.remaining = min(burst, k.remaining+retries)
}
