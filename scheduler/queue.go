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

// QueueOptions describes the queue of one service on one router.
type QueueOptions struct {
	Self        redwingshunt.InstanceID
	Incarnation redwingshunt.Incarnation
	Region      redwingshunt.RegionID
	Zone        redwingshunt.ZoneID
	Service     redwingshunt.ServiceID
	Period      time.Duration // between full states to the owner
	Bounds      Bounds        // of what may wait; nil for bounds of this queue alone
}

// Bounds limits what the accounts may have waiting, as limiter.Limiter does. It
// may be shared by the queues of several services.
type Bounds interface {
	Configure(bounds map[redwingshunt.AccountID]limiter.Bound)
	Enter(now time.Time, a redwingshunt.AccountID, bytes int64) *redwingshunt.OutcomeError
	Leave(now time.Time, a redwingshunt.AccountID, bytes int64)
}

// Queue keeps the requests of one service that wait or run on one router, and
// tells the owner of the service. Requests of one account run in the order in
// which they arrived.
type Queue struct {
	options QueueOptions
	limiter Bounds
	lines   map[redwingshunt.AccountID]*line
	tickets map[uint64]*ticket // waiting
	running map[uint64]*held   // by ticket

	owner    redwingshunt.InstanceID
	term     uint64 // of the owner; zero until it has sent a grant
	seen     uint64
	sequence uint64

	describe bool // the next full state describes what runs
	due      bool // a full state is due at once
	released []*wire.Released
	declined []*wire.Released // to be given back once the router has settled
	ticked   time.Time        // last
	resumed  time.Time        // when it went on after a stop
	unacked  bool             // grants arrived since the last state
	full     time.Time
	earliest time.Time // no deadline passes before; zero when there is none
	actions  []Action
}

// line is the queue of one account.
type line struct {
	account redwingshunt.AccountID
	tickets []*ticket
	told    int // requests that the owner knows of, less the grants since
	changed bool
}

// ticket is a waiting request.
type ticket struct {
	Arrived
	line  *line
	since time.Time
}

// held is a running request.
type held struct {
	ticket   uint64
	account  redwingshunt.AccountID
	grant    grantKey
	upstream redwingshunt.Upstream
	cost     redwingshunt.Cost
	told     redwingshunt.Cost
}

const (
	// stopLimit is how long the router may go without a tick; beyond it, it was
	// stopped, and others may have taken it for dead.
	stopLimit = 1500 * time.Millisecond
	// settleTime is how long what came during a stop may take to be read after it.
	settleTime = 300 * time.Millisecond
)

// defaultPeriod is the time between full states of a small fleet.
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
		lines:   map[redwingshunt.AccountID]*line{},
		tickets: map[uint64]*ticket{},
		running: map[uint64]*held{},
	}
}

// Step takes an event in and returns what is to be done. The actions are valid
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
		return nil // told with the next full state
	case Released:
		q.release(e)
	case Owned:
		q.own(e.ID)
	case Ticked:
		q.tick(now)
		q.expire(now)
	}
	q.report(now)
	return q.actions
}

// SetPeriod changes the time between full states.
func (q *Queue) SetPeriod(period time.Duration) { q.options.Period = max(period, defaultPeriod) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.tickets) }

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.running) }

// Owner returns the owner that the queue reports to.
func (q *Queue) Owner() redwingshunt.InstanceID { return q.owner }

