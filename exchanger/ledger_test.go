package exchanger

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/redwingshunt/redwingshunt"
)

// TestMergeInAnyOrder checks that ledgers converge whatever the order of the messages
// and however often they arrive, as long as the last one of each origin arrives.
func TestMergeInAnyOrder(t *testing.T) {
	accounts := []redwingshunt.AccountID{"x", "y"}
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		type message struct {
			from    Origin
			account redwingshunt.AccountID
			units   Units
		}
		var sent []message
		sum := map[redwingshunt.AccountID]Units{}
		counted := map[message]Units{} // by origin and account
		for range rapid.IntRange(1, 20).Draw(t, "charges") {
			m := message{from: Origin{"a", redwingshunt.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))}}
			m.account = rapid.SampledFrom(accounts).Draw(t, "account")
			grown := Units(rapid.IntRange(1, 100).Draw(t, "units"))
			counted[m] += grown
			sum[m.account] += grown
			sent = append(sent, message{m.from, m.account, counted[m]})
		}
		sent = append(sent, rapid.SliceOfN(rapid.SampledFrom(sent), 0, 10).Draw(t, "doubles")...)
		l := NewLedger(Origin{"b", 1})
		for _, i := range rapid.Permutation(indexes(len(sent))).Draw(t, "order") {
			l.Merge(time.Time{}, sent[i].from, sent[i].account, sent[i].units)
		}
		for _, a := range accounts {
			is.Equal(l.Virtual(a), sum[a])
		}
	})
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// TestFoldKeepsVirtualTime checks that old columns are folded without a change of
// virtual times.
func TestFoldKeepsVirtualTime(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Origin{"a", 1})
	now := time.Unix(0, 0)
	for i := range redwingshunt.Incarnation(3 * maxColumns) {
		now = now.Add(time.Second)
		l.Merge(now, Origin{"b", i + 1}, "x", 10)
	}
	is.True(len(l.Origins()) <= maxColumns)
	is.Equal(l.Virtual("x"), Units(30*maxColumns))
	l.Fold(now.Add(time.Hour))
	is.Equal(len(l.Origins()), 2) // itself and the newest of b
	is.Equal(l.Virtual("x"), Units(30*maxColumns))
}

// TestLift checks that an account gets no credit for the time in which it was idle.
func TestLift(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Origin{"a", 1})
	l.Charge("x", 100)
	is.True(l.Lift("y", 80))
	is.True(!l.Lift("x", 80)) // already ahead
	l.Raise("y", 80)          // a repeated message
	is.Equal(l.Virtual("y"), Units(80))
	l.Merge(time.Time{}, Origin{"b", 1}, "y", 5)
	is.Equal(l.Virtual("y"), Units(85))
}
