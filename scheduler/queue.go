package scheduler

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/limiter"
	"github.com/redwingshunt/redwingshunt/wire"
)

// QueueOptions configures the queue of one service on one router.
type QueueOptions struct {
	Self        redwingshunt.InstanceID
	Incarnation redwingshunt.Incarnation
	Region      redwingshunt.RegionID
	Zone        redwingshunt.ZoneID
	Service     redwingshunt.ServiceID
	Period      time.Duration // between full states to the owner
	Bounds      Bounds        // on waiting requests; nil for default bounds on this queue alone
}

// Bounds limits the waiting requests of each account, as limiter.Limiter does. The
// queues of several services may share one.
type Bounds interface {
	Configure(bounds map[redwingshunt.AccountID]limiter.Bound)
	Enter(now time.Time, a redwingshunt.AccountID, bytes int64) *redwingshunt.OutcomeError
	Leave(now time.Time, a redwingshunt.AccountID, bytes int64)
}

// Queue holds the requests of one service that wait or run on one router and
// reports them to the owner of the service. Requests of one account run in the
// order of their arrival.
type Queue struct {
	options QueueOptions
	limiter Bounds
	queues  map[redwingshunt.AccountID]*accountQueue
	tickets map[uint64]*ticket                                     // waiting
	running map[uint64]*runningRequest                             // by ticket
	regions map[redwingshunt.AccountID]redwingshunt.AllowedRegions // of limited accounts

	owner    redwingshunt.InstanceID
	term     uint64 // of the owner; zero until its first grant arrives
	seen     uint64
	sequence uint64

	describeRunning  bool // the next full state describes the running requests
	fullDue          bool // a full state is due immediately
	released         []*wire.Released
	declined         []*wire.Released // to be released once settling is over
	lastTick         time.Time        // time of the last tick
	resumedAt        time.Time        // end of the last pause of the process
	unacked          bool             // grants have arrived since the last state
	fullSentAt       time.Time
	earliestDeadline time.Time // lower bound of all deadlines; zero when there is none
	actions          []Action
}

// accountQueue is the queue of one account.
type accountQueue struct {
	account  redwingshunt.AccountID
	tickets  []*ticket
	reported int // requests reported to the owner, less the grants since
	changed  bool
}

// ticket is a waiting request.
type ticket struct {
	Arrived
	accountQueue *accountQueue
	since        time.Time
}

// runningRequest is a request that runs on a granted slot.
type runningRequest struct {
	ticket       uint64
	account      redwingshunt.AccountID
	grant        grantKey
	upstream     redwingshunt.Upstream
	cost         redwingshunt.Cost
	reportedCost redwingshunt.Cost
}

const (
	// pauseThreshold is the time without a tick after which the process counts as
	// having been paused. Other instances may have declared it dead meanwhile.
	pauseThreshold = 1500 * time.Millisecond
	// settleTime bounds the time that it takes after a pause to read the messages
	// that arrived during it.
	settleTime = 300 * time.Millisecond
)

// defaultPeriod is the time between two full states in a small region.
const defaultPeriod = time.Second

// NewQueue returns an empty queue.
func NewQueue(options QueueOptions) *Queue {
	if options.Period <= 0 {
		options.Period = defaultPeriod
	}
	if options.Bounds == nil {
		options.Bounds = limiter.New(nil)
	}
	return &Queue{
		options: options,
		limiter: options.Bounds,
		queues:  map[redwingshunt.AccountID]*accountQueue{},
		tickets: map[uint64]*ticket{},
		running: map[uint64]*runningRequest{},
	}
}

// Step processes an event and returns the resulting actions. The slice is valid
// until the next call.
func (q *Queue) Step(now time.Time, e Event) []Action {
	q.actions = q.actions[:0]
	switch e := e.(type) {
	case Configured:
		q.configure(e)
	case Arrived:
		q.arrive(now, e)
	case Cancelled:
		q.cancel(now, e.Ticket)
	case Granted:
		q.grant(now, e)
	case Charged:
		q.charge(e)
		return nil // reported with the next full state
	case Released:
		q.release(e)
	case OwnerChanged:
		q.setOwner(e.ID)
	case Ticked:
		q.tick(now)
		q.expire(now)
	}
	q.report(now)
	return q.actions
}

// SetPeriod sets the time between two full states. The minimum is one second.
func (q *Queue) SetPeriod(period time.Duration) { q.options.Period = max(period, defaultPeriod) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.tickets) }

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.running) }

