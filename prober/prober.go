// Package prober implements membership and failure detection: it decides which
// instances are live members of the fleet.
//
// Within a region each instance pings one other instance per period. It asks
// others to relay a ping that was not answered, then suspects the instance, and
// declares it dead when the suspicion is not refuted. Changes are piggybacked on
// pings and their acknowledgements. Each change is sent a number of times that
// grows with the logarithm of the fleet, so the cost for an instance does not grow
// with the fleet. A ping also carries a digest of the sender's view. When it
// differs from the receiver's, the full views are exchanged, at most once per
// period, so that every change reaches every instance eventually. An instance
// that refutes its suspicion or death notifies the others directly.
//
// Between regions only one representative per region communicates: the live
// instance with the smallest name. It sends a digest of its view and recent
// changes; when the views differ, they are exchanged in full. An instance is
// declared dead only by its own region, so a partition between regions does not
// remove the instances of the other side from the view.
//
// # Usage
//
// The package decides and performs no input or output. The caller passes events
// in and executes the returned actions:
//
//	p := prober.New(self, seeds, prober.Defaults(), seed)
//	actions := p.Step(now, prober.Tick{})
//
// The daemon passes a Tick every 100 ms, but any spacing works.
package prober

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Parameters are the intervals, timeouts and limits of the protocol.
type Parameters struct {
	PingInterval     time.Duration // interval of pings within the region
	AckTimeout       time.Duration // for the acknowledgement of a ping, direct and relayed each
	SuspicionTimeout time.Duration // from suspect to dead
	Digest           time.Duration // interval of digests to other regions
	RejoinInterval   time.Duration // interval of attempts to reach a dead instance or a seed
	JoinInterval     time.Duration // the same while no other instance is known to be alive
	DeadRetention    time.Duration // how long a dead instance stays in the view
	Relays           int           // number of instances asked to relay a ping
}

// Defaults returns the parameters used in production.
func Defaults() Parameters {
	return Parameters{
		PingInterval:     time.Second,
		AckTimeout:       400 * time.Millisecond,
		SuspicionTimeout: 1500 * time.Millisecond,
		Digest:           2 * time.Second,
		RejoinInterval:   3 * time.Second,
		JoinInterval:     300 * time.Millisecond,
		DeadRetention:    time.Hour,
		Relays:           3,
	}
}

// maxNotified bounds the instances that are notified of a refutation directly; in a
// larger fleet they spread it to the others.
const maxNotified = 128

// maxUpdates bounds the changes carried by one message.
const maxUpdates = 12

// member is one instance in the view. Its row is its entry in the wire format.
type member struct {
	row            *wire.Member
	changed        time.Time // when the row last changed here
	remainingSends int       // number of messages that will still carry the row
}

// pendingPing is a ping that was not acknowledged yet.
type pendingPing struct {
	target         redwingshunt.InstanceID
	sent           time.Time
	relayed        bool
	origin         redwingshunt.InstanceID // instance that asked for a relayed ping; empty for own pings
	originSequence uint64                  // sequence of the ping at the origin
}

// Prober is the view of one instance. It is not safe for concurrent use.
type Prober struct {
	self         redwingshunt.Instance
	version      uint64
	seeds        []netip.AddrPort
	params       Parameters
	random       *rand.Rand
	members      map[redwingshunt.InstanceID]*member
	pings        map[uint64]*pendingPing
	sequence     uint64
	pingQueue    []redwingshunt.InstanceID // instances still to be pinged in this round
	nextPing     time.Time
	nextJoin     time.Time
	nextSync     time.Time
	fullViewSent map[redwingshunt.RegionID]time.Time // last full view sent for a digest
	ackViewSent  time.Time                           // last full view sent in reply to a ping
	lastReceived map[redwingshunt.RegionID]time.Time // last message received
	attempts     map[redwingshunt.RegionID]int       // digests sent since then
	syncQueue    map[redwingshunt.RegionID]redwingshunt.Set[redwingshunt.InstanceID]
	changed      bool
	out          []Action
}

// New returns the Prober of an instance that knows no other instance yet. The seeds
// are link addresses of some other instances. The seed of the random source makes
// its choices reproducible.
func New(self redwingshunt.Instance, seeds []netip.AddrPort, params Parameters, seed uint64) *Prober {
	p := &Prober{
		self:         self,
		seeds:        seeds,
		params:       params,
		random:       rand.New(rand.NewPCG(seed, uint64(self.Incarnation))),
		members:      make(map[redwingshunt.InstanceID]*member),
		pings:        make(map[uint64]*pendingPing),
		fullViewSent: make(map[redwingshunt.RegionID]time.Time),
		lastReceived: make(map[redwingshunt.RegionID]time.Time),
		attempts:     make(map[redwingshunt.RegionID]int),
		syncQueue:    make(map[redwingshunt.RegionID]redwingshunt.Set[redwingshunt.InstanceID]),
	}
	p.members[self.ID] = &member{row: p.selfRow()}
	return p
}

