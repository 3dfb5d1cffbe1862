package placer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

var begin = time.Unix(1_000_000, 0)

// engines returns n upstreams of service s in a region.
func engines(n int, region redwingshunt.RegionID) []redwingshunt.UpstreamState {
	var states []redwingshunt.UpstreamState
	for i := range n {
		states = append(states, redwingshunt.UpstreamState{
			Upstream: redwingshunt.Upstream{
				ID: redwingshunt.UpstreamID(fmt.Sprintf("%s-%02d", region, i)), Service: "s", Region: region, Slots: 64,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			},
			Born: begin, Sequence: 1,
		})
	}
	return states
}

func document(tokens int64) *redwingshunt.Document {
	return &redwingshunt.Document{
		Services: []redwingshunt.Service{
			{Name: "s", Kind: redwingshunt.ServiceEngine, Engine: redwingshunt.Engine{Slots: 64, Memory: 600_000}},
			{Name: "p", Kind: redwingshunt.ServicePlain},
		},
		Limits: redwingshunt.RequestLimits{Tokens: tokens},
	}
}

func newCore(n int) *Core {
	c := New(Options{Region: "north", Budget: redwingshunt.RepeatBudget{Ratio: 20, Extra: 8, Window: 10 * time.Second}})
	c.Configure(document(0))
	c.SetUpstreams(engines(n, "north"))
	return c
}

var plan = &redwingshunt.Route{Name: "plan", Kind: redwingshunt.RouteStream, Aim: 800 * time.Millisecond, Limit: 10 * time.Second, Attempts: 2, Prompt: true}

// about returns a placement of a request about a thing.
func about(thing string) *redwingshunt.Placement {
	return &redwingshunt.Placement{
		Service: "s", Account: "alpha", Route: plan, Attempt: 1,
		Prompt: []redwingshunt.Part{{ID: "all", Tokens: 800}, {ID: thing, Tokens: 12_500}, {ID: "own-" + thing, Tokens: 100}},
	}
}

// TestHome sends requests about one thing from several routers to one upstream,
// and those about many things to all.
func TestHome(t *testing.T) {
	is := is.New(t)
	homes := redwingshunt.NewSet[redwingshunt.UpstreamID]()
	for thing := range 100 {
		name := fmt.Sprint("thing-", thing)
		first, _ := newCore(6).Place(begin, about(name))
		second, _ := newCore(6).Place(begin, about(name))
		is.Equal(first.Upstream.ID, second.Upstream.ID)
		homes.Add(first.Upstream.ID)
	}
	is.Equal(len(homes), 6)
}

// TestHomesStay moves only the things of an upstream that is gone.
func TestHomesStay(t *testing.T) {
	is := is.New(t)
	c := newCore(6)
	gone := engines(6, "north")[2].ID
	for thing := range 200 {
		name := fmt.Sprint("thing-", thing)
		c.SetUpstreams(engines(6, "north"))
		before, _ := c.Place(begin, about(name))
		c.End(begin, before.Ticket, redwingshunt.EndComplete)
		states := engines(6, "north")
		c.SetUpstreams(append(states[:2:2], states[3:]...))
		after, _ := c.Place(begin, about(name))
		c.End(begin, after.Ticket, redwingshunt.EndComplete)
		if before.Upstream.ID != gone {
			is.Equal(before.Upstream.ID, after.Upstream.ID)
		}
	}
}

// TestLeavesBusyHome goes to an idle upstream when the wait at home is longer
// than reading anew, and stays when all are as busy.
func TestLeavesBusyHome(t *testing.T) {
	tests := map[string]struct {
		home, others uint32 // unread tokens
		stays        bool
	}{
		"idle":        {0, 0, true},
		"a little":    {9_000, 0, true},
		"home busy":   {45_000, 0, false},
		"all as busy": {30_000, 30_000, true},
		"all busy":    {36_000, 20_000, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCore(6)
			home, _ := c.Place(begin, about("x"))
			c.End(begin, home.Ticket, redwingshunt.EndComplete)
			loads := &wire.Loads{Sequence: 1}
			for _, u := range engines(6, "north") {
				unread := test.others
				if u.ID == home.Upstream.ID {
					unread = test.home
				}
				loads.Upstreams = append(loads.Upstreams, &wire.UpstreamLoad{Id: string(u.ID), Service: "s", Unread: unread, Running: 1})
			}
			c.Heard(begin, "other", loads)
			placed, refusal := c.Place(begin, about("x"))
			is.True(refusal == nil)
			is.Equal(placed.Upstream.ID == home.Upstream.ID, test.stays)
		})
	}
}

