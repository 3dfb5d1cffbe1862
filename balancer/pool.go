// Package balancer keeps the upstreams of one service in one region, learns how
// much work each takes at once, and chooses where the next request runs.
//
// An upstream has a window: the number of requests that may be with it. It
// starts at the announced slots. A report of waiting requests means that the
// batch is smaller than the window: after two such reports the window shrinks by
// what waits, and each report without waiting requests lets it grow by one,
// up to the announced slots. Reports
// lag, so they are held against the largest number of own requests of the last
// seconds; what they show beyond that is foreign work (of a lost router, or of
// another owner) and takes slots as well.
//
// Results of requests eject an upstream that fails them (package ejector): it
// gets no work for a time, and a part of its window on its return. Upstreams of
// the own region and borrowed ones are two groups, each with its own floor.
//
// Example: an upstream announces 8 slots and reports 6 running and 5 waiting
// twice while 8 own requests are with it. Its batch holds 6, so the window
// becomes 6, and the 3 requests that are not ours keep 3 of them busy.
//
// # Usage
//
//	p := balancer.New(rand.New(rand.NewPCG(1, 2)))
//	p.Announce(now, upstream, load, 10*time.Second)
//	if c, ok := p.Pick(zone, nil); ok {
//		p.Acquire(now, c.Key)
//		...
//		p.Release(now, c.Key, balancer.Ending{First: first})
//	}
package balancer

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/ejector"
)

const (
	// defaultSlots is the window of an upstream that announces none.
	defaultSlots = 4
	// reportLag bounds how late a load report is.
	reportLag = 3 * time.Second
	// slowFactor is the first-byte time, in multiples of the usual one, at
	// which a window stops growing.
	slowFactor = 4
	// firstWeight is the weight of a new first-byte time in the average.
	firstWeight = 0.1
	// lostPause keeps new work from an upstream that has just failed a request.
	lostPause = time.Second
	// leaveGuard is the time after its leave in which an announcement of an
	// upstream is taken for a late one.
	leaveGuard = 2 * time.Second
)

// Key names an upstream in a pool. Lender is the peer that lent slots of it, or
// empty for an upstream of the own region.
type Key struct {
	Lender redwingshunt.InstanceID
	ID     redwingshunt.UpstreamID
}

// Choice is the result of Pick.
type Choice struct {
	Key      Key
	Upstream redwingshunt.Upstream
	Only     bool // no other upstream is alive
}

// Ending tells how a request on an upstream ended.
type Ending struct {
	First  time.Duration // to the first byte; zero when unknown
	Lost   bool          // the upstream failed or went silent
	Unused bool          // the slot was not used
}

// entry is one upstream.
type entry struct {
	key      Key
	upstream redwingshunt.Upstream
	expires  time.Time // zero for a borrowed one
	leaving  bool
	window   int
	limit    int // the part of the window that its health allows
	own      int // requests of this owner with the upstream
	lent     map[redwingshunt.InstanceID]int
	lentSum  int
	orphans  []orphan
	foreign  int  // other requests, from load reports
	queueing bool // the last report had waiting requests
	peak     [2]int
	turned   time.Time     // when the peaks were last shifted
	first    time.Duration // usual time to the first byte
	slow     bool
	paused   time.Time // no new work until then
}

// orphan is a request of a router that is gone; it still loads the upstream.
type orphan struct {
	since time.Time
	until time.Time
}

// Pool holds the upstreams.
type Pool struct {
	entries map[Key]*entry
	sorted  []*entry
	home    *ejector.Core // health of the upstreams of the own region
	abroad  *ejector.Core // health of the borrowed ones
	left    map[redwingshunt.UpstreamID]time.Time
	free    int
	slots   int // of the own region
	alive   int // upstreams that take work
	own     int // requests with upstreams, borrowed ones included
}

// New returns an empty pool. The source spreads the returns of ejected upstreams.
func New(source *rand.Rand) *Pool {
	return &Pool{
		entries: map[Key]*entry{}, left: map[redwingshunt.UpstreamID]time.Time{},
		home: ejector.New(source), abroad: ejector.New(source),
	}
}

// Announce adds or renews an upstream. One that has just left stays out.
func (p *Pool) Announce(now time.Time, u redwingshunt.Upstream, load redwingshunt.LoadReport, ttl time.Duration) {
	if now.Before(p.left[u.ID]) {
		return
	}
	k := Key{ID: u.ID}
	e := p.entries[k]
	if e == nil {
		e = &entry{key: k, window: announced(u)}
		p.insert(e)
	}
	if e.upstream.Slots != u.Slots {
		e.window = announced(u)
	}
	e.upstream = u
	e.expires = now.Add(ttl)
	e.leaving = false
	p.health(k).Add(k.health())
	e.learn(now, load)
	p.limit(now, e)
	p.count()
}

