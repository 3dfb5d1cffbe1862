// Package balancer holds the upstreams of one service in one region, estimates how
// many requests each can run at once, and chooses the upstream for the next request.
//
// Each upstream has a window: the number of requests that it may have in flight. It
// starts at the announced slots. A report of waiting requests means that the batch
// is smaller than the window: after two such reports in a row the window shrinks by
// the number of waiting requests. Each report without waiting requests lets it grow
// by one, up to the announced slots. Reports lag, so they are compared with the
// largest number of this owner's requests in the last seconds. Requests beyond that
// number are foreign (of a lost router or of another owner) and take slots as well.
//
// An upstream that fails requests is ejected (package ejector): it gets no requests
// for a time, and on its return only a part of its window. Upstreams of the local
// region and borrowed ones form two groups, and the minimum of upstreams that are
// not ejected applies to each.
//
// Example: an upstream announces 8 slots and reports 6 running and 5 waiting
// requests twice while 8 requests of this owner are in flight. Its batch holds 6, so
// the window becomes 6, and the 3 foreign requests keep 3 of these slots busy.
//
// # Usage
//
//	p := balancer.New(rand.New(rand.NewPCG(1, 2)))
//	p.Announce(now, upstream, load, 10*time.Second)
//	if c, ok := p.Pick(now, zone, nil, redwingshunt.AllowedRegions{}); ok {
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
	// maxReportLag bounds the lag of a load report.
	maxReportLag = 3 * time.Second
	// slowFactor is the time to first byte, in multiples of the average, above which
	// a window stops growing.
	slowFactor = 4
	// firstByteWeight is the weight of a new time to first byte in the moving
	// average.
	firstByteWeight = 0.1
	// failurePause is the time for which an upstream gets no new requests after it
	// has failed one.
	failurePause = time.Second
	// lateAnnouncementTime is the time after the leave of an upstream in which
	// announcements of it are ignored, since they were sent before.
	lateAnnouncementTime = 2 * time.Second
)

// Key identifies an upstream in a pool. Lender is the peer that lends slots of it,
// or empty for an upstream of the local region.
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

// Ending is the result of a request on an upstream.
type Ending struct {
	First  time.Duration // time to first byte; zero when unknown
	Lost   bool          // the upstream failed or stopped responding
	Unused bool          // the slot was not used
}

// orphan is a request of a lost router that may still run on the upstream.
type orphan struct {
	since time.Time
	until time.Time
}

// Pool holds the upstreams.
type Pool struct {
	entries        map[Key]*entry
	sorted         []*entry
	localHealth    *ejector.Core // health of the upstreams of the local region
	borrowedHealth *ejector.Core // health of the borrowed upstreams
	ignoredUntil   map[redwingshunt.UpstreamID]time.Time
	evacuatedZones redwingshunt.Set[redwingshunt.ZoneID]
	free           int
	slots          int // of the local region
	alive          int // upstreams that take requests
	evacuated      int // upstreams of the local region that take none because of an evacuation
	own            int // requests of this owner in flight, on borrowed upstreams too
}

// New returns an empty pool. The source adds jitter to the durations of ejections.
func New(source *rand.Rand) *Pool {
	return &Pool{
		entries: map[Key]*entry{}, ignoredUntil: map[redwingshunt.UpstreamID]time.Time{},
		localHealth: ejector.New(source), borrowedHealth: ejector.New(source),
	}
}

// Announce adds an upstream or renews its TTL. It ignores an upstream that has just
// left, since the announcement is a late one.
func (p *Pool) Announce(now time.Time, u redwingshunt.Upstream, load redwingshunt.LoadReport, ttl time.Duration) {
	if now.Before(p.ignoredUntil[u.ID]) {
		return
	}
	k := Key{ID: u.ID}
	e := p.entries[k]
	if e == nil {
		e = &entry{key: k, window: announcedSlots(u)}
		p.insert(e)
	}
	if e.upstream.Slots != u.Slots {
		e.window = announcedSlots(u)
	}
	e.upstream = u
	e.expires = now.Add(ttl)
	e.leaving = false
	p.updateHealth(e)
	e.applyReport(now, load)
	p.limit(now, e)
	p.count()
}

// Borrow sets the number of slots that a peer lends of an upstream.
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

// Lend sets the number of slots of an upstream that a peer holds.
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
	e.updatePeak()
	p.count()
}

// Leave stops new requests for an upstream immediately, whoever lends it.
func (p *Pool) Leave(now time.Time, id redwingshunt.UpstreamID) {
	p.ignoredUntil[id] = now.Add(lateAnnouncementTime)
	for _, e := range slices.Clone(p.sorted) {
		if e.key.ID == id {
			p.setLeaving(e, true)
		}
	}
	p.updateLimits(now)
}

// Expire removes upstreams and orphans that have expired, and updates all limits.
func (p *Pool) Expire(now time.Time) {
	for _, e := range slices.Clone(p.sorted) {
		if e.key.Lender == "" && now.After(e.expires) {
			p.setLeaving(e, true)
		}
		e.shiftPeaks(now)
		e.orphans = slices.DeleteFunc(e.orphans, func(o orphan) bool { return now.After(o.until) })
		p.removeDrained(e)
	}
	maps.DeleteFunc(p.ignoredUntil, func(_ redwingshunt.UpstreamID, until time.Time) bool { return !now.Before(until) })
	p.updateLimits(now)
}

// Orphan keeps the slot of a lost router's request busy until load reports show
// that it has ended, or until the given time at the latest.
func (p *Pool) Orphan(now time.Time, k Key, until time.Time) {
	e := p.entries[k]
	if e == nil || e.own == 0 {
		return
	}
	e.own--
	p.own--
	e.orphans = append(e.orphans, orphan{since: now, until: until})
	p.removeDrained(e)
	p.count()
}

