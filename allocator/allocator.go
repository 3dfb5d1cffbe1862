// Package allocator drives the core of package placer on one router. It passes the
// upstreams in use, the document, the time and the loads of other routers to the
// core, and sends the loads of this router to the others.
//
// Routers exchange loads through a nearby gatherer, see package gatherer. A router
// without load sends nothing.
//
// # Usage
//
//	a := allocator.New(allocator.Options{
//		Members: members, Link: link, Configuration: configuration, Clock: clock, Logger: logger,
//	})
//	enroller.Watch(a.SetUpstreams)
//	go a.Run(ctx)
//	placed, err := a.Place(placement)
//	defer a.End(placed.Ticket, redwingshunt.EndComplete)
package allocator

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/admitter"
	"github.com/redwingshunt/redwingshunt/gatherer"
	"github.com/redwingshunt/redwingshunt/placer"
	"github.com/redwingshunt/redwingshunt/pooler"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// expiryPeriod is how often outdated loads of other routers are dropped.
	expiryPeriod = 500 * time.Millisecond
	// reportPeriod is how often accounts whose requests were refused are logged.
	reportPeriod = time.Second
	// maxLoggedAccounts is the maximum number of accounts that are logged in a period.
	maxLoggedAccounts = 5
)

// Options configure an Allocator.
type Options struct {
	Members       redwingshunt.Members
	Link          redwingshunt.Link
	Configuration redwingshunt.Configuration
	Clock         redwingshunt.Clock
	Budget        redwingshunt.RepeatBudget
	Logger        *slog.Logger
	Cold          redwingshunt.ColdBounds
	// Contact returns the time since a quorum of the voters was last heard of; nil in a
	// fleet without voters.
	Contact func() time.Duration
	Metrics tally.Scope // may be nil
}

// Allocator implements redwingshunt.Placer. It is safe for concurrent use.
type Allocator struct {
	options Options

	mu       sync.Mutex
	core     *placer.Core
	sequence uint64
	chooser  gatherer.Chooser
	idle     bool // the last loads were empty
	times    pooler.Sender
	sharer   TimeSharer             // nil for none
	applied  *redwingshunt.Snapshot // configuration of the core

	timesReport *gatherer.TimesReport
	coldMetrics map[redwingshunt.ServiceID]*coldSeries // used by Run only
}

var _ redwingshunt.Placer = (*Allocator)(nil)

// New returns an allocator without upstreams and registers it with the link.
func New(options Options) *Allocator {
	if options.Metrics == nil {
		options.Metrics = tally.NoopScope
	}
	self := options.Members.Self()
	a := &Allocator{
		options: options,
		core: placer.New(placer.Options{
			Region: self.Region, Budget: options.Budget,
			Admitter: admitter.New(admitter.Options{Self: self.ID, Bounds: options.Cold}),
		}),
		timesReport: gatherer.NewTimesReport(options.Logger, options.Metrics),
		coldMetrics: make(map[redwingshunt.ServiceID]*coldSeries),
	}
	options.Link.Handle(redwingshunt.KindLoadSum, a.receive)
	return a
}

// SetUpstreams sets the upstreams that may receive new work.
func (a *Allocator) SetUpstreams(usable []redwingshunt.UpstreamState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.SetUpstreams(usable)
}

// Run applies configuration changes, sends loads and logs refusals until ctx is
// done.
func (a *Allocator) Run(ctx context.Context) {
	send, expire, report := time.NewTicker(gatherer.Period), time.NewTicker(expiryPeriod), time.NewTicker(reportPeriod)
	defer send.Stop()
	defer expire.Stop()
	defer report.Stop()
	observe := time.NewTicker(observePeriod)
	defer observe.Stop()
	for {
		changed := a.options.Configuration.Watch()
		a.configure()
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				waiting = false
			case <-send.C:
				a.send()
			case <-expire.C:
				a.expire()
			case <-report.C:
				a.report()
				a.reportCold()
			case <-observe.C:
				a.observeFleet()
			}
		}
	}
}

