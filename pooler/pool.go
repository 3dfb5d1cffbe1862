package pooler

import (
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// routerExpiry and sumExpiry are how long the times of a router and of a gatherer count
	// without being renewed: two messages may be lost.
	routerExpiry, sumExpiry = 3 * routerRefresh, 3 * sumRefresh
	// ReplyExpiry is how long a router uses a sum.
	ReplyExpiry = 3 * replyRefresh
	// forgetAfter is how long the sequence number of a sender is known after its last times,
	// so that an old message does not count as a new one.
	forgetAfter = 2 * time.Minute
	// maxRepliesPerCheck bounds the classes that are sent to routers in CheckPeriod, in all:
	// some 6 KB/s. With 64 classes and 72 routers, each sum is renewed after 46 s.
	maxRepliesPerCheck = 100
)

// Pool sums up the times of routers at one gatherer. It is used by one goroutine at a time.
type Pool struct {
	routers   map[redwingshunt.InstanceID]*origin
	gatherers map[redwingshunt.InstanceID]*origin
	own       map[Class]*Counts // sums over routers
	all       map[Class]*Counts // sums over routers and gatherers

	sums    *schedule
	replies map[redwingshunt.InstanceID]*schedule
	checked time.Time               // last replies
	last    redwingshunt.InstanceID // router at which there was no more room
}

// origin is what one sender has reported.
type origin struct {
	sequence uint64
	at       time.Time
	classes  map[Class]entry
}

type entry struct {
	counts Counts
	at     time.Time
}

// New returns a pool without times.
func New() *Pool {
	return &Pool{
		routers: make(map[redwingshunt.InstanceID]*origin), gatherers: make(map[redwingshunt.InstanceID]*origin),
		own: make(map[Class]*Counts), all: make(map[Class]*Counts),
		sums: newSchedule(sumRefresh, sumGrowth, 1), replies: make(map[redwingshunt.InstanceID]*schedule),
	}
}

// Receive takes times of a router, or the sums of another gatherer. A message that is not
// newer than the one before is ignored.
func (p *Pool) Receive(now time.Time, from redwingshunt.InstanceID, sum bool, sequence uint64, times []Times) Ignored {
	var ignored Ignored
	origins := p.routers
	if sum {
		origins = p.gatherers
	}
	o := origins[from]
	if o == nil {
		o = &origin{classes: make(map[Class]entry)}
		origins[from] = o
	} else if sequence <= o.sequence && now.Sub(o.at) < forgetAfter {
		return ignored
	}
	o.sequence, o.at = sequence, now
	for _, t := range times {
		total := t.Counts.Total()
		switch known := p.all[t.Class] != nil; {
		case total > maxSum || !sum && total > MaxTimes:
			ignored.Invalid++
			continue
		case total > 0 && !known && len(p.all) >= MaxClasses:
			ignored.TooMany++
			continue
		}
		p.remove(o, t.Class, sum)
		if total > 0 {
			o.classes[t.Class] = entry{counts: t.Counts, at: now}
			p.add(p.all, t)
			if !sum {
				p.add(p.own, t)
			}
		} else if !sum {
			p.sums.hasten(t.Class) // the router reports to another gatherer soon
		}
	}
	return ignored
}

func (p *Pool) add(sums map[Class]*Counts, t Times) {
	if sums[t.Class] == nil {
		sums[t.Class] = new(Counts)
	}
	sums[t.Class].Add(&t.Counts)
}

// remove takes what a sender has reported of a class out of the sums.
func (p *Pool) remove(o *origin, class Class, sum bool) {
	e, known := o.classes[class]
	if !known {
		return
	}
	delete(o.classes, class)
	for _, sums := range []map[Class]*Counts{p.all, p.own} {
		if sums[class].subtract(&e.counts); sums[class].Total() == 0 {
			delete(sums, class)
		}
		if sum {
			return // not in p.own
		}
	}
}

// Empty reports whether there is nothing to be sent.
func (p *Pool) Empty() bool { return len(p.all) == 0 && len(p.sums.sent) == 0 && len(p.replies) == 0 }

