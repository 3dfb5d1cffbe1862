package publisher

import (
	"slices"

	"github.com/redwingshunt/redwingshunt"
)

// treeOrder returns the live instances of a region in tree order, the root first:
// the voters by ID, then the others by ID.
func (c *Core) treeOrder(region redwingshunt.RegionID) []redwingshunt.InstanceID {
	var voters, others []redwingshunt.InstanceID
	for _, instance := range c.live {
		switch {
		case instance.Region != region:
		case instance.Voter:
			voters = append(voters, instance.ID)
		default:
			others = append(others, instance.ID)
		}
	}
	return append(voters, others...)
}

// root returns the root of a region's tree, or "" if no instance of the region
// is live.
func (c *Core) root(region redwingshunt.RegionID) redwingshunt.InstanceID {
	if ids := c.treeOrder(region); len(ids) > 0 {
		return ids[0]
	}
	return ""
}

// children returns the children of this instance in the tree of its region.
func (c *Core) children() []redwingshunt.InstanceID {
	ids := c.treeOrder(c.self.Region)
	self := slices.Index(ids, c.self.ID)
	if self < 0 {
		return nil
	}
	first := min(self*fanout+1, len(ids))
	return ids[first:min(first+fanout, len(ids))]
}

// directTargets returns the instances, besides its children, to which a voter
// sends a configuration from the log. In a small fleet, these are all instances
// of its region or, if it is the leader, all instances. In a large fleet, they
// are the root of its region or, if it is the leader, the roots of all regions,
// so that no root has to wait for the log.
func (c *Core) directTargets() []redwingshunt.InstanceID {
	var ids []redwingshunt.InstanceID
	if len(c.live) <= maxDirectInstances {
		children := c.children()
		for _, instance := range c.live {
			covered := instance.ID == c.self.ID || slices.Contains(children, instance.ID)
			if !covered && (c.leader || instance.Region == c.self.Region) {
				ids = append(ids, instance.ID)
			}
		}
		return ids
	}
	for _, region := range c.regions() {
		root := c.root(region)
		if root != c.self.ID && (c.leader || region == c.self.Region) {
			ids = append(ids, root)
		}
	}
	return ids
}

// regions returns the regions that have a live instance, sorted by name.
func (c *Core) regions() []redwingshunt.RegionID {
	regions := redwingshunt.NewSet[redwingshunt.RegionID]()
	for _, instance := range c.live {
		regions.Add(instance.Region)
	}
	return regions.Sorted()
}

// peers returns the other live instances, those of the same region and those
// of other regions.
func (c *Core) peers() (sameRegion, otherRegions []redwingshunt.InstanceID) {
	for _, instance := range c.live {
		switch {
		case instance.ID == c.self.ID:
		case instance.Region == c.self.Region:
			sameRegion = append(sameRegion, instance.ID)
		default:
			otherRegions = append(otherRegions, instance.ID)
		}
	}
	return sameRegion, otherRegions
}