func (a *Allocator) configure() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyConfiguration()
}

// applyConfiguration applies the configuration in force unless the core has it. A request
// of a new configuration may come before Run has noticed that; its services would have no
// upstreams. The caller holds the lock.
func (a *Allocator) applyConfiguration() {
	snapshot := a.options.Configuration.Current()
	if snapshot == nil || snapshot == a.applied {
		return
	}
	a.applied = snapshot
	a.core.Configure(snapshot.Document)
}

func (a *Allocator) expire() {
	routers := 0
	live := a.options.Members.Live()
	for _, member := range live {
		if !member.Voter {
			routers++
		}
	}
	a.mu.Lock()
	a.core.SetRouters(routers)
	a.core.SetAlone(len(live) <= 1)
	expired := a.core.ExpireRemoteLoads(a.options.Clock.Now())
	idle := a.idle
	a.mu.Unlock()
	if expired && !idle { // a gatherer sends nothing to an idle router
		a.options.Logger.Warn("loads of other routers are too old")
	}
}

// report logs the accounts whose requests were refused.
func (a *Allocator) report() {
	a.mu.Lock()
	states := a.core.Accounts(a.options.Clock.Now(), maxLoggedAccounts)
	a.mu.Unlock()
	for _, s := range states {
		if math.IsInf(s.Share, 1) {
			s.Share = 0 // no account is limited
		}
		a.options.Logger.Info("requests of an account refused", "account", string(s.Account),
			"full", s.Refusals.Full, "wait", s.Refusals.Wait, "asked", int64(s.Asked), "admitted", int64(s.Admitted),
			"begun", int64(s.Begun), "fleet", int64(s.Fleet), "share", int64(s.Share))
	}
}

// send sends the loads of this router to its gatherer. Empty loads are sent once.
func (a *Allocator) send() {
	now := a.options.Clock.Now()
	live := a.options.Members.Live()
	a.mu.Lock()
	to, before := a.chooser.Choose(now, a.options.Members.Self(), live)
	loads := a.core.Loads(now)
	empty := len(loads.GetUpstreams()) == 0 && len(loads.GetAccounts()) == 0
	skip := empty && a.idle
	a.idle = empty
	a.sequence = max(a.sequence+1, uint64(now.UnixNano()))
	loads.Sequence = a.sequence
	if !empty {
		a.chooser.Sent()
	}
	withdrawn := a.times.Change(now, to)
	a.addTimes(now, loads)
	skip = skip && len(loads.GetTimes()) == 0
	a.mu.Unlock()
	if before != to {
		a.options.Logger.Info("gatherer of loads changed", "before", string(before), "gatherer", string(to), "live", len(live))
		// Otherwise both gatherers count the loads of this router for a while.
		a.sendTo(before, &wire.Loads{Sequence: loads.GetSequence(), Times: pooler.Encode(withdrawn)})
	}
	if !skip {
		a.sendTo(to, loads)
	}
}

// sendTo sends loads to a gatherer, or nothing if there is none.
func (a *Allocator) sendTo(to redwingshunt.InstanceID, loads *wire.Loads) {
	if to == "" {
		return
	}
	message, err := gatherer.Encode(redwingshunt.KindLoad, loads)
	if err != nil {
		a.options.Logger.Error("cannot encode loads", "error", err.Error())
		return
	}
	a.options.Link.Send(to, message)
}

// receive applies the loads of other routers that this router's gatherer sent.
func (a *Allocator) receive(from redwingshunt.InstanceID, payload []byte) {
	loads, err := gatherer.Decode(payload)
	if err != nil {
		a.options.Logger.Warn("cannot decode loads of other routers", "from", string(from), "error", err.Error())
		return
	}
	a.mu.Lock()
	current := a.chooser.Replied(from)
	if current {
		a.core.SetRemoteLoads(a.options.Clock.Now(), from, loads)
	}
	a.mu.Unlock()
	if current {
		a.learnTimes(from, loads)
	}
}

