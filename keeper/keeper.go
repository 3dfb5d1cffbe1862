// Package keeper keeps the answers of non-idempotent requests that are too
// large for the log.
//
// The log of claims is replicated between regions, so it holds only the digest of
// such an answer. The answer itself is kept in memory by the instance that
// received it and by one more instance of the same region. When a resend arrives
// at another instance, that instance fetches the answer by its digest. An
// instance that shuts down hands its answers over to others of its region.
//
// Space is bounded: an answer for which there is no room is refused, and no answer
// is evicted before its retention ends.
//
// # Usage
//
//	k := keeper.New(clock, members, link, configuration)
//	holders := k.Store(ctx, key, digest, answer, retention)
//	answer, ok := k.Fetch(ctx, key, digest, holders)
package keeper

import (
	"bytes"
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/claimer"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// storeTimeout bounds a request to another instance to store a copy.
	storeTimeout = 500 * time.Millisecond
	// fetchTimeout bounds a request to another instance to return an answer.
	fetchTimeout = time.Second
	// maxAsked bounds the instances that are asked for one answer.
	maxAsked = 8
	// sweepInterval is the minimum time between two scans for expired answers.
	sweepInterval = time.Second
	// entryBytes is the size that is accounted for an entry without its answer.
	entryBytes = 160
)

// entry is one kept answer.
type entry struct {
	digest  []byte
	answer  []byte
	expires time.Time
}

// size returns the number of bytes that are accounted for an entry.
func (e entry) size() int64 { return int64(len(e.answer)) + entryBytes }

// Keeper holds answers in memory and exchanges them with other instances. It is
// safe for concurrent use.
type Keeper struct {
	clock   redwingshunt.Clock
	members redwingshunt.Members
	link    redwingshunt.Link
	config  redwingshunt.Configuration

	mu        sync.Mutex
	entries   map[claimer.Key]entry
	used      int64     // bytes
	lastSweep time.Time // when expired answers were last removed
	lastCall  uint64    // number of the last call
	calls     map[uint64]chan *wire.ClaimMessage
}

// New returns an empty Keeper and registers it as the handler of KindClaim messages.
func New(
	clock redwingshunt.Clock,
	members redwingshunt.Members,
	link redwingshunt.Link,
	config redwingshunt.Configuration,
) *Keeper {
	k := &Keeper{
		clock:   clock,
		members: members,
		link:    link,
		config:  config,
		entries: make(map[claimer.Key]entry),
		calls:   make(map[uint64]chan *wire.ClaimMessage),
	}
	link.Handle(redwingshunt.KindClaim, k.receive)
	return k
}

// Room reports whether an answer of the largest size can be stored.
func (k *Keeper) Room() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	return k.used+claimer.KeptLimitBytes+entryBytes <= k.space()
}

// space returns the limit of this instance in bytes.
func (k *Keeper) space() int64 {
	snapshot := k.config.Current()
	if snapshot == nil {
		return 0
	}
	return snapshot.Document.Fleet.Space
}

// Store keeps an answer on this instance and on another one of this region. It
// returns the instances that hold it, or none when this instance has no room.
func (k *Keeper) Store(
	ctx context.Context, key claimer.Key, digest, answer []byte, retention time.Duration,
) []redwingshunt.InstanceID {
	k.mu.Lock()
	stored := k.put(key, entry{digest: digest, answer: answer, expires: k.clock.Now().Add(retention)})
	k.mu.Unlock()
	if !stored {
		return nil
	}
	self := k.members.Self()
	holders := []redwingshunt.InstanceID{self.ID}
	for _, peer := range k.peers(true) {
		reply := k.request(ctx, peer, storeTimeout, &wire.ClaimMessage{
			Key: key[:], Digest: digest, Answer: answer, KeepS: uint32(retention / time.Second),
		})
		if reply != nil && reply.Stored {
			return append(holders, peer)
		}
	}
	return holders
}

// Fetch returns the answer with a digest, and whether it was found. It asks the
// holders first and then other instances of this region, as a holder may have handed
// the answer over to one of them.
func (k *Keeper) Fetch(
	ctx context.Context, key claimer.Key, digest []byte, holders []redwingshunt.InstanceID,
) ([]byte, bool) {
	if answer := k.get(key, digest); answer != nil {
		return answer, true
	}
	asked := redwingshunt.NewSet(k.members.Self().ID)
	for _, peer := range append(k.live(holders), k.peers(false)...) {
		if asked.Has(peer) || len(asked) > maxAsked {
			continue
		}
		asked.Add(peer)
		reply := k.request(ctx, peer, fetchTimeout, &wire.ClaimMessage{Key: key[:], Digest: digest})
		if reply != nil && bytes.Equal(claimer.DigestOf(reply.Answer), digest) {
			return reply.Answer, true
		}
	}
	return nil, false
}

// Handover copies every answer to another instance of this region before a
// shutdown. It returns the number of answers that no instance accepted.
func (k *Keeper) Handover(ctx context.Context) int {
	k.mu.Lock()
	k.expire()
	entries := make(map[claimer.Key]entry, len(k.entries))
	for key, e := range k.entries {
		entries[key] = e
	}
	k.mu.Unlock()
	remaining := 0
	for key, e := range entries {
		if !k.handover(ctx, key, e) {
			remaining++
		}
	}
	return remaining
}

