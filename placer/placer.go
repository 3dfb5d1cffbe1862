// Package placer selects the upstream for each attempt of a request, or refuses
// the request at once. It is designed for model engines with a prefix cache: most
// of a prompt is shared by many requests, and prefilling it again costs more than
// anything else.
//
// Each request has a home among the upstreams of its service, found by rendezvous
// hashing of the last prompt part that it shares with others. All routers thus send
// requests with the same shared part to the same engine without communicating, and
// when an engine goes away only the parts that it cached move. A request leaves its
// home when another upstream would answer clearly sooner, counting the wait there,
// prefill of the whole prompt and the round trip.
//
// The wait at an engine is predicted from the prompt tokens that it has not
// prefilled yet, as sent by this router and reported by other routers, and from the
// measured speed of the engine. A request is refused when the predicted wait at the
// best upstream exceeds the current bound of its client account; the refusal says
// after what time there will be capacity.
//
// A client account that uses no more than its max-min share of the tokens may wait
// longer than one that exceeds it, so that under overload each account gets its
// share, whatever the others send.
//
// Core reads no clock and sends nothing; package allocator drives it.
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
	"github.com/redwingshunt/redwingshunt/admitter"
)

const (
	// defaultTokensPerSecond is the assumed prefill rate of an engine until it is measured.
	defaultTokensPerSecond = 60_000
	// defaultDuration is the assumed duration of a plain request until it is measured.
	defaultDuration = 20 * time.Millisecond
	// defaultObjective is the latency objective of a route that sets none.
	defaultObjective = time.Second
	// DefaultRegionRoundTrip is the default round-trip time between regions.
	DefaultRegionRoundTrip = 60 * time.Millisecond
	// maxLoadAge is the age at which the loads of other routers are dropped.
	maxLoadAge = 1500 * time.Millisecond
	// maxEjection limits how long an upstream is ejected after failures.
	maxEjection = 4 * time.Second
	// baseEjection is how long an upstream is ejected after its first failure. The
	// time doubles with each consecutive failure.
	baseEjection = 500 * time.Millisecond
	// fullPenalty is how long an upstream that refused a request is assumed to be
	// full, and the wait that is added to its prediction meanwhile.
	fullPenalty = 150 * time.Millisecond
	// maxMemoryFraction is the fraction of an engine's memory that running requests may
	// use. Above it, engines preempt requests and prefill them again.
	maxMemoryFraction = 0.85
	// cacheMemoryFraction is the fraction of an engine's memory that cached prompt parts
	// are assumed to use.
	cacheMemoryFraction = 0.6
	// minRetryAfter and maxRetryAfter bound the retry delay that a refusal gives
	// the caller.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// maxTickets is more than the attempts that one router has in flight; when
	// there are as many tickets, some attempts were never ended.
	maxTickets = 10_000
	// maxTicketAge is the age at which a ticket that was never ended may be dropped.
	maxTicketAge = time.Minute
)

// Options configure a Core.
type Options struct {
	Region          redwingshunt.RegionID
	RegionRoundTrip time.Duration // round trip between regions; zero is DefaultRegionRoundTrip
	Budget          redwingshunt.RepeatBudget
	Admitter        *admitter.Core // admits requests to cold upstreams; nil treats all as warm
}

// Refusal says why a request is not placed.
type Refusal struct {
	Reason     redwingshunt.Reason
	After      time.Duration // delay before the caller may retry; zero for never
	Wait       time.Duration // predicted at the best upstream
	Bound      time.Duration // limit that the wait exceeds
	ShareRatio float64       // admitted rate of the client account divided by its share
	OverShare  bool          // an account that has had none of its share would not be refused
}

