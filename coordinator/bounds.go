package coordinator

import (
	"sync"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/limiter"
)

// bounds is a limiter that all services share, since the document bounds the waiting
// requests of an account per instance and not per service.
type bounds struct {
	mu      sync.Mutex
	limiter *limiter.Limiter
}

func newBounds() *bounds { return &bounds{limiter: limiter.New(nil)} }

// Configure implements scheduler.Bounds.
func (b *bounds) Configure(list map[redwingshunt.AccountID]limiter.Bound) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limiter.Configure(list)
}

// Enter implements scheduler.Bounds.
func (b *bounds) Enter(now time.Time, a redwingshunt.AccountID, bytes int64) *redwingshunt.OutcomeError {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limiter.Enter(now, a, bytes)
}

// Leave implements scheduler.Bounds.
func (b *bounds) Leave(now time.Time, a redwingshunt.AccountID, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limiter.Leave(now, a, bytes)
}
