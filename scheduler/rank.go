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

// routersPerCell is the number of routers in a region for each cell of a service.
const routersPerCell = 45

// CellCount returns the number of cells, and thus of owners, of each service in a
// region with the given number of routers. It is a power of two, so that it
// changes rarely.
func CellCount(routers int) int {
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

// ownerName returns the name under which peers know the owner of a cell on an
// instance.
func ownerName(id redwingshunt.InstanceID, cell int) redwingshunt.InstanceID {
	if cell == 0 || id == "" {
		return id
	}
	return redwingshunt.InstanceID(string(id) + cellSeparator + strconv.Itoa(cell))
}

// cellSeparator separates instance and cell in the name of an owner.
const cellSeparator = "#"

// instanceOf splits the name of an owner into instance and cell.
func instanceOf(name redwingshunt.InstanceID) (redwingshunt.InstanceID, int) {
	id, cell, ok := strings.Cut(string(name), cellSeparator)
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
// service by rendezvous hashing: the first one is the owner, the second one the
// standby. Instances that are leaving come last. The order of the others does not
// change when an instance joins or leaves.
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

// OwnerAndStandby returns the instances that hold the state of a cell: the owner and the
// standby.
func OwnerAndStandby(members []redwingshunt.Instance, region redwingshunt.RegionID, service redwingshunt.ServiceID, cell int) []redwingshunt.Instance {
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

// Role is the role of one instance in one cell of a service.
type Role struct {
	Owner  redwingshunt.InstanceID // of the cell in the local region; empty when no instance is alive
	Active bool                    // this instance is the owner
	Holds  bool                    // this instance is the owner or the standby
	Peers  []Peer                  // for PeersChanged
}

// RoleOf returns the role of an instance in one cell of a service, for the given
// live instances.
func RoleOf(members []redwingshunt.Instance, self redwingshunt.Instance, service redwingshunt.ServiceID, cell int) Role {
	ranked := Rank(members, self.Region, service, cell)
	if len(ranked) == 0 || cell >= CellCount(len(ranked)) {
		return Role{}
	}
	d := Role{Owner: ownerName(ranked[0].ID, cell), Active: ranked[0].ID == self.ID}
	standby := len(ranked) > 1 && ranked[1].ID == self.ID
	d.Holds = d.Active || standby
	if standby {
		d.Peers = []Peer{{ID: d.Owner, Region: self.Region, Standby: true}}
	}
	if !d.Active {
		return d
	}
	for _, region := range Regions(members) {
		d.Peers = append(d.Peers, owners(members, region, service, d.Owner)...)
	}
	if len(ranked) > 1 {
		d.Peers = append(d.Peers, Peer{ID: ownerName(ranked[1].ID, cell), Region: self.Region, Standby: true})
	}
	return d
}

// owners returns the owners of all cells of a region except the given one.
func owners(members []redwingshunt.Instance, region redwingshunt.RegionID, service redwingshunt.ServiceID, except redwingshunt.InstanceID) []Peer {
	var list []Peer
	for cell := range CellCount(len(InRegion(members, region))) {
		id := ownerName(Rank(members, region, service, cell)[0].ID, cell)
		if id != except {
			list = append(list, Peer{ID: id, Region: region})
		}
	}
	return list
}

// maxStatesPerSecond bounds the rate at which the owners of one service in a region
// receive full states, as far as maxPeriod permits.
const maxStatesPerSecond = 20

// maxPeriod bounds the time between two full states of a router.
const maxPeriod = 5 * time.Second

// StatePeriod returns the time between two full states of a router in a region with the
// given number of routers. Above twenty routers it grows with their number, up to
// maxPeriod.
func StatePeriod(routers int) time.Duration {
	return min(maxPeriod, max(defaultPeriod, time.Duration(routers)*time.Second/maxStatesPerSecond))
}

const (
	// standbySampling is the number of announcements of which about one is
	// forwarded to the standby.
	standbySampling = 3
	// routersPerSampling and maxSampling set the number of announcements of which
	// about one is forwarded to the owner, in proportion to the size of the region.
	routersPerSampling = 60
	maxSampling        = 2
	// samplingTTLFactor lengthens the TTL of sampled announcements beyond the mean
	// time between two that are forwarded.
	samplingTTLFactor = 2
)

// SampleAnnouncement reports whether an announcement that arrived now is forwarded to the
// instance with the given place in Rank, and returns its TTL there. The sampling
// is stateless, since earlier announcements may have arrived at any router.
func SampleAnnouncement(now time.Time, id redwingshunt.UpstreamID, ttl time.Duration, place, routers int) (time.Duration, bool) {
	sampling := min(maxSampling, 1+routers/routersPerSampling)
	if place > 0 {
		sampling = standbySampling
	}
	if sampling == 1 {
		return ttl, true
	}
	seed := strconv.AppendInt([]byte(id), now.UnixNano(), 10)
	return ttl * time.Duration(sampling*samplingTTLFactor), xxhash.Sum64(seed)%uint64(sampling) == 0
}