// Core is the state of one router. It is used by one goroutine at a time.
type Core struct {
	options     Options
	upstreams   map[redwingshunt.UpstreamKey]*upstream
	services    map[redwingshunt.ServiceID]*service
	tickets     map[uint64]*ticket
	remoteLoads remoteLoads
	shares      *shares
	retryCounts map[redwingshunt.ServiceID]*retryCounts
	paused      map[incarnation]time.Time // end of the pause that it requested
	evacuated   redwingshunt.Set[redwingshunt.ZoneID]
	routers     int
	alone       bool // no other instance sends requests to the upstreams
	lastTicket  uint64
	oldestBorn  time.Time // earliest reported start of any upstream ever known
	kept        bool      // the last decision kept the request from a cold upstream
}

// service is a service with its upstreams.
type service struct {
	engine    redwingshunt.Engine
	isEngine  bool // upstreams are model engines
	upstreams []*upstream
	warmup    time.Duration
	ramp      float64 // requests per second that a cold upstream tolerates; zero if none is cold
	// uneven means that the speed of the upstreams changes: they warm up, or report their
	// load.
	uneven bool
	cold   ColdCounts
}

// allowedFor returns the service with only the upstreams that may serve a request: those
// of its software version, and in its allowed regions.
func (s *service) allowedFor(p *redwingshunt.Placement) *service {
	version, pinned := p.Version.Get()
	if !pinned && !p.Regions.Limited() {
		return s
	}
	return s.only(func(u *upstream) bool {
		return (!pinned || u.Version == version) && p.Regions.Has(u.Region)
	})
}

// only returns a copy of the service for one decision, with some of its upstreams. What is
// counted on the copy is lost.
func (s *service) only(has func(*upstream) bool) *service {
	some := *s
	some.upstreams = nil
	for _, u := range s.upstreams {
		if has(u) {
			some.upstreams = append(some.upstreams, u)
		}
	}
	return &some
}

// ticket is one attempt in flight.
type ticket struct {
	upstream  *upstream
	account   redwingshunt.AccountID
	tokens    int64 // charged to the account, refunded if the attempt never begins
	unread    int64 // prompt tokens to prefill; zero after the first event
	memory    int64
	placed    time.Time
	predicted time.Duration
	wait      time.Duration // predicted until prefill starts
	begun     bool
	valid     bool                // StillValid was true, so it may have been sent
	added     []redwingshunt.Part // parts of the prompt that were not cached before
	token     admitter.Token      // of a cold upstream
}

// New returns a core without upstreams.
func New(options Options) *Core {
	if options.RegionRoundTrip == 0 {
		options.RegionRoundTrip = DefaultRegionRoundTrip
	}
	return &Core{
		options:     options,
		upstreams:   make(map[redwingshunt.UpstreamKey]*upstream),
		services:    make(map[redwingshunt.ServiceID]*service),
		tickets:     make(map[uint64]*ticket),
		shares:      newShares(),
		retryCounts: make(map[redwingshunt.ServiceID]*retryCounts),
		paused:      make(map[incarnation]time.Time),
		routers:     1,
	}
}

// Configure applies the services and limits of a document.
func (c *Core) Configure(document *redwingshunt.Document) {
	c.shares.configure(document)
	c.evacuated = redwingshunt.NewSet(document.Evacuated...)
	known := redwingshunt.NewSet[redwingshunt.ServiceID]()
	for _, s := range document.Services {
		known.Add(s.Name)
		entry := c.services[s.Name]
		if entry == nil {
			entry = &service{}
			c.services[s.Name] = entry
		}
		entry.engine, entry.isEngine = s.Engine, s.Kind == redwingshunt.ServiceEngine
		entry.warmup, entry.ramp = s.Warmup, s.Ramp
		entry.uneven = entry.uneven || s.Ramp > 0
		if c.options.Admitter == nil {
			entry.ramp = 0
		}
	}
	for name := range c.services {
		if !known.Has(name) {
			delete(c.services, name)
		}
	}
	c.groupUpstreams()
}

// SetRouters sets the number of routers that share the retry budget.
func (c *Core) SetRouters(n int) { c.routers = max(n, 1) }

// SetAlone sets whether there is no other instance, so that no loads are to be expected.
func (c *Core) SetAlone(alone bool) { c.alone = alone }

