package prober

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// receive merges the rows of a message and replies to it.
func (p *Prober) receive(now time.Time, e Received) {
	for _, row := range e.Probe.Updates {
		p.merge(now, row)
	}
	from, known := p.members[e.From]
	if !known {
		return // its address is unknown until the sender's next full ping
	}
	if from.row.State == wire.Member_SUSPECT {
		from.changed = now // it is alive; the reply allows it to refute
	}
	p.lastReceived[redwingshunt.RegionID(from.row.Region)] = now
	p.attempts[redwingshunt.RegionID(from.row.Region)] = 0
	switch e.Probe.Type {
	case wire.Probe_PING:
		p.receivePing(now, e, from)
	case wire.Probe_ACK:
		p.receiveAck(e)
		p.sendMissingRows(e)
	case wire.Probe_RELAY:
		p.receiveRelay(now, e)
	case wire.Probe_DIGEST:
		p.receiveDigest(now, e)
	}
}

func (p *Prober) receivePing(now time.Time, e Received, from *member) {
	if e.Probe.Sequence == 0 && !e.Probe.Full {
		return // a notification, which is not acknowledged
	}
	if e.Probe.Full || p.shouldSendView(now, e.Probe.Digest) {
		ack := p.fullProbe(wire.Probe_ACK)
		ack.Sequence = e.Probe.Sequence
		p.send(e.From, ack)
		return
	}
	ack := &wire.Probe{Type: wire.Probe_ACK, Sequence: e.Probe.Sequence, Updates: p.takeUpdates()}
	if from.row.State != wire.Member_ALIVE {
		ack.Updates = append(ack.Updates, from.row) // so that the sender can refute
	}
	p.send(e.From, ack)
}

func (p *Prober) receiveAck(e Received) {
	ping, ok := p.pings[e.Probe.Sequence]
	if !ok {
		return
	}
	answered := e.From
	if e.Probe.Target != "" {
		answered = redwingshunt.InstanceID(e.Probe.Target)
	}
	if answered != ping.target {
		return
	}
	delete(p.pings, e.Probe.Sequence)
	if ping.origin == "" {
		return
	}
	p.send(ping.origin, &wire.Probe{Type: wire.Probe_ACK, Sequence: ping.originSequence, Target: string(ping.target)})
}

// shouldSendView reports whether to reply to a ping with the full view: when the digest
// of the sender's view differs, at most once per period.
func (p *Prober) shouldSendView(now time.Time, digest uint64) bool {
	if digest == 0 || digest == p.digest() || now.Sub(p.ackViewSent) < p.params.PingInterval {
		return false
	}
	p.ackViewSent = now
	return true
}

// sendMissingRows replies to a full view with the rows that it lacks.
func (p *Prober) sendMissingRows(e Received) {
	if !e.Probe.Full {
		return
	}
	if missing := p.newerThan(e.Probe.Updates); len(missing) > 0 {
		p.send(e.From, &wire.Probe{Type: wire.Probe_PING, Updates: missing})
	}
}

func (p *Prober) receiveRelay(now time.Time, e Received) {
	target := redwingshunt.InstanceID(e.Probe.Target)
	if _, ok := p.members[target]; !ok {
		return
	}
	p.sequence++
	p.pings[p.sequence] = &pendingPing{target: target, sent: now, origin: e.From, originSequence: e.Probe.Sequence}
	p.send(target, &wire.Probe{Type: wire.Probe_PING, Sequence: p.sequence})
}

// receiveDigest compares the view of another region with this one. It replies to a
// different digest with the full view, and to a full view with the rows that it
// lacks.
func (p *Prober) receiveDigest(now time.Time, e Received) {
	if e.Probe.Full {
		missing := p.newerThan(e.Probe.Updates)
		if len(missing) > 0 {
			p.send(e.From, &wire.Probe{Type: wire.Probe_DIGEST, Digest: p.digest(), Updates: missing})
		}
		return
	}
	if e.Probe.Digest == p.digest() {
		return
	}
	region := redwingshunt.RegionID(p.members[e.From].row.Region)
	if now.Sub(p.fullViewSent[region]) < p.params.Digest {
		return
	}
	p.fullViewSent[region] = now
	p.send(e.From, p.fullProbe(wire.Probe_DIGEST))
}

// newerThan returns the rows of this view that are newer than the given rows or
// missing among them.
func (p *Prober) newerThan(rows []*wire.Member) []*wire.Member {
	theirs := make(map[string]*wire.Member, len(rows))
	for _, row := range rows {
		theirs[row.Id] = row
	}
	var newer []*wire.Member
	for _, id := range sortedKeys(p.members) {
		row := p.members[id].row
		if other, ok := theirs[row.Id]; !ok || supersedes(row, other) {
			newer = append(newer, row)
		}
	}
	return newer
}

// syncRegions sends a digest and recent changes to the representative of each other
// region, when this instance represents its own region or is leaving.
func (p *Prober) syncRegions() {
	if p.representative(p.self.Region, 0) != p.self.ID && !p.self.Leaving {
		return
	}
	for _, region := range p.otherRegions() {
		// After every two attempts without a reply the next instance is tried.
		target := p.representative(region, p.attempts[region]/2)
		if target == "" {
			continue
		}
		p.attempts[region]++
		p.send(target, &wire.Probe{
			Type:    wire.Probe_DIGEST,
			Digest:  p.digest(),
			Updates: p.takeRegionUpdates(region),
		})
	}
}

func (p *Prober) otherRegions() []redwingshunt.RegionID {
	regions := redwingshunt.NewSet[redwingshunt.RegionID]()
	for _, m := range p.members {
		if region := redwingshunt.RegionID(m.row.Region); region != p.self.Region {
			regions.Add(region)
		}
	}
	return regions.Sorted()
}