func (q *Queue) configure(e Configured) {
	bounds := make(map[redwingshunt.AccountID]limiter.Bound, len(e.Accounts))
	for id, rule := range e.Accounts {
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
	l := q.lines[e.Account]
	if l == nil {
		l = &line{account: e.Account}
		q.lines[e.Account] = l
	}
	t := &ticket{Arrived: e, line: l, since: now}
	l.tickets = append(l.tickets, t)
	q.tickets[e.Ticket] = t
	q.expect(e.Deadline)
}

func (q *Queue) cancel(now time.Time, id uint64) {
	if t := q.tickets[id]; t != nil {
		q.remove(now, t)
		t.line.changed = true
	}
}

// remove takes a request out of its line.
func (q *Queue) remove(now time.Time, t *ticket) {
	l := t.line
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
	if q.earliest.IsZero() || now.Before(q.earliest) {
		return
	}
	q.earliest = time.Time{}
	var passed []uint64
	for id, t := range q.tickets {
		switch {
		case t.Deadline.IsZero():
		case now.Before(t.Deadline):
			q.expect(t.Deadline)
		default:
			passed = append(passed, id)
		}
	}
	slices.Sort(passed)
	for _, id := range passed {
		t := q.tickets[id]
		q.remove(now, t)
		t.line.changed = true
		q.refuse(id, deadlinePassed())
	}
}

// expect notes when the next deadline passes.
func (q *Queue) expect(deadline time.Time) {
	if !deadline.IsZero() && (q.earliest.IsZero() || deadline.Before(q.earliest)) {
		q.earliest = deadline
	}
}

// tick notices that the router was stopped, and gives back what it was granted
// meanwhile.
func (q *Queue) tick(now time.Time) {
	if q.stopped(now) {
		q.resumed = now
	}
	q.ticked = now
	if len(q.declined) > 0 && !q.settling(now) {
		q.released = append(q.released, q.declined...)
		q.declined = nil
	}
}

func (q *Queue) stopped(now time.Time) bool {
	return !q.ticked.IsZero() && redwingshunt.Elapsed(q.ticked, now) > stopLimit
}

// settling reports whether grants that are read now may have come during a stop.
func (q *Queue) settling(now time.Time) bool {
	return q.stopped(now) || !q.resumed.IsZero() && now.Sub(q.resumed) < settleTime
}

// grant takes slots from the owner.
func (q *Queue) grant(now time.Time, e Granted) {
	m := e.Grants
	if ownerName(e.From, int(m.Cell)) != q.owner || m.Incarnation != uint64(q.options.Incarnation) || m.Term < q.term {
		return
	}
	if m.Term > q.term {
		// An owner that was elected since: it knows nothing of what runs.
		q.due, q.describe = q.term > 0, true
		q.term, q.seen = m.Term, 0
	}
	if m.Resync {
		q.due, q.describe = true, true
	}
	for i, granted := range m.Grants {
		id := m.First + uint64(i)
		if id <= q.seen {
			continue // repeated, or told to the owner as lost
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
}

// bind gives a slot to the first request of the account that may use it.
func (q *Queue) bind(now time.Time, owner redwingshunt.InstanceID, key grantKey, g *wire.Granted) {
	l := q.lines[redwingshunt.AccountID(g.Account)]
	if l != nil {
		l.told = max(0, l.told-1)
	}
	t := q.choose(now, l, g)
	if t == nil {
		q.released = append(q.released, &wire.Released{Id: key.id, Unused: true})
		return
	}
	q.remove(now, t)
	u := q.upstream(g)
	q.running[t.Ticket] = &held{ticket: t.Ticket, account: t.Account, grant: key, upstream: u}
	q.actions = append(q.actions, Assign{Ticket: t.Ticket, Upstream: u, Owner: owner})
}

// choose returns the first request that may run on the granted upstream.
func (q *Queue) choose(now time.Time, l *line, g *wire.Granted) *ticket {
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

// refuseAll ends all waiting requests since no upstream is alive.
func (q *Queue) refuseAll(now time.Time) {
	for _, id := range sortedKeys(q.tickets) {
		t := q.tickets[id]
		q.remove(now, t)
		t.line.changed = true
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

// own turns to another owner, which hears everything anew.
func (q *Queue) own(id redwingshunt.InstanceID) {
	if id == q.owner {
		return
	}
	q.owner = id
	q.term, q.seen = 0, 0
	q.due, q.describe = id != "", true
}
