package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// BenchmarkQueue adds and cancels a request while a tenth of 460 accounts have
// waiting requests that the owner knows of.
func BenchmarkQueue(b *testing.B) {
	const accounts, depth = 46, 8
	now := time.Unix(1000, 0)
	q := NewQueue(QueueOptions{Self: "node-a", Incarnation: 1, Region: "north", Service: "chat"})
	q.Step(now, OwnerChanged{ID: "node-b"})
	for i := range accounts * depth {
		account := redwingshunt.AccountID(fmt.Sprintf("account-%02d", i%accounts))
		q.Step(now, Arrived{Ticket: uint64(i + 1), Account: account, Bytes: 1})
	}
	b.ReportAllocs()
	for i := range b.N {
		ticket := uint64(accounts*depth + i + 1)
		q.Step(now, Arrived{Ticket: ticket, Account: "account-00", Bytes: 1})
		q.Step(now, Cancelled{Ticket: ticket})
	}
}