// TestRefusal refuses at once what could not be answered in time, and says when
// there will be room.
func TestRefusal(t *testing.T) {
	is := is.New(t)
	c := newCore(2)
	tell := func(unread uint32, sequence uint64) {
		loads := &wire.Loads{Sequence: sequence}
		for _, u := range engines(2, "north") {
			loads.Upstreams = append(loads.Upstreams, &wire.UpstreamLoad{Id: string(u.ID), Service: "s", Unread: unread, Running: 9})
		}
		c.Heard(begin, "other", loads)
	}
	tell(20_000, 1)
	_, refusal := c.Place(begin, about("x"))
	is.True(refusal == nil)
	tell(120_000, 2) // two seconds of reading
	_, refusal = c.Place(begin, about("x"))
	is.True(refusal != nil)
	is.Equal(refusal.Reason, redwingshunt.ReasonQueueFull)
	is.True(refusal.After >= time.Second && refusal.After <= 2*time.Second)
	_, refusal = c.Place(begin.Add(refusal.After+100*time.Millisecond), about("x"))
	is.True(refusal == nil) // there is room when it said so
	repeated := about("x")
	repeated.Attempt = 2
	tell(120_000, 3)
	_, refusal = c.Place(begin, repeated)
	is.True(refusal == nil) // it has been admitted once
	repeated.Deadline = begin.Add(time.Second)
	_, refusal = c.Place(begin, repeated)
	is.True(refusal != nil) // but it cannot be answered
}

// TestNews takes the newest of what others have and forgets it in time.
func TestNews(t *testing.T) {
	is := is.New(t)
	c := newCore(1)
	id := string(engines(1, "north")[0].ID)
	say := func(from redwingshunt.InstanceID, sequence uint64, running uint32) {
		c.Heard(begin, from, &wire.Loads{Sequence: sequence, Upstreams: []*wire.UpstreamLoad{{Id: id, Service: "s", Running: running}}})
	}
	running := func() int64 { return c.services["s"].upstreams[0].running() }
	say("g1", 2, 5)
	say("g1", 1, 9) // late
	say("g1", 2, 7) // twice
	is.Equal(running(), int64(5))
	say("g2", 1, 3) // another gatherer, in place of the first
	is.Equal(running(), int64(3))
	c.SetUpstreams(engines(1, "north"))
	is.Equal(running(), int64(3))
	c.Forget(begin.Add(lookback + time.Millisecond))
	is.Equal(running(), int64(0))
	say("g2", 3, 4)
	is.Equal(running(), int64(4))
}

// TestSpared keeps new work from an upstream that was lost, a while longer each
// time, and returns to it.
func TestSpared(t *testing.T) {
	is := is.New(t)
	c := newCore(1)
	now := begin
	for _, pause := range []time.Duration{firstDown, 2 * firstDown, 4 * firstDown, maxDown, maxDown} {
		placed, refusal := c.Place(now, about("x"))
		is.True(refusal == nil)
		c.End(now, placed.Ticket, redwingshunt.EndLost)
		_, refusal = c.Place(now.Add(pause-time.Millisecond), about("x"))
		is.True(refusal != nil)
		is.Equal(refusal.Reason, redwingshunt.ReasonNoUpstream)
		is.True(refusal.After > 0)
		now = now.Add(pause + time.Millisecond)
	}
	placed, _ := c.Place(now, about("x"))
	c.First(now, placed.Ticket)
	c.End(now, placed.Ticket, redwingshunt.EndComplete)
	placed, _ = c.Place(now, about("x"))
	c.End(now, placed.Ticket, redwingshunt.EndLost)
	_, refusal := c.Place(now.Add(firstDown+time.Millisecond), about("x"))
	is.True(refusal == nil) // an answer in between makes up for the losses before
}

// TestBudget bounds the repeats within any window, over a fleet of routers.
func TestBudget(t *testing.T) {
	is := is.New(t)
	const routers, window = 4, 10 * time.Second
	var cores []*Core
	for range routers {
		c := newCore(2)
		c.SetRouters(routers)
		cores = append(cores, c)
	}
	var requests, repeats []time.Time
	now := begin
	for i := range 20_000 {
		now = now.Add(2 * time.Millisecond)
		c := cores[i%routers]
		if i%3 == 0 {
			c.requested(now, "s")
			requests = append(requests, now)
		}
		if c.Repeat(now, "s") {
			repeats = append(repeats, now)
		}
	}
	is.True(len(repeats) > 0)
	for i, end := range repeats {
		begun, asked := 0, 0
		for _, at := range repeats[:i+1] {
			if end.Sub(at) < window {
				begun++
			}
		}
		for _, at := range requests {
			if !at.After(end) && end.Sub(at) < window {
				asked++
			}
		}
		if float64(begun) > 0.2*float64(asked)+8 {
			t.Fatalf("%d repeats beside %d requests", begun, asked)
		}
	}
}

