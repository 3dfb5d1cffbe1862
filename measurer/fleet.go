package measurer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/scheduler"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// messageOverheadBytes is the framing of one message in bytes: IPv4 and TCP headers
	// (40), HTTP/2 and gRPC headers (14), frame fields (10).
	messageOverheadBytes = 64
	// detectionDelay is the time after which an instance detects that another one
	// joined, left or became unreachable.
	detectionDelay = 2 * time.Second
	// tickPeriod is the interval between ticks of the scheduler cores.
	tickPeriod = 50 * time.Millisecond
	// announcePeriod is the interval between announcements of an upstream.
	announcePeriod = time.Second
	// announceTTL is the time after which an announcement expires.
	announceTTL = 10 * time.Second
	// settleTime is the time that a new owner waits for the states of the routers.
	settleTime = 500 * time.Millisecond
	// samplingPeriod is the interval between samples of the gauge.
	samplingPeriod = 100 * time.Millisecond
)

// firstIncarnation has the same encoded size as an incarnation taken from a clock.
const firstIncarnation = 1_700_000_000

const service redwingshunt.ServiceID = "assistant"

// event is a function scheduled to run at a simulated time.
type event struct {
	at       time.Time
	sequence uint64
	do       func()
}

type eventQueue []event

func (c eventQueue) Len() int { return len(c) }
func (c eventQueue) Less(i, j int) bool {
	if !c[i].at.Equal(c[j].at) {
		return c[i].at.Before(c[j].at)
	}
	return c[i].sequence < c[j].sequence
}
func (c eventQueue) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *eventQueue) Push(x any) { *c = append(*c, x.(event)) }

// Pop implements heap.Interface.
func (c *eventQueue) Pop() any {
	old := *c
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*c = old[:len(old)-1]
	return last
}

// node is a simulated instance.
type node struct {
	instance    redwingshunt.Instance
	index       int
	coreRegion  redwingshunt.RegionID // region passed to the scheduler cores
	offset      time.Duration
	alive       bool
	side        int // instances on different sides of a partition cannot exchange messages
	view        []redwingshunt.Instance
	queue       *scheduler.Queue
	ownerSet    *scheduler.OwnerSet
	localRouter *localRouter // router of the baseline policies
	requests    map[uint64]*request
	sent        int // bytes
	received    int
}

// Fleet runs one scenario.
type Fleet struct {
	scenario   *Scenario
	random     *rand.Rand
	start      time.Time
	now        time.Time
	eventQueue eventQueue
	sequence   uint64
	tickets    uint64
	nodes      []*node
	nodeByID   map[redwingshunt.InstanceID]*node
	engines    []*engine
	engineByID map[redwingshunt.UpstreamID]*engine
	gauge      *gauge
	tokens     map[redwingshunt.AccountID]*account
	evacuated  []redwingshunt.ZoneID
	orderedAt  time.Time // of evacuated
}

// account aggregates the requests of one client account.
type account struct {
	load    *Load
	waiting int
	queued  float64 // tokens waiting
	done    float64 // tokens of ended requests
	active  map[*request]struct{}
}

// NewFleet builds the fakes of a scenario.
func NewFleet(s *Scenario) *Fleet {
	f := &Fleet{
		scenario:   s,
		random:     rand.New(rand.NewPCG(s.Seed, 1)),
		start:      time.Unix(1_700_000_000, 0),
		nodeByID:   map[redwingshunt.InstanceID]*node{},
		engineByID: map[redwingshunt.UpstreamID]*engine{},
		tokens:     map[redwingshunt.AccountID]*account{},
	}
	f.now = f.start
	f.gauge = newGauge(f)
	for i := range s.Loads {
		f.tokens[s.Loads[i].Account] = &account{load: &s.Loads[i], active: map[*request]struct{}{}}
	}
	for _, p := range s.Places {
		f.addPlace(p)
	}
	for _, n := range f.nodes {
		f.boot(n)
	}
	f.updateViews()
	f.schedule()
	return f
}

