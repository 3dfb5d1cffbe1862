// Package enroller keeps the registry of upstreams, the roll, on each instance.
//
// Upstreams are not configured: each one announces itself periodically to any
// instance that accepts announcements. That instance forwards changes to all others
// at once, and renewals in batches. Recent changes are repeated in each batch, so
// that a lost message delays them only until the next one. An instance with an empty
// roll requests the roll of others. An instance that reports an outdated incarnation
// is sent the current state.
//
// The enroller also keeps the history of the software versions of each service. An
// instance that starts requests it together with the roll, from a voter if there is one.
//
// Table resolves conflicting announcements; it reads no clock and sends nothing.
//
// # Usage
//
//	e := enroller.New(enroller.Options{Members: members, Link: link, Clock: clock, Logger: logger})
//	e.Watch(allocator.SetUpstreams)
//	go e.Run(ctx)
//	e.Enroll(state) // for each announcement
package enroller

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/pinner"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// batchPeriod is how long renewals are batched for one message. It is short
	// compared with the timeout of an upstream.
	batchPeriod = 600 * time.Millisecond
	// repeatPeriod is how long a change is repeated in each message.
	repeatPeriod = 3 * time.Second
	// maxMissedAge is the maximum age of a leave that is sent to an instance that was
	// considered dead in between.
	maxMissedAge = 30 * time.Second
	// requestPeriod is the time between two requests of an instance with an empty
	// roll.
	requestPeriod = 500 * time.Millisecond
	// checkPeriod is how often due messages and timeouts are checked.
	checkPeriod = 100 * time.Millisecond
)

// Options configure an Enroller.
type Options struct {
	Members redwingshunt.Members
	Link    redwingshunt.Link
	Clock   redwingshunt.Clock
	Timeout time.Duration // timeout of an upstream without announcements; zero is DefaultTimeout
	Logger  *slog.Logger
}

// Enroller replicates the table between instances. It implements redwingshunt.Roll
// and is safe for concurrent use.
type Enroller struct {
	options Options

	mu         sync.Mutex
	table      *Table
	history    *pinner.History
	reported   map[redwingshunt.UpstreamID]time.Time     // upstreams sent in batches, by time of the last news
	renewed    redwingshunt.Set[redwingshunt.UpstreamID] // announced to this instance since the last batch
	batchSent  time.Time                                 // when the last batch was sent
	requested  time.Time
	lastUsable []redwingshunt.UpstreamState
	wake       chan struct{}
	watch      func([]redwingshunt.UpstreamState)
	live       redwingshunt.Set[redwingshunt.InstanceID] // at the last update

	updateMu sync.Mutex // held by update, so that the watcher is called in order
}

var (
	_ redwingshunt.Roll           = (*Enroller)(nil)
	_ redwingshunt.VersionHistory = (*Enroller)(nil)
)

// New returns an enroller with an empty roll.
func New(options Options) *Enroller {
	e := &Enroller{
		options:  options,
		table:    NewTable(options.Timeout),
		history:  pinner.NewHistory(options.Clock.Now()),
		reported: make(map[redwingshunt.UpstreamID]time.Time),
		renewed:  redwingshunt.NewSet[redwingshunt.UpstreamID](),
		wake:     make(chan struct{}, 1),
	}
	options.Link.Handle(redwingshunt.KindRoll, e.receive)
	return e
}

// Watch sets the function that is called with the usable upstreams whenever they
// change. It must be called before Run.
func (e *Enroller) Watch(changed func([]redwingshunt.UpstreamState)) { e.watch = changed }

// Enroll applies an announcement that was made to this instance and forwards a
// change to all others.
func (e *Enroller) Enroll(s redwingshunt.UpstreamState) {
	now := e.options.Clock.Now()
	if err := s.Validate(now); err != nil {
		e.options.Logger.Warn("invalid announcement ignored", "upstream", string(s.ID), "error", err.Error())
		return
	}
	e.mu.Lock()
	newer, changed := e.table.Enroll(s, now)
	if newer {
		e.history.Observe(s.Service, s.Version, now)
		e.reported[s.ID] = now
		e.renewed.Add(s.ID)
	}
	known, _, _ := e.table.Get(s.ID, now)
	e.mu.Unlock()
	if !newer {
		e.options.Logger.Info("announcement ignored", "upstream", string(s.ID), "service", string(s.Service),
			"address", s.Address.String(), "leaving", s.Leaving, "born", s.Born.UnixMilli(), "sequence", s.Sequence,
			"knownService", string(known.State.Service), "knownBorn", known.State.Born.UnixMilli(), "knownSequence", known.State.Sequence)
	}
	if changed {
		e.log(s, "announced here")
		e.broadcast([]Announced{{State: s}})
		e.signal()
	}
}