// Borrow sets the number of slots of a peer's upstream that may be used.
func (p *Pool) Borrow(now time.Time, lender redwingshunt.InstanceID, u redwingshunt.Upstream, slots int) {
	k := Key{Lender: lender, ID: u.ID}
	e := p.entries[k]
	if e == nil && slots == 0 {
		return
	}
	if e == nil {
		e = &entry{key: k, upstream: u}
		p.insert(e)
	}
	if u.Address.IsValid() {
		e.upstream = u
	}
	e.window = slots
	p.setLeaving(e, slots == 0)
	p.limit(now, e)
	p.count()
}

// Lend sets how many slots of an upstream a peer holds.
func (p *Pool) Lend(to redwingshunt.InstanceID, id redwingshunt.UpstreamID, slots int) {
	e := p.entries[Key{ID: id}]
	if e == nil {
		return
	}
	if e.lent == nil {
		e.lent = map[redwingshunt.InstanceID]int{}
	}
	e.lentSum += slots - e.lent[to]
	e.lent[to] = slots
	if slots == 0 {
		delete(e.lent, to)
	}
	e.note()
	p.count()
}

// Leave stops new work for an upstream at once, whoever lent it.
func (p *Pool) Leave(now time.Time, id redwingshunt.UpstreamID) {
	p.left[id] = now.Add(leaveGuard)
	for _, e := range slices.Clone(p.sorted) {
		if e.key.ID == id {
			p.setLeaving(e, true)
		}
	}
	p.weigh(now)
}

// Expire drops upstreams whose announcement has run out.
func (p *Pool) Expire(now time.Time) {
	for _, e := range slices.Clone(p.sorted) {
		if e.key.Lender == "" && now.After(e.expires) {
			p.setLeaving(e, true)
		}
		e.shift(now)
		e.orphans = slices.DeleteFunc(e.orphans, func(o orphan) bool { return now.After(o.until) })
		p.tidy(e)
	}
	maps.DeleteFunc(p.left, func(_ redwingshunt.UpstreamID, until time.Time) bool { return !now.Before(until) })
	p.weigh(now)
}

// Orphan keeps the slot of a lost router's request busy until load reports show
// that it has ended, or until the given time.
func (p *Pool) Orphan(now time.Time, k Key, until time.Time) {
	e := p.entries[k]
	if e == nil || e.own == 0 {
		return
	}
	e.own--
	p.own--
	e.orphans = append(e.orphans, orphan{since: now, until: until})
	p.tidy(e)
	p.count()
}

// Pick returns the best upstream with a free slot: in the own zone first, then
// of the own region, then borrowed; among these the least loaded one. An
// upstream in avoid is only chosen when no other is alive.
func (p *Pool) Pick(now time.Time, zone redwingshunt.ZoneID, avoid []string) (Choice, bool) {
	if p.free == 0 {
		return Choice{}, false
	}
	others := p.alive
	if len(avoid) > 0 {
		others = p.unavoided(avoid)
	}
	var best *entry
	for _, e := range p.sorted {
		if e.room() == 0 || now.Before(e.paused) || slices.Contains(avoid, string(e.key.ID)) {
			continue
		}
		if best == nil || e.before(best, zone) {
			best = e
		}
	}
	if best == nil && others == 0 {
		best = p.anyFree()
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Key: best.key, Upstream: best.upstream, Only: p.alive == 1 || others == 0}, true
}

// unavoided returns the number of living upstreams that are not to be avoided.
func (p *Pool) unavoided(avoid []string) int {
	n := 0
	for _, e := range p.sorted {
		if e.alive() && !slices.Contains(avoid, string(e.key.ID)) {
			n++
		}
	}
	return n
}

func (p *Pool) anyFree() *entry {
	for _, e := range p.sorted {
		if e.room() > 0 {
			return e
		}
	}
	return nil
}

// Acquire takes a slot.
func (p *Pool) Acquire(now time.Time, k Key) {
	if e := p.entries[k]; e != nil {
		before := e.room()
		e.own++
		e.shift(now)
		p.own++
		p.free += e.room() - before
		e.note()
	}
}

// Adopt takes the slot of a request that another owner granted, or that was
// thought lost: it replaces an orphan or foreign work. It reports whether the
// upstream is known; if not, a load report will show the request.
func (p *Pool) Adopt(now time.Time, k Key) bool {
	e := p.entries[k]
	if e == nil {
		return false
	}
	switch {
	case len(e.orphans) > 0:
		e.orphans = e.orphans[1:]
	case e.foreign > 0:
		e.foreign--
	}
	p.Acquire(now, k)
	p.count()
	return true
}

// Release gives a slot back.
func (p *Pool) Release(now time.Time, k Key, end Ending) {
	e := p.entries[k]
	if e == nil || e.own == 0 {
		return
	}
	e.shift(now)
	before := e.room()
	e.own--
	p.own--
	p.free += e.room() - before
	if end.Lost {
		e.paused = now.Add(lostPause)
	}
	if end.First > 0 && !end.Lost {
		e.observe(end.First)
	}
	p.judge(now, e, end)
	p.tidy(e)
}

// Free returns the number of slots that may be given out now.
func (p *Pool) Free() int { return p.free }

// Slots returns the number of slots of the own region that health allows.
func (p *Pool) Slots() int { return p.slots }