func (f *Fleet) addPlace(p Place) {
	zone := func(i int) redwingshunt.ZoneID {
		return redwingshunt.ZoneID(fmt.Sprintf("%s-%d", p.Region, i%max(1, p.Zones)))
	}
	for i := range p.Routers {
		n := &node{index: len(f.nodes), alive: true, instance: redwingshunt.Instance{
			ID:     redwingshunt.InstanceID(fmt.Sprintf("%s-r%d", p.Region, i)),
			Region: p.Region, Zone: zone(i), Incarnation: firstIncarnation,
		}}
		n.coreRegion = f.coreRegionOf(p.Region)
		if f.scenario.Offset > 0 {
			n.offset = time.Duration(f.random.Int64N(int64(f.scenario.Offset)))
		}
		f.nodes = append(f.nodes, n)
		f.nodeByID[n.instance.ID] = n
	}
	for i := range p.Upstreams {
		e := &engine{slots: f.scenario.Slots, rate: f.scenario.Rate, upstream: redwingshunt.Upstream{
			ID:      redwingshunt.UpstreamID(fmt.Sprintf("%s-u%d", p.Region, i)),
			Service: service, Region: p.Region, Zone: zone(i), Slots: f.scenario.Slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 8000),
		}}
		f.engines = append(f.engines, e)
		f.engineByID[e.upstream.ID] = e
	}
}

// coreRegionOf returns the region that is passed to the scheduler cores.
func (f *Fleet) coreRegionOf(region redwingshunt.RegionID) redwingshunt.RegionID {
	if f.scenario.Policy == PolicyLeased {
		return "all"
	}
	return region
}

// usesCores reports whether the policy runs on the cores of package scheduler.
func (f *Fleet) usesCores() bool {
	return f.scenario.Policy == PolicyOwner || f.scenario.Policy == PolicyLeased
}

// boot starts an instance with no state.
func (f *Fleet) boot(n *node) {
	n.alive = true
	n.instance.Incarnation++
	n.instance.Leaving = false
	n.requests = map[uint64]*request{}
	n.view = nil
	n.queue = scheduler.NewQueue(scheduler.QueueOptions{
		Self: n.instance.ID, Incarnation: n.instance.Incarnation, Region: n.coreRegion,
		Zone: n.instance.Zone, Service: service,
	})
	self := n.instance
	self.Region = n.coreRegion
	n.ownerSet = scheduler.NewOwnerSet(self, service, settleTime)
	n.localRouter = newLocalRouter(f, n)
	f.stepQueue(n, f.configuration())
	f.stepOwners(n, f.configuration())
}

func (f *Fleet) configuration() scheduler.Configured {
	c := scheduler.Configured{Gap: f.scenario.Gap, Evacuated: f.evacuated, Accounts: map[redwingshunt.AccountID]scheduler.AccountRule{}}
	for _, l := range f.scenario.Loads {
		c.Accounts[l.Account] = scheduler.AccountRule{Share: l.Share, Regions: redwingshunt.NewAllowedRegions(l.Regions...)}
	}
	return c
}

// after schedules do to run after d of simulated time.
func (f *Fleet) after(d time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.eventQueue, event{at: f.now.Add(d), sequence: f.sequence, do: do})
}

// schedule enters the periodic events, the clients and the faults.
func (f *Fleet) schedule() {
	for i, n := range f.nodes {
		f.after(tickPeriod*time.Duration(i)/time.Duration(len(f.nodes)), func() { f.tick(n) })
	}
	for i, e := range f.engines {
		f.after(announcePeriod*time.Duration(i)/time.Duration(10*len(f.engines)), func() { f.announce(e) })
	}
	for i := range f.scenario.Loads {
		f.startClients(&f.scenario.Loads[i])
	}
	for _, fault := range f.scenario.Faults {
		f.after(fault.At, func() { fault.Do(f) })
	}
	f.after(samplingPeriod, f.sample)
}

func (f *Fleet) sample() {
	f.gauge.sample()
	f.after(samplingPeriod, f.sample)
}

// Run simulates the scenario and returns the measurements.
func (f *Fleet) Run() Result {
	end := f.start.Add(f.scenario.Length)
	for len(f.eventQueue) > 0 {
		next := heap.Pop(&f.eventQueue).(event)
		if next.at.After(end) {
			break
		}
		f.now = next.at
		next.do()
	}
	return f.gauge.result()
}

func (f *Fleet) tick(n *node) {
	f.after(tickPeriod, func() { f.tick(n) })
	if !n.alive {
		return
	}
	f.chargeProgress(n)
	f.stepQueue(n, scheduler.Ticked{})
	f.stepOwners(n, scheduler.Ticked{})
	n.localRouter.tick()
}