// Dismiss stops new work for an incarnation of an upstream at once. It calls the
// watcher with a change before it returns.
func (e *Enroller) Dismiss(id redwingshunt.UpstreamID, born time.Time) {
	now := e.options.Clock.Now()
	e.mu.Lock()
	state, known, newlyLeft := e.table.Dismiss(id, born, now)
	if known && e.broadcastsLeaves() {
		e.reported[id] = now
	}
	e.mu.Unlock()
	if !known || !newlyLeft {
		return
	}
	e.log(state, "left")
	e.update() // takes effect before any later request
	e.forwardLeaves([]Announced{{State: state}})
}

// forwardLeaves sends the leaves that this instance detected. Many instances may
// detect a leave at the same time, so only voters send it to all others, and other
// instances send it to the voters: otherwise each one of a fleet of hundreds would
// send it to all.
func (e *Enroller) forwardLeaves(entries []Announced) {
	if e.broadcastsLeaves() {
		e.broadcast(entries)
		return
	}
	message := encode(e.options.Clock.Now(), entries, false)
	for _, member := range e.options.Members.Live() {
		if member.Voter {
			e.options.Link.Send(member.ID, message)
		}
	}
}

// broadcastsLeaves reports whether this instance sends the leaves that it detects to
// all others: it is a voter, or knows no live voter.
func (e *Enroller) broadcastsLeaves() bool {
	return e.options.Members.Self().Voter ||
		!slices.ContainsFunc(e.options.Members.Live(), func(m redwingshunt.Instance) bool { return m.Voter })
}

// Usable returns the upstreams that accept new work, ordered by service and ID.
func (e *Enroller) Usable() []redwingshunt.UpstreamState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Usable(e.options.Clock.Now())
}

// Run sends batches and handles timeouts until ctx is done.
func (e *Enroller) Run(ctx context.Context) {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		e.update()
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		case <-ticker.C:
		}
	}
}

func (e *Enroller) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// update sends due messages and calls the watcher after a change.
func (e *Enroller) update() {
	e.updateMu.Lock()
	defer e.updateMu.Unlock()
	now := e.options.Clock.Now()
	e.mu.Lock()
	var due []Announced
	if now.Sub(e.batchSent) >= batchPeriod {
		due = e.due(now)
		e.batchSent = now
		e.history.Expire(now)
	}
	returned, recent := e.returned(now)
	lacking := (e.table.Empty() || !e.history.Joined(now)) && now.Sub(e.requested) >= requestPeriod
	if lacking {
		e.requested = now
	}
	usable := e.table.Usable(now)
	changed := !slices.EqualFunc(usable, e.lastUsable, equalInUse)
	e.lastUsable = usable
	e.mu.Unlock()
	if len(due) > 0 {
		e.broadcast(due)
	}
	for _, id := range returned {
		e.options.Link.Send(id, encode(now, recent, false))
	}
	if lacking {
		e.requestRoll()
	}
	if changed && e.watch != nil {
		e.options.Logger.Info("upstreams in use changed", "usable", len(usable))
		e.watch(usable)
	}
}

// returned returns the instances that are live now and were not at the previous
// update, and the leaves that they may have missed. On an instance that is not a
// voter it returns nothing.
func (e *Enroller) returned(now time.Time) ([]redwingshunt.InstanceID, []Announced) {
	self := e.options.Members.Self()
	if !self.Voter {
		return nil, nil
	}
	before := e.live
	e.live = redwingshunt.NewSet[redwingshunt.InstanceID]()
	var returned []redwingshunt.InstanceID
	for _, member := range e.options.Members.Live() {
		e.live.Add(member.ID)
		if member.ID != self.ID && !before.Has(member.ID) {
			returned = append(returned, member.ID)
		}
	}
	if len(returned) == 0 {
		return nil, nil
	}
	recent := e.table.RecentLeaves(now, maxMissedAge)
	if len(recent) == 0 {
		return nil, nil
	}
	return returned, recent
}

// due returns the entries that were announced to this instance since the last batch
// or have changed recently.
func (e *Enroller) due(now time.Time) []Announced {
	var due []Announced
	for id, at := range e.reported {
		announced, changed, known := e.table.Get(id, now)
		if !known || now.Sub(at) > retention {
			delete(e.reported, id)
			continue
		}
		if e.renewed.Has(id) || changed < repeatPeriod {
			due = append(due, announced)
		}
	}
	clear(e.renewed)
	return due
}

