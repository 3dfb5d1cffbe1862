// Package correlator exchanges between instances what package attributor needs to find
// prompt parts with which upstreams die. It implements redwingshunt.PartGuard.
//
// Losses of upstreams and contradicting answers are sent to the collectors: the first
// two live voters by identifier, so that the evidence outlives one of them. Their
// verdicts are sent to all instances. A message thus goes to all instances only when
// the state of a part changes, however many requests an upstream dies with.
//
// An instance that has just started gets the refused parts from the collectors.
//
// # Usage
//
//	a := correlator.New(correlator.Options{Clock: clock, Members: members, Link: link, Logger: logger})
//	go a.Run(ctx)
//	if err := a.Check(prompt); err != nil {
//		return err // its outcome is not run
//	}
package correlator

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/attributor"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// collectors is the number of instances that attribute losses.
	collectors = 2
	// batchDelay is how long notices are collected for one message, so that an upstream
	// that dies with many requests causes one.
	batchDelay = 10 * time.Millisecond
	// minSendInterval is the minimum time between two messages to the same instance.
	minSendInterval = 100 * time.Millisecond
	// syncInterval is the interval at which new instances are looked for.
	syncInterval = time.Second
	// maxQueued bounds the losses and the answers that wait to be sent.
	maxQueued = 1024
	// maxNotices bounds the losses, answers and verdicts of one message, each, and
	// maxMessageBytes its size in bytes.
	maxNotices      = 128
	maxMessageBytes = 128 << 10
)

// Options configure a Correlator.
type Options struct {
	Clock   redwingshunt.Clock
	Members redwingshunt.Members
	Link    redwingshunt.Link
	Logger  *slog.Logger
}

// Correlator exchanges losses and verdicts. It is safe for concurrent use.
type Correlator struct {
	options Options
	wake    chan struct{}

	mu        sync.Mutex
	guard     *attributor.Guard
	collector *attributor.Collector
	queued    notices
	known     map[redwingshunt.InstanceID]redwingshunt.Incarnation // live instances at the last sync
	refused   func()                                               // called without the lock
}

var _ redwingshunt.PartGuard = (*Correlator)(nil)

// notices are the contents of messages.
type notices struct {
	losses   []attributor.Loss
	answers  []attributor.Answered
	verdicts []attributor.Verdict
}

func (n notices) len() int { return len(n.losses) + len(n.answers) + len(n.verdicts) }

// split returns at most the first count notices of each sort, and the others.
func (n notices) split(count int) (head, rest notices) {
	l, a, v := min(count, len(n.losses)), min(count, len(n.answers)), min(count, len(n.verdicts))
	return notices{n.losses[:l], n.answers[:a], n.verdicts[:v]}, notices{n.losses[l:], n.answers[a:], n.verdicts[v:]}
}

// New returns a Correlator and registers it as the handler of KindParts messages.
func New(options Options) *Correlator {
	a := &Correlator{
		options: options, wake: make(chan struct{}, 1),
		guard: attributor.NewGuard(), collector: attributor.NewCollector(),
		refused: func() {},
	}
	options.Link.Handle(redwingshunt.KindParts, a.receive)
	return a
}

// Check implements redwingshunt.PartGuard.
func (a *Correlator) Check(p redwingshunt.SharedPrompt) error {
	now := a.options.Clock.Now()
	a.mu.Lock()
	v := a.guard.Check(now, p)
	a.mu.Unlock()
	if v.State != attributor.Refused {
		return nil
	}
	left := v.Expires.Sub(now)
	detail := fmt.Sprintf("%d upstreams died with requests that have the prompt part %q; it is refused for %s",
		v.Upstreams, v.Key.Part, left.Round(time.Second))
	return redwingshunt.NotRun(redwingshunt.ReasonSuspect, http.StatusServiceUnavailable, detail).After(left)
}

