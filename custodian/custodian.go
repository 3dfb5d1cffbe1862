// Package custodian remembers on each instance where streams began, and finds it out
// from other instances. It drives the core of package pinner and implements
// redwingshunt.Origins.
//
// Each instance remembers the streams that began on it. While a service has, or may
// have, upstreams of several software versions, the origin of each stream is also
// recorded at two holders, for all but the first version before its first event is
// sent; without them the request ends. A take-up of a stream is looked up here, then at the nearest holder, then at
// all; their answers also tell of versions that this instance has not heard of. Records
// and questions to a holder share messages while several are not answered.
//
// # Usage
//
//	c := custodian.New(custodian.Options{
//		Members: members, Link: link, Versions: enroller, Clock: clock, Logger: logger,
//	})
//	go c.Run(ctx)
//	c.Begin(ctx, key, origin, until)            // before the first event
//	origin, err := c.Find(ctx, key, "assistant") // for a take-up
package custodian

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/pinner"
)

const (
	// recordTimeout is how long a stream waits for its holders. After it, the request
	// ends; its caller may send it again.
	recordTimeout = 1500 * time.Millisecond
	// nearTimeout and farTimeout are how long a take-up waits for the nearest holder,
	// and for the others.
	nearTimeout = 150 * time.Millisecond
	farTimeout  = 500 * time.Millisecond
	// seenTime is how long a holder that went counts as one that may have had a record.
	// No stream that began before lasts that long.
	seenTime = 2 * time.Minute
	// cutOffTime is how long an instance that saw holders before and sees none now counts
	// as cut off. After it, its history holds nothing of that time.
	cutOffTime = 2 * time.Minute
	// maxSeen bounds the number of holders that another instance tells of.
	maxSeen = 1 << 10
	// maxLookups bounds the take-ups that wait for holders.
	maxLookups = 512
	// tickInterval is the interval at which overdue messages and restarted holders are
	// looked for.
	tickInterval = 50 * time.Millisecond
	// joinRetryAfter is the Retry-After of a take-up at an instance that does not have
	// the history of the versions yet.
	joinRetryAfter = 300 * time.Millisecond
	// unknownRetryAfter is the Retry-After of a take-up whose origin is not known; the
	// loss of the instance that began it may not be known yet.
	unknownRetryAfter = time.Second
	// busyRetryAfter is the Retry-After of a take-up beyond maxLookups.
	busyRetryAfter = 500 * time.Millisecond
)

// Options configure a Custodian.
type Options struct {
	Members  redwingshunt.Members
	Link     redwingshunt.Link
	Versions redwingshunt.VersionHistory
	Voters   int // of the log, when it is whole; zero if unknown
	Clock    redwingshunt.Clock
	Logger   *slog.Logger
}

// Custodian remembers origins. It is safe for concurrent use.
type Custodian struct {
	options Options
	lookups chan struct{} // semaphore of take-ups that wait for holders

	mu         sync.Mutex
	own        *pinner.Records // of streams that began here
	held       *pinner.Records // of other instances
	lanes      map[redwingshunt.InstanceID]*lane
	batch      uint64
	recorded   redwingshunt.Set[redwingshunt.ServiceID] // services whose streams are recorded elsewhere
	holders    map[redwingshunt.InstanceID]redwingshunt.Incarnation
	lastSeen   time.Time // any holder
	live       map[redwingshunt.InstanceID]redwingshunt.Incarnation
	lost       redwingshunt.Option[time.Time]        // when an instance last ended or restarted
	seen       map[redwingshunt.InstanceID]time.Time // holders, those that went lately included, by when they were live
	unrecorded int                                   // requests that ended without a record
	counts     map[finding]int
}

// finding is how the origin of a taken-up stream was found.
type finding string

// The values of finding.
const (
	foundHere     finding = "here"
	foundSingle   finding = "single-version"
	foundHolder   finding = "holder"
	foundInferred finding = "before-second-version"
	foundNot      finding = "unknown"
)

var _ redwingshunt.Origins = (*Custodian)(nil)

// New returns a custodian without records and registers it with the link.
func New(options Options) *Custodian {
	now := options.Clock.Now()
	c := &Custodian{
		options:  options,
		lookups:  make(chan struct{}, maxLookups),
		own:      pinner.NewRecords(now),
		held:     pinner.NewRecords(now),
		lanes:    make(map[redwingshunt.InstanceID]*lane),
		batch:    uint64(now.UnixNano()), // not repeated after a restart
		recorded: redwingshunt.NewSet[redwingshunt.ServiceID](),
		holders:  make(map[redwingshunt.InstanceID]redwingshunt.Incarnation),
		seen:     make(map[redwingshunt.InstanceID]time.Time),
		counts:   make(map[finding]int),
	}
	options.Link.Handle(redwingshunt.KindOrigin, c.receive)
	return c
}

