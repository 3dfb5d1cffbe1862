package coordinator

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/scheduler"
)

const (
	// dumpLimit bounds the entries of each list in a dump.
	dumpLimit = 50
	// metricsLimit bounds the accounts of one owner in the metrics.
	metricsLimit = 100
)

// answer is the result for a waiting caller: a grant or a refusal.
type answer struct {
	grant   redwingshunt.Grant
	refusal *redwingshunt.OutcomeError
}

func (a answer) err() error {
	if a.refusal == nil {
		return nil
	}
	return a.refusal
}

// waiter is a waiting caller.
type waiter struct {
	account redwingshunt.AccountID
	answer  chan answer // buffer of one
}

// serviceState holds the queue and the owners of one service.
type serviceState struct {
	coordinator *Coordinator
	service     redwingshunt.ServiceID

	mu         sync.Mutex
	rule       redwingshunt.Service
	queue      *scheduler.Queue
	ownerSet   *scheduler.OwnerSet // of the cells that this instance owns or is the standby of
	waiters    map[uint64]waiter
	inbox      []scheduler.Event       // messages of this instance to itself
	members    []redwingshunt.Instance // last known
	queueOwner redwingshunt.InstanceID // last known owner that the queue reports to
}

func newServiceState(c *Coordinator, service redwingshunt.ServiceID) *serviceState {
	self := c.options.Members.Self()
	return &serviceState{
		coordinator: c, service: service, waiters: map[uint64]waiter{},
		queue: scheduler.NewQueue(scheduler.QueueOptions{
			Self: self.ID, Incarnation: self.Incarnation, Region: self.Region, Zone: self.Zone, Service: service,
			Bounds: c.bounds,
		}),
		ownerSet: scheduler.NewOwnerSet(self, service, settleTime),
	}
}

func (d *serviceState) now() time.Time { return d.coordinator.options.Clock.Now() }

// step processes an event of the queue.
func (d *serviceState) step(e scheduler.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepLocked(e)
}

// stepOwner processes an event of the owners on this instance.
func (d *serviceState) stepOwner(e scheduler.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepOwnerLocked(e)
}

func (d *serviceState) stepLocked(e scheduler.Event) {
	d.execute(d.queue.Step(d.now(), e))
	d.deliver()
}

func (d *serviceState) stepOwnerLocked(e scheduler.Event) {
	d.execute(d.ownerSet.Step(d.now(), e))
	d.deliver()
}

// deliver processes the messages of this instance to itself.
func (d *serviceState) deliver() {
	for len(d.inbox) > 0 {
		e := d.inbox[0]
		d.inbox = d.inbox[1:]
		if _, ok := e.(scheduler.Granted); ok {
			d.execute(d.queue.Step(d.now(), e))
			continue
		}
		d.execute(d.ownerSet.Step(d.now(), e))
	}
}

// execute executes the actions of the queue or of an owner.
func (d *serviceState) execute(actions []scheduler.Action) {
	self := d.coordinator.options.Members.Self().ID
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.SendState:
			d.sendState(self, a)
		case scheduler.SendGrants:
			if a.To == self {
				d.inbox = append(d.inbox, scheduler.Granted{From: self, Grants: a.Grants})
				continue
			}
			d.coordinator.send(a.To, redwingshunt.KindGrant, a.Grants)
		case scheduler.SendLedger:
			if a.To == self {
				d.inbox = append(d.inbox, scheduler.LedgerReceived{From: self, Ledger: a.Ledger})
				continue
			}
			d.coordinator.send(a.To, redwingshunt.KindLedger, a.Ledger)
		case scheduler.Assign:
			d.assign(a)
		case scheduler.Refuse:
			d.finish(a.Ticket, answer{refusal: a.Err})
		}
	}
}

func (d *serviceState) sendState(self redwingshunt.InstanceID, a scheduler.SendState) {
	if a.To == self {
		d.inbox = append(d.inbox, scheduler.StateReceived{From: self, State: a.State})
		return
	}
	kind := redwingshunt.KindCharge
	if a.Demand {
		kind = redwingshunt.KindDemand
	}
	d.coordinator.send(a.To, kind, a.State)
}

func (d *serviceState) assign(a scheduler.Assign) {
	d.finish(a.Ticket, answer{grant: redwingshunt.Grant{
		ID: a.Ticket, Service: d.service, Account: d.waiters[a.Ticket].account,
		Upstream: a.Upstream, Owner: a.Owner,
	}})
}

// finish sends a waiting caller its answer. It does nothing when the caller no longer
// waits.
func (d *serviceState) finish(ticket uint64, a answer) {
	w, ok := d.waiters[ticket]
	if !ok {
		return
	}
	delete(d.waiters, ticket)
	w.answer <- a
}

