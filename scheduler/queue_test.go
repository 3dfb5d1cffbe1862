package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/limiter"
	"github.com/redwingshunt/redwingshunt/wire"
)

// pair is a queue and an owner that exchange messages directly.
type pair struct {
	queue      *Queue
	owner      *Owner
	now        time.Time
	assigned   map[uint64]redwingshunt.UpstreamID
	refused    map[uint64]redwingshunt.Reason
	dropGrants bool // messages to the router are lost
	dropStates bool // messages to the owner are lost
	states     int
	tickets    uint64 // the last ticket of runLoad
}

func newPair(rules map[redwingshunt.AccountID]AccountRule) *pair {
	p := &pair{
		queue:    NewQueue(QueueOptions{Self: "r", Incarnation: 1, Region: "a", Zone: "z", Service: "s"}),
		owner:    NewOwner(OwnerOptions{Self: "o", Incarnation: 1, Region: "a", Service: "s"}),
		now:      time.Unix(1000, 0),
		assigned: map[uint64]redwingshunt.UpstreamID{},
		refused:  map[uint64]redwingshunt.Reason{},
	}
	p.toQueue(Configured{Accounts: rules})
	p.toOwner(Configured{Accounts: rules})
	p.toOwner(Elected{Term: 1})
	p.toQueue(OwnerChanged{ID: "o"})
	return p
}

func (p *pair) toQueue(e Event) { p.execute(p.queue.Step(p.now, e)) }
func (p *pair) toOwner(e Event) { p.execute(p.owner.Step(p.now, e)) }

func (p *pair) execute(actions []Action) {
	for _, a := range append([]Action(nil), actions...) {
		switch a := a.(type) {
		case SendState:
			p.states++
			if p.dropStates {
				continue
			}
			p.toOwner(StateReceived{From: "r", State: a.State})
		case SendGrants:
			if !p.dropGrants {
				p.toQueue(Granted{From: "o", Grants: a.Grants})
			}
		case Assign:
			p.assigned[a.Ticket] = a.Upstream.ID
		case Refuse:
			p.refused[a.Ticket] = a.Err.Reason
		}
	}
}

func (p *pair) announce(id redwingshunt.UpstreamID, slots int) {
	p.toOwner(Announced{
		Upstream: redwingshunt.Upstream{ID: id, Region: "a", Zone: "z", Slots: slots}, TTL: time.Hour,
	})
}

func (p *pair) arrive(ticket uint64, a redwingshunt.AccountID, avoid ...string) {
	p.toQueue(Arrived{Ticket: ticket, Account: a, Bytes: 10, Estimate: 100, Avoid: avoid})
}

// pass advances the time in ticks of 100 ms.
func (p *pair) pass(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(100 * time.Millisecond)
		p.toQueue(Ticked{})
		p.toOwner(Ticked{})
	}
}

func (p *pair) release(ticket uint64, cost redwingshunt.Cost) {
	p.toQueue(Released{Ticket: ticket, Result: redwingshunt.Result{Cost: cost, Total: time.Second}})
}

func TestFinalAnswers(t *testing.T) {
	rules := map[redwingshunt.AccountID]AccountRule{"a": {Share: 1, Bound: limiter.Bound{Requests: 2}}, "b": {Share: 1}}
	tests := map[string]struct {
		run    func(*pair)
		ticket uint64
		want   redwingshunt.Reason
	}{
		"queue full":                    {func(p *pair) { p.arrive(1, "a"); p.arrive(2, "a"); p.arrive(3, "a") }, 3, redwingshunt.ReasonQueueFull},
		"full queue of another account": {func(p *pair) { p.arrive(1, "a"); p.arrive(2, "a"); p.arrive(3, "b") }, 3, ""},
		"no upstream":                   {func(p *pair) { p.arrive(1, "a"); p.pass(noUpstreamGrace + time.Second) }, 1, redwingshunt.ReasonNoUpstream},
		"deadline while waiting": {func(p *pair) {
			p.announce("u", 1)
			p.arrive(1, "b")
			p.toQueue(Arrived{Ticket: 2, Account: "b", Deadline: p.now.Add(time.Second)})
			p.pass(2 * time.Second)
		}, 2, redwingshunt.ReasonDeadline},
		"deadline at dispatch": {func(p *pair) {
			p.announce("u", 1)
			p.arrive(1, "b")
			p.toQueue(Arrived{Ticket: 2, Account: "b", Deadline: p.now.Add(time.Second)})
			p.now = p.now.Add(2 * time.Second)
			p.release(1, 10)
		}, 2, redwingshunt.ReasonDeadline},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(rules)
			test.run(p)
			is.Equal(p.refused[test.ticket], test.want)
			is.Equal(p.assigned[test.ticket], redwingshunt.UpstreamID(""))
		})
	}
}