// Run sends overdue records again until ctx is done, and sends all to holders that
// have restarted.
func (c *Custodian) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick()
		}
	}
}

func (c *Custodian) tick() {
	now := c.options.Clock.Now()
	holders, _ := c.currentHolders()
	instances := c.options.Members.Live()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchLosses(now, instances)
	live := make(map[redwingshunt.InstanceID]redwingshunt.Incarnation, len(holders))
	for _, h := range holders {
		live[h.ID] = h.Incarnation
		c.seen[h.ID], c.lastSeen = now, now
	}
	for id, at := range c.seen {
		if now.Sub(at) > seenTime {
			delete(c.seen, id)
		}
	}
	for id, l := range c.lanes {
		if _, ok := live[id]; !ok {
			delete(c.lanes, id)
			continue
		}
		c.expire(now, id, l)
	}
	for _, h := range pinner.Copies(holders, false) {
		if c.holders[h.ID] != h.Incarnation {
			c.recordAll(now, h.ID, c.recorded.Sorted()...)
		}
	}
	c.holders = live
}

// watchLosses notes when an instance ends or restarts. The caller holds the lock.
func (c *Custodian) watchLosses(now time.Time, instances []redwingshunt.Instance) {
	live := make(map[redwingshunt.InstanceID]redwingshunt.Incarnation, len(instances))
	for _, i := range instances {
		live[i.ID] = i.Incarnation
	}
	for id, incarnation := range c.live {
		if live[id] != incarnation {
			c.lost = redwingshunt.Some(now)
		}
	}
	c.live = live
}

// recordAll queues the records of all streams of some services for a holder. The caller
// holds the lock.
func (c *Custodian) recordAll(now time.Time, holder redwingshunt.InstanceID, services ...redwingshunt.ServiceID) {
	for _, service := range services {
		for _, record := range c.own.Of(now, service) {
			c.enqueue(now, holder, &item{record: record, isRecord: true})
		}
	}
}

func (c *Custodian) currentHolders() (holders []redwingshunt.Instance, complete bool) {
	return pinner.Holders(c.options.Members.Self(), c.options.Members.Live())
}

// Begin implements redwingshunt.Origins.
func (c *Custodian) Begin(ctx context.Context, key redwingshunt.StreamKey, origin redwingshunt.Origin, until time.Time) error {
	now := c.options.Clock.Now()
	record := pinner.Record{Key: key, Origin: origin, Until: until}
	versions := c.options.Versions.Versions(origin.Service)
	needed, waits := pinner.NeedsRecord(now, versions), pinner.MustWait(now, versions, origin.Version)
	var holders []redwingshunt.Instance
	if needed {
		all, _ := c.currentHolders()
		holders = pinner.Copies(all, waits)
	}
	var acknowledged chan answer
	if waits {
		acknowledged = make(chan answer, len(holders))
	}
	c.mu.Lock()
	missing := pinner.Acknowledgements(c.fleetHolders(len(holders)))
	for _, h := range holders {
		c.enqueue(now, h.ID, &item{record: record, isRecord: true, done: acknowledged})
	}
	if !needed {
		delete(c.recorded, origin.Service)
	} else if !c.recorded.Has(origin.Service) {
		c.recorded.Add(origin.Service)
		for _, h := range holders {
			c.recordAll(now, h.ID, origin.Service)
		}
	}
	c.own.Put(now, record)
	c.mu.Unlock()
	if !waits {
		return nil
	}
	timer := time.NewTimer(recordTimeout)
	defer timer.Stop()
	for ; missing > 0; missing-- {
		select {
		case <-acknowledged:
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
			c.logUnrecorded(origin, missing)
			return redwingshunt.ErrUnrecorded
		}
	}
	return nil
}

// fleetHolders returns the number of holders in the fleet, those that went lately
// included, of which some are live. The caller holds the lock.
func (c *Custodian) fleetHolders(live int) int { return max(len(c.seen), live, c.options.Voters) }

// logUnrecorded counts a stream that does not begin because holders did not acknowledge
// its record, and logs it now and then.
func (c *Custodian) logUnrecorded(origin redwingshunt.Origin, missing int) {
	c.mu.Lock()
	c.unrecorded++
	total := c.unrecorded
	c.mu.Unlock()
	if total == 1 || total%unrecordedLogStep == 0 {
		c.options.Logger.Warn("origin of a stream not recorded in time", "service", string(origin.Service),
			"build", origin.Version, "missing", missing, "total", total)
	}
}

// unrecordedLogStep is the number of streams without a record for which one line is
// written.
const unrecordedLogStep = 100

