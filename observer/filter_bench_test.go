package observer

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/redwingshunt/redwingshunt"
)

// BenchmarkEnded measures recording the end of a request.
func BenchmarkEnded(b *testing.B) {
	o := New(tally.NewTestScope("", nil), Sources{})
	e := &redwingshunt.Exchange{
		Account: &redwingshunt.Account{Name: "alpha"}, Service: &redwingshunt.Service{Name: "desk"},
	}
	b.ReportAllocs()
	for range b.N {
		o.ended(e, nil, time.Millisecond)
	}
}