// TestMaxMin divides a capacity.
func TestMaxMin(t *testing.T) {
	tests := map[string]struct {
		asked []float64
		want  float64
	}{
		"all fit":        {[]float64{10, 20}, 1},
		"one floods":     {[]float64{10, 20, 1000}, 70},
		"two flood":      {[]float64{1000, 20, 1000}, 40},
		"all alike":      {[]float64{100, 100, 100, 100}, 25},
		"nobody":         {nil, 1},
		"just as much":   {[]float64{50, 50}, 1},
		"a little more":  {[]float64{50, 51}, 50},
		"tiny and large": {[]float64{0.1, 99, 1}, 98.9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			share := maxMin(100, test.asked)
			if share > 1e9 {
				share = 1 // unlimited
			}
			is.True(share-test.want < 1e-9 && test.want-share < 1e-9)
		})
	}
}

// TestAdmission lets an account wait longer the less of its share it has had.
func TestAdmission(t *testing.T) {
	is := is.New(t)
	aim := time.Second
	before := admission(aim, 0, 0)
	is.Equal(before, time.Duration(mostWait*float64(aim)))
	for _, excess := range []float64{0.5, 0.95, 1, 1.1, 1.2, 5} {
		bound := admission(aim, 0, excess)
		is.True(bound <= before && bound > 0)
		before = bound
	}
	is.True(before < aim/10)
	is.Equal(admission(aim, 10*time.Second, 0), time.Duration(leastWait*float64(aim))) // the largest are not starved
}

// TestPlain spreads plain requests over the slots near by before it goes far.
func TestPlain(t *testing.T) {
	is := is.New(t)
	c := New(Options{Region: "north"})
	c.Configure(document(0))
	states := append(engines(1, "north"), engines(1, "south")...)
	for i := range states {
		states[i].Service, states[i].Slots = "p", 6
	}
	c.SetUpstreams(states)
	route := &redwingshunt.Route{Kind: redwingshunt.RouteSafe, Aim: 200 * time.Millisecond, Limit: 2 * time.Second, Attempts: 2}
	count := make(map[redwingshunt.RegionID]int)
	for range 40 {
		placed, refusal := c.Place(begin, &redwingshunt.Placement{Service: "p", Route: route, Attempt: 1, Deadline: begin.Add(2 * time.Second)})
		is.True(refusal == nil)
		count[placed.Upstream.Region]++
	}
	is.True(count["north"] >= 6)
	is.True(count["south"] >= 6)
}

// TestDeprivedAccount has a request of an account that gets far less than the
// best served one wait at its home as long as one within its share may, and go
// to an engine that has room when both homes are too busy. Other accounts come
// back when the homes have room.
func TestDeprivedAccount(t *testing.T) {
	tests := map[string]struct {
		asked    uint32 // tokens a second
		admitted uint32 // of them
		best     uint32 // tokens a second of another account
		homes    uint32 // unread tokens at both homes
		others   uint32 // unread tokens at the other engines
		full     int64  // tokens refused by this router for its processor
		want     string // where it is placed
	}{
		"far below the others":          {20_000, 3_000, 15_000, 90_000, 18_000, 0, "elsewhere"},
		"near its share":                {20_000, 9_000, 11_000, 90_000, 18_000, 0, "nowhere"},
		"others far beyond":             {20_000, 9_000, 27_000, 90_000, 18_000, 0, "elsewhere"},
		"beyond its share, others more": {50_000, 15_000, 40_000, 90_000, 18_000, 0, "elsewhere"},
		"beyond its share, home in use": {50_000, 15_000, 40_000, 18_000, 18_000, 0, "home"},
		"beyond its share as others":    {50_000, 20_000, 16_000, 18_000, 18_000, 0, "nowhere"},
		"gets what it asks":             {30_000, 28_000, 90_000, 90_000, 18_000, 0, "nowhere"},
		"deprived and all busy":         {20_000, 3_000, 15_000, 90_000, 60_000, 0, "nowhere"},
		"gets what comes to the core":   {70_000, 70_000, 200_000, 90_000, 18_000, 0, "nowhere"},
		"refused for the processor":     {70_000, 70_000, 200_000, 90_000, 18_000, 400_000, "elsewhere"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCore(6)
			c.Configure(document(20_000))
			home, second := homes(begin, c.services["s"], about("x"))
			loads := &wire.Loads{Sequence: 1, Accounts: []*wire.AccountLoad{
				{Account: "alpha", Asked: test.asked, Admitted: test.admitted},
				{Account: "beta", Asked: 100_000, Admitted: test.best},
				{Account: "gamma", Asked: 100_000, Admitted: 1_000},
				{Account: "delta", Asked: 100_000, Admitted: 1_000},
				{Account: "epsilon", Asked: 100_000, Admitted: 1_000},
			}}
			for _, u := range engines(6, "north") {
				unread := test.others
				if u.ID == home.ID || u.ID == second.ID {
					unread = test.homes
				}
				loads.Upstreams = append(loads.Upstreams, &wire.UpstreamLoad{Id: string(u.ID), Service: "s", Unread: unread, Running: 1})
			}
			c.Heard(begin, "other", loads)
			c.Refused(begin, "alpha", test.full)
			placed, refusal := c.Place(begin, about("x"))
			got := "elsewhere"
			switch {
			case refusal != nil:
				got = "nowhere"
			case placed.Upstream.ID == home.ID || placed.Upstream.ID == second.ID:
				got = "home"
			}
			is.Equal(got, test.want)
		})
	}
}

