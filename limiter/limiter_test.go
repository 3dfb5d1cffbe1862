package limiter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

func TestLimits(t *testing.T) {
	now := time.Unix(0, 0)
	bounds := map[redwingshunt.AccountID]Bound{"a": {Requests: 2, Bytes: 100}}
	tests := map[string]struct {
		enter   []int64 // sizes in bytes of the waiting requests of account a
		bytes   int64
		refused bool
	}{
		"empty":         {bytes: 100},
		"requests full": {enter: []int64{1, 1}, bytes: 1, refused: true},
		"bytes full":    {enter: []int64{60}, bytes: 41, refused: true},
		"bytes exactly": {enter: []int64{60}, bytes: 40},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := New(bounds)
			for _, b := range test.enter {
				is.True(l.Enter(now, "a", b) == nil)
			}
			err := l.Enter(now, "a", test.bytes)
			is.Equal(err != nil, test.refused)
			if err != nil {
				is.Equal(err.Outcome, redwingshunt.OutcomeNotRun)
				is.Equal(err.Reason, redwingshunt.ReasonQueueFull)
				is.True(err.RetryAfter > 0)
			}
			is.True(l.Enter(now, "b", 1) == nil) // another account is not refused
			for _, b := range test.enter {
				l.Leave(now, "a", b)
			}
		})
	}
}
