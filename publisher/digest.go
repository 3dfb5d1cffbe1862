package publisher

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

func (c *Core) handleReceived(now time.Time, e Received) {
	switch e.Kind {
	case redwingshunt.KindDigest:
		var message wire.Digest
		if proto.Unmarshal(e.Payload, &message) == nil {
			c.handleDigest(now, e.From, &message)
		}
	case redwingshunt.KindPublish:
		var message wire.Publish
		if proto.Unmarshal(e.Payload, &message) == nil {
			c.handlePublish(now, e.From, &message)
		}
	}
}

// handleDigest compares the revision of a peer with that of this instance. It sends
// updates if the peer is behind, asks for them if this instance is, and sends a
// digest if the peer asks for one or has a much older confirmation.
func (c *Core) handleDigest(now time.Time, from redwingshunt.InstanceID, message *wire.Digest) {
	revision, evacuations := redwingshunt.Revision(message.GetRevision()), redwingshunt.Revision(message.GetEvacuations())
	c.recordPeer(now, revision, evacuations, message.GetAge())
	maxFreshAge := milliseconds(c.Age(now)) + uint32(crossRegionDigestPeriod.Milliseconds())
	behind := revision < c.state.Revision || evacuations < c.state.Evacuations.Revision
	ahead := revision > c.state.Revision || evacuations > c.state.Evacuations.Revision
	if behind {
		c.publish(now, from, revision)
	}
	if ahead { // both may be behind the other: one with the document, one with the evacuations
		c.ask(now, from, c.state.Revision)
	}
	if !behind && !ahead && (message.GetAsk() || message.GetAge() > maxFreshAge && !c.confirmedAt.IsZero()) {
		c.sendDigest(now, from)
	}
}

// recordPeer records that a peer has a revision of the document and one of the
// evacuations and, if this instance has the same ones, their age.
func (c *Core) recordPeer(now time.Time, revision, evacuations redwingshunt.Revision, age uint32) {
	c.newestSeen = max(c.newestSeen, revision)
	c.newestEvacuations = max(c.newestEvacuations, evacuations)
	if revision == c.state.Revision && revision != 0 && evacuations == c.state.Evacuations.Revision {
		c.confirm(now, time.Duration(age)*time.Millisecond)
	}
}