// KeepGatherers drops the sums of gatherers that are not live any more, since their routers
// report to others. It is given all live instances.
func (p *Pool) KeepGatherers(live []redwingshunt.Instance) {
	for id, o := range p.gatherers {
		if !slices.ContainsFunc(live, func(i redwingshunt.Instance) bool { return i.ID == id }) {
			for class := range o.classes {
				p.remove(o, class, true)
			}
		}
	}
}

// expire drops times that were not renewed.
func (p *Pool) expire(now time.Time) {
	for _, sum := range []bool{false, true} {
		origins, age := p.routers, routerExpiry
		if sum {
			origins, age = p.gatherers, sumExpiry
		}
		for id, o := range origins {
			for class, e := range o.classes {
				if now.Sub(e.at) > age {
					p.remove(o, class, sum)
				}
			}
			if now.Sub(o.at) >= forgetAfter {
				delete(origins, id)
			}
		}
	}
	for id, s := range p.replies {
		if now.Sub(s.used) >= forgetAfter {
			delete(p.replies, id)
		}
	}
}

// Sums returns the sums over the routers of this gatherer that are due at the others.
func (p *Pool) Sums(now time.Time) []Times {
	if len(p.own) == 0 && len(p.sums.sent) == 0 {
		return nil
	}
	p.expire(now)
	var due []Times
	for class := range p.sums.sent {
		if p.own[class] == nil && p.sums.due(now, class, 0) {
			p.sums.markSent(now, class, 0)
			due = append(due, Times{Class: class})
		}
	}
	for class, counts := range p.own {
		if total := counts.Total(); p.sums.due(now, class, total) {
			p.sums.markSent(now, class, total)
			due = append(due, Times{Class: class, Counts: *counts})
		}
	}
	return sorted(due)
}

// Ask makes all sums due at a router that has got none, although some may have been sent: it
// has restarted, or used another gatherer meanwhile.
func (p *Pool) Ask(router redwingshunt.InstanceID) {
	s := p.replies[router]
	if s == nil {
		return
	}
	for class, m := range s.sent {
		if m.total > 0 { // others become due by their age
			delete(s.sent, class)
		}
	}
}

// Replies returns the sums over all other routers of the fleet that are due at the routers
// of this gatherer: those with load, and those that have reported times. It does so once in
// CheckPeriod.
func (p *Pool) Replies(now time.Time, loaded []redwingshunt.InstanceID) map[redwingshunt.InstanceID][]Times {
	if len(p.all) == 0 && len(p.replies) == 0 || now.Sub(p.checked) < CheckPeriod {
		return nil
	}
	p.checked = now
	p.expire(now)
	routers := slices.Clone(loaded)
	for id, o := range p.routers {
		if len(o.classes) > 0 {
			routers = append(routers, id)
		}
	}
	slices.Sort(routers)
	routers = slices.Compact(routers)
	// All routers have their turn when there is not room for all at once.
	start, _ := slices.BinarySearch(routers, p.last)
	room := maxRepliesPerCheck
	replies := make(map[redwingshunt.InstanceID][]Times)
	for i := range routers {
		id := routers[(start+i)%len(routers)]
		if due := p.reply(now, id, room); len(due) > 0 {
			replies[id] = due
			room -= len(due)
		}
		if room == 0 {
			p.last = id
			break
		}
	}
	return replies
}

// reply returns the sums that are due at a router, at most as many as there is room for.
func (p *Pool) reply(now time.Time, router redwingshunt.InstanceID, room int) []Times {
	s := p.replies[router]
	if s == nil {
		s = newSchedule(replyRefresh, replyGrowth, leastReply)
		p.replies[router] = s
	}
	s.used = now
	var due []Times
	check := func(class Class, counts Counts) {
		if total := counts.Total(); len(due) < room && s.due(now, class, total) {
			s.markSent(now, class, total)
			due = append(due, Times{Class: class, Counts: counts})
		}
	}
	for class := range s.sent {
		if p.all[class] == nil {
			check(class, Counts{})
		}
	}
	for class, sum := range p.all {
		others := *sum
		if o := p.routers[router]; o != nil {
			if e, known := o.classes[class]; known {
				others.subtract(&e.counts)
			}
		}
		check(class, others)
	}
	return sorted(due)
}