// handover copies one answer to another instance and reports whether one stored it.
func (k *Keeper) handover(ctx context.Context, key claimer.Key, e entry) bool {
	retention := e.expires.Sub(k.clock.Now())
	for _, peer := range k.peers(true) {
		reply := k.request(ctx, peer, storeTimeout, &wire.ClaimMessage{
			Key: key[:], Digest: e.digest, Answer: e.answer, KeepS: uint32(retention / time.Second),
		})
		if reply != nil && reply.Stored {
			return true
		}
	}
	return false
}

// peers returns the other live instances of this region. With staying, it leaves out
// those that are shutting down. The list starts with the instance that follows
// this one by identifier, so that copies are distributed.
func (k *Keeper) peers(staying bool) []redwingshunt.InstanceID {
	self := k.members.Self()
	var before, after []redwingshunt.InstanceID
	for _, i := range k.members.Live() {
		if i.ID == self.ID || i.Region != self.Region || staying && i.Leaving {
			continue
		}
		if i.ID < self.ID {
			before = append(before, i.ID)
			continue
		}
		after = append(after, i.ID)
	}
	return append(after, before...)
}

// live returns the given instances that are alive.
func (k *Keeper) live(ids []redwingshunt.InstanceID) []redwingshunt.InstanceID {
	alive := redwingshunt.NewSet[redwingshunt.InstanceID]()
	for _, i := range k.members.Live() {
		alive.Add(i.ID)
	}
	var out []redwingshunt.InstanceID
	for _, id := range ids {
		if alive.Has(id) {
			out = append(out, id)
		}
	}
	return out
}

// request sends a message to an instance and returns its reply, or nil on a timeout.
func (k *Keeper) request(
	ctx context.Context, to redwingshunt.InstanceID, wait time.Duration, m *wire.ClaimMessage,
) *wire.ClaimMessage {
	replies := make(chan *wire.ClaimMessage, 1)
	k.mu.Lock()
	k.lastCall++
	m.Call = k.lastCall
	k.calls[m.Call] = replies
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.calls, m.Call)
		k.mu.Unlock()
	}()
	k.send(to, m)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
		return nil
	}
}

// send encodes and sends a message.
func (k *Keeper) send(to redwingshunt.InstanceID, m *wire.ClaimMessage) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return
	}
	k.link.Send(to, redwingshunt.Message{Kind: redwingshunt.KindClaim, Payload: payload})
}

// receive handles a message from another instance. It drops a reply to a call that
// has timed out.
func (k *Keeper) receive(from redwingshunt.InstanceID, payload []byte) {
	m := &wire.ClaimMessage{}
	if proto.Unmarshal(payload, m) != nil || !m.Reply && len(m.Key) != len(claimer.Key{}) {
		return
	}
	if m.Reply {
		k.mu.Lock()
		waiting := k.calls[m.Call]
		delete(k.calls, m.Call)
		k.mu.Unlock()
		if waiting != nil {
			waiting <- m
		}
		return
	}
	k.send(from, k.serve(m))
}

// serve returns the reply to a request from another instance: a request that carries
// an answer stores it, any other fetches one.
func (k *Keeper) serve(m *wire.ClaimMessage) *wire.ClaimMessage {
	key := claimer.Key(m.Key)
	reply := &wire.ClaimMessage{Call: m.Call, Reply: true}
	if len(m.Answer) == 0 {
		reply.Answer = k.get(key, m.Digest)
		return reply
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	expires := k.clock.Now().Add(time.Duration(m.KeepS) * time.Second)
	reply.Stored = bytes.Equal(claimer.DigestOf(m.Answer), m.Digest) &&
		k.put(key, entry{digest: m.Digest, answer: m.Answer, expires: expires})
	return reply
}

// get returns the answer with a key and digest that this instance keeps, or nil.
func (k *Keeper) get(key claimer.Key, digest []byte) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.entries[key]
	if !ok || !bytes.Equal(e.digest, digest) {
		return nil
	}
	return e.answer
}

// put stores an answer if there is room, and reports whether it did. It is called
// with mu held.
func (k *Keeper) put(key claimer.Key, e entry) bool {
	k.expire()
	used := k.used + e.size()
	if old, ok := k.entries[key]; ok {
		used -= old.size()
	}
	if used > k.space() {
		return false
	}
	k.entries[key] = e
	k.used = used
	return true
}

// expire removes the answers whose retention has passed, at most once per
// sweepInterval. It is called with mu held.
func (k *Keeper) expire() {
	now := k.clock.Now()
	if now.Sub(k.lastSweep) < sweepInterval {
		return
	}
	k.lastSweep = now
	for key, e := range k.entries {
		if now.Before(e.expires) {
			continue
		}
		delete(k.entries, key)
		k.used -= e.size()
	}
}

// state is the result of Dump.
type state struct {
	Answers int   `json:"answers"`
	Bytes   int64 `json:"bytes"`
}

// Dump implements redwingshunt.Dumper.
func (k *Keeper) Dump() any {
	k.mu.Lock()
	defer k.mu.Unlock()
	return state{Answers: len(k.entries), Bytes: k.used}
}
