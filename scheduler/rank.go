package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingshunt/redwingshunt"
)

// routersPerCell is the number of routers of a region for which a service has
// one more owner there.
const routersPerCell = 45

// Cells returns the number of owners of each service in a region with the given
// number of routers. It is a power of two, so that it changes seldom.
func Cells(routers int) int {
	cells := 1
	for 2*cells*routersPerCell <= routers {
		cells *= 2
	}
	return cells
}

// CellOf returns the cell to which a router or an upstream belongs.
func CellOf(service redwingshunt.ServiceID, id string, cells int) int {
	if cells <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(id+"\x00"+string(service)) % uint64(cells))
}

// ownerName names the owner of a cell on an instance among peers.
func ownerName(id redwingshunt.InstanceID, cell int) redwingshunt.InstanceID {
	if cell == 0 || id == "" {
		return id
	}
	return redwingshunt.InstanceID(string(id) + cellMark + strconv.Itoa(cell))
}

// cellMark stands between instance and cell in the name of an owner.
const cellMark = "#"

// instanceOf splits the name of an owner.
func instanceOf(name redwingshunt.InstanceID) (redwingshunt.InstanceID, int) {
	id, cell, ok := strings.Cut(string(name), cellMark)
	if !ok {
		return name, 0
	}
	n, err := strconv.Atoi(cell)
	if err != nil {
		return name, 0
	}
	return redwingshunt.InstanceID(id), n
}

// InRegion returns the instances of a region.
func InRegion(members []redwingshunt.Instance, region redwingshunt.RegionID) []redwingshunt.Instance {
	var list []redwingshunt.Instance
	for _, m := range members {
		if m.Region == region {
			list = append(list, m)
		}
	}
	return list
}

// Rank orders the live instances of a region for the ownership of one cell of a
// service by rendezvous hashing: the first one owns it, the second one stands
// by. An instance that is leaving comes last. The order of the others does not
// change when an instance comes or goes.
func Rank(members []redwingshunt.Instance, region redwingshunt.RegionID, service redwingshunt.ServiceID, cell int) []redwingshunt.Instance {
	list := InRegion(members, region)
	weights := make(map[redwingshunt.InstanceID]uint64, len(list))
	for _, m := range list {
		weights[m.ID] = xxhash.Sum64String(string(ownerName(m.ID, cell)) + "\x00" + string(service))
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

// Keepers returns the instances that keep a cell: the owner and the standby.
func Keepers(members []redwingshunt.Instance, region redwingshunt.RegionID, service redwingshunt.ServiceID, cell int) []redwingshunt.Instance {
	ranked := Rank(members, region, service, cell)
	return ranked[:min(2, len(ranked))]
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

// Duty is the part of one instance in one cell of a service.
type Duty struct {
	Owner  redwingshunt.InstanceID // of the cell in the own region; empty when none is alive
	Active bool                    // this instance is the owner
	Keeps  bool                    // this instance is the owner or stands by
	Peers  []Peer                  // for Peered
}

// DutyOf returns the part of an instance in one cell of a service, as the given
// view of the fleet has it.
func DutyOf(members []redwingshunt.Instance, self redwingshunt.Instance, service redwingshunt.ServiceID, cell int) Duty {
	home := Rank(members, self.Region, service, cell)
	if len(home) == 0 || cell >= Cells(len(home)) {
		return Duty{}
	}
	d := Duty{Owner: ownerName(home[0].ID, cell), Active: home[0].ID == self.ID}
	standby := len(home) > 1 && home[1].ID == self.ID
	d.Keeps = d.Active || standby
	if standby {
		d.Peers = []Peer{{ID: d.Owner, Region: self.Region, Standby: true}}
	}
	if !d.Active {
		return d
	}
	for _, region := range Regions(members) {
		d.Peers = append(d.Peers, owners(members, region, service, d.Owner)...)
	}
	if len(home) > 1 {
		d.Peers = append(d.Peers, Peer{ID: ownerName(home[1].ID, cell), Region: self.Region, Standby: true})
	}
	return d
}

// owners returns the owners of all cells of a region but the given one.
func owners(members []redwingshunt.Instance, region redwingshunt.RegionID, service redwingshunt.ServiceID, but redwingshunt.InstanceID) []Peer {
	var list []Peer
	for cell := range Cells(len(InRegion(members, region))) {
		id := ownerName(Rank(members, region, service, cell)[0].ID, cell)
		if id != but {
			list = append(list, Peer{ID: id, Region: region})
		}
	}
	return list
}

// statesPerSecond bounds the full states that the owners of one service in a
// region receive a second.
const statesPerSecond = 20

// mostPeriod bounds the time between full states.
const mostPeriod = 5 * time.Second

// Period returns the time between full states of a router in a region with the
// given number of routers: from twenty routers on it grows with their number, up
// to mostPeriod.
func Period(routers int) time.Duration {
	return min(mostPeriod, max(defaultPeriod, time.Duration(routers)*time.Second/statesPerSecond))
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