// blind reports whether loads of other instances are to be expected and not known.
func (c *Core) blind() bool { return !c.alone && c.remoteLoads.loads == nil }

// SetUpstreams sets the upstreams that may receive new work. An upstream that was
// known with the same incarnation keeps its state.
func (c *Core) SetUpstreams(usable []redwingshunt.UpstreamState) {
	kept := make(map[redwingshunt.UpstreamKey]*upstream, len(usable))
	for _, s := range usable {
		u := c.upstreams[s.Key()]
		if u == nil || u.started != s.Born {
			u = newUpstream(s)
			u.pausedUntil = c.paused[u.incarnation()]
		}
		u.Upstream = s.Upstream
		u.announced, u.coldUnknown = s.Cold, s.ColdUnknown
		kept[s.Key()] = u
	}
	c.upstreams = kept
	c.groupUpstreams()
}

// groupUpstreams rebuilds the list of upstreams of each service, without those in
// evacuated availability zones. These keep their state, and their attempts in flight.
func (c *Core) groupUpstreams() {
	for _, s := range c.services {
		s.upstreams = nil
	}
	for _, u := range c.upstreams {
		if s := c.services[u.Service]; s != nil && !c.evacuated.Has(u.Zone) {
			s.upstreams = append(s.upstreams, u)
		}
	}
	c.applyCold()
	c.applyRemote()
}

// Place selects an upstream for an attempt and books the attempt there, or returns
// a refusal.
func (c *Core) Place(now time.Time, p *redwingshunt.Placement) (redwingshunt.Placed, *Refusal) {
	c.expire(now)
	if p.Attempt <= 1 {
		c.countDemand(now, p)
	}
	s := c.services[p.Service]
	o, refusal := c.decide(now, s, p)
	c.countCold(s, refusal)
	if refusal != nil {
		c.countRefusal(p, refusal)
		return redwingshunt.Placed{}, refusal
	}
	return c.book(now, s, p, o), nil
}

// Check returns the refusal that Place would return, or nil. It books no attempt,
// but counts a refusal.
func (c *Core) Check(now time.Time, p *redwingshunt.Placement) *Refusal {
	s := c.services[p.Service]
	_, refusal := c.decide(now, s, p)
	if refusal != nil {
		c.countCold(s, refusal)
		if refusal.Reason == redwingshunt.ReasonNoRegion {
			// Other accounts need not yield to a demand that no upstream could serve.
			c.countForBudget(now, p.Service)
		} else {
			c.countDemand(now, p)
		}
		c.countRefusal(p, refusal)
	}
	return refusal
}

// countDemand counts a request of a caller.
func (c *Core) countDemand(now time.Time, p *redwingshunt.Placement) {
	c.shares.countDemand(now, p.Account, tokensOf(p))
	c.countForBudget(now, p.Service)
}

// tokensOf returns the tokens that a request is charged in the shares of accounts.
func tokensOf(p *redwingshunt.Placement) int64 {
	return redwingshunt.ServiceTokens(p.Tokens(), p.Output)
}

func (c *Core) countRefusal(p *redwingshunt.Placement, refusal *Refusal) {
	if refusal.Reason == redwingshunt.ReasonQueueFull {
		c.shares.of(p.Account).refused.Wait++
	}
}

// decide selects an upstream or returns a refusal. It books nothing.
func (c *Core) decide(now time.Time, s *service, p *redwingshunt.Placement) (candidate, *Refusal) {
	c.kept = false
	if s == nil {
		return candidate{}, noUpstreamRefusal(p, noUpstreamRetryAfter)
	}
	if s = s.allowedFor(p); len(s.upstreams) == 0 {
		return candidate{}, noUpstreamRefusal(p, noUpstreamRetryAfter)
	}
	l := newLookup(now, s, p)
	best := c.best(now, l)
	if best.upstream == nil {
		return candidate{}, c.noCandidate(now, l)
	}
	shareRatio := c.shares.shareRatio(now, p.Account)
	refusal := c.admit(now, s, p, best, shareRatio)
	if refusal == nil {
		return best, nil
	}
	if other := c.forUnderserved(now, l, best); other.upstream != nil {
		return other, nil
	}
	if other := c.besideUnderserved(now, l, best, shareRatio); other.upstream != nil {
		return other, nil
	}
	return candidate{}, refusal
}

