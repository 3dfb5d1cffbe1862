package publisher

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

func (c *Core) received(now time.Time, e Received) {
	switch e.Kind {
	case redwingshunt.KindDigest:
		var message wire.Digest
		if proto.Unmarshal(e.Payload, &message) == nil {
			c.digested(now, e.From, &message)
		}
	case redwingshunt.KindPublish:
		var message wire.Publish
		if proto.Unmarshal(e.Payload, &message) == nil {
			c.published(now, e.From, &message)
		}
	}
}

// digested compares the revision of a peer with the own one.
func (c *Core) digested(now time.Time, from redwingshunt.InstanceID, message *wire.Digest) {
	revision := redwingshunt.Revision(message.GetRevision())
	c.hear(now, revision, message.GetAge())
	fresher := milliseconds(c.Age(now)) + uint32(acrossPeriod.Milliseconds())
	switch {
	case revision < c.state.Revision:
		c.publish(now, from, revision)
	case revision > c.state.Revision:
		c.ask(now, from, c.state.Revision)
	case message.GetAsk(), message.GetAge() > fresher && !c.confirmed.IsZero():
		c.tell(now, from)
	}
}

// hear notes a revision somewhere and, for the own one, its age.
func (c *Core) hear(now time.Time, revision redwingshunt.Revision, age uint32) {
	c.seen = max(c.seen, revision)
	if revision == c.state.Revision && revision != 0 {
		c.confirm(now, time.Duration(age)*time.Millisecond)
	}
}

// confirm notes that the revision was the newest some time ago.
func (c *Core) confirm(now time.Time, age time.Duration) {
	if age >= Never {
		return
	}
	if at := now.Add(-age); at.After(c.confirmed) {
		c.confirmed = at
	}
}

// confirmOwn renews the confirmation on a voter in touch with a quorum.
func (c *Core) confirmOwn(now time.Time) {
	if c.quorum && c.state.Revision != 0 && c.state.Revision >= c.seen {
		c.confirm(now, 0)
	}
}

// settle puts the first configuration in force, at once when it is fresh.
func (c *Core) settle(now time.Time) {
	if c.settled || c.state.Revision == 0 {
		return
	}
	if c.holdTill.IsZero() {
		c.holdTill = now.Add(startPatience)
	}
	if c.Age(now) > freshAge && now.Before(c.holdTill) {
		return
	}
	c.settled = true
	c.actions = append(c.actions, Installed{State: c.state})
}

// behind reports whether there is a newer revision to ask for.
func (c *Core) behind() bool {
	return !c.settled || c.seen > max(c.state.Revision, c.refused)
}

// askIfBehind asks the next peer when the last did not answer in time, less
// and less often.
func (c *Core) askIfBehind(now time.Time) {
	if !c.behind() || now.Before(c.nextProbe) {
		return
	}
	doublings := min(c.tries, maxBackoff)
	if !c.settled && c.state.Revision != 0 { // holding an old answer, but not for long
		doublings = 0
	}
	c.nextProbe = now.Add(askTimeout << doublings)
	if peer, ok := c.nextPeer(); ok {
		c.ask(now, peer, c.state.Revision)
	}
}

// askIfStale asks a voter whether there is something newer, when nobody has
// confirmed the revision for a while: the whole region may be cut off from the
// log without knowing it.
func (c *Core) askIfStale(now time.Time) {
	if !c.settled || c.quorum || c.Age(now) < staleAge || now.Before(c.nextStale) {
		return
	}
	c.nextStale = now.Add(askTimeout)
	var voters []redwingshunt.InstanceID
	for _, instance := range c.live {
		if instance.Voter && instance.ID != c.self.ID {
			voters = append(voters, instance.ID)
		}
	}
	if len(voters) == 0 {
		return
	}
	c.send(voters[c.random.IntN(len(voters))], c.question(now, c.state.Revision))
}

// nextPeer returns some peer of the own region, and elsewhere every time that
// nearTries of them were of no help.
func (c *Core) nextPeer() (redwingshunt.InstanceID, bool) {
	near, far := c.peers()
	if len(far) > 0 && (len(near) == 0 || c.tries%(nearTries+1) == nearTries) {
		return far[c.random.IntN(len(far))], true
	}
	if len(near) == 0 {
		return "", false
	}
	return near[c.random.IntN(len(near))], true
}

// ask asks for what is newer than a revision, unless a question is still open.
func (c *Core) ask(now time.Time, to redwingshunt.InstanceID, than redwingshunt.Revision) {
	if now.Before(c.nextAsk) {
		return
	}
	c.nextAsk = now.Add(askTimeout)
	c.tries++
	c.send(to, c.question(now, than))
}

// question returns the message that asks for what is newer than a revision.
func (c *Core) question(now time.Time, than redwingshunt.Revision) redwingshunt.Message {
	return encode(redwingshunt.KindDigest, &wire.Digest{
		Revision: uint64(than), Age: milliseconds(c.Age(now)), Ask: true,
	})
}

// tell tells the revision in force.
func (c *Core) tell(now time.Time, to redwingshunt.InstanceID) {
	c.send(to, encode(redwingshunt.KindDigest, &wire.Digest{
		Revision: uint64(c.state.Revision), Age: milliseconds(c.Age(now)),
	}))
}

// digest tells the revision to one peer near by and, as the speaker, to the
// speakers of the regions that come after the own one by name.
func (c *Core) digest(now time.Time) {
	if !now.Before(c.nextDigest) {
		c.nextDigest = now.Add(digestPeriod)
		if near, _ := c.peers(); len(near) > 0 {
			c.tell(now, near[c.random.IntN(len(near))])
		}
	}
	if now.Before(c.nextAcross) || c.speaker(c.self.Region) != c.self.ID {
		return
	}
	c.nextAcross = now.Add(acrossPeriod)
	for _, region := range c.regions() {
		if region > c.self.Region {
			c.tell(now, c.speaker(region))
		}
	}
}
