package gatherer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

var begin = time.Unix(1_000_000, 0)

// work returns loads with one upstream and one account.
func work(sequence uint64, unread, asked uint32) *wire.Loads {
	return &wire.Loads{
		Sequence:  sequence,
		Upstreams: []*wire.UpstreamLoad{{Id: "u", Service: "s", Unread: unread, Running: 1, Memory: unread}},
		Accounts:  []*wire.AccountLoad{{Account: "a", Asked: asked, Admitted: asked / 2}},
	}
}

// TestOthers tells each router the sum over all others of the fleet.
func TestOthers(t *testing.T) {
	is := is.New(t)
	near, far := New(), New()
	near.Heard(begin, "r1", work(1, 100, 10))
	near.Heard(begin, "r2", work(1, 200, 20))
	far.Heard(begin, "r3", work(1, 400, 40))
	sum := far.Own(begin)
	sum.Sequence = 1
	near.Heard(begin, "far", sum)
	others := near.Others(begin)
	is.Equal(len(others), 2)
	is.Equal(others["r1"].GetUpstreams()[0].GetUnread(), uint32(600))
	is.Equal(others["r2"].GetUpstreams()[0].GetUnread(), uint32(500))
	is.Equal(others["r2"].GetUpstreams()[0].GetRunning(), uint32(2))
	is.Equal(others["r2"].GetAccounts()[0].GetAsked(), uint32(50))
	is.Equal(near.Own(begin).GetUpstreams()[0].GetUnread(), uint32(300)) // nothing comes back to the far one
}

// TestNewest takes the newest of each and forgets who is silent.
func TestNewest(t *testing.T) {
	is := is.New(t)
	c := New()
	c.Heard(begin, "r1", work(2, 100, 0))
	c.Heard(begin, "r1", work(1, 900, 0)) // late
	c.Heard(begin, "r1", work(2, 900, 0)) // twice
	is.Equal(c.Own(begin).GetUpstreams()[0].GetUnread(), uint32(100))
	c.Heard(begin.Add(time.Second), "r2", work(1, 7, 0))
	is.Equal(c.Routers(begin.Add(time.Second+lookback)), []redwingshunt.InstanceID{"r2"})
	c.Heard(begin.Add(time.Minute), "r1", work(1, 50, 0)) // restarted with a clock that went back
	is.Equal(c.Own(begin.Add(time.Minute)).GetUpstreams()[0].GetUnread(), uint32(50))
}

// TestOf chooses the nearest gatherer, and another one when that is gone.
func TestOf(t *testing.T) {
	instance := func(id, region, zone string, voter bool) redwingshunt.Instance {
		return redwingshunt.Instance{
			ID: redwingshunt.InstanceID(id), Region: redwingshunt.RegionID(region), Zone: redwingshunt.ZoneID(zone), Voter: voter,
		}
	}
	self := instance("r1", "north", "a", false)
	fleet := []redwingshunt.Instance{
		instance("k0", "south", "c", true), instance("k1", "north", "b", true), instance("k2", "north", "a", true), self,
	}
	tests := map[string]struct {
		gone redwingshunt.Set[redwingshunt.InstanceID]
		want redwingshunt.InstanceID
	}{
		"own zone":   {nil, "k2"},
		"own region": {redwingshunt.NewSet[redwingshunt.InstanceID]("k2"), "k1"},
		"elsewhere":  {redwingshunt.NewSet[redwingshunt.InstanceID]("k1", "k2"), "k0"},
		"none":       {redwingshunt.NewSet[redwingshunt.InstanceID]("k0", "k1", "k2"), "r1"},
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
			is.Equal(Of(self, live), test.want)
		})
	}
}

// BenchmarkOthers sums up a zone of routers beside eight other gatherers.
func BenchmarkOthers(b *testing.B) {
	for _, routers := range []int{3, 10, 50} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			c := New()
			for i := range routers + 8 {
				loads := &wire.Loads{Sequence: 1, Sum: i >= routers}
				for u := range 90 {
					loads.Upstreams = append(loads.Upstreams, &wire.UpstreamLoad{Id: fmt.Sprint("upstream-", u), Service: "s", Unread: 1})
				}
				c.Heard(begin, redwingshunt.InstanceID(fmt.Sprint("i", i)), loads)
			}
			for b.Loop() {
				c.Others(begin)
			}
		})
	}
}
