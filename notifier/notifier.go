// Package notifier exchanges notices of suspect requests between the instances of
// the fleet. It implements redwingshunt.Suspects with the decisions of package
// quarantiner.
//
// Each change of a suspect is sent to every other instance at once. Notices are
// collected for batchDelay, so that an upstream that dies with many requests
// causes one message, and sent at most once per minSendInterval, so that many
// upstreams that die one after the other do not occupy the processor. An instance that has just started is sent all suspects by
// the first other instance of its region, by identifier, or the first of the
// fleet when its region has no other.
//
// # Usage
//
//	n := notifier.New(clock, members, link, configuration, core)
//	go n.Run(ctx)
//	if err := n.Admit(ctx, fingerprint); err != nil {
//		return err // its outcome is not run
//	}
//	// dispatch, then one of Lost, Completed and Ended
package notifier

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/quarantiner"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// batchDelay is how long notices are collected for one message.
	batchDelay = 5 * time.Millisecond
	// minSendInterval is the minimum time between two messages to the same instance.
	// With the way between regions it is shorter than quarantiner.NoticeDelay.
	minSendInterval = 100 * time.Millisecond
	// tickInterval is the interval at which suspects are renewed and new instances
	// are looked for.
	tickInterval = time.Second
	// maxNotices bounds the notices of one message.
	maxNotices = 256
)

// Notifier exchanges suspects with other instances. It is safe for concurrent use.
type Notifier struct {
	clock   redwingshunt.Clock
	members redwingshunt.Members
	link    redwingshunt.Link
	config  redwingshunt.Configuration
	wake    chan struct{}

	mu    sync.Mutex
	core  *quarantiner.Core
	known map[redwingshunt.InstanceID]redwingshunt.Incarnation // live instances at the last tick
}

// New returns a Notifier and registers it as the handler of KindSuspect messages.
func New(
	clock redwingshunt.Clock,
	members redwingshunt.Members,
	link redwingshunt.Link,
	config redwingshunt.Configuration,
	core *quarantiner.Core,
) *Notifier {
	n := &Notifier{
		clock:   clock,
		members: members,
		link:    link,
		config:  config,
		wake:    make(chan struct{}, 1),
		core:    core,
		known:   make(map[redwingshunt.InstanceID]redwingshunt.Incarnation),
	}
	link.Handle(redwingshunt.KindSuspect, n.receive)
	return n
}

// Admit implements redwingshunt.Suspects.
func (n *Notifier) Admit(ctx context.Context, f redwingshunt.Fingerprint) error {
	for {
		n.mu.Lock()
		if snapshot := n.config.Current(); snapshot != nil {
			n.core.SetLimit(snapshot.Document.Fleet.Losses)
		}
		v := n.core.Start(n.clock.Now(), f)
		n.mu.Unlock()
		switch v.Kind {
		case quarantiner.Run:
			n.signal()
			return nil
		case quarantiner.Refuse:
			return redwingshunt.NotRun(redwingshunt.ReasonSuspect, 422, "upstreams died while they ran this request")
		case quarantiner.Wait:
			n.signal()
		}
		if err := wait(ctx, v.After); err != nil {
			n.mu.Lock()
			n.core.CancelWait(n.clock.Now(), f)
			n.mu.Unlock()
			n.signal()
			return redwingshunt.NotRun(redwingshunt.ReasonDeadline, 504, "the request waited for a run of the same content")
		}
	}
}

// Suspected implements redwingshunt.Suspects.
func (n *Notifier) Suspected(f redwingshunt.Fingerprint) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Losses(n.clock.Now(), f) > 0
}

// Lost implements redwingshunt.Suspects.
func (n *Notifier) Lost(f redwingshunt.Fingerprint, u redwingshunt.UpstreamKey) {
	n.mu.Lock()
	n.core.Lost(n.clock.Now(), f, u)
	n.mu.Unlock()
	n.signal()
}

// Completed implements redwingshunt.Suspects.
func (n *Notifier) Completed(f redwingshunt.Fingerprint) {
	n.mu.Lock()
	n.core.Completed(n.clock.Now(), f)
	n.mu.Unlock()
	n.signal()
}

// Ended implements redwingshunt.Suspects.
func (n *Notifier) Ended(f redwingshunt.Fingerprint) {
	n.mu.Lock()
	n.core.End(n.clock.Now(), f)
	n.mu.Unlock()
	n.signal()
}

// Run sends notices until ctx ends.
func (n *Notifier) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var sent time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.mu.Lock()
			n.core.Tick(n.clock.Now())
			n.mu.Unlock()
			n.syncNewInstances()
		case <-n.wake:
			if wait(ctx, max(batchDelay, minSendInterval-time.Since(sent))) != nil {
				return
			}
		}
		if n.flush() {
			sent = time.Now()
		}
	}
}

// signal wakes Run to send queued notices.
func (n *Notifier) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// flush sends the queued notices to every other instance and reports whether there
// were any.
func (n *Notifier) flush() bool {
	n.mu.Lock()
	notices := n.core.Notices()
	n.mu.Unlock()
	if len(notices) == 0 {
		return false
	}
	self := n.members.Self().ID
	for _, i := range n.members.Live() {
		if i.ID != self {
			n.send(i.ID, notices)
		}
	}
	return true
}

// syncNewInstances sends all suspects to each new instance for which this instance is
// the syncSource.
func (n *Notifier) syncNewInstances() {
	live := n.members.Live()
	self := n.members.Self()
	known := make(map[redwingshunt.InstanceID]redwingshunt.Incarnation, len(live))
	for _, i := range live {
		known[i.ID] = i.Incarnation
		if i.ID != self.ID && n.known[i.ID] != i.Incarnation && syncSource(live, i) == self.ID {
			n.mu.Lock()
			all := n.core.All(n.clock.Now())
			n.mu.Unlock()
			n.send(i.ID, all)
		}
	}
	n.known = known
}

// syncSource returns the instance that sends all suspects to a new one: the first
// other instance of its region, or of the fleet when there is none.
func syncSource(live []redwingshunt.Instance, joined redwingshunt.Instance) redwingshunt.InstanceID {
	var first redwingshunt.InstanceID
	for _, i := range live {
		if i.ID == joined.ID {
			continue
		}
		if i.Region == joined.Region {
			return i.ID
		}
		if first == "" {
			first = i.ID
		}
	}
	return first
}

// send sends notices to one instance, at most maxNotices in each message.
func (n *Notifier) send(to redwingshunt.InstanceID, notices []quarantiner.Notice) {
	now := n.clock.Now()
	for len(notices) > 0 {
		part := notices[:min(maxNotices, len(notices))]
		notices = notices[len(part):]
		payload, err := proto.Marshal(encode(now, part))
		if err != nil {
			return
		}
		n.link.Send(to, redwingshunt.Message{Kind: redwingshunt.KindSuspect, Payload: payload})
	}
}

// receive handles a message from another instance.
func (n *Notifier) receive(from redwingshunt.InstanceID, payload []byte) {
	m := &wire.SuspectNotices{}
	if proto.Unmarshal(payload, m) != nil {
		return
	}
	now := n.clock.Now()
	n.mu.Lock()
	for _, notice := range decode(now, m) {
		n.core.Receive(now, from, notice)
	}
	n.mu.Unlock()
	n.signal()
}

// wait waits for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// state is the result of Dump.
type state struct {
	Suspects int `json:"suspects"`
}

// Dump implements redwingshunt.Dumper.
func (n *Notifier) Dump() any {
	n.mu.Lock()
	defer n.mu.Unlock()
	return state{Suspects: n.core.Len()}
}