// Own returns the number of slots taken by this owner.
func (p *Pool) Own() int { return p.own }

// Taken returns the number of slots of the own region that are busy to the
// pool's knowledge.
func (p *Pool) Taken() int {
	n := 0
	for _, e := range p.sorted {
		if e.key.Lender == "" {
			n += e.used()
		}
	}
	return n
}

// Takes reports whether an upstream of the own region takes new work.
func (p *Pool) Takes(id redwingshunt.UpstreamID) bool {
	e := p.entries[Key{ID: id}]
	return e != nil && e.alive()
}

// Spare returns the upstream of the own region with the most free slots.
func (p *Pool) Spare() (redwingshunt.UpstreamID, bool) {
	var best *entry
	for _, e := range p.sorted {
		if e.key.Lender == "" && e.room() > 0 && (best == nil || e.room() > best.room()) {
			best = e
		}
	}
	if best == nil {
		return "", false
	}
	return best.key.ID, true
}

// Upstream returns the description of an upstream of the own region.
func (p *Pool) Upstream(id redwingshunt.UpstreamID) redwingshunt.Upstream {
	if e := p.entries[Key{ID: id}]; e != nil {
		return e.upstream
	}
	return redwingshunt.Upstream{ID: id}
}

// Alive reports whether any upstream takes work.
func (p *Pool) Alive() bool {
	return p.alive > 0
}

func announced(u redwingshunt.Upstream) int {
	if u.Slots <= 0 {
		return defaultSlots
	}
	return u.Slots
}

func (p *Pool) insert(e *entry) {
	p.entries[e.key] = e
	p.sorted = append(p.sorted, e)
	slices.SortFunc(p.sorted, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.key.Lender, b.key.Lender), cmp.Compare(a.key.ID, b.key.ID))
	})
}

// tidy drops an upstream that has left once nothing of ours is with it.
func (p *Pool) tidy(e *entry) {
	if !e.leaving || e.own > 0 {
		return
	}
	p.health(e.key).Remove(e.key.health())
	delete(p.entries, e.key)
	p.sorted = slices.DeleteFunc(p.sorted, func(other *entry) bool { return other == e })
}

func (p *Pool) count() {
	p.free, p.slots, p.alive = 0, 0, 0
	for _, e := range p.sorted {
		if e.alive() {
			p.alive++
		}
		p.free += e.room()
		if e.key.Lender == "" && !e.leaving {
			p.slots += e.limit
		}
	}
}

// alive reports whether the upstream takes work.
func (e *entry) alive() bool { return !e.leaving && e.limit > 0 }

// room returns the number of free slots.
func (e *entry) room() int {
	if e.leaving {
		return 0
	}
	return max(0, e.limit-e.used())
}

// before reports whether e is a better choice than other.
func (e *entry) before(other *entry, zone redwingshunt.ZoneID) bool {
	if (e.key.Lender == "") != (other.key.Lender == "") {
		return e.key.Lender == ""
	}
	if (e.upstream.Zone == zone) != (other.upstream.Zone == zone) {
		return e.upstream.Zone == zone
	}
	// The smaller part of the window in use wins, without division.
	return e.used()*other.limit < other.used()*e.limit
}

func (e *entry) used() int { return e.known() + e.foreign }

// known is the work that the upstream has to our knowledge.
func (e *entry) known() int { return e.own + e.lentSum + len(e.orphans) }

// note keeps the peak of known work.
func (e *entry) note() { e.peak[0] = max(e.peak[0], e.known()) }

// shift ages the peaks of own requests.
func (e *entry) shift(now time.Time) {
	if now.Sub(e.turned) < reportLag {
		return
	}
	if now.Sub(e.turned) < 2*reportLag {
		e.peak[1] = e.peak[0]
	} else {
		e.peak[1] = e.known()
	}
	e.peak[0] = e.known()
	e.turned = now
}

// learn takes a load report into foreign work and window.
func (e *entry) learn(now time.Time, load redwingshunt.LoadReport) {
	e.shift(now)
	total := load.Running + load.Waiting
	e.settle(now, e.known()-total)
	e.foreign = max(0, total-max(e.peak[0], e.peak[1], e.known()))
	switch {
	case load.Waiting == 0 && !e.slow:
		e.window = min(announced(e.upstream), e.window+1)
	case load.Waiting > 0 && e.queueing:
		e.window = min(e.window, max(1, load.Running, e.window-load.Waiting))
	}
	e.queueing = load.Waiting > 0
}

// settle drops up to the given number of orphans that a report no longer shows.
func (e *entry) settle(now time.Time, ended int) {
	for ended > 0 && len(e.orphans) > 0 && now.Sub(e.orphans[0].since) > reportLag {
		e.orphans = e.orphans[1:]
		ended--
	}
}

// observe takes a first-byte time into the usual one. A single slow answer
// changes little; the flag is up while answers are slow.
func (e *entry) observe(first time.Duration) {
	if e.first == 0 {
		e.first = first
	}
	e.slow = first > slowFactor*e.first
	e.first += time.Duration(firstWeight * float64(first-e.first))
}
