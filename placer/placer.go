// Package placer decides to which upstream an attempt of a request goes, or
// that it is refused at once. It answers the load of model engines that keep
// prompt parts in memory: most of a prompt is shared by many requests, and
// reading it again costs more than anything else.
//
// Each request has a home among the upstreams of its service, by rendezvous
// hashing of the last part that it shares with others. So every router sends
// requests about one thing to one engine, without a word between routers, and
// when an engine goes only its own things move. A request leaves its home when
// another upstream would answer clearly sooner: the wait there, reading the
// whole prompt anew, and the round trip included.
//
// The wait at an engine is predicted from the prompt tokens that it has not
// read yet: what this router has sent and what other routers tell of theirs,
// at the speed that the engine has shown. A request is refused when the
// prediction at the best upstream is past the bound that its client account has
// at that moment, with the time after which there will be room.
//
// A client account that takes no more than its max-min share of the tokens is
// admitted up to a longer wait than one beyond it, so that under overload each
// account gets its share, whatever others send.
//
// The core reads no clock and sends nothing; package allocator drives it.
//
// # Usage
//
//	core := placer.New(placer.Options{Region: region})
//	core.Configure(document)
//	core.SetUpstreams(usable)
//	placed, refusal := core.Place(now, placement)
//	core.First(now, placed.Ticket)
//	core.End(now, placed.Ticket, redwingshunt.EndComplete)
package placer

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// defaultSpeed is the prompt tokens a second that an engine is taken to
	// read before it has shown its speed.
	defaultSpeed = 60_000
	// defaultService is how long a plain request is taken to run at first.
	defaultService = 20 * time.Millisecond
	// defaultAim stands in for the latency objective of a route without one.
	defaultAim = time.Second
	// DefaultAway is one round trip between regions.
	DefaultAway = 60 * time.Millisecond
	// lookback is how old the news of other routers may be to count.
	lookback = 1500 * time.Millisecond
	// maxDown bounds how long an upstream is spared after failures.
	maxDown = 4 * time.Second
	// firstDown is how long an upstream is spared after its first failure; it
	// doubles with each one in a row.
	firstDown = 500 * time.Millisecond
	// fullPenalty is how long an upstream that refused is taken to be full.
	fullPenalty = 150 * time.Millisecond
	// memoryShare is the share of an engine's memory that running requests may
	// take: beyond it engines preempt requests and read them again.
	memoryShare = 0.85
	// partsShare is the share of an engine's memory that kept prompt parts are
	// taken to have.
	partsShare = 0.6
	// retryLeast and retryMost bound the time after which a refused caller is
	// told to return.
	retryLeast = 100 * time.Millisecond
	retryMost  = 3 * time.Second
	// mostTickets is how many attempts one router has at once at most, else some
	// of their ends were never told.
	mostTickets = 10_000
	// ticketLife is how long a ticket without an end is believed in.
	ticketLife = time.Minute
)

// Options configure a Core.
type Options struct {
	Region redwingshunt.RegionID
	Away   time.Duration // round trip between regions; zero is DefaultAway
	Budget redwingshunt.RepeatBudget
}

// Refusal says why a request is not placed.
type Refusal struct {
	Reason redwingshunt.Reason
	After  time.Duration // when the caller may come back; zero for never
	Wait   time.Duration // predicted at the best upstream
	Bound  time.Duration // that the wait exceeds
	Excess float64       // of the client account: what it has been given against its share
}

// Core is the state of one router. It is used by one goroutine at a time.
type Core struct {
	options   Options
	upstreams map[redwingshunt.UpstreamKey]*upstream
	services  map[redwingshunt.ServiceID]*service
	tickets   map[uint64]*ticket
	others    others
	shares    *shares
	repeats   map[redwingshunt.ServiceID]*repeats
	spared    map[incarnation]time.Time // until when
	routers   int
	next      uint64
}

