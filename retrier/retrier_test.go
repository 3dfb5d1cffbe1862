package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/retrier"
)

var start = time.Unix(1000, 0)

func policy(percent int) *retrier.Policy {
	return retrier.New(percent, rand.New(rand.NewPCG(6, 1)))
}

// TestDecide checks the decision after every combination of an attempt's fields.
func TestDecide(t *testing.T) {
	is := is.New(t)
	booleans := []bool{false, true}
	causes := []retrier.Cause{
		retrier.Unreachable, retrier.Refused, retrier.Lost, retrier.Stalled, retrier.Malformed,
	}
	seen := make(map[retrier.Kind]int)
	for _, cause := range causes {
		for bits := range 32 {
			a := retrier.Attempt{
				Account: "lin", Cause: cause, Number: 1 + bits&1, Retries: 1,
				Once:              booleans[bits>>1&1],
				EarlierMayHaveRun: booleans[bits>>2&1],
				ResponseStarted:   booleans[bits>>3&1],
				Resumable:         booleans[bits>>4&1],
			}
			d := policy(20).Decide(start, a)
			seen[d.Kind]++
			began := a.EarlierMayHaveRun || cause >= retrier.Lost
			if d.Kind == retrier.Retry {
				is.True(!a.ResponseStarted)    // not after a byte of the response
				is.True(!a.Once || !began)     // no second run
				is.True(a.Number <= 1)         // within the allowed attempts
				is.True(d.After < time.Second) // backoff
			}
			if d.Kind == retrier.Resume {
				is.True(a.ResponseStarted && a.Resumable)
			}
			if d.Kind == retrier.Fail {
				notRun := d.Outcome.Outcome == redwingshunt.OutcomeNotRun
				is.True(!notRun || !began && !a.ResponseStarted)
				is.True(notRun || began || a.ResponseStarted)
			}
		}
	}
	is.Equal(len(seen), 3)
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	p := policy(20)
	a := retrier.Attempt{Account: "lin", Cause: retrier.Lost, Number: 1, Retries: 3}
	retries := 0
	for range 1000 { // an outage in which each attempt fails
		p.First(start, "lin")
		if p.Decide(start, a).Kind == retrier.Retry {
			retries++
		}
	}
	is.True(retries <= 200+10) // 20 percent of the first attempts, and the burst
	is.True(retries >= 200)
	is.Equal(p.Decide(start, a).Outcome.Reason, redwingshunt.ReasonRetryBudget)
	other := a
	other.Account = "kowhai"
	is.Equal(p.Decide(start, other).Kind, retrier.Retry) // has its own budget
	is.Equal(p.Decide(start.Add(time.Minute), a).Kind, retrier.Retry)
	is.Equal(policy(0).Decide(start, a).Kind, retrier.Fail)
}

func TestDeadline(t *testing.T) {
	is := is.New(t)
	a := retrier.Attempt{Account: "lin", Number: 1, Retries: 3, Deadline: start}
	d := policy(20).Decide(start, a)
	is.Equal(d.Outcome.Reason, redwingshunt.ReasonDeadline)
	is.Equal(d.Outcome.Outcome, redwingshunt.OutcomeNotRun)
}

func TestPosition(t *testing.T) {
	tests := map[string]struct {
		offsets []uint64
		passed  int
		gap     bool
	}{
		"in order":               {[]uint64{0, 1, 2}, 3, false},
		"resumed with overlap":   {[]uint64{0, 1, 2, 1, 2, 3}, 4, false},
		"resumed with a gap":     {[]uint64{0, 1, 3}, 2, true},
		"resumed from the start": {[]uint64{0, 1, 0, 1, 2}, 3, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p retrier.Position
			passed, gap := 0, false
			for _, offset := range test.offsets {
				ok, err := p.Accept(offset)
				if ok {
					passed++
				}
				gap = gap || err != nil
			}
			is.Equal(passed, test.passed)
			is.Equal(gap, test.gap)
		})
	}
}