// Owner returns the owner that the queue reports to.
func (q *Queue) Owner() redwingshunt.InstanceID { return q.owner }

func (q *Queue) configure(e Configured) {
	bounds := make(map[redwingshunt.AccountID]limiter.Bound, len(e.Accounts))
	q.regions = nil
	for id, rule := range e.Accounts {
		if rule.Regions.Limited() {
			if q.regions == nil {
				q.regions = map[redwingshunt.AccountID]redwingshunt.AllowedRegions{}
			}
			q.regions[id] = rule.Regions
		}
		bounds[id] = rule.Bound
	}
	q.limiter.Configure(bounds)
}

func (q *Queue) arrive(now time.Time, e Arrived) {
	if !e.Deadline.IsZero() && !now.Before(e.Deadline) {
		q.refuse(e.Ticket, deadlinePassed())
		return
	}
	if err := q.limiter.Enter(now, e.Account, e.Bytes); err != nil {
		q.refuse(e.Ticket, err)
		return
	}
	l := q.queues[e.Account]
	if l == nil {
		l = &accountQueue{account: e.Account}
		q.queues[e.Account] = l
	}
	t := &ticket{Arrived: e, accountQueue: l, since: now}
	l.tickets = append(l.tickets, t)
	q.tickets[e.Ticket] = t
	q.noteDeadline(e.Deadline)
}

func (q *Queue) cancel(now time.Time, id uint64) {
	if t := q.tickets[id]; t != nil {
		q.remove(now, t)
		t.accountQueue.changed = true
	}
}

// remove removes a waiting request from the queue of its account.
func (q *Queue) remove(now time.Time, t *ticket) {
	l := t.accountQueue
	if i := slices.Index(l.tickets, t); i >= 0 {
		l.tickets = slices.Delete(l.tickets, i, i+1)
	}
	delete(q.tickets, t.Ticket)
	q.limiter.Leave(now, l.account, t.Bytes)
}

func (q *Queue) refuse(id uint64, err *redwingshunt.OutcomeError) {
	q.actions = append(q.actions, Refuse{Ticket: id, Err: err})
}

func deadlinePassed() *redwingshunt.OutcomeError {
	return redwingshunt.NotRun(redwingshunt.ReasonDeadline, http.StatusGatewayTimeout,
		"the deadline passed while the request waited for an upstream")
}

func noUpstream() *redwingshunt.OutcomeError {
	e := redwingshunt.NotRun(redwingshunt.ReasonNoUpstream, http.StatusServiceUnavailable,
		"no upstream of this service is alive")
	return e.After(time.Second)
}