// confirm records that the revision was known to be the newest at the time now
// minus age.
func (c *Core) confirm(now time.Time, age time.Duration) {
	if age >= AgeUnknown {
		return
	}
	if at := now.Add(-age); at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// confirmOwn confirms the revision if this instance is a voter in contact with a
// quorum.
func (c *Core) confirmOwn(now time.Time) {
	if c.quorum && c.state.Revision != 0 && c.state.Revision >= c.newestSeen && c.state.Evacuations.Revision >= c.newestEvacuations {
		c.confirm(now, 0)
	}
}

// installFirst puts the first configuration in force: at once if a quorum confirmed it
// after the start of this instance, otherwise startTimeout after the start. As soon as there is
// one it asks a voter, because a peer may not have heard of an evacuation yet.
func (c *Core) installFirst(now time.Time) {
	if c.inForce || c.state.Revision == 0 {
		return
	}
	if c.startDeadline.IsZero() {
		c.startDeadline = c.started.Add(startTimeout)
		if earliest := now.Add(minConfirmTime); c.startDeadline.Before(earliest) {
			c.startDeadline = earliest
		}
		c.nextProbe, c.nextAsk = now, now
	}
	if c.confirmedAt.Before(c.started) && now.Before(c.startDeadline) {
		return
	}
	c.inForce = true
	c.actions = append(c.actions, Installed{State: c.state})
}

// behind reports whether this instance should ask for a newer revision.
func (c *Core) behind() bool {
	return !c.inForce || c.newestSeen > max(c.state.Revision, c.refusedRevision) ||
		c.newestEvacuations > c.state.Evacuations.Revision
}

// askIfBehind asks another peer, with exponential backoff, until this instance has
// the newest known revision.
func (c *Core) askIfBehind(now time.Time) {
	if !c.behind() || now.Before(c.nextProbe) {
		return
	}
	doublings := min(c.asksSinceInstall, maxBackoffDoublings)
	if !c.inForce && c.state.Revision != 0 { // an old configuration waits at most startTimeout for a fresh one
		doublings = 0
	}
	c.nextProbe = now.Add(askTimeout << doublings)
	if peer, ok := c.nextPeer(); ok {
		c.ask(now, peer, c.state.Revision)
	}
}

// askIfStale asks a random voter for a newer revision if the current one has not
// been confirmed for staleAge. The whole region may be partitioned from the log
// without detecting it.
func (c *Core) askIfStale(now time.Time) {
	if !c.inForce || c.quorum || c.Age(now) < staleAge || now.Before(c.nextStaleAsk) {
		return
	}
	c.nextStaleAsk = now.Add(askTimeout)
	if voter, ok := c.anyVoter(); ok {
		c.send(voter, c.askMessage(now, c.state.Revision))
	}
}

// anyVoter returns a random other voter of any region.
func (c *Core) anyVoter() (redwingshunt.InstanceID, bool) {
	var voters []redwingshunt.InstanceID
	for _, instance := range c.live {
		if instance.Voter && instance.ID != c.self.ID {
			voters = append(voters, instance.ID)
		}
	}
	if len(voters) == 0 {
		return "", false
	}
	return voters[c.random.IntN(len(voters))], true
}

// nextPeer returns a random peer of this instance's region or, after each
// sameRegionTries questions without an update, one of another region. An instance that
// has a configuration which is not confirmed yet asks a voter every other time.
func (c *Core) nextPeer() (redwingshunt.InstanceID, bool) {
	if !c.inForce && c.state.Revision != 0 && c.asksSinceInstall%2 == 0 {
		if voter, ok := c.anyVoter(); ok {
			return voter, true
		}
	}
	sameRegion, otherRegions := c.peers()
	if len(otherRegions) > 0 && (len(sameRegion) == 0 || c.asksSinceInstall%(sameRegionTries+1) == sameRegionTries) {
		return otherRegions[c.random.IntN(len(otherRegions))], true
	}
	if len(sameRegion) == 0 {
		return "", false
	}
	return sameRegion[c.random.IntN(len(sameRegion))], true
}

// ask asks an instance for updates since a revision, unless the last question was
// sent within askTimeout.
func (c *Core) ask(now time.Time, to redwingshunt.InstanceID, since redwingshunt.Revision) {
	if now.Before(c.nextAsk) {
		return
	}
	c.nextAsk = now.Add(askTimeout)
	c.asksSinceInstall++
	c.send(to, c.askMessage(now, since))
}

// askMessage returns a message that asks for updates since a revision.
func (c *Core) askMessage(now time.Time, since redwingshunt.Revision) redwingshunt.Message {
	return encode(redwingshunt.KindDigest, &wire.Digest{
		Revision: uint64(since), Evacuations: uint64(c.state.Evacuations.Revision), Age: milliseconds(c.Age(now)), Ask: true,
	})
}

// sendDigest sends a digest with the current revision and its age.
func (c *Core) sendDigest(now time.Time, to redwingshunt.InstanceID) {
	c.send(to, encode(redwingshunt.KindDigest, &wire.Digest{
		Revision: uint64(c.state.Revision), Evacuations: uint64(c.state.Evacuations.Revision), Age: milliseconds(c.Age(now)),
	}))
}

// sendDueDigests sends the periodic digests: one to a random peer of the same
// region and, from the root of a region, one to the root of each region with a
// larger name.
func (c *Core) sendDueDigests(now time.Time) {
	if !now.Before(c.nextLocalDigest) {
		c.nextLocalDigest = now.Add(localDigestPeriod)
		if sameRegion, _ := c.peers(); len(sameRegion) > 0 {
			c.sendDigest(now, sameRegion[c.random.IntN(len(sameRegion))])
		}
	}
	if now.Before(c.nextCrossRegionDigest) || c.root(c.self.Region) != c.self.ID {
		return
	}
	c.nextCrossRegionDigest = now.Add(crossRegionDigestPeriod)
	for _, region := range c.regions() {
		if region > c.self.Region {
			c.sendDigest(now, c.root(region))
		}
	}
}