// Pick returns the best upstream with a free slot: in the given zone first, then in
// the local region, then borrowed; among these the least loaded one. An upstream in
// avoid is chosen only when no other is alive. Upstreams outside the allowed regions do
// not count. Pick reports false when no upstream suits.
func (p *Pool) Pick(now time.Time, zone redwingshunt.ZoneID, avoid []string, allowed redwingshunt.AllowedRegions) (Choice, bool) {
	if p.free == 0 {
		return Choice{}, false
	}
	alive := p.AliveIn(allowed)
	others := alive
	if len(avoid) > 0 {
		others = p.countOthers(avoid, allowed)
	}
	var best *entry
	for _, e := range p.sorted {
		if e.room() == 0 || now.Before(e.pausedUntil) || slices.Contains(avoid, string(e.key.ID)) || !allowed.Has(e.upstream.Region) {
			continue
		}
		if best == nil || e.betterThan(best, zone) {
			best = e
		}
	}
	if best == nil && others == 0 {
		best = p.anyFree(allowed)
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Key: best.key, Upstream: best.upstream, Only: alive == 1 || others == 0}, true
}

// countOthers returns the number of alive upstreams in the allowed regions that are not in
// avoid.
func (p *Pool) countOthers(avoid []string, allowed redwingshunt.AllowedRegions) int {
	n := 0
	for _, e := range p.sorted {
		if e.alive() && !slices.Contains(avoid, string(e.key.ID)) && allowed.Has(e.upstream.Region) {
			n++
		}
	}
	return n
}

func (p *Pool) anyFree(allowed redwingshunt.AllowedRegions) *entry {
	for _, e := range p.sorted {
		if e.room() > 0 && allowed.Has(e.upstream.Region) {
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
		e.shiftPeaks(now)
		p.own++
		p.free += e.room() - before
		e.updatePeak()
	}
}

// Adopt takes a slot for a running request that another owner granted, or that was
// considered lost. The request replaces an orphan or a foreign request. Adopt
// reports whether the upstream is known; if not, a load report will show the
// request.
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

// Release frees a slot and updates the state of its upstream with the result.
func (p *Pool) Release(now time.Time, k Key, end Ending) {
	e := p.entries[k]
	if e == nil || e.own == 0 {
		return
	}
	e.shiftPeaks(now)
	before := e.room()
	e.own--
	p.own--
	p.free += e.room() - before
	if end.Lost {
		e.pausedUntil = now.Add(failurePause)
	}
	if end.First > 0 && !end.Lost {
		e.observeFirstByte(end.First)
	}
	p.observeHealth(now, e, end)
	p.removeDrained(e)
}

// Free returns the number of slots that may be granted now.
func (p *Pool) Free() int { return p.free }

// Slots returns the number of slots of the local region that the health of their
// upstreams allows.
func (p *Pool) Slots() int { return p.slots }

// Own returns the number of slots taken by this owner.
func (p *Pool) Own() int { return p.own }

// OwnOf returns the number of slots of a lender taken by this owner.
func (p *Pool) OwnOf(lender redwingshunt.InstanceID) int {
	n := 0
	for _, e := range p.sorted {
		if e.key.Lender == lender {
			n += e.own
		}
	}
	return n
}

// Taken returns the number of slots of the local region that are busy, as far as
// known.
func (p *Pool) Taken() int {
	n := 0
	for _, e := range p.sorted {
		if e.key.Lender == "" {
			n += e.used()
		}
	}
	return n
}

// TakesRequests reports whether an upstream of the local region takes new requests.
func (p *Pool) TakesRequests(id redwingshunt.UpstreamID) bool {
	e := p.entries[Key{ID: id}]
	return e != nil && e.alive()
}

// MostFree returns the upstream of the local region with the most free slots. It
// reports false when no slot is free.
func (p *Pool) MostFree() (redwingshunt.UpstreamID, bool) {
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

// Upstream returns the description of an upstream of the local region. Only the ID
// is set when the upstream is not known.
func (p *Pool) Upstream(id redwingshunt.UpstreamID) redwingshunt.Upstream {
	if e := p.entries[Key{ID: id}]; e != nil {
		return e.upstream
	}
	return redwingshunt.Upstream{ID: id}
}

// Alive reports whether any upstream takes requests.
func (p *Pool) Alive() bool {
	return p.alive > 0
}

// AliveIn returns the number of upstreams in the allowed regions that take requests,
// borrowed ones included.
func (p *Pool) AliveIn(allowed redwingshunt.AllowedRegions) int {
	if !allowed.Limited() {
		return p.alive
	}
	return p.countOthers(nil, allowed)
}

func announcedSlots(u redwingshunt.Upstream) int {
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

// removeDrained removes an upstream that is leaving once it has no requests of this
// owner.
func (p *Pool) removeDrained(e *entry) {
	if !e.leaving || e.own > 0 {
		return
	}
	p.health(e.key).Remove(e.key.health())
	delete(p.entries, e.key)
	p.sorted = slices.DeleteFunc(p.sorted, func(other *entry) bool { return other == e })
}

func (p *Pool) count() {
	p.free, p.slots, p.alive, p.evacuated = 0, 0, 0, 0
	for _, e := range p.sorted {
		if e.alive() {
			p.alive++
		}
		p.free += e.room()
		if e.key.Lender == "" && !e.leaving {
			p.slots += e.limit
			if p.isEvacuated(e) {
				p.evacuated++
			}
		}
	}
}