// expire refuses requests whose deadline has passed.
func (q *Queue) expire(now time.Time) {
	if q.earliestDeadline.IsZero() || now.Before(q.earliestDeadline) {
		return
	}
	q.earliestDeadline = time.Time{}
	var expired []uint64
	for id, t := range q.tickets {
		switch {
		case t.Deadline.IsZero():
		case now.Before(t.Deadline):
			q.noteDeadline(t.Deadline)
		default:
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		t := q.tickets[id]
		q.remove(now, t)
		t.accountQueue.changed = true
		q.refuse(id, deadlinePassed())
	}
}

// noteDeadline updates the lower bound of all deadlines.
func (q *Queue) noteDeadline(deadline time.Time) {
	if !deadline.IsZero() && (q.earliestDeadline.IsZero() || deadline.Before(q.earliestDeadline)) {
		q.earliestDeadline = deadline
	}
}

// tick detects a pause of the process, and releases the grants that arrived during
// the pause once settling is over.
func (q *Queue) tick(now time.Time) {
	if q.paused(now) {
		q.resumedAt = now
	}
	q.lastTick = now
	if len(q.declined) > 0 && !q.settling(now) {
		q.released = append(q.released, q.declined...)
		q.declined = nil
	}
}

func (q *Queue) paused(now time.Time) bool {
	return !q.lastTick.IsZero() && redwingshunt.Elapsed(q.lastTick, now) > pauseThreshold
}

// settling reports whether grants that are read now may have arrived during a
// pause.
func (q *Queue) settling(now time.Time) bool {
	return q.paused(now) || !q.resumedAt.IsZero() && now.Sub(q.resumedAt) < settleTime
}

// grant processes a grants message from the owner.
func (q *Queue) grant(now time.Time, e Granted) {
	m := e.Grants
	if ownerName(e.From, int(m.Cell)) != q.owner || m.Incarnation != uint64(q.options.Incarnation) || m.Term < q.term {
		return
	}
	if m.Term > q.term {
		// A newly elected owner: it does not know the running requests.
		q.fullDue, q.describeRunning = q.term > 0, true
		q.term, q.seen = m.Term, 0
	}
	if m.Resync {
		q.fullDue, q.describeRunning = true, true
	}
	for i, granted := range m.Grants {
		id := m.First + uint64(i)
		if id <= q.seen {
			continue // repeated, or reported to the owner as lost
		}
		q.seen = id
		q.unacked = true
		if e.From != q.options.Self && q.settling(now) {
			q.declined = append(q.declined, &wire.Released{Id: id, Term: m.Term, Unused: true})
			continue
		}
		q.bind(now, e.From, grantKey{term: m.Term, id: id}, granted)
	}
	if m.Empty {
		q.refuseAll(now)
	}
	q.refuseAccounts(now, m.NoRegion)
}

// bind assigns a slot to the first request of the account that may use it, or
// releases it when there is none.
func (q *Queue) bind(now time.Time, owner redwingshunt.InstanceID, key grantKey, g *wire.Granted) {
	l := q.queues[redwingshunt.AccountID(g.Account)]
	if l != nil {
		l.reported = max(0, l.reported-1)
	}
	t := q.choose(now, l, g)
	if t == nil {
		q.released = append(q.released, &wire.Released{Id: key.id, Unused: true})
		return
	}
	q.remove(now, t)
	u := q.upstream(g)
	q.running[t.Ticket] = &runningRequest{ticket: t.Ticket, account: t.Account, grant: key, upstream: u}
	q.actions = append(q.actions, Assign{Ticket: t.Ticket, Upstream: u, Owner: owner})
}

// choose returns the first request that may run on the granted upstream.
func (q *Queue) choose(now time.Time, l *accountQueue, g *wire.Granted) *ticket {
	if l == nil {
		return nil
	}
	for i := 0; i < len(l.tickets); {
		t := l.tickets[i]
		if !t.Deadline.IsZero() && !now.Before(t.Deadline) {
			q.remove(now, t) // the next one moves to i
			q.refuse(t.Ticket, deadlinePassed())
			continue
		}
		if g.Only || !slices.Contains(t.Avoid, g.Upstream) {
			return t
		}
		i++
	}
	l.changed = true
	return nil
}

func (q *Queue) upstream(g *wire.Granted) redwingshunt.Upstream {
	u := redwingshunt.Upstream{
		ID:      redwingshunt.UpstreamID(g.Upstream),
		Service: q.options.Service,
		Region:  redwingshunt.RegionID(g.Region),
		Zone:    redwingshunt.ZoneID(g.Zone),
	}
	if g.Region == "" {
		u.Region = q.options.Region
	}
	var address netip.AddrPort
	if address.UnmarshalBinary(g.Address) == nil {
		u.Address = address
	}
	return u
}

// refuseAll refuses all waiting requests because no upstream is alive.
func (q *Queue) refuseAll(now time.Time) {
	for _, id := range sortedKeys(q.tickets) {
		t := q.tickets[id]
		q.remove(now, t)
		t.accountQueue.changed = true
		q.refuse(id, noUpstream())
	}
}

func (q *Queue) charge(e Charged) {
	if h := q.running[e.Ticket]; h != nil {
		h.cost += e.Delta
	}
}

func (q *Queue) release(e Released) {
	h := q.running[e.Ticket]
	if h == nil {
		return
	}
	delete(q.running, e.Ticket)
	entry := &wire.Released{
		Id:      h.grant.id,
		Cost:    int64(max(0, e.Result.Cost)),
		TotalMs: milliseconds(e.Result.Total),
		FirstMs: milliseconds(e.Result.First),
		Lost:    e.Result.Lost,
	}
	if h.grant.term != q.term {
		entry.Term = h.grant.term
	}
	q.released = append(q.released, entry)
}

// milliseconds rounds a duration up.
func milliseconds(d time.Duration) uint32 {
	return uint32((max(0, d) + time.Millisecond - 1) / time.Millisecond)
}

// setOwner changes the owner. The new one receives a full state.
func (q *Queue) setOwner(id redwingshunt.InstanceID) {
	if id == q.owner {
		return
	}
	q.owner = id
	q.term, q.seen = 0, 0
	q.fullDue, q.describeRunning = id != "", true
}