// representative returns the instance that represents a region: the first live one
// that is not leaving, after skipping the given number. It returns "" when there is
// none.
func (p *Prober) representative(region redwingshunt.RegionID, skip int) redwingshunt.InstanceID {
	var candidates []redwingshunt.InstanceID
	for _, i := range p.Live() {
		if i.Region == region && !i.Leaving {
			candidates = append(candidates, i.ID)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[skip%len(candidates)]
}

// merge applies a row received from another instance.
func (p *Prober) merge(now time.Time, row *wire.Member) {
	if redwingshunt.InstanceID(row.Id) == p.self.ID {
		p.refute(now, row)
		return
	}
	known, ok := p.members[redwingshunt.InstanceID(row.Id)]
	sameRun := ok && row.Incarnation == known.row.Incarnation
	if sameRun && row.Routes && !known.row.Routes {
		p.addRoutes(known)
	}
	if ok && !supersedes(row, known.row) {
		return
	}
	if !ok && row.State == wire.Member_DEAD {
		return // a dead instance that is not known needs no entry
	}
	if _, err := netip.ParseAddrPort(row.Address); err != nil {
		return
	}
	row = cloneRow(row)
	row.Routes = row.Routes || sameRun && known.row.Routes
	p.install(now, row)
}

// addRoutes notes that an incarnation serves routes, which holds for its whole life. The
// row lacked this, as an instance of an older version had passed it on.
func (p *Prober) addRoutes(known *member) {
	known.row = cloneRow(known.row) // messages may hold the row
	known.row.Routes, known.remainingSends, p.changed = true, p.maxSends(), true
}

// refute replaces a received row of this instance that supersedes its own, as when it
// was suspected or declared dead, by a newer one.
func (p *Prober) refute(now time.Time, row *wire.Member) {
	own := p.members[p.self.ID].row
	if !supersedes(row, own) {
		return
	}
	if row.Incarnation > uint64(p.self.Incarnation) {
		// Another process uses this name, or the clock was set back before a
		// restart: continue with a larger incarnation.
		p.self.Incarnation = redwingshunt.Incarnation(row.Incarnation + 1)
	}
	p.version = max(p.version, row.Version) + 1
	p.install(now, p.selfRow())
	p.notify(p.others())
}

func (p *Prober) install(now time.Time, row *wire.Member) {
	id := redwingshunt.InstanceID(row.Id)
	m := &member{row: row, changed: now, remainingSends: p.maxSends()}
	p.members[id] = m
	p.changed = true
	for _, region := range p.otherRegions() {
		if p.syncQueue[region] == nil {
			p.syncQueue[region] = redwingshunt.NewSet[redwingshunt.InstanceID]()
		}
		p.syncQueue[region].Add(id)
	}
}

// maxSends returns how many messages carry a change: a multiple of the logarithm of
// the number of instances.
func (p *Prober) maxSends() int {
	const multiple = 4
	return multiple * bits.Len(uint(len(p.members)+1))
}

// takeUpdates returns the changes for the next message, those with the most remaining
// sends first.
func (p *Prober) takeUpdates() []*wire.Member {
	var unsent []*member
	for _, id := range sortedKeys(p.members) {
		if p.members[id].remainingSends > 0 {
			unsent = append(unsent, p.members[id])
		}
	}
	slices.SortStableFunc(unsent, func(a, b *member) int { return cmp.Compare(b.remainingSends, a.remainingSends) })
	var rows []*wire.Member
	for _, m := range unsent[:min(len(unsent), maxUpdates)] {
		m.remainingSends--
		rows = append(rows, m.row)
	}
	return rows
}

func (p *Prober) takeRegionUpdates(region redwingshunt.RegionID) []*wire.Member {
	var rows []*wire.Member
	for _, id := range p.syncQueue[region].Sorted() {
		if len(rows) == maxUpdates {
			break
		}
		delete(p.syncQueue[region], id)
		if m, ok := p.members[id]; ok && m.row.Region != string(region) && m.row.State != wire.Member_SUSPECT {
			rows = append(rows, m.row)
		}
	}
	return rows
}

func (p *Prober) send(to redwingshunt.InstanceID, probe *wire.Probe) {
	p.out = append(p.out, Send{To: to, Probe: probe})
}

// supersedes reports whether row a is newer than row b of the same instance.
func supersedes(a, b *wire.Member) bool {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.State, b.State),
	) > 0
}

func cloneRow(row *wire.Member) *wire.Member {
	return &wire.Member{
		Id: row.Id, Incarnation: row.Incarnation, Version: row.Version, State: row.State,
		Region: row.Region, Zone: row.Zone, Address: row.Address, Voter: row.Voter, Leaving: row.Leaving,
		Routes: row.Routes,
	}
}

func instanceOf(row *wire.Member) redwingshunt.Instance {
	address, _ := netip.ParseAddrPort(row.Address)
	return redwingshunt.Instance{
		ID:          redwingshunt.InstanceID(row.Id),
		Incarnation: redwingshunt.Incarnation(row.Incarnation),
		Region:      redwingshunt.RegionID(row.Region),
		Zone:        redwingshunt.ZoneID(row.Zone),
		Address:     address,
		Voter:       row.Voter,
		Leaving:     row.Leaving,
		Routes:      row.Routes,
	}
}

func writeRow(hash *xxhash.Digest, row *wire.Member) {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[0:], row.Incarnation)
	binary.LittleEndian.PutUint64(buffer[8:], row.Version)
	_, _ = hash.WriteString(row.Id)
	_, _ = hash.Write(buffer[:])
	if row.Routes {
		_, _ = hash.Write([]byte{1})
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
