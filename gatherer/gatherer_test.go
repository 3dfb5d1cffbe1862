package gatherer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

var start = time.Unix(1_000_000, 0)

// loadsOf returns loads for one upstream and one account.
func loadsOf(sequence uint64, unread, asked uint32) *wire.Loads {
	return &wire.Loads{
		Sequence:  sequence,
		Upstreams: []*wire.UpstreamLoad{{Id: "u", Service: "s", Unread: unread, Running: 1, Memory: unread}},
		Accounts:  []*wire.AccountLoad{{Account: "a", Asked: asked, Admitted: asked / 2}},
	}
}

// TestOthers checks that each router gets the sum over all other routers.
func TestOthers(t *testing.T) {
	is := is.New(t)
	near, far := New(), New()
	near.Receive(start, "r1", loadsOf(1, 100, 10))
	near.Receive(start, "r2", loadsOf(1, 200, 20))
	far.Receive(start, "r3", loadsOf(1, 400, 40))
	sum := far.Own(start)
	sum.Sequence = 1
	near.Receive(start, "far", sum)
	others := near.Others(start)
	is.Equal(len(others), 2)
	is.Equal(others["r1"].GetUpstreams()[0].GetUnread(), uint32(600))
	is.Equal(others["r2"].GetUpstreams()[0].GetUnread(), uint32(500))
	is.Equal(others["r2"].GetUpstreams()[0].GetRunning(), uint32(2))
	is.Equal(others["r2"].GetAccounts()[0].GetAsked(), uint32(50))
	is.Equal(near.Own(start).GetUpstreams()[0].GetUnread(), uint32(300)) // loads of the far gatherer are not returned to it
}

// TestNewest checks that the newest loads of each router apply and that old ones are
// dropped.
func TestNewest(t *testing.T) {
	is := is.New(t)
	c := New()
	c.Receive(start, "r1", loadsOf(2, 100, 0))
	c.Receive(start, "r1", loadsOf(1, 900, 0)) // reordered
	c.Receive(start, "r1", loadsOf(2, 900, 0)) // duplicated
	is.Equal(c.Own(start).GetUpstreams()[0].GetUnread(), uint32(100))
	c.Receive(start.Add(time.Second), "r2", loadsOf(1, 7, 0))
	is.Equal(c.Routers(start.Add(time.Second+maxLoadAge)), []redwingshunt.InstanceID{"r2"})
	c.Receive(start.Add(time.Minute), "r1", loadsOf(1, 50, 0)) // restarted with a clock that was set back
	is.Equal(c.Own(start.Add(time.Minute)).GetUpstreams()[0].GetUnread(), uint32(50))
}

// TestOf checks that the nearest live gatherer is chosen.
func TestOf(t *testing.T) {
	instance := func(id, region, zone string, voter bool) redwingshunt.Instance {
		return redwingshunt.Instance{
			ID: redwingshunt.InstanceID(id), Region: redwingshunt.RegionID(region), Zone: redwingshunt.ZoneID(zone), Voter: voter,
		}
	}
	ids := redwingshunt.NewSet[redwingshunt.InstanceID]
	self := instance("r1", "north", "a", false)
	fleet := []redwingshunt.Instance{
		instance("k0", "south", "c", true), instance("k1", "north", "b", true), instance("k2", "north", "a", true), self,
	}
	tests := map[string]struct {
		gone   redwingshunt.Set[redwingshunt.InstanceID]
		silent redwingshunt.Set[redwingshunt.InstanceID]
		want   redwingshunt.InstanceID
	}{
		"own zone":             {nil, nil, "k2"},
		"own region":           {ids("k2"), nil, "k1"},
		"elsewhere":            {ids("k1", "k2"), nil, "k0"},
		"none":                 {ids("k0", "k1", "k2"), nil, "r1"},
		"silent in own zone":   {nil, ids("k2"), "k1"},
		"silent in own region": {nil, ids("k1", "k2"), "k0"},
		"all silent":           {nil, ids("k0", "k1", "k2"), "k2"},
		"others gone":          {ids("k0", "k1"), ids("k2"), "k2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var live []redwingshunt.Instance
			for _, i := range fleet {
				if !test.gone.Has(i.ID) {
					live = append(live, i)
				}
			}
			is.Equal(Of(self, live, test.silent), test.want)
		})
	}
}

// BenchmarkOthers measures the sums for some routers with eight other gatherers.
func BenchmarkOthers(b *testing.B) {
	for _, routers := range []int{3, 10, 50} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			c := New()
			for i := range routers + 8 {
				loads := &wire.Loads{Sequence: 1, Sum: i >= routers}
				for u := range 90 {
					loads.Upstreams = append(loads.Upstreams, &wire.UpstreamLoad{Id: fmt.Sprint("upstream-", u), Service: "s", Unread: 1})
				}
				c.Receive(start, redwingshunt.InstanceID(fmt.Sprint("i", i)), loads)
			}
			for b.Loop() {
				c.Others(start)
			}
		})
	}
}
