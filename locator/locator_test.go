package locator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/locator"
	"github.com/redwingshunt/redwingshunt/replicator"
)

// view returns the view of the leader "a" in south of a group whose home is north,
// where "b" is a voter.
func view() locator.View {
	a, b := replicator.MemberID{Instance: "a", Folder: 1}, replicator.MemberID{Instance: "b", Folder: 2}
	return locator.View{
		Home: redwingshunt.Some[redwingshunt.RegionID]("north"),
		Live: []redwingshunt.Instance{{ID: "a", Region: "south"}, {ID: "b", Region: "north"}},
		Status: replicator.Status{
			Self: a, Role: replicator.RoleLeader, Term: 3, Commit: 1000, Membership: replicator.NewMembership(a, b),
			Members: []replicator.MemberStatus{{ID: a, Match: 1000, Alive: true}, {ID: b, Match: 990, Alive: true}},
		},
	}
}

// targetSeconds calls Target once a second and returns the seconds at which it
// returned "b".
func targetSeconds(l *locator.Locator, from, to int, change func(second int, v *locator.View)) []int {
	var seconds []int
	for second := from; second < to; second++ {
		v := view()
		change(second, &v)
		target, ok := l.Target(time.Unix(int64(second), 0), 1, v).Get()
		if ok && target.Instance == "b" {
			seconds = append(seconds, second)
		}
	}
	return seconds
}

func TestTarget(t *testing.T) {
	settle := int(locator.StableTime / time.Second)
	tests := map[string]struct {
		change func(int, *locator.View)
		want   []int
	}{
		"away":      {func(int, *locator.View) {}, []int{settle, settle + 1 + 2*settle}}, // the first transfer failed, so the wait doubles from the next call on
		"no home":   {func(_ int, v *locator.View) { v.Home = redwingshunt.None[redwingshunt.RegionID]() }, nil},
		"at home":   {func(_ int, v *locator.View) { v.Live[0].Region = "north" }, nil},
		"follower":  {func(_ int, v *locator.View) { v.Status.Role = replicator.RoleFollower }, nil},
		"pending":   {func(_ int, v *locator.View) { v.Status.Pending = true }, nil},
		"leaving":   {func(_ int, v *locator.View) { v.Live[1].Leaving = true }, nil},
		"not live":  {func(_ int, v *locator.View) { v.Live = v.Live[:1] }, nil},
		"silent":    {func(_ int, v *locator.View) { v.Status.Members[1].Alive = false }, nil},
		"behind":    {func(_ int, v *locator.View) { v.Status.Members[1].Match = 900 }, nil},
		"learner":   {func(_ int, v *locator.View) { v.Status.Membership[1].Voter = false }, nil},
		"flapping":  {func(s int, v *locator.View) { v.Status.Members[1].Alive = s%settle > 0 }, nil},
		"new terms": {func(s int, v *locator.View) { v.Status.Term = uint64(s / settle) }, nil},
		"changing home": {func(s int, v *locator.View) {
			if s/(settle/2)%2 == 0 {
				v.Home = redwingshunt.Some[redwingshunt.RegionID]("west")
			}
		}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(targetSeconds(locator.New(), 0, 4*settle, test.change), test.want)
		})
	}
}

// TestClockJump checks that a clock jump does not count as a stable period, and that
// the wait returns to StableTime after BackoffReset without a transfer.
func TestClockJump(t *testing.T) {
	is := is.New(t)
	l := locator.New()
	unchanged := func(int, *locator.View) {}
	is.Equal(len(targetSeconds(l, 0, 10, unchanged)), 0)
	is.Equal(len(targetSeconds(l, 100_000, 100_040, unchanged)), 0)
	is.Equal(len(targetSeconds(l, 50, 55, unchanged)), 0)
	is.Equal(len(targetSeconds(l, 55, 75, unchanged)), 1)
	atHome := func(_ int, v *locator.View) { v.Live[0].Region = "north" }
	calm := 75 + int(locator.BackoffReset/time.Second)
	is.Equal(len(targetSeconds(l, 75, calm, atHome)), 0)
	is.Equal(targetSeconds(l, calm, calm+70, unchanged), []int{calm + 60})
}
