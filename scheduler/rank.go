package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingshunt/redwingshunt"
)

// Rank orders the live instances of a region for the ownership of a service by
// rendezvous hashing: the first one owns it, the second one stands by. An
// instance that is leaving comes last. The order of the others does not change
// when an instance comes or goes.
func Rank(members []redwingshunt.Instance, region redwingshunt.RegionID, service redwingshunt.ServiceID) []redwingshunt.Instance {
	var list []redwingshunt.Instance
	for _, m := range members {
		if m.Region == region {
			list = append(list, m)
		}
	}
	weights := make(map[redwingshunt.InstanceID]uint64, len(list))
	for _, m := range list {
		weights[m.ID] = xxhash.Sum64String(string(m.ID) + "\x00" + string(service))
	}
	slices.SortFunc(list, func(a, b redwingshunt.Instance) int {
		if a.Leaving != b.Leaving && b.Leaving {
			return -1
		}
		if a.Leaving != b.Leaving {
			return 1
		}
		return cmp.Or(cmp.Compare(weights[b.ID], weights[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// Regions returns the regions that have live instances, ordered.
func Regions(members []redwingshunt.Instance) []redwingshunt.RegionID {
	var list []redwingshunt.RegionID
	for _, m := range members {
		list = append(list, m.Region)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Duty is the part of one instance in a service.
type Duty struct {
	Owner  redwingshunt.InstanceID // of the own region; empty when none is alive
	Active bool                    // this instance is the owner
	Keeps  bool                    // this instance is the owner or stands by
	Peers  []Peer                  // for Peered
}

// DutyOf returns the part of an instance in a service, as the given view of the
// fleet has it.
func DutyOf(members []redwingshunt.Instance, self redwingshunt.Instance, service redwingshunt.ServiceID) Duty {
	home := Rank(members, self.Region, service)
	if len(home) == 0 {
		return Duty{}
	}
	d := Duty{Owner: home[0].ID, Active: home[0].ID == self.ID}
	standby := len(home) > 1 && home[1].ID == self.ID
	d.Keeps = d.Active || standby
	if standby {
		d.Peers = []Peer{{ID: home[0].ID, Region: self.Region, Standby: true}}
	}
	if !d.Active {
		return d
	}
	for _, region := range Regions(members) {
		if region == self.Region {
			continue
		}
		away := Rank(members, region, service)
		d.Peers = append(d.Peers, Peer{ID: away[0].ID, Region: region})
	}
	if len(home) > 1 {
		d.Peers = append(d.Peers, Peer{ID: home[1].ID, Region: self.Region, Standby: true})
	}
	return d
}

// statesPerSecond bounds the full states that one owner receives a second.
const statesPerSecond = 20

// Period returns the time between full states of a router in a region with the
// given number of routers. What an owner receives stays the same from about
// twenty routers on.
func Period(routers int) time.Duration {
	return max(defaultPeriod, time.Duration(routers)*time.Second/statesPerSecond)
}

const (
	// standbyTurn is the number of announcements of which about one goes to the
	// instance that stands by.
	standbyTurn = 3
	// routersPerTurn and mostTurn thin out announcements in large regions.
	routersPerTurn = 60
	mostTurn       = 2
	// turnMargin lengthens the life of announcements that are thinned out.
	turnMargin = 2
)

// Relay reports whether an announcement that arrived now is passed on to the
// instance with the given place in Rank, and for how long it holds there. It
// needs no memory of earlier announcements, which may have come to any router.
func Relay(now time.Time, id redwingshunt.UpstreamID, ttl time.Duration, place, routers int) (time.Duration, bool) {
	turn := min(mostTurn, 1+routers/routersPerTurn)
	if place > 0 {
		turn = standbyTurn
	}
	if turn == 1 {
		return ttl, true
	}
	seed := strconv.AppendInt([]byte(id), now.UnixNano(), 10)
	return ttl * time.Duration(turn*turnMargin), xxhash.Sum64(seed)%uint64(turn) == 0
}
