package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// report tells the owner what it has to know now.
func (q *Queue) report(now time.Time) {
	if q.owner == "" {
		return
	}
	if q.due || (now.Sub(q.full) >= q.options.Period && q.busy()) {
		q.reportFull(now)
		return
	}
	demands := q.urgent(now)
	if len(demands) == 0 && len(q.released) == 0 {
		return
	}
	q.send(&wire.State{Demands: demands})
}

// busy reports whether the owner holds anything of this router.
func (q *Queue) busy() bool {
	return len(q.tickets)+len(q.running)+len(q.released) > 0 || q.unacked || q.anyTold()
}

func (q *Queue) anyTold() bool {
	for _, l := range q.lines {
		if l.told > 0 || l.changed {
			return true
		}
	}
	return false
}

// urgent lists the lines of which the owner's picture is too far off. While an
// account has work waiting, the owner learns of more of it only as it runs out
// of what it knows.
func (q *Queue) urgent(now time.Time) []*wire.Demand {
	var due []*line
	for _, l := range q.lines {
		if l.changed || len(l.tickets) > 0 && 2*l.told <= len(l.tickets) {
			due = append(due, l)
		}
	}
	// Few lines are due at a time, so only those are put in order.
	slices.SortFunc(due, func(a, b *line) int { return cmp.Compare(a.account, b.account) })
	var demands []*wire.Demand
	for _, l := range due {
		demands = append(demands, q.demand(now, l))
	}
	return demands
}

// demand tells the queue of an account.
func (q *Queue) demand(now time.Time, l *line) *wire.Demand {
	d := &wire.Demand{Account: string(l.account), Queued: uint32(len(l.tickets))}
	if len(l.tickets) > 0 {
		head := l.tickets[0]
		d.AgeMs = milliseconds(now.Sub(head.since))
		d.Estimate = int64(head.Estimate)
		d.Avoid = head.Avoid
	}
	l.told = len(l.tickets)
	l.changed = false
	if len(l.tickets) == 0 {
		delete(q.lines, l.account)
	}
	return d
}

// reportFull tells everything.
func (q *Queue) reportFull(now time.Time) {
	s := &wire.State{Full: true, Zone: string(q.options.Zone)}
	for _, id := range sortedKeys(q.lines) {
		if l := q.lines[id]; len(l.tickets) > 0 {
			s.Demands = append(s.Demands, q.demand(now, l))
		} else {
			delete(q.lines, id)
		}
	}
	for _, id := range sortedKeys(q.running) {
		s.Running = append(s.Running, q.entry(q.running[id]))
	}
	q.full = now
	q.due = false
	q.describe = false
	q.send(s)
}

// entry tells a running request.
func (q *Queue) entry(h *held) *wire.Running {
	r := &wire.Running{Id: h.grant.id, Cost: int64(h.cost)}
	if h.grant.term != q.term {
		r.Term = h.grant.term
	}
	if q.describe || r.Term != 0 {
		r.Account = string(h.account)
		r.Upstream = string(h.upstream.ID)
		if h.upstream.Region != q.options.Region {
			r.Region = string(h.upstream.Region)
		}
	}
	h.told = h.cost
	return r
}

func (q *Queue) send(s *wire.State) {
	q.sequence++
	to, cell := instanceOf(q.owner)
	s.Cell = uint32(cell)
	s.Service = string(q.options.Service)
	s.Incarnation = uint64(q.options.Incarnation)
	s.Sequence = q.sequence
	s.Term = q.term
	s.Seen = q.seen
	s.Released = q.released
	q.released = nil
	q.unacked = false
	q.actions = append(q.actions, SendState{To: to, State: s, Demand: len(s.Demands) > 0})
}

// Line is the queue of one account for dumps.
type Line struct {
	Account redwingshunt.AccountID `json:"account"`
	Waiting int                    `json:"waiting"`
	Oldest  time.Duration          `json:"oldest"`
}

// Lines returns up to limit queues that are not empty.
func (q *Queue) Lines(now time.Time, limit int) []Line {
	var lines []Line
	for _, id := range sortedKeys(q.lines) {
		if l := q.lines[id]; len(l.tickets) > 0 && len(lines) < limit {
			lines = append(lines, Line{Account: id, Waiting: len(l.tickets), Oldest: now.Sub(l.tickets[0].since)})
		}
	}
	return lines
}
