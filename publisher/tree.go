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
// to, besides its children: the speaker of its own region, and as the first
// voter of all the speakers of the regions without one.
func (c *Core) outward() []redwingshunt.InstanceID {
	var ids []redwingshunt.InstanceID
	if speaker := c.speaker(c.self.Region); speaker != c.self.ID && speaker != "" {
		ids = append(ids, speaker)
	}
	if c.firstVoter() != c.self.ID {
		return ids
	}
	for _, region := range c.regions() {
		if region != c.self.Region && !c.hasVoter(region) {
			ids = append(ids, c.speaker(region))
		}
	}
	return ids
}

func (c *Core) firstVoter() redwingshunt.InstanceID {
	i := slices.IndexFunc(c.live, func(i redwingshunt.Instance) bool { return i.Voter })
	if i < 0 {
		return ""
	}
	return c.live[i].ID
}

func (c *Core) hasVoter(region redwingshunt.RegionID) bool {
	return slices.ContainsFunc(c.live, func(i redwingshunt.Instance) bool { return i.Voter && i.Region == region })
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