// PartsLost implements redwingshunt.PartGuard.
func (a *Correlator) PartsLost(
	p redwingshunt.SharedPrompt, f redwingshunt.Fingerprint, u redwingshunt.UpstreamKey, progress redwingshunt.LossProgress,
) {
	if len(p.Parts) == 0 {
		return
	}
	names := make([]string, len(p.Parts)) // of bounded length, unlike what the caller sent
	for i, part := range p.Parts {
		names[i] = attributor.NameOf(part)
	}
	p.Parts = names
	a.mu.Lock()
	if len(a.queued.losses) < maxQueued {
		a.queued.losses = append(a.queued.losses, attributor.Loss{
			Upstream: u, Request: f, Prompt: p, Progress: progress, Answered: a.guard.Known(p), At: a.options.Clock.Now(),
		})
	}
	a.mu.Unlock()
	a.signal()
}

// PartsAnswered implements redwingshunt.PartGuard.
func (a *Correlator) PartsAnswered(p redwingshunt.SharedPrompt, began time.Time) {
	if len(p.Parts) == 0 {
		return
	}
	a.mu.Lock()
	reports := a.guard.Answered(a.options.Clock.Now(), p, began)
	a.queueAnswers(reports)
	a.mu.Unlock()
	if len(reports) > 0 {
		a.signal()
	}
}

// Watch implements redwingshunt.PartGuard.
func (a *Correlator) Watch(refused func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused = refused
}

// queueAnswers queues answers for the collectors. The lock is held.
func (a *Correlator) queueAnswers(answers []attributor.Answered) {
	a.queued.answers = append(a.queued.answers, answers...)
	a.queued.answers = a.queued.answers[:min(len(a.queued.answers), maxQueued)]
}

// Run sends notices and judges losses until ctx ends.
func (a *Correlator) Run(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	judge := time.NewTimer(syncInterval)
	defer judge.Stop()
	var sent time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.syncNewInstances()
			continue
		case <-judge.C:
		case <-a.wake:
			redwingshunt.Pause(ctx, max(batchDelay, minSendInterval-time.Since(sent)))
		}
		a.judge()
		if a.flush() {
			sent = time.Now()
		}
		now := a.options.Clock.Now()
		a.mu.Lock()
		next, needed := a.collector.Next(now)
		a.mu.Unlock()
		if needed {
			judge.Reset(next.Sub(now))
		}
	}
}

// signal wakes Run.
func (a *Correlator) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// judge applies and queues the verdicts that have changed.
func (a *Correlator) judge() {
	now := a.options.Clock.Now()
	a.mu.Lock()
	verdicts := a.collector.Judge(now)
	a.queued.verdicts = append(a.queued.verdicts, verdicts...)
	a.mu.Unlock()
	for _, v := range verdicts {
		a.logVerdict(v)
	}
	a.apply(now, verdicts)
}

// apply applies verdicts to the guard and queues what contradicts them.
func (a *Correlator) apply(now time.Time, verdicts []attributor.Verdict) {
	a.mu.Lock()
	for _, v := range verdicts {
		a.queueAnswers(a.guard.Apply(now, v))
	}
	refused := a.refused
	a.mu.Unlock()
	if slices.ContainsFunc(verdicts, func(v attributor.Verdict) bool { return v.State == attributor.Refused }) {
		refused()
	}
}

// logVerdict writes the decision of this instance as a collector.
func (a *Correlator) logVerdict(v attributor.Verdict) {
	a.options.Logger.Warn("verdict on a prompt part", "state", v.State.String(), "service", string(v.Key.Service),
		"account", string(v.Key.Account), "part", v.Key.Part, "upstreams", v.Upstreams, "requests", v.Requests)
}

// flush sends the queued notices and reports whether there were any.
func (a *Correlator) flush() bool {
	live, self := a.options.Members.Live(), a.options.Members.Self().ID
	to := collectorsOf(live)
	a.mu.Lock()
	queued := a.queued
	a.queued = notices{}
	if to.Has(self) {
		a.collect(a.options.Clock.Now(), queued)
	}
	a.mu.Unlock()
	if queued.len() == 0 {
		return false
	}
	for _, i := range live {
		if i.ID == self {
			continue
		}
		n := notices{verdicts: queued.verdicts}
		if to.Has(i.ID) {
			n = queued
		}
		a.send(i.ID, n)
	}
	if to.Has(self) {
		a.signal() // what was just collected is judged
	}
	return true
}