// arrive queues a request and returns the channel that receives its answer.
func (d *serviceState) arrive(ticket uint64, r *redwingshunt.Request, avoid redwingshunt.Set[redwingshunt.UpstreamID]) <-chan answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := waiter{account: r.Account, answer: make(chan answer, 1)}
	d.waiters[ticket] = w
	e := scheduler.Arrived{
		Ticket: ticket, Account: r.Account, Bytes: int64(len(r.Body)), Estimate: r.Estimate, Deadline: r.Deadline,
	}
	if latest := d.now().Add(d.rule.Wait); d.rule.Wait > 0 && (e.Deadline.IsZero() || latest.Before(e.Deadline)) {
		e.Deadline = latest
	}
	for _, id := range avoid.Sorted() {
		e.Avoid = append(e.Avoid, string(id))
	}
	d.stepLocked(e)
	return w.answer
}

// cancel removes a waiting request. It releases the slot of a request that was granted
// one at the same moment.
func (d *serviceState) cancel(ticket uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, waits := d.waiters[ticket]; waits {
		delete(d.waiters, ticket)
		d.stepLocked(scheduler.Cancelled{Ticket: ticket})
		return
	}
	d.stepLocked(scheduler.Released{Ticket: ticket})
}

// configure applies the document in force.
func (d *serviceState) configure(rule redwingshunt.Service, config scheduler.Configured) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rule = rule
	d.stepLocked(config)
	d.configureOwners(config)
}

// tick passes a clock tick to the queue and the owners. A service without work is
// skipped, except in an idle tick.
func (d *serviceState) tick(idleTick bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !idleTick && d.inactive() {
		return
	}
	d.stepLocked(scheduler.Ticked{})
	d.stepOwnerLocked(scheduler.Ticked{})
}

// inactive reports whether no request waits or runs, neither here nor elsewhere on
// slots of the owners here.
func (d *serviceState) inactive() bool {
	if d.queue.Waiting()+d.queue.Running() > 0 {
		return false
	}
	for _, owner := range d.ownerSet.Active() {
		if owner.Waiting()+owner.Taken() > 0 {
			return false
		}
	}
	return true
}

// reportMetrics updates the gauges of the service.
func (d *serviceState) reportMetrics(scope tally.Scope) {
	d.mu.Lock()
	defer d.mu.Unlock()
	scope = scope.Tagged(map[string]string{"service": string(d.service)})
	scope.Gauge("queue_waiting").Update(float64(d.queue.Waiting()))
	scope.Gauge("queue_running").Update(float64(d.queue.Running()))
	for _, owner := range d.ownerSet.Active() {
		reportOwnerMetrics(scope, owner)
	}
}

func reportOwnerMetrics(scope tally.Scope, owner *scheduler.Owner) {
	scope = scope.Tagged(map[string]string{"cell": strconv.Itoa(owner.Cell())})
	scope.Gauge("owner_waiting").Update(float64(owner.Waiting()))
	scope.Gauge("owner_slots").Update(float64(owner.Slots()))
	scope.Gauge("owner_taken").Update(float64(owner.Taken()))
	for _, s := range owner.AccountStatuses(metricsLimit) {
		account := scope.Tagged(map[string]string{"account": string(s.Account)})
		account.Gauge("account_waiting").Update(float64(s.Waiting))
		account.Gauge("account_running").Update(float64(s.Running))
		account.Gauge("account_gap_seconds").Update(s.Gap.Seconds())
	}
}

// serviceDump is the state of one service.
type serviceDump struct {
	Service redwingshunt.ServiceID   `json:"service"`
	Owner   redwingshunt.InstanceID  `json:"owner"` // that the queue of this instance reports to
	Waiting int                      `json:"waiting"`
	Running int                      `json:"running"`
	Lines   []scheduler.AccountQueue `json:"lines,omitempty"`
	Owned   []ownerDump              `json:"owned,omitempty"`
	Standby []int                    `json:"standby,omitempty"` // cells
}

// ownerDump is the state of one cell that this instance owns.
type ownerDump struct {
	Cell     int                       `json:"cell"`
	Waiting  int                       `json:"waiting"`
	Slots    int                       `json:"slots"`
	Taken    int                       `json:"taken"`
	Accounts []scheduler.AccountStatus `json:"accounts,omitempty"`
	Windows  []scheduler.Window        `json:"windows,omitempty"`
}

func (d *serviceState) dump() serviceDump {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := serviceDump{
		Service: d.service, Owner: d.ownerSet.QueueOwner(),
		Waiting: d.queue.Waiting(), Running: d.queue.Running(), Lines: d.queue.Lines(d.now(), dumpLimit),
	}
	for _, owner := range d.ownerSet.Active() {
		s.Owned = append(s.Owned, ownerDump{
			Cell: owner.Cell(), Waiting: owner.Waiting(), Slots: owner.Slots(), Taken: owner.Taken(),
			Accounts: owner.AccountStatuses(dumpLimit), Windows: owner.Windows(dumpLimit),
		})
	}
	for _, owner := range d.ownerSet.Standby() {
		s.Standby = append(s.Standby, owner.Cell())
	}
	return s
}