// Find implements redwingshunt.Origins.
func (c *Custodian) Find(
	ctx context.Context, named redwingshunt.Option[redwingshunt.StreamKey], service redwingshunt.ServiceID,
) (redwingshunt.Origin, error) {
	key, isNamed := named.Get()
	now := c.options.Clock.Now()
	c.mu.Lock()
	origin, known := c.get(now, key)
	c.mu.Unlock()
	if isNamed && known {
		c.count(foundHere)
		return origin, nil
	}
	select {
	case c.lookups <- struct{}{}:
		defer func() { <-c.lookups }()
	default:
		return redwingshunt.Origin{}, refusal("too many streams are taken up at this instance").After(busyRetryAfter)
	}
	origin, how, err := c.lookUp(ctx, named, service)
	c.count(how)
	return origin, err
}

// refusal returns the error of a take-up whose origin is not known.
func refusal(detail string) *redwingshunt.OutcomeError {
	return redwingshunt.NotRun(redwingshunt.ReasonOriginUnknown, http.StatusServiceUnavailable, detail)
}

// get returns the origin of a stream from the memory of this instance. The caller holds
// the lock.
func (c *Custodian) get(now time.Time, key redwingshunt.StreamKey) (redwingshunt.Origin, bool) {
	if origin, known := c.own.Get(now, key); known {
		return origin, true
	}
	return c.held.Get(now, key)
}

// lookUp asks the holders for the origin of a stream, which the caller may not have
// named.
func (c *Custodian) lookUp(
	ctx context.Context, named redwingshunt.Option[redwingshunt.StreamKey], service redwingshunt.ServiceID,
) (redwingshunt.Origin, finding, error) {
	key, isNamed := named.Get()
	holders, all := c.currentHolders()
	c.mu.Lock()
	known := c.fleetHolders(len(holders))
	alone := len(holders) == 0 && c.options.Clock.Now().Sub(c.lastSeen) > cutOffTime
	c.mu.Unlock()
	versions := c.options.Versions.Versions(service)
	var denials []pinner.Denial
	isOnly := func() bool { return pinner.IsOnly(versions, known, denials) && (len(denials) > 0 || alone) }
	ask := func(some []redwingshunt.Instance, timeout time.Duration) (redwingshunt.Origin, bool) {
		for a := range c.ask(ctx, some, key, service, timeout) {
			if a.found && isNamed {
				return a.origin, true
			}
			denials = append(denials, pinner.Denial{Age: a.age, Lost: a.lost, Informed: a.versions.Joined})
			known = max(known, a.holders)
			versions = pinner.Merge(versions, a.versions)
			if isOnly() {
				break
			}
		}
		return redwingshunt.Origin{}, false
	}
	near := min(1, len(holders))
	origin, found := ask(holders[:near], nearTimeout)
	if !found && !isOnly() {
		origin, found = ask(holders[near:], farTimeout)
	}
	switch {
	case found:
		return origin, foundHolder, nil
	case !versions.Complete:
		return redwingshunt.Origin{}, foundNot,
			refusal("this instance does not know the versions of the upstreams yet").After(joinRetryAfter)
	case len(versions.Spans) == 0:
		return redwingshunt.Origin{}, foundNot, redwingshunt.NotRun(redwingshunt.ReasonNoUpstream, http.StatusServiceUnavailable,
			"no upstream of the service is known").After(redwingshunt.RetrySoon)
	case isOnly():
		return redwingshunt.Origin{Service: service, Version: versions.Spans[0].Version}, foundSingle, nil
	case !isNamed:
		return redwingshunt.Origin{}, foundNot,
			refusal("the request does not name the one that began the stream, and the upstreams have several versions")
	case len(denials) == 0 && !alone:
		return redwingshunt.Origin{}, foundNot, refusal("no holder of origins answers").After(joinRetryAfter)
	}
	version, inferred := pinner.Infer(c.options.Clock.Now(), versions, known, denials)
	if !inferred || !all {
		return redwingshunt.Origin{}, foundNot, refusal("it is not known which version of the upstreams began the stream").After(unknownRetryAfter)
	}
	return redwingshunt.Origin{Service: service, Version: version}, foundInferred, nil
}

func (c *Custodian) count(f finding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[f]++
}

// state is the result of Dump.
type state struct {
	Own        int             `json:"own"`        // records of streams that began here
	Held       int             `json:"held"`       // records of other instances
	Unrecorded int             `json:"unrecorded"` // requests that ended because too few holders acknowledged in time
	Found      map[finding]int `json:"found"`      // taken-up streams by how their origin was found
}

// Dump implements redwingshunt.Dumper.
func (c *Custodian) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := make(map[finding]int, len(c.counts))
	for f, n := range c.counts {
		found[f] = n
	}
	return state{Own: c.own.Len(), Held: c.held.Len(), Unrecorded: c.unrecorded, Found: found}
}