// service is what is known of a service and its upstreams.
type service struct {
	engine    redwingshunt.Engine
	model     bool // upstreams are engines that read prompts
	upstreams []*upstream
}

// ticket is one attempt that is with an upstream.
type ticket struct {
	upstream  *upstream
	account   redwingshunt.AccountID
	tokens    int64 // that count for the account, taken back unless they begin
	unread    int64 // prompt tokens until the first event
	memory    int64
	placed    time.Time
	predicted time.Duration
	begun     bool
}

// New returns a core that knows no upstreams.
func New(options Options) *Core {
	if options.Away == 0 {
		options.Away = DefaultAway
	}
	return &Core{
		options:   options,
		upstreams: make(map[redwingshunt.UpstreamKey]*upstream),
		services:  make(map[redwingshunt.ServiceID]*service),
		tickets:   make(map[uint64]*ticket),
		shares:    newShares(),
		repeats:   make(map[redwingshunt.ServiceID]*repeats),
		spared:    make(map[incarnation]time.Time),
		routers:   1,
	}
}

// Configure takes the services and limits of a document.
func (c *Core) Configure(document *redwingshunt.Document) {
	c.shares.capacity = float64(document.Limits.Tokens)
	known := redwingshunt.NewSet[redwingshunt.ServiceID]()
	for _, s := range document.Services {
		known.Add(s.Name)
		entry := c.services[s.Name]
		if entry == nil {
			entry = &service{}
			c.services[s.Name] = entry
		}
		entry.engine, entry.model = s.Engine, s.Kind == redwingshunt.ServiceEngine
	}
	for name := range c.services {
		if !known.Has(name) {
			delete(c.services, name)
		}
	}
	c.assign()
}

// SetRouters tells how many routers share the budget for repeats.
func (c *Core) SetRouters(n int) { c.routers = max(n, 1) }

// SetUpstreams takes the upstreams that may get new work.
func (c *Core) SetUpstreams(usable []redwingshunt.UpstreamState) {
	kept := make(map[redwingshunt.UpstreamKey]*upstream, len(usable))
	for _, s := range usable {
		u := c.upstreams[s.Key()]
		if u == nil || u.born != s.Born {
			u = newUpstream(s)
			u.sparedUntil = c.spared[u.incarnation()]
		}
		u.Upstream = s.Upstream
		kept[s.Key()] = u
	}
	c.upstreams = kept
	c.assign()
}

// assign lists the upstreams of each service.
func (c *Core) assign() {
	for _, s := range c.services {
		s.upstreams = nil
	}
	for _, u := range c.upstreams {
		if s := c.services[u.Service]; s != nil {
			s.upstreams = append(s.upstreams, u)
		}
	}
	c.weighOthers()
}

// Place chooses an upstream, or refuses.
func (c *Core) Place(now time.Time, p *redwingshunt.Placement) (redwingshunt.Placed, *Refusal) {
	c.expire(now)
	if p.Attempt <= 1 {
		c.ask(now, p)
	}
	s := c.services[p.Service]
	o, refusal := c.decide(now, s, p)
	if refusal != nil {
		c.noteRefusal(p, refusal)
		return redwingshunt.Placed{}, refusal
	}
	return c.take(now, s, p, o), nil
}

// Check returns the refusal that Place would end with, or nil, and books nothing
// but a refusal.
func (c *Core) Check(now time.Time, p *redwingshunt.Placement) *Refusal {
	_, refusal := c.decide(now, c.services[p.Service], p)
	if refusal != nil {
		c.ask(now, p)
		c.noteRefusal(p, refusal)
	}
	return refusal
}

// ask notes a request of a caller.
func (c *Core) ask(now time.Time, p *redwingshunt.Placement) {
	c.shares.ask(now, p.Account, tokensOf(p))
	c.requested(now, p.Service)
}

// tokensOf returns what a request counts for in the shares of accounts.
func tokensOf(p *redwingshunt.Placement) int64 {
	return redwingshunt.ServiceTokens(p.Tokens(), p.Output)
}