// noUpstreamRefusal returns the refusal of a request that no upstream can take.
func noUpstreamRefusal(p *redwingshunt.Placement, after time.Duration) *Refusal {
	if p.Regions.Limited() {
		return &Refusal{Reason: redwingshunt.ReasonNoRegion, After: after}
	}
	return &Refusal{Reason: redwingshunt.ReasonNoUpstream, After: after}
}

// Refused counts a request that was refused before it reached the core because the
// router has no capacity for it. Its tokens count as demand of the account all the
// same.
func (c *Core) Refused(now time.Time, account redwingshunt.AccountID, tokens int64) {
	c.shares.countDemand(now, account, tokens)
	c.shares.of(account).refused.Full++
}

// Accounts returns the accounts that had requests refused since the last call,
// those with the most refusals first, and at most the given number.
func (c *Core) Accounts(now time.Time, limit int) []AccountState { return c.shares.report(now, limit) }

// noUpstreamRetryAfter is the retry delay for a caller when no upstream is available:
// a restarting upstream announces itself about once a second.
const noUpstreamRetryAfter = time.Second

// book adds an attempt to its upstream, charges the account and issues a ticket.
func (c *Core) book(now time.Time, s *service, p *redwingshunt.Placement, o candidate) redwingshunt.Placed {
	c.lastTicket++
	t := &ticket{
		upstream: o.upstream, account: p.Account, tokens: tokensOf(p), placed: now, predicted: o.wait + o.serviceTime + o.roundTrip, wait: o.wait,
	}
	c.shares.admit(now, t.account, t.tokens)
	if s.isEngine {
		t.unread, t.memory = o.unread, p.Tokens()+p.Output
		t.added = o.upstream.cache(p.Prompt, now, cacheLimit(s))
	}
	c.takeToken(now, s, t)
	c.tickets[c.lastTicket] = t
	o.upstream.book(t)
	return redwingshunt.Placed{
		Ticket: c.lastTicket, Upstream: o.upstream.Upstream, Born: o.upstream.started, Predicted: t.predicted,
		Wait: o.wait, Blind: c.blind(),
	}
}

func cacheLimit(s *service) int64 { return int64(float64(s.engine.Memory) * cacheMemoryFraction) }

// First records the first byte, or the first event, of an answer.
func (c *Core) First(now time.Time, id uint64) {
	t := c.tickets[id]
	if t == nil || t.begun {
		return
	}
	t.begun = true
	c.shares.begin(now, t.account, t.tokens)
	t.upstream.begin(t, now.Sub(t.placed))
}

// End records the end of an attempt.
func (c *Core) End(now time.Time, id uint64, end redwingshunt.PlacementEnd) {
	t := c.tickets[id]
	if t == nil {
		return
	}
	delete(c.tickets, id)
	c.end(now, t, end)
}

func (c *Core) end(now time.Time, t *ticket, end redwingshunt.PlacementEnd) {
	if !t.begun {
		c.shares.refund(now, t.placed, t.account, t.tokens)
	}
	if !t.valid && !t.begun && end == redwingshunt.EndLeft {
		t.upstream.parts.remove(t.added, t.placed)
	}
	c.returnToken(t, end)
	c.presumeCold(now, t.upstream, end)
	t.upstream.end(t, now, end)
}

// expire drops old tickets that were never ended, once there are too many.
func (c *Core) expire(now time.Time) {
	if len(c.tickets) < maxTickets {
		return
	}
	for id, t := range c.tickets {
		if now.Sub(t.placed) > maxTicketAge {
			delete(c.tickets, id)
			c.end(now, t, redwingshunt.EndLeft)
		}
	}
}
