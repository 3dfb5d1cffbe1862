// Package enroller keeps the roll of upstreams on each instance.
//
// Nobody lists upstreams: each announces itself, again and again, to some
// instance that takes announcements. That instance tells all others, at once
// when something changed and otherwise gathered for a short while. What changed
// lately is told again with each message, so that a lost message delays it only
// until the next one. An instance that starts empty asks; one that tells of an
// incarnation that is gone is told so.
//
// Table decides whom to believe; it reads no clock and sends nothing.
//
// # Usage
//
//	e := enroller.New(enroller.Options{Members: members, Link: link, Clock: clock, Logger: logger})
//	e.Watch(allocator.SetUpstreams)
//	go e.Run(ctx)
//	e.Enroll(state) // an announcement came
package enroller

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// gather is how long renewals are collected for one message; it is short
	// against the silence after which an upstream is taken for dead.
	gather = 600 * time.Millisecond
	// repeatChanges is how long a change is told again.
	repeatChanges = 3 * time.Second
	// missed is how long ago a change may be that an instance is told of which was
	// taken for dead meanwhile.
	missed = 30 * time.Second
	// askPeriod is the time between two questions of an empty instance.
	askPeriod = 500 * time.Millisecond
	// tick is how often the parts that depend on time are looked at.
	tick = 100 * time.Millisecond
)

// Options configure an Enroller.
type Options struct {
	Members redwingshunt.Members
	Link    redwingshunt.Link
	Clock   redwingshunt.Clock
	Silence time.Duration // of an upstream before it is taken for dead; zero is DefaultSilence
	Logger  *slog.Logger
}

// Enroller shares the table between instances. It implements redwingshunt.Roll.
type Enroller struct {
	options Options

	mu    sync.Mutex
	table *Table
	own   map[redwingshunt.UpstreamID]time.Time     // announced here, and when
	fresh redwingshunt.Set[redwingshunt.UpstreamID] // of own, since the last message
	told  time.Time                                 // of the last message
	asked time.Time
	last  []redwingshunt.UpstreamState
	wake  chan struct{}
	watch func([]redwingshunt.UpstreamState)
	alive redwingshunt.Set[redwingshunt.InstanceID] // at the last turn

	turning sync.Mutex // held by turn, so that the watcher is told in order
}

var _ redwingshunt.Roll = (*Enroller)(nil)

// New returns an enroller with an empty roll.
func New(options Options) *Enroller {
	e := &Enroller{
		options: options,
		table:   NewTable(options.Silence),
		own:     make(map[redwingshunt.UpstreamID]time.Time),
		fresh:   redwingshunt.NewSet[redwingshunt.UpstreamID](),
		wake:    make(chan struct{}, 1),
	}
	options.Link.Handle(redwingshunt.KindRoll, e.receive)
	return e
}

// Watch sets who is told the usable upstreams whenever they change. It is
// called before Run.
func (e *Enroller) Watch(changed func([]redwingshunt.UpstreamState)) { e.watch = changed }

// Enroll takes an announcement that was made to this instance.
func (e *Enroller) Enroll(s redwingshunt.UpstreamState) {
	now := e.options.Clock.Now()
	e.mu.Lock()
	news, changed := e.table.Enroll(s, now)
	if news {
		e.own[s.ID] = now
		e.fresh.Add(s.ID)
	}
	e.mu.Unlock()
	if changed {
		e.log(s, "announced here")
		e.tell([]Announced{{State: s}})
		e.poke()
	}
}

// Dismiss stops new work for an incarnation of an upstream at once.
func (e *Enroller) Dismiss(id redwingshunt.UpstreamID, born time.Time) {
	now := e.options.Clock.Now()
	e.mu.Lock()
	state, known, news := e.table.Dismiss(id, born, now)
	if known && e.spreads() {
		e.own[id] = now
	}
	e.mu.Unlock()
	if !known || !news {
		return
	}
	e.log(state, "left")
	e.turn() // before any request that comes after this
	e.pass([]Announced{{State: state}})
}

// pass tells of upstreams that leave. Many instances may notice it at the same
// moment; those that keep the log tell all others, so that a fleet of hundreds
// is not told by each of them.
func (e *Enroller) pass(entries []Announced) {
	if e.spreads() {
		e.tell(entries)
		return
	}
	message := encode(entries, false)
	for _, member := range e.options.Members.Live() {
		if member.Voter {
			e.options.Link.Send(member.ID, message)
		}
	}
}

// spreads reports whether this instance tells all others of what it noticed: it
// keeps the log, or knows nobody who does.
func (e *Enroller) spreads() bool {
	return e.options.Members.Self().Voter ||
		!slices.ContainsFunc(e.options.Members.Live(), func(m redwingshunt.Instance) bool { return m.Voter })
}

// Usable returns the upstreams that take new work.
func (e *Enroller) Usable() []redwingshunt.UpstreamState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Usable(e.options.Clock.Now())
}

// Run passes on what is announced here until ctx ends.
func (e *Enroller) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		e.turn()
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		case <-ticker.C:
		}
	}
}