func TestAvoid(t *testing.T) {
	is := is.New(t)
	p := newPair(nil)
	p.announce("u", 4)
	p.arrive(1, "a", "u")
	is.Equal(p.assigned[1], redwingshunt.UpstreamID("u")) // the only upstream
	p.announce("v", 1)
	p.arrive(2, "a", "u")
	is.Equal(p.assigned[2], redwingshunt.UpstreamID("v"))
	p.arrive(3, "a", "u")
	p.pass(time.Second)
	is.Equal(p.assigned[3], redwingshunt.UpstreamID("")) // v is full; u is not assigned
	p.release(2, 10)
	is.Equal(p.assigned[3], redwingshunt.UpstreamID("v"))
}

// TestLostMessages loses a grant, cancels a request and loses a release. The slot
// must become free again each time.
func TestLostMessages(t *testing.T) {
	is := is.New(t)
	p := newPair(nil)
	p.announce("u", 1)
	p.dropGrants = true
	p.arrive(1, "a")
	p.dropGrants = false
	is.Equal(p.owner.Taken(), 1)
	p.pass(5 * time.Second)
	is.Equal(p.assigned[1], redwingshunt.UpstreamID("u"))
	p.arrive(2, "a")
	p.toQueue(Cancelled{Ticket: 2})
	p.release(1, 10)
	p.pass(2 * time.Second)
	is.Equal(p.owner.Taken(), 0)
	is.Equal(p.owner.Waiting(), 0)
	before := p.states
	p.pass(10 * time.Second)
	is.Equal(p.states, before) // an idle queue sends nothing

	p.arrive(3, "a")
	p.pass(2 * time.Second)
	p.dropStates = true
	p.release(3, 10)
	p.dropStates = false
	is.Equal(p.owner.Taken(), 1)
	p.pass(resyncTimeout + time.Second)
	is.Equal(p.owner.Taken(), 0)
}

func TestParallel(t *testing.T) {
	is := is.New(t)
	p := newPair(map[redwingshunt.AccountID]AccountRule{"a": {Share: 1, Parallel: 2}, "b": {Share: 1}})
	p.announce("u", 8)
	for i := range uint64(4) {
		p.arrive(i+1, "a")
	}
	p.arrive(9, "b")
	is.Equal(len(p.assigned), 3)
	p.release(1, 10)
	is.Equal(len(p.assigned), 4)
}

// TestCorrection charges more than the final cost. The overcharge must be refunded.
func TestCorrection(t *testing.T) {
	is := is.New(t)
	p := newPair(nil)
	p.announce("u", 1)
	for i, final := range []redwingshunt.Cost{40, 100} {
		ticket := uint64(i + 1)
		p.arrive(ticket, "a")
		p.toQueue(Charged{Ticket: ticket, Delta: 60})
		p.pass(2 * time.Second)
		p.release(ticket, final)
	}
	is.Equal(p.owner.AccountStatuses(1)[0].Virtual, int64(140*1024))
}

// TestAdoption moves the queue to another owner, which must adopt the running
// request.
func TestAdoption(t *testing.T) {
	is := is.New(t)
	p := newPair(nil)
	p.announce("u", 2)
	p.arrive(1, "a")
	p.toQueue(Charged{Ticket: 1, Delta: 30})
	p.owner = NewOwner(OwnerOptions{Self: "p", Incarnation: 1, Region: "a", Service: "s"})
	p.toOwner(Elected{Term: 5})
	p.announce("u", 2)
	p.toQueue(OwnerChanged{ID: "p"})
	is.Equal(p.owner.Taken(), 1)
	p.toQueue(Granted{From: "o", Grants: &wire.Grants{Term: 1, Incarnation: 1, First: 2, Grants: []*wire.Granted{{Account: "a"}}}})
	is.Equal(p.queue.Running(), 1) // a late grant of the former owner is ignored
	p.release(1, 50)
	is.Equal(p.owner.Taken(), 0)
	// The service received before is in the column of the former owner.
	is.Equal(p.owner.AccountStatuses(1)[0].Virtual, int64(20*1024))
}

// TestGrantAfterPause pauses a router. A grant that arrived during the pause must be
// released, since its slot may have been granted to another router; a later grant
// must be used.
func TestGrantAfterPause(t *testing.T) {
	tests := map[string]struct {
		pause  time.Duration // pause before the grant is read
		ticked bool          // between the end of the pause and the grant
		used   bool
	}{
		"not stopped":                {0, false, true},
		"late":                       {pauseThreshold / 2, false, true},
		"stopped":                    {pauseThreshold + time.Second, false, false},
		"stopped, and a tick passed": {pauseThreshold + time.Second, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(nil)
			p.pass(time.Second)
			p.dropGrants = true
			p.announce("u", 1)
			p.arrive(1, "a")
			p.dropGrants = false
			grants := &wire.Grants{
				Incarnation: 1, Term: 1, First: 1,
				Grants: []*wire.Granted{{Account: "a", Upstream: "u"}},
			}
			p.now = p.now.Add(test.pause)
			if test.ticked {
				p.toQueue(Ticked{})
			}
			p.dropStates = true
			p.toQueue(Granted{From: "o", Grants: grants})
			is.Equal(p.assigned[1] == "u", test.used)
			p.dropStates = false
			p.pass(3 * time.Second) // the slot is released and granted again
			is.Equal(p.assigned[1], redwingshunt.UpstreamID("u"))
			is.Equal(p.owner.Taken(), 1)
		})
	}
}