// broadcast sends entries to all other live instances.
func (e *Enroller) broadcast(entries []Announced) {
	message := encode(e.options.Clock.Now(), entries, false)
	self := e.options.Members.Self().ID
	for _, member := range e.options.Members.Live() {
		if member.ID != self {
			e.options.Link.Send(member.ID, message)
		}
	}
}

// requestRoll requests the whole roll from one instance of the own region and from
// one other instance, voters if there are any.
func (e *Enroller) requestRoll() {
	self := e.options.Members.Self()
	live := e.options.Members.Live()
	hasVoter := slices.ContainsFunc(live, func(m redwingshunt.Instance) bool { return m.Voter && m.ID != self.ID })
	var near, far redwingshunt.InstanceID
	for _, member := range live {
		switch {
		case member.ID == self.ID || hasVoter && !member.Voter:
		case member.Region == self.Region && near == "":
			near = member.ID
		case far == "":
			far = member.ID
		}
	}
	for _, to := range []redwingshunt.InstanceID{near, far} {
		if to != "" {
			e.options.Link.Send(to, encode(e.options.Clock.Now(), nil, true))
		}
	}
}

// receive handles a roll message of another instance.
func (e *Enroller) receive(from redwingshunt.InstanceID, payload []byte) {
	var roll wire.Roll
	if err := proto.Unmarshal(payload, &roll); err != nil {
		e.options.Logger.Warn("cannot decode roll message", "from", string(from), "error", err.Error())
		return
	}
	now := e.options.Clock.Now()
	var answer []Announced // corrections for the sender, or the roll that it requested
	var changes []redwingshunt.UpstreamState
	var left []Announced
	broadcastsLeaves := e.broadcastsLeaves()
	fromRouter := broadcastsLeaves && e.fromRouter(from)
	e.mu.Lock()
	for _, record := range roll.GetEntries() {
		state, age, err := decode(now, record)
		if err == nil {
			err = state.Validate(now)
		}
		if err != nil {
			e.options.Logger.Warn("cannot decode roll entry", "from", string(from), "error", err.Error())
			continue
		}
		newer, changed := e.table.Enroll(state, now.Add(-age))
		if newer {
			e.history.Observe(state.Service, state.Version, now.Add(-age))
		}
		if changed {
			changes = append(changes, state)
			if state.Leaving && broadcastsLeaves {
				// Each voter repeats it, so that an instance that one of them
				// cannot reach gets it from another.
				e.reported[state.ID] = now
			}
			if state.Leaving && fromRouter {
				left = append(left, Announced{State: state, Age: age})
			}
		}
		if correction, outdated := e.table.Correction(state, now); outdated {
			answer = append(answer, correction)
		}
	}
	if roll.GetWhole() {
		e.history.Join(decodeVersions(now, roll.GetVersions()), now.Add(-milliseconds(roll.GetAge())))
	}
	var reply *wire.Roll
	switch {
	case roll.GetAsk():
		reply = e.whole(now)
	case len(answer) > 0:
		reply = newRoll(now, answer)
	}
	e.mu.Unlock()
	if reply != nil {
		e.options.Link.Send(from, message(reply))
	}
	for _, state := range changes {
		e.log(state, "told by "+string(from))
	}
	if len(changes) > 0 {
		e.signal()
	}
	if len(left) > 0 {
		e.broadcast(left)
	}
}

// whole returns all that this instance knows. The caller holds the lock.
func (e *Enroller) whole(now time.Time) *wire.Roll {
	roll := newRoll(now, e.table.All(now))
	if e.history.Complete(now) {
		roll.Whole, roll.Age = true, age(now, e.history.Since())
		roll.Versions = encodeVersions(now, e.history.All())
	}
	return roll
}

// Versions implements redwingshunt.VersionHistory.
func (e *Enroller) Versions(service redwingshunt.ServiceID) redwingshunt.ServiceVersions {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.history.Versions(e.options.Clock.Now(), service)
}

// fromRouter reports whether an instance is live and not a voter. Such an instance
// relies on voters to forward the leaves that it detects.
func (e *Enroller) fromRouter(from redwingshunt.InstanceID) bool {
	for _, member := range e.options.Members.Live() {
		if member.ID == from {
			return !member.Voter
		}
	}
	return false
}

func (e *Enroller) log(s redwingshunt.UpstreamState, how string) {
	e.options.Logger.Info("upstream announced", "upstream", string(s.ID), "service", string(s.Service),
		"address", s.Address.String(), "build", s.Version, "leaving", s.Leaving, "born", s.Born.UnixMilli(), "sequence", s.Sequence, "how", how)
}

// Dump returns the usable upstreams.
func (e *Enroller) Dump() any { return e.Usable() }