// Place implements redwingshunt.Placer.
func (a *Allocator) Place(p *redwingshunt.Placement) (redwingshunt.Placed, error) {
	a.mu.Lock()
	a.applyConfiguration()
	placed, refusal := a.core.Place(a.options.Clock.Now(), p)
	a.mu.Unlock()
	if refusal != nil {
		return redwingshunt.Placed{}, outcomeOf(refusal)
	}
	return placed, nil
}

// Check implements redwingshunt.Placer.
func (a *Allocator) Check(p *redwingshunt.Placement) error {
	a.mu.Lock()
	a.applyConfiguration()
	refusal := a.core.Check(a.options.Clock.Now(), p)
	a.mu.Unlock()
	if refusal != nil {
		return outcomeOf(refusal)
	}
	return nil
}

// Explain returns where a request would be placed now, and the error that its caller would
// get, or nil. It places and counts nothing.
func (a *Allocator) Explain(p *redwingshunt.Placement) (placer.Explanation, *redwingshunt.OutcomeError) {
	a.mu.Lock()
	explanation := a.core.Explain(a.options.Clock.Now(), p)
	a.mu.Unlock()
	if explanation.Refusal != nil {
		return explanation, outcomeOf(explanation.Refusal)
	}
	return explanation, nil
}

// outcomeOf returns the error that the caller of a refused request gets.
func outcomeOf(refusal *placer.Refusal) *redwingshunt.OutcomeError {
	detail, status := "no upstream of the service can take the request now", http.StatusServiceUnavailable
	if refusal.OverShare {
		status = http.StatusTooManyRequests
	}
	if refusal.Reason == redwingshunt.ReasonNoRegion {
		detail = "no upstream of the service in the allowed regions can take the request now"
	}
	if refusal.Reason == redwingshunt.ReasonCold {
		detail = "the upstreams of the service that are left are cold and get as many requests as they tolerate"
	}
	if refusal.Reason == redwingshunt.ReasonQueueFull {
		detail = fmt.Sprintf("the wait of %s at the best upstream is beyond %s; the account has had %.2f of its share",
			refusal.Wait.Round(time.Millisecond), refusal.Bound.Round(time.Millisecond), refusal.ShareRatio)
	}
	return redwingshunt.NotRun(refusal.Reason, status, detail).After(refusal.After)
}

// Refused implements redwingshunt.Placer.
func (a *Allocator) Refused(account redwingshunt.AccountID, tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.Refused(a.options.Clock.Now(), account, tokens)
}

// First implements redwingshunt.Placer.
func (a *Allocator) First(ticket uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.First(a.options.Clock.Now(), ticket)
}

// Report implements redwingshunt.Placer.
func (a *Allocator) Report(ticket uint64, load redwingshunt.ReportedLoad) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.Report(a.options.Clock.Now(), ticket, load)
}

// End implements redwingshunt.Placer.
func (a *Allocator) End(ticket uint64, end redwingshunt.PlacementEnd) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.End(a.options.Clock.Now(), ticket, end)
}

// Pause implements redwingshunt.Placer.
func (a *Allocator) Pause(ticket uint64, pause time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.Pause(a.options.Clock.Now(), ticket, pause)
}

// StillValid implements redwingshunt.Placer.
func (a *Allocator) StillValid(ticket uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.StillValid(a.options.Clock.Now(), ticket)
}

// AllowRetry implements redwingshunt.Placer.
func (a *Allocator) AllowRetry(service redwingshunt.ServiceID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.AllowRetry(a.options.Clock.Now(), service)
}

// Dump returns the loads of this router.
func (a *Allocator) Dump() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Loads(a.options.Clock.Now())
}
