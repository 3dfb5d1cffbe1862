package claimer

import (
	"container/heap"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Machine is the state machine of one claim group. It implements
// redwingshunt.StateMachine and is not safe for concurrent use.
type Machine struct {
	clock   clock
	claims  map[Key]*claim
	expiry  expiryQueue
	running map[redwingshunt.InstanceID]map[Key]*claim // granted claims by holder
	used    int64                                      // bytes, including the reservations of granted claims
}

// claim is the state of one key.
type claim struct {
	key         Key
	fingerprint redwingshunt.Fingerprint
	id          uint64
	status      wire.ClaimStatus
	holder      redwingshunt.InstanceID
	incarnation redwingshunt.Incarnation
	keepSeconds uint32
	expires     int64 // Unix milliseconds, in the time of the group; zero while granted
	keptAnswer  *keptAnswer
}

// keptAnswer is the answer of a claim, or its digest and the instances that keep it.
type keptAnswer struct {
	answer  []byte
	digest  []byte
	keepers []string
}

// New returns a machine without claims.
func New() *Machine {
	m := &Machine{}
	m.reset()
	return m
}

// reset removes all state.
func (m *Machine) reset() {
	m.clock = clock{proposers: make(map[redwingshunt.InstanceID]proposer)}
	m.claims = make(map[Key]*claim)
	m.running = make(map[redwingshunt.InstanceID]map[Key]*claim)
	m.expiry = nil
	m.used = 0
}

// Len returns the number of claims in the group.
func (m *Machine) Len() int { return len(m.claims) }

// Used returns the number of bytes that claims use or have reserved.
func (m *Machine) Used() int64 { return m.used }

// Apply executes an encoded ClaimCommand and returns an encoded ClaimReply. A
// malformed command changes nothing and its reply has an unspecified status.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	reply := m.apply(command)
	encoded, err := proto.Marshal(reply)
	if err != nil {
		return nil
	}
	return encoded
}

// apply decodes and executes a command.
func (m *Machine) apply(command []byte) *wire.ClaimReply {
	c := &wire.ClaimCommand{}
	if err := proto.Unmarshal(command, c); err != nil || c.Instance == "" {
		return &wire.ClaimReply{}
	}
	proposer := redwingshunt.InstanceID(c.Instance)
	incarnation := redwingshunt.Incarnation(c.Incarnation)
	stale := incarnation < m.clock.proposers[proposer].incarnation
	if !stale {
		m.clock.observe(proposer, incarnation, c.TimeMs)
	}
	if incarnation > 0 {
		m.interrupt(proposer, incarnation-1)
	}
	m.expire()
	switch action := c.Action.(type) {
	case *wire.ClaimCommand_Grant:
		return m.grant(c, action.Grant, stale)
	case *wire.ClaimCommand_Finish:
		return m.finish(action.Finish)
	case *wire.ClaimCommand_Abandon:
		return m.abandon(c, action.Abandon)
	case *wire.ClaimCommand_Interrupt:
		lost := action.Interrupt
		m.interrupt(redwingshunt.InstanceID(lost.Instance), redwingshunt.Incarnation(lost.Incarnation))
		return &wire.ClaimReply{Status: wire.ClaimStatus_CLAIM_STATUS_INTERRUPTED}
	}
	return &wire.ClaimReply{}
}

// grant grants or refuses a claim. A claim that its proposer made before a restart
// is stale: it is not granted, because no process would run the request.
func (m *Machine) grant(c *wire.ClaimCommand, g *wire.ClaimGrant, stale bool) *wire.ClaimReply {
	if len(g.Key) != len(Key{}) || len(g.Fingerprint) != len(redwingshunt.Fingerprint{}) {
		return &wire.ClaimReply{}
	}
	key, fingerprint := Key(g.Key), redwingshunt.Fingerprint(g.Fingerprint)
	existing := m.claims[key]
	if existing != nil && existing.status != wire.ClaimStatus_CLAIM_STATUS_ABANDONED {
		return existing.replyTo(g.Id, fingerprint)
	}
	if stale || existing != nil && existing.id == g.Id {
		return &wire.ClaimReply{Status: wire.ClaimStatus_CLAIM_STATUS_ABANDONED, Id: g.Id}
	}
	m.remove(existing)
	if m.used+recordBytes+InlineLimitBytes > g.Space {
		m.insert(existing)
		return &wire.ClaimReply{Status: wire.ClaimStatus_CLAIM_STATUS_FULL}
	}
	granted := &claim{
		key:         key,
		fingerprint: fingerprint,
		id:          g.Id,
		status:      wire.ClaimStatus_CLAIM_STATUS_GRANTED,
		holder:      redwingshunt.InstanceID(c.Instance),
		incarnation: redwingshunt.Incarnation(c.Incarnation),
		keepSeconds: g.KeepS,
	}
	m.insert(granted)
	return granted.replyTo(g.Id, fingerprint)
}

// finish records the end of a run, with or without an answer. An answer also
// replaces the interrupted state, because the holder may only have been partitioned
// from the others.
func (m *Machine) finish(f *wire.ClaimFinish) *wire.ClaimReply {
	existing := m.find(f.Key, f.Id)
	if existing == nil {
		return &wire.ClaimReply{}
	}
	if existing.status == wire.ClaimStatus_CLAIM_STATUS_ANSWERED {
		return existing.reply()
	}
	m.remove(existing)
	if f.Interrupted {
		existing.status = wire.ClaimStatus_CLAIM_STATUS_INTERRUPTED
		m.insertExpiring(existing)
		return existing.reply()
	}
	existing.status = wire.ClaimStatus_CLAIM_STATUS_ANSWERED
	existing.keptAnswer = &keptAnswer{digest: f.Digest, keepers: f.Keepers}
	if len(f.Answer) <= InlineLimitBytes {
		existing.keptAnswer.answer = f.Answer
	}
	m.insertExpiring(existing)
	return existing.reply()
}

