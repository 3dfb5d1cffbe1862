package publisher

import (
	"slices"

	"github.com/redwingshunt/redwingshunt"
)

// order returns the live instances of a region with the speaker first: the
// voters by ID, then the others by ID.
func (c *Core) order(region redwingshunt.RegionID) []redwingshunt.InstanceID {
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

// speaker returns the instance that talks for a region, empty without any.
func (c *Core) speaker(region redwingshunt.RegionID) redwingshunt.InstanceID {
	if ids := c.order(region); len(ids) > 0 {
		return ids[0]
	}
	return ""
}

// children returns the instances that this one passes a configuration to.
func (c *Core) children() []redwingshunt.InstanceID {
	ids := c.order(c.self.Region)
	self := slices.Index(ids, c.self.ID)
	if self < 0 {
		return nil
	}
	first := min(self*fanout+1, len(ids))
	return ids[first:min(first+fanout, len(ids))]
}

// outward returns the instances that a voter passes a configuration of the log
// to, besides its children. In a small fleet these are all of its region, and
// as the leader all others. In a large one they are the speaker of its own region, and as the leader the
// speakers of all others, so that none waits for the log to tell it.
func (c *Core) outward() []redwingshunt.InstanceID {
	var ids []redwingshunt.InstanceID
	if len(c.live) <= directFanout {
		children := c.children()
		for _, instance := range c.live {
			told := instance.ID == c.self.ID || slices.Contains(children, instance.ID)
			if !told && (c.leader || instance.Region == c.self.Region) {
				ids = append(ids, instance.ID)
			}
		}
		return ids
	}
	for _, region := range c.regions() {
		speaker := c.speaker(region)
		if speaker != c.self.ID && (c.leader || region == c.self.Region) {
			ids = append(ids, speaker)
		}
	}
	return ids
}

// regions returns the regions with a live instance, in order.
func (c *Core) regions() []redwingshunt.RegionID {
	regions := redwingshunt.NewSet[redwingshunt.RegionID]()
	for _, instance := range c.live {
		regions.Add(instance.Region)
	}
	return regions.Sorted()
}

// peers returns the other live instances, in the own region and elsewhere.
func (c *Core) peers() (near, far []redwingshunt.InstanceID) {
	for _, instance := range c.live {
		switch {
		case instance.ID == c.self.ID:
		case instance.Region == c.self.Region:
			near = append(near, instance.ID)
		default:
			far = append(far, instance.ID)
		}
	}
	return near, far
}
