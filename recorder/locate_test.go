package recorder

import (
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/locator"
)

// nonLeader returns a voter that does not lead group 1.
func (n *network) nonLeader() redwingshunt.InstanceID {
	if n.leader() == "c" {
		return "b"
	}
	return "c"
}

// TestLeadMovesHome transfers leadership to the home region during proposals. No
// proposal may be refused, lost or applied twice. The other group must keep its
// leader.
func TestLeadMovesHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 1, "a", "b", "c", "router")
		home, other := n.nonLeader(), n.running["a"].Status().Groups[0].Leader
		n.setHome(redwingshunt.RegionID(home))
		var mu sync.Mutex
		var clients sync.WaitGroup
		var failures []error
		for i := range 400 {
			clients.Go(func() {
				time.Sleep(locator.StableTime - 2*time.Second + time.Duration(i)*10*time.Millisecond)
				if _, err := n.propose("router", "+", 5*time.Second); err != nil {
					mu.Lock()
					defer mu.Unlock()
					failures = append(failures, err)
				}
			})
		}
		time.Sleep(locator.StableTime - 5*time.Second)
		is.True(n.leader() != home) // no transfer before the settle time
		clients.Wait()
		is.Equal(n.leader(), home)
		is.Equal(failures, nil)
		value, err := n.propose("router", "read", 5*time.Second)
		is.NoErr(err)
		is.Equal(value, strconv.Itoa(400))
		is.Equal(n.running["a"].Status().Groups[0].Leader, other)
	})
}

// TestFlappingHomeStaysAway isolates the home for 5 s every 20 s, then for good.
// Leadership must leave the home once, and return only after the home has been
// stable for the settle time.
func TestFlappingHomeStaysAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 1, "a", "b", "c", "router")
		home, first := n.nonLeader(), n.leader()
		n.setHome(redwingshunt.RegionID(home))
		time.Sleep(locator.StableTime + 5*time.Second)
		is.Equal(n.leader(), home)
		var term uint64
		var lead redwingshunt.InstanceID
		for i := range 10 {
			n.isolate(home, true)
			time.Sleep(5 * time.Second)
			_, err := n.propose("router", "+", 2*time.Second)
			is.NoErr(err)
			n.isolate(home, false)
			time.Sleep(15 * time.Second)
			if i == 0 { // the only election; it takes more than one term if votes are split
				lead = n.leader()
				term = n.running[lead].Status().Groups[1].Term
			}
			is.True(n.leader() == lead && lead != home)
		}
		is.Equal(n.running[home].Status().Groups[1].Term, term)
		wait := locator.StableTime
		if n.leader() == first { // it requested the first transfer, so its settle time is doubled
			wait = 2 * locator.StableTime
		}
		time.Sleep(wait - 25*time.Second) // the home has been back for 15 s
		is.True(n.leader() != home)
		time.Sleep(25 * time.Second)
		is.Equal(n.leader(), home)
		is.Equal(n.running[home].Status().Groups[1].Term, term+1)
		n.isolate(home, true)
		time.Sleep(5 * time.Second)
		lead = n.leader()
		is.True(lead != "" && lead != home)
		term = n.running[lead].Status().Groups[1].Term
		for range 10 {
			time.Sleep(locator.StableTime)
			is.Equal(n.leader(), lead)
		}
		is.Equal(n.running[lead].Status().Groups[1].Term, term) // no election since then
		_, err := n.propose("router", "+", 2*time.Second)
		is.NoErr(err)
	})
}