// abandon releases the key of a claim of which no byte was sent to an upstream.
// The claim stays as a tombstone, so that a grant with the same identifier is
// refused when it is committed after the abandon.
func (m *Machine) abandon(c *wire.ClaimCommand, a *wire.ClaimAbandon) *wire.ClaimReply {
	if len(a.Key) != len(Key{}) {
		return &wire.ClaimReply{}
	}
	existing := m.claims[Key(a.Key)]
	switch {
	case existing == nil:
		existing = &claim{key: Key(a.Key), id: a.Id, holder: redwingshunt.InstanceID(c.Instance)}
	case existing.id != a.Id, existing.status == wire.ClaimStatus_CLAIM_STATUS_ANSWERED:
		return existing.reply()
	default:
		m.remove(existing)
	}
	existing.status = wire.ClaimStatus_CLAIM_STATUS_ABANDONED
	existing.keepSeconds = 0
	m.insertExpiring(existing)
	return existing.reply()
}

// interrupt marks the claims that an instance holds, up to an incarnation, as
// interrupted. The iteration order has no effect on the state, because all of
// them expire by the same rule.
func (m *Machine) interrupt(holder redwingshunt.InstanceID, upTo redwingshunt.Incarnation) {
	for _, c := range m.running[holder] {
		if c.incarnation > upTo {
			continue
		}
		m.remove(c)
		c.status = wire.ClaimStatus_CLAIM_STATUS_INTERRUPTED
		m.insertExpiring(c)
	}
}

// find returns the claim with this key and id, or nil when there is none or it is
// abandoned.
func (m *Machine) find(key []byte, id uint64) *claim {
	if len(key) != len(Key{}) {
		return nil
	}
	existing := m.claims[Key(key)]
	if existing == nil || existing.id != id || existing.status == wire.ClaimStatus_CLAIM_STATUS_ABANDONED {
		return nil
	}
	return existing
}

// insertExpiring inserts a claim that has ended and sets its expiry. The expiry
// counts from the newest clock, so that a proposer whose clock is behind does not
// shorten the retention.
func (m *Machine) insertExpiring(c *claim) {
	const millisecondsPerSecond = 1000
	c.expires = m.clock.newest() + int64(c.keepSeconds)*millisecondsPerSecond + Tolerance.Milliseconds()
	m.insert(c)
	heap.Push(&m.expiry, deadline{at: c.expires, key: c.key})
}

// expire removes the claims whose retention has passed.
func (m *Machine) expire() {
	for len(m.expiry) > 0 && m.expiry[0].at <= m.clock.now {
		d := heap.Pop(&m.expiry).(deadline)
		c := m.claims[d.key]
		if c != nil && c.expires == d.at {
			m.remove(c)
		}
	}
}

// insert adds a claim to the indexes.
func (m *Machine) insert(c *claim) {
	if c == nil {
		return
	}
	m.claims[c.key] = c
	m.used += c.size()
	if c.status != wire.ClaimStatus_CLAIM_STATUS_GRANTED {
		return
	}
	if m.running[c.holder] == nil {
		m.running[c.holder] = make(map[Key]*claim)
	}
	m.running[c.holder][c.key] = c
}

// remove removes a claim from the indexes.
func (m *Machine) remove(c *claim) {
	if c == nil {
		return
	}
	delete(m.claims, c.key)
	m.used -= c.size()
	delete(m.running[c.holder], c.key)
	if len(m.running[c.holder]) == 0 {
		delete(m.running, c.holder)
	}
}

// size returns the number of bytes that are accounted for a claim. A granted claim
// reserves the space of an inline answer, so that an answer is never refused.
func (c *claim) size() int64 {
	if c.status == wire.ClaimStatus_CLAIM_STATUS_GRANTED {
		return recordBytes + InlineLimitBytes
	}
	size := recordBytes
	if c.keptAnswer == nil {
		return int64(size)
	}
	size += len(c.keptAnswer.answer)
	for _, k := range c.keptAnswer.keepers {
		size += len(k)
	}
	return int64(size)
}

// replyTo returns the reply to a grant with this id and fingerprint.
func (c *claim) replyTo(id uint64, fingerprint redwingshunt.Fingerprint) *wire.ClaimReply {
	if c.fingerprint != fingerprint {
		return &wire.ClaimReply{Status: wire.ClaimStatus_CLAIM_STATUS_CONFLICT, Id: c.id}
	}
	reply := c.reply()
	if c.status == wire.ClaimStatus_CLAIM_STATUS_GRANTED && c.id != id {
		reply.Status = wire.ClaimStatus_CLAIM_STATUS_IN_PROGRESS
	}
	return reply
}

// reply returns the state of the claim as a reply.
func (c *claim) reply() *wire.ClaimReply {
	reply := &wire.ClaimReply{
		Status:      c.status,
		Id:          c.id,
		Holder:      string(c.holder),
		Incarnation: uint64(c.incarnation),
	}
	if c.keptAnswer != nil {
		reply.Answer = c.keptAnswer.answer
		reply.Digest = c.keptAnswer.digest
		reply.Keepers = c.keptAnswer.keepers
	}
	return reply
}