func (c *Core) noteRefusal(p *redwingshunt.Placement, refusal *Refusal) {
	if refusal.Reason == redwingshunt.ReasonQueueFull {
		c.shares.of(p.Account).refused.Wait++
	}
}

// decide chooses an upstream, or refuses, and books nothing.
func (c *Core) decide(now time.Time, s *service, p *redwingshunt.Placement) (option, *Refusal) {
	if s == nil || len(s.upstreams) == 0 {
		return option{}, &Refusal{Reason: redwingshunt.ReasonNoUpstream, After: noUpstreamAfter}
	}
	l := newLookup(now, s, p)
	best := c.best(now, l)
	if best.upstream == nil {
		return option{}, &Refusal{Reason: redwingshunt.ReasonNoUpstream, After: returnOf(now, s)}
	}
	refusal := c.admit(now, s, p, best, c.shares.excess(now, p.Account))
	if refusal == nil {
		return best, nil
	}
	if best = c.forDeprived(now, l, best); best.upstream != nil {
		return best, nil
	}
	return option{}, refusal
}

// Refused notes a request that was refused before it came to the core, since
// the router serves as many as it carries. Its account has asked for the tokens
// all the same.
func (c *Core) Refused(now time.Time, account redwingshunt.AccountID, tokens int64) {
	c.shares.ask(now, account, tokens)
	c.shares.of(account).refused.Full++
}

// Accounts reports the accounts of which requests were refused since the last
// report, the most refused first, and at most so many.
func (c *Core) Accounts(now time.Time, most int) []AccountState { return c.shares.report(now, most) }

// noUpstreamAfter is when a caller may come back that found no upstream: an
// upstream that restarts announces itself about once a second.
const noUpstreamAfter = time.Second

// take books the attempt at its upstream.
func (c *Core) take(now time.Time, s *service, p *redwingshunt.Placement, o option) redwingshunt.Placed {
	c.next++
	t := &ticket{
		upstream: o.upstream, account: p.Account, tokens: tokensOf(p), placed: now, predicted: o.wait + o.read + o.trip,
	}
	c.shares.admit(now, t.account, t.tokens)
	if s.model {
		t.unread, t.memory = o.unread, p.Tokens()+p.Output
		o.upstream.keep(p.Prompt, now, partsLimit(s))
	}
	c.tickets[c.next] = t
	o.upstream.take(t)
	return redwingshunt.Placed{Ticket: c.next, Upstream: o.upstream.Upstream, Born: o.upstream.born, Predicted: t.predicted}
}

func partsLimit(s *service) int64 { return int64(float64(s.engine.Memory) * partsShare) }

// First notes the first byte of an answer, or its first event.
func (c *Core) First(now time.Time, number uint64) {
	t := c.tickets[number]
	if t == nil || t.begun {
		return
	}
	t.begun = true
	c.shares.begin(now, t.account, t.tokens)
	t.upstream.begin(t, now.Sub(t.placed))
}

// End notes the end of an attempt.
func (c *Core) End(now time.Time, number uint64, end redwingshunt.PlacementEnd) {
	t := c.tickets[number]
	if t == nil {
		return
	}
	delete(c.tickets, number)
	c.end(now, t, end)
}

func (c *Core) end(now time.Time, t *ticket, end redwingshunt.PlacementEnd) {
	if !t.begun {
		c.shares.withhold(now, t.placed, t.account, t.tokens)
	}
	t.upstream.end(t, now, end)
}

// expire drops tickets of which the end was never told, once there are many.
func (c *Core) expire(now time.Time) {
	if len(c.tickets) < mostTickets {
		return
	}
	for number, t := range c.tickets {
		if now.Sub(t.placed) > ticketLife {
			delete(c.tickets, number)
			c.end(now, t, redwingshunt.EndLeft)
		}
	}
}
