// Package notifier tells the fleet of suspect requests. It implements
// redwingshunt.Suspects over the decisions of package quarantiner.
//
// What a suspect does goes to every other instance as it happens, collected
// for gather so that an upstream that dies with many requests makes one
// message. An instance that starts empty is sent all suspects by the first
// instance of its region, by identifier, or of the fleet when there is none.
//
// # Usage
//
//	n := notifier.New(clock, members, link, configuration, core)
//	go n.Run(ctx)
//	if err := n.Admit(ctx, fingerprint); err != nil {
//		return err // says not run
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
	// gather is how long notices are collected for one message.
	gather = 5 * time.Millisecond
	// tick is how often running suspects are told again and members compared.
	tick = time.Second
	// maxNotices bounds the notices of one message.
	maxNotices = 256
)

// Notifier shares suspects. It is safe for concurrent use.
type Notifier struct {
	clock   redwingshunt.Clock
	members redwingshunt.Members
	link    redwingshunt.Link
	config  redwingshunt.Configuration
	wake    chan struct{}

	mu    sync.Mutex
	core  *quarantiner.Core
	known map[redwingshunt.InstanceID]redwingshunt.Incarnation
}

// New returns a notifier and registers it for messages of KindSuspect.
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
			n.core.Limit(snapshot.Document.Fleet.Losses)
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
			n.core.Leave(n.clock.Now(), f)
			n.mu.Unlock()
			n.signal()
			return redwingshunt.NotRun(redwingshunt.ReasonDeadline, 504, "the request waited for a run of the same content")
		}
	}
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
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.mu.Lock()
			n.core.Tick(n.clock.Now())
			n.mu.Unlock()
			n.informNew()
		case <-n.wake:
			if wait(ctx, gather) != nil {
				return
			}
		}
		n.flush()
	}
}

// signal wakes Run when there is something to tell.
func (n *Notifier) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// flush sends what is to be told to every other instance.
func (n *Notifier) flush() {
	n.mu.Lock()
	notices := n.core.Notices()
	n.mu.Unlock()
	if len(notices) == 0 {
		return
	}
	self := n.members.Self().ID
	for _, i := range n.members.Live() {
		if i.ID != self {
			n.send(i.ID, notices)
		}
	}
}

// informNew sends all suspects to instances that are new, if that falls to this
// instance.
func (n *Notifier) informNew() {
	live := n.members.Live()
	self := n.members.Self()
	known := make(map[redwingshunt.InstanceID]redwingshunt.Incarnation, len(live))
	for _, i := range live {
		known[i.ID] = i.Incarnation
		if i.ID != self.ID && n.known[i.ID] != i.Incarnation && informant(live, i) == self.ID {
			n.mu.Lock()
			all := n.core.All(n.clock.Now())
			n.mu.Unlock()
			n.send(i.ID, all)
		}
	}
	n.known = known
}

// informant returns the instance that tells a new one of all suspects.
func informant(live []redwingshunt.Instance, fresh redwingshunt.Instance) redwingshunt.InstanceID {
	var first redwingshunt.InstanceID
	for _, i := range live {
		if i.ID == fresh.ID {
			continue
		}
		if i.Region == fresh.Region {
			return i.ID
		}
		if first == "" {
			first = i.ID
		}
	}
	return first
}

// send sends notices to one instance.
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

// receive takes the notices of another instance in.
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

// state is what Dump shows.
type state struct {
	Suspects int `json:"suspects"`
}

// Dump implements redwingshunt.Dumper.
func (n *Notifier) Dump() any {
	n.mu.Lock()
	defer n.mu.Unlock()
	return state{Suspects: n.core.Len()}
}