func (e *Enroller) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// turn sends what is due and tells the watcher of changes.
func (e *Enroller) turn() {
	e.turning.Lock()
	defer e.turning.Unlock()
	now := e.options.Clock.Now()
	e.mu.Lock()
	var due []Announced
	if now.Sub(e.told) >= gather {
		due = e.due(now)
		e.told = now
	}
	returned, recent := e.returned(now)
	empty := e.table.Empty() && now.Sub(e.asked) >= askPeriod
	if empty {
		e.asked = now
	}
	usable := e.table.Usable(now)
	changed := !slices.EqualFunc(usable, e.last, same)
	e.last = usable
	e.mu.Unlock()
	if len(due) > 0 {
		e.tell(due)
	}
	for _, id := range returned {
		e.options.Link.Send(id, encode(recent, false))
	}
	if empty {
		e.ask()
	}
	if changed && e.watch != nil {
		e.options.Logger.Info("upstreams in use changed", "usable", len(usable))
		e.watch(usable)
	}
}

// returned returns, on a keeper of the log, the instances that are alive now and
// were not at the turn before, and the leaves that they may have missed.
func (e *Enroller) returned(now time.Time) ([]redwingshunt.InstanceID, []Announced) {
	self := e.options.Members.Self()
	if !self.Voter {
		return nil, nil
	}
	before := e.alive
	e.alive = redwingshunt.NewSet[redwingshunt.InstanceID]()
	var returned []redwingshunt.InstanceID
	for _, member := range e.options.Members.Live() {
		e.alive.Add(member.ID)
		if member.ID != self.ID && !before.Has(member.ID) {
			returned = append(returned, member.ID)
		}
	}
	if len(returned) == 0 {
		return nil, nil
	}
	recent := e.table.Left(now, missed)
	if len(recent) == 0 {
		return nil, nil
	}
	return returned, recent
}

// due returns what was announced here since the last message or has changed
// lately.
func (e *Enroller) due(now time.Time) []Announced {
	var due []Announced
	for id, at := range e.own {
		announced, changed, known := e.table.Told(id, now)
		if !known || now.Sub(at) > forgetAfter {
			delete(e.own, id)
			continue
		}
		if e.fresh.Has(id) || changed < repeatChanges {
			due = append(due, announced)
		}
	}
	clear(e.fresh)
	return due
}

// tell sends entries to all other instances.
func (e *Enroller) tell(entries []Announced) {
	message := encode(entries, false)
	self := e.options.Members.Self().ID
	for _, member := range e.options.Members.Live() {
		if member.ID != self {
			e.options.Link.Send(member.ID, message)
		}
	}
}

// ask asks one instance of the own region and one elsewhere for the whole roll.
func (e *Enroller) ask() {
	self := e.options.Members.Self()
	var near, far redwingshunt.InstanceID
	for _, member := range e.options.Members.Live() {
		switch {
		case member.ID == self.ID:
		case member.Region == self.Region && near == "":
			near = member.ID
		case far == "":
			far = member.ID
		}
	}
	for _, to := range []redwingshunt.InstanceID{near, far} {
		if to != "" {
			e.options.Link.Send(to, encode(nil, true))
		}
	}
}

// receive takes a message of another instance.
func (e *Enroller) receive(from redwingshunt.InstanceID, payload []byte) {
	var roll wire.Roll
	if err := proto.Unmarshal(payload, &roll); err != nil {
		e.options.Logger.Warn("a message about upstreams cannot be read", "from", string(from), "error", err.Error())
		return
	}
	now := e.options.Clock.Now()
	var answer []Announced // to a question, and what the sender has missed
	var changes []redwingshunt.UpstreamState
	var left []Announced
	spreads := e.spreads()
	noticed := spreads && e.noticed(from)
	e.mu.Lock()
	for _, record := range roll.GetEntries() {
		state, age, err := decode(record)
		if err != nil {
			e.options.Logger.Warn("an entry about an upstream cannot be read", "from", string(from), "error", err.Error())
			continue
		}
		if _, changed := e.table.Enroll(state, now.Add(-age)); changed {
			changes = append(changes, state)
			if state.Leaving && spreads {
				// Told again by each keeper of the log, so that an instance that
				// one of them cannot reach hears of it from another.
				e.own[state.ID] = now
			}
			if state.Leaving && noticed {
				left = append(left, Announced{State: state, Age: age})
			}
		}
		if correction, missed := e.table.Correction(state, now); missed {
			answer = append(answer, correction)
		}
	}
	if roll.GetAsk() {
		answer = e.table.All(now)
	}
	e.mu.Unlock()
	if len(answer) > 0 {
		e.options.Link.Send(from, encode(answer, false))
	}
	for _, state := range changes {
		e.log(state, "told by "+string(from))
	}
	if len(changes) > 0 {
		e.poke()
	}
	if len(left) > 0 {
		e.tell(left)
	}
}

// noticed reports whether an instance tells of what upstreams said to it as a
// router, which it leaves to the keepers of the log to pass on.
func (e *Enroller) noticed(from redwingshunt.InstanceID) bool {
	for _, member := range e.options.Members.Live() {
		if member.ID == from {
			return !member.Voter
		}
	}
	return false
}

func (e *Enroller) log(s redwingshunt.UpstreamState, how string) {
	e.options.Logger.Info("upstream announced", "upstream", string(s.ID), "service", string(s.Service),
		"address", s.Address.String(), "leaving", s.Leaving, "born", s.Born.UnixMilli(), "sequence", s.Sequence, "how", how)
}

// Dump returns the usable upstreams.
func (e *Enroller) Dump() any { return e.Usable() }
