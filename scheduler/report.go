package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// report sends a state to the owner if one is due.
func (q *Queue) report(now time.Time) {
	if q.owner == "" {
		return
	}
	if q.fullDue || (now.Sub(q.fullSentAt) >= q.options.Period && q.busy()) {
		q.reportFull(now)
		return
	}
	demands := q.staleDemands(now)
	if len(demands) == 0 && len(q.released) == 0 {
		return
	}
	q.send(&wire.State{Demands: demands})
}

// busy reports whether the queue has anything to report in full states.
func (q *Queue) busy() bool {
	return len(q.tickets)+len(q.running)+len(q.released) > 0 || q.unacked || q.anyReported()
}

func (q *Queue) anyReported() bool {
	for _, l := range q.queues {
		if l.reported > 0 || l.changed {
			return true
		}
	}
	return false
}

// staleDemands returns the demands that have to be reported now. A backlog that has
// grown is reported only when the owner knows of at most half of its requests.
func (q *Queue) staleDemands(now time.Time) []*wire.Demand {
	var due []*accountQueue
	for _, l := range q.queues {
		if l.changed || len(l.tickets) > 0 && 2*l.reported <= len(l.tickets) {
			due = append(due, l)
		}
	}
	// Few queues are due at a time; sorting only those is cheap.
	slices.SortFunc(due, func(a, b *accountQueue) int { return cmp.Compare(a.account, b.account) })
	var demands []*wire.Demand
	for _, l := range due {
		demands = append(demands, q.demand(now, l))
	}
	return demands
}

// demand encodes the queue of an account and marks it as reported.
func (q *Queue) demand(now time.Time, l *accountQueue) *wire.Demand {
	d := &wire.Demand{Account: string(l.account), Queued: uint32(len(l.tickets))}
	if len(l.tickets) > 0 {
		head := l.tickets[0]
		d.AgeMs = milliseconds(now.Sub(head.since))
		d.Estimate = int64(head.Estimate)
		d.Avoid = head.Avoid
	}
	l.reported = len(l.tickets)
	l.changed = false
	if len(l.tickets) == 0 {
		delete(q.queues, l.account)
	}
	return d
}

// reportFull sends a full state.
func (q *Queue) reportFull(now time.Time) {
	s := &wire.State{Full: true, Zone: string(q.options.Zone)}
	for _, id := range sortedKeys(q.queues) {
		if l := q.queues[id]; len(l.tickets) > 0 {
			s.Demands = append(s.Demands, q.demand(now, l))
		} else {
			delete(q.queues, id)
		}
	}
	for _, id := range sortedKeys(q.running) {
		s.Running = append(s.Running, q.runningEntry(q.running[id]))
	}
	q.fullSentAt = now
	q.fullDue = false
	q.describeRunning = false
	q.send(s)
}

// runningEntry encodes a running request and marks its cost as reported.
func (q *Queue) runningEntry(h *runningRequest) *wire.Running {
	r := &wire.Running{Id: h.grant.id, Cost: int64(h.cost)}
	if h.grant.term != q.term {
		r.Term = h.grant.term
	}
	if q.describeRunning || r.Term != 0 {
		r.Account = string(h.account)
		r.Upstream = string(h.upstream.ID)
		if h.upstream.Region != q.options.Region {
			r.Region = string(h.upstream.Region)
		}
	}
	h.reportedCost = h.cost
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

// AccountQueue is the state of one account's queue for dumps.
type AccountQueue struct {
	Account redwingshunt.AccountID `json:"account"`
	Waiting int                    `json:"waiting"`
	Oldest  time.Duration          `json:"oldest"`
}

// Lines returns up to limit queues that are not empty, ordered by account.
func (q *Queue) Lines(now time.Time, limit int) []AccountQueue {
	var queues []AccountQueue
	for _, id := range sortedKeys(q.queues) {
		if l := q.queues[id]; len(l.tickets) > 0 && len(queues) < limit {
			queues = append(queues, AccountQueue{Account: id, Waiting: len(l.tickets), Oldest: now.Sub(l.tickets[0].since)})
		}
	}
	return queues
}