// Step handles one event and returns the actions to be executed.
func (p *Prober) Step(now time.Time, event Event) []Action {
	p.out = nil
	p.changed = false
	switch e := event.(type) {
	case Tick:
		p.tick(now)
	case Received:
		p.receive(now, e)
	case LinkLost:
		p.linkLost(now, e.Instance)
	case Leave:
		p.leave(now)
	}
	if p.changed {
		p.out = append(p.out, Changed{})
	}
	return p.out
}

// Live returns the instances that are not declared dead, sorted by name.
func (p *Prober) Live() []redwingshunt.Instance {
	live := make([]redwingshunt.Instance, 0, len(p.members))
	for _, m := range p.members {
		if m.row.State == wire.Member_DEAD {
			continue
		}
		live = append(live, instanceOf(m.row))
	}
	slices.SortFunc(live, func(a, b redwingshunt.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// Find returns an instance by name, and whether it is in the view. Dead instances
// are included.
func (p *Prober) Find(id redwingshunt.InstanceID) (redwingshunt.Instance, bool) {
	m, ok := p.members[id]
	if !ok {
		return redwingshunt.Instance{}, false
	}
	return instanceOf(m.row), true
}

func (p *Prober) tick(now time.Time) {
	p.expirePings(now)
	p.expireSuspects(now)
	if !now.Before(p.nextPing) {
		p.nextPing = now.Add(p.params.PingInterval)
		p.pingNext(now)
	}
	if !now.Before(p.nextJoin) {
		p.nextJoin = now.Add(p.joinInterval())
		p.rejoin(now)
	}
	if !now.Before(p.nextSync) {
		p.nextSync = now.Add(p.params.Digest)
		p.syncRegions()
	}
}

// pingNext pings the next instance of the current round. Each round pings the
// instances of the region in a new random order.
func (p *Prober) pingNext(now time.Time) {
	for {
		if len(p.pingQueue) == 0 {
			p.pingQueue = p.regionPeers()
			p.random.Shuffle(len(p.pingQueue), func(i, j int) { p.pingQueue[i], p.pingQueue[j] = p.pingQueue[j], p.pingQueue[i] })
			if len(p.pingQueue) == 0 {
				return
			}
		}
		id := p.pingQueue[0]
		p.pingQueue = p.pingQueue[1:]
		if m, ok := p.members[id]; ok && m.row.State != wire.Member_DEAD {
			p.ping(now, id)
			return
		}
	}
}

// regionPeers returns the other instances of this region that are not dead.
func (p *Prober) regionPeers() []redwingshunt.InstanceID {
	var peers []redwingshunt.InstanceID
	for _, i := range p.Live() {
		if i.Region == p.self.Region && i.ID != p.self.ID {
			peers = append(peers, i.ID)
		}
	}
	return peers
}

func (p *Prober) ping(now time.Time, id redwingshunt.InstanceID) {
	p.sequence++
	p.pings[p.sequence] = &pendingPing{target: id, sent: now}
	p.send(id, &wire.Probe{Type: wire.Probe_PING, Sequence: p.sequence, Digest: p.digest(), Updates: p.takeUpdates()})
}

// expirePings asks for relays of pings that were not acknowledged in time, and
// suspects their targets when the relayed pings are not acknowledged either.
func (p *Prober) expirePings(now time.Time) {
	for _, sequence := range sortedKeys(p.pings) {
		ping := p.pings[sequence]
		if now.Sub(ping.sent) < p.params.AckTimeout {
			continue
		}
		if ping.origin != "" || ping.relayed {
			delete(p.pings, sequence)
			if ping.origin == "" {
				p.suspect(now, ping.target)
			}
			continue
		}
		ping.relayed = true
		ping.sent = now
		for _, relay := range p.relaysFor(ping.target) {
			p.send(relay, &wire.Probe{Type: wire.Probe_RELAY, Sequence: sequence, Target: string(ping.target)})
		}
	}
}

func (p *Prober) relaysFor(target redwingshunt.InstanceID) []redwingshunt.InstanceID {
	peers := p.regionPeers()
	peers = slices.DeleteFunc(peers, func(id redwingshunt.InstanceID) bool { return id == target })
	p.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), p.params.Relays)]
}

func (p *Prober) suspect(now time.Time, id redwingshunt.InstanceID) {
	m, ok := p.members[id]
	if !ok || m.row.State != wire.Member_ALIVE {
		return
	}
	p.setState(now, m, wire.Member_SUSPECT)
	// Notifies the suspect, so that it can refute.
	p.send(id, &wire.Probe{Type: wire.Probe_PING, Updates: []*wire.Member{m.row}})
}