// collect passes losses and answers to the collector. The lock is held.
func (a *Correlator) collect(now time.Time, n notices) {
	for _, l := range n.losses {
		a.collector.Lost(now, l)
	}
	for _, answered := range n.answers {
		a.collector.Answered(answered)
	}
}

// collectorsOf returns the first live voters, or the first instances if there is none.
// A leaving instance is used only if there is no other.
func collectorsOf(live []redwingshunt.Instance) redwingshunt.Set[redwingshunt.InstanceID] {
	chosen := redwingshunt.NewSet[redwingshunt.InstanceID]()
	accepts := []func(redwingshunt.Instance) bool{
		func(i redwingshunt.Instance) bool { return i.Voter && !i.Leaving },
		func(i redwingshunt.Instance) bool { return !i.Leaving },
		func(redwingshunt.Instance) bool { return true },
	}
	for _, accept := range accepts {
		for _, i := range live { // ordered by ID
			if len(chosen) < collectors && accept(i) {
				chosen.Add(i.ID)
			}
		}
		if len(chosen) > 0 {
			break
		}
	}
	return chosen
}

// syncNewInstances sends the refused parts to each new instance, if this instance is a
// collector.
func (a *Correlator) syncNewInstances() {
	live, self := a.options.Members.Live(), a.options.Members.Self().ID
	collects := collectorsOf(live).Has(self)
	a.mu.Lock()
	refused := a.guard.Refused(a.options.Clock.Now())
	a.mu.Unlock()
	if !collects || len(refused) == 0 {
		a.known = nil
		return
	}
	known := make(map[redwingshunt.InstanceID]redwingshunt.Incarnation, len(live))
	for _, i := range live {
		known[i.ID] = i.Incarnation
		if i.ID != self && a.known[i.ID] != i.Incarnation {
			a.send(i.ID, notices{verdicts: refused})
		}
	}
	a.known = known
}

// send sends notices to one instance, in messages of bounded size.
func (a *Correlator) send(to redwingshunt.InstanceID, n notices) {
	now := a.options.Clock.Now()
	for n.len() > 0 {
		head, rest := n.split(maxNotices)
		m := encode(now, head)
		for count := maxNotices; proto.Size(m) > maxMessageBytes && count > 1; {
			count /= 2
			head, rest = n.split(count)
			m = encode(now, head)
		}
		payload, err := proto.Marshal(m)
		if err != nil {
			a.options.Logger.Error("cannot encode what upstreams died with", "error", err.Error())
			return
		}
		a.options.Link.Send(to, redwingshunt.Message{Kind: redwingshunt.KindParts, Payload: payload})
		n = rest
	}
}

// receive handles a message from another instance.
func (a *Correlator) receive(_ redwingshunt.InstanceID, payload []byte) {
	m := &wire.PartNotices{}
	if proto.Unmarshal(payload, m) != nil {
		return
	}
	now := a.options.Clock.Now()
	n := decode(now, m)
	a.mu.Lock()
	a.collect(now, n)
	for _, v := range n.verdicts {
		a.collector.Adopt(now, v)
	}
	a.mu.Unlock()
	a.apply(now, n.verdicts)
	a.signal()
}

// state is the result of Dump.
type state struct {
	Refused []string `json:"refused"` // account and part
}

// Dump implements redwingshunt.Dumper.
func (a *Correlator) Dump() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := state{Refused: []string{}}
	for _, v := range a.guard.Refused(a.options.Clock.Now()) {
		s.Refused = append(s.Refused, string(v.Key.Account)+" "+v.Key.Part)
	}
	slices.Sort(s.Refused)
	return s
}