// chargeProgress charges the tokens generated since the last tick.
func (f *Fleet) chargeProgress(n *node) {
	for ticket, r := range n.requests {
		if r.job == nil {
			continue
		}
		served := r.engine.served(f.now, r.job)
		if delta := redwingshunt.Cost(served) - redwingshunt.Cost(r.charged); delta > 0 {
			n.queue.Step(n.clock(f), scheduler.Charged{Ticket: ticket, Delta: delta})
			n.localRouter.charge(r, delta)
		}
		r.charged = served
	}
}

// clock returns the time on the clock of the instance.
func (n *node) clock(f *Fleet) time.Time { return f.now.Add(n.offset) }

// stepQueue passes an event to the queue of an instance.
func (f *Fleet) stepQueue(n *node, e scheduler.Event) {
	if !f.usesCores() {
		return
	}
	f.execute(n, n.queue.Step(n.clock(f), e))
}

// stepOwners passes an event to the owners of an instance.
func (f *Fleet) stepOwners(n *node, e scheduler.Event) {
	if !f.usesCores() {
		return
	}
	f.execute(n, n.ownerSet.Step(n.clock(f), e))
}

// execute performs the actions of a core.
func (f *Fleet) execute(n *node, actions []scheduler.Action) {
	for _, a := range append([]scheduler.Action(nil), actions...) {
		switch a := a.(type) {
		case scheduler.SendGrants:
			f.send(n, a.To, redwingshunt.KindGrant, a.Grants)
		case scheduler.SendLedger:
			f.send(n, a.To, redwingshunt.KindLedger, a.Ledger)
		case scheduler.SendState:
			kind := redwingshunt.KindCharge
			if a.Demand {
				kind = redwingshunt.KindDemand
			}
			f.send(n, a.To, kind, a.State)
		case scheduler.Assign:
			f.assign(n, a)
		case scheduler.Refuse:
			f.refused(n, a)
		}
	}
}

// send delivers a message from one instance to another, with the delay, loss and
// repetition of the scenario.
func (f *Fleet) send(from *node, to redwingshunt.InstanceID, kind redwingshunt.MessageKind, m proto.Message) {
	target := f.nodeByID[to]
	if target == nil {
		return
	}
	payload, err := proto.Marshal(m)
	if err != nil {
		panic(err) // the messages hold no invalid UTF-8
	}
	if target == from {
		f.after(0, func() { f.receive(from, target, kind, payload) })
		return
	}
	f.gauge.countMessage(from, target, kind, len(payload)+messageOverheadBytes)
	if from.side != target.side || f.random.Float64() < f.scenario.Loss {
		return
	}
	copies := 1
	if f.random.Float64() < f.scenario.Double {
		copies = 2
	}
	for range copies {
		f.after(f.delay(from.instance.Region, target.instance.Region), func() { f.receive(from, target, kind, payload) })
	}
}

func (f *Fleet) delay(a, b redwingshunt.RegionID) time.Duration {
	d := f.scenario.Inside
	if a != b {
		d = f.scenario.Across
	}
	if f.scenario.Jitter > 0 {
		d += time.Duration(f.random.Int64N(int64(f.scenario.Jitter)))
	}
	return d
}

func (f *Fleet) receive(from, to *node, kind redwingshunt.MessageKind, payload []byte) {
	if !to.alive {
		return
	}
	switch kind {
	case redwingshunt.KindGrant:
		m := &wire.Grants{}
		mustParse(payload, m)
		f.stepQueue(to, scheduler.Granted{From: from.instance.ID, Grants: m})
	case redwingshunt.KindLedger:
		m := &wire.Ledger{}
		mustParse(payload, m)
		f.stepOwners(to, scheduler.LedgerReceived{From: from.instance.ID, Ledger: m})
	case redwingshunt.KindAnnounce:
		m := &wire.Announcement{}
		mustParse(payload, m)
		f.receiveAnnouncement(to, m)
	default:
		m := &wire.State{}
		mustParse(payload, m)
		f.stepOwners(to, scheduler.StateReceived{From: from.instance.ID, State: m})
	}
}

func mustParse(payload []byte, m proto.Message) {
	if err := proto.Unmarshal(payload, m); err != nil {
		panic(err)
	}
}