// TestAccountsReport tells of an account what was refused and what has begun.
func TestAccountsReport(t *testing.T) {
	is := is.New(t)
	c := newCore(1)
	c.Configure(document(60_000))
	long := about("a")
	long.Prompt[2].Tokens = 120_000
	placed, refusal := c.Place(begin, long)
	is.True(refusal == nil)
	_, refusal = c.Place(begin, about("b"))
	is.True(refusal != nil)
	c.Refused(begin, "alpha", 60_000)
	c.First(begin, placed.Ticket)
	states := c.Accounts(begin, 5)
	is.Equal(len(states), 1)
	is.Equal(states[0].Refusals, Refusals{Full: 1, Wait: 1})
	is.Equal(states[0].Admitted, float64(long.Tokens())/rateWindow.Seconds())
	is.Equal(states[0].Begun, states[0].Admitted)
	is.Equal(states[0].Asked, float64(long.Tokens()+about("b").Tokens()+60_000)/rateWindow.Seconds())
	is.Equal(len(c.Accounts(begin, 5)), 0) // nothing was refused since
}

// TestCheck tells what Place would do, and books nothing but a refusal.
func TestCheck(t *testing.T) {
	is := is.New(t)
	c := newCore(1)
	c.Configure(document(60_000))
	long := about("a")
	long.Prompt[2].Tokens = 120_000
	for range 3 {
		is.True(c.Check(begin, long) == nil)
	}
	is.Equal(len(c.Loads(begin).GetAccounts()), 0)
	_, refusal := c.Place(begin, long)
	is.True(refusal == nil)
	refusal = c.Check(begin, about("b"))
	is.Equal(refusal.Reason, redwingshunt.ReasonQueueFull)
	states := c.Accounts(begin, 5)
	is.Equal(states[0].Refusals, Refusals{Wait: 1})
	is.Equal(states[0].Asked, float64(long.Tokens()+about("b").Tokens())/rateWindow.Seconds())
}

// TestUnservedIsNotCounted admits requests of an account that their upstreams do
// not begin. Once they have ended, the account has had what began, and no more.
func TestUnservedIsNotCounted(t *testing.T) {
	tests := map[string]struct {
		ends   []redwingshunt.PlacementEnd // of the attempts, one after the other
		begins bool                        // the last one
		later  time.Duration               // between placing and end
		want   float64                     // requests
	}{
		"refused":                  {[]redwingshunt.PlacementEnd{redwingshunt.EndRefused}, false, 0, 0},
		"lost after a while":       {[]redwingshunt.PlacementEnd{redwingshunt.EndLost}, false, time.Second, 0},
		"caller left":              {[]redwingshunt.PlacementEnd{redwingshunt.EndLeft}, false, 100 * time.Millisecond, 0},
		"begun and broken":         {[]redwingshunt.PlacementEnd{redwingshunt.EndFailed}, true, 0, 1},
		"refused, then begun":      {[]redwingshunt.PlacementEnd{redwingshunt.EndRefused, redwingshunt.EndComplete}, true, 0, 1},
		"refused, then lost":       {[]redwingshunt.PlacementEnd{redwingshunt.EndRefused, redwingshunt.EndLost}, false, 0, 0},
		"lost twice, long between": {[]redwingshunt.PlacementEnd{redwingshunt.EndLost, redwingshunt.EndLost}, false, 3 * time.Second, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCore(4)
			now := begin
			for i, end := range test.ends {
				p := about("a")
				p.Attempt = i + 1
				placed, refusal := c.Place(now, p)
				is.True(refusal == nil)
				if test.begins && i == len(test.ends)-1 {
					c.First(now, placed.Ticket)
				}
				now = now.Add(test.later)
				c.End(now, placed.Ticket, end)
			}
			had := c.shares.of("alpha").admitted.get(now)
			want := test.want * float64(about("a").Tokens()) / rateWindow.Seconds()
			is.True(had > want-1 && had < want+1)
		})
	}
}