func (p *Prober) expireSuspects(now time.Time) {
	for _, id := range sortedKeys(p.members) {
		m := p.members[id]
		age := now.Sub(m.changed)
		switch {
		case m.row.State == wire.Member_SUSPECT && m.row.Region == string(p.self.Region) && age >= p.params.SuspicionTimeout:
			p.setState(now, m, wire.Member_DEAD)
		case m.row.State == wire.Member_DEAD && age >= p.params.DeadRetention:
			delete(p.members, id)
		}
	}
}

func (p *Prober) setState(now time.Time, m *member, state wire.Member_State) {
	row := cloneRow(m.row)
	row.State = state
	p.install(now, row)
}

// rejoin pings a random dead instance of the region that was not leaving. It also
// contacts the seeds while the view holds no instance but such ones, or when
// missingRegions reports true.
func (p *Prober) rejoin(now time.Time) {
	var dead []redwingshunt.InstanceID
	for _, id := range sortedKeys(p.members) {
		m := p.members[id]
		if m.row.State == wire.Member_DEAD && m.row.Region == string(p.self.Region) && !m.row.Leaving {
			dead = append(dead, id)
		}
	}
	if len(dead) > 0 {
		p.pingDead(now, dead[p.random.IntN(len(dead))])
	}
	if len(p.members)-len(dead) > 1 && !p.missingRegions() {
		return
	}
	for _, address := range p.seeds {
		p.out = append(p.out, SendAddress{Address: address, Probe: p.fullProbe(wire.Probe_PING)})
	}
}

// pingDead pings a dead instance with its own row, so that it can refute.
func (p *Prober) pingDead(now time.Time, id redwingshunt.InstanceID) {
	p.sequence++
	p.pings[p.sequence] = &pendingPing{target: id, sent: now, relayed: true}
	rows := []*wire.Member{p.selfRow(), p.members[id].row}
	p.send(id, &wire.Probe{Type: wire.Probe_PING, Sequence: p.sequence, Updates: rows})
}

// missingRegions reports whether no instance of any other region is known and this
// instance represents its region. This is the state when the regions of a fleet were
// started separately.
func (p *Prober) missingRegions() bool {
	for _, m := range p.members {
		if m.row.Region != string(p.self.Region) {
			return false
		}
	}
	return p.representative(p.self.Region, 0) == p.self.ID
}

func (p *Prober) fullProbe(kind wire.Probe_Type) *wire.Probe {
	probe := &wire.Probe{Type: kind, Full: true}
	for _, id := range sortedKeys(p.members) {
		probe.Updates = append(probe.Updates, p.members[id].row)
	}
	return probe
}

// linkLost pings a live instance of the region immediately, so that its death is
// detected before its next regular ping.
func (p *Prober) linkLost(now time.Time, id redwingshunt.InstanceID) {
	m, ok := p.members[id]
	if !ok || m.row.State != wire.Member_ALIVE || m.row.Region != string(p.self.Region) {
		return
	}
	p.ping(now, id)
}

// leave marks this instance as leaving, so that it gets no new responsibilities, and
// notifies the other instances.
func (p *Prober) leave(now time.Time) {
	p.self.Leaving = true
	p.version++
	p.install(now, p.selfRow())
	p.notify(p.regionPeers())
	p.syncRegions()
}

// notify sends the row of this instance to others. They do not acknowledge it.
func (p *Prober) notify(peers []redwingshunt.InstanceID) {
	for _, id := range peers {
		p.send(id, &wire.Probe{Type: wire.Probe_PING, Updates: []*wire.Member{p.selfRow()}})
	}
}

// others returns the other instances that are not dead, a random maxNotified of them
// when there are more.
func (p *Prober) others() []redwingshunt.InstanceID {
	var others []redwingshunt.InstanceID
	for _, i := range p.Live() {
		if i.ID != p.self.ID {
			others = append(others, i.ID)
		}
	}
	p.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), maxNotified)]
}

func (p *Prober) selfRow() *wire.Member {
	return &wire.Member{
		Id:          string(p.self.ID),
		Incarnation: uint64(p.self.Incarnation),
		Version:     p.version,
		Region:      string(p.self.Region),
		Zone:        string(p.self.Zone),
		Address:     p.self.Address.String(),
		Voter:       p.self.Voter,
		Leaving:     p.self.Leaving,
		Routes:      p.self.Routes,
	}
}

// digest returns a hash of the instances in the view that are not dead, of their versions,
// and of whether they serve routes.
func (p *Prober) digest() uint64 {
	hash := xxhash.New()
	for _, id := range sortedKeys(p.members) {
		row := p.members[id].row
		if row.State == wire.Member_DEAD {
			continue // instances remove dead members at different times
		}
		writeRow(hash, row)
	}
	return hash.Sum64()
}

// joinInterval returns the time until the next attempt to reach other instances. It
// is short while no other instance is alive, because this instance has no other work
// then and its seeds may start at any moment.
func (p *Prober) joinInterval() time.Duration {
	if p.params.JoinInterval > 0 && len(p.Live()) <= 1 {
		return p.params.JoinInterval
	}
	return p.params.RejoinInterval
}
