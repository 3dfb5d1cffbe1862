package claimer

import (
	"container/heap"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Machine is the state machine of one group of claims. It implements
// redwingshunt.StateMachine and is not safe for concurrent use.
type Machine struct {
	clock   clock
	claims  map[Key]*claim
	expiry  expiryQueue
	running map[redwingshunt.InstanceID]map[Key]*claim // granted, by holder
	used    int64                                      // bytes, with what granted claims reserve
}

// claim is the state of one key.
type claim struct {
	key         Key
	fingerprint redwingshunt.Fingerprint
	id          uint64
	status      wire.ClaimStatus
	holder      redwingshunt.InstanceID
	incarnation redwingshunt.Incarnation
	keep        uint32 // seconds
	expires     int64  // Unix milliseconds of the group; zero while granted
	kept        *kept
}

// kept is the answer of a claim, or where it is.
type kept struct {
	answer  []byte
	digest  []byte
	keepers []string
}

// New returns an empty group.
func New() *Machine {
	m := &Machine{}
	m.reset()
	return m
}

// reset forgets everything.
func (m *Machine) reset() {
	m.clock = clock{last: make(map[redwingshunt.InstanceID]proposer)}
	m.claims = make(map[Key]*claim)
	m.running = make(map[redwingshunt.InstanceID]map[Key]*claim)
	m.expiry = nil
	m.used = 0
}

// Len returns the number of claims that the group remembers.
func (m *Machine) Len() int { return len(m.claims) }

// Used returns the bytes that claims take and reserve.
func (m *Machine) Used() int64 { return m.used }

// Apply executes a ClaimCommand and returns a ClaimReply. A command that does
// not parse changes nothing and is answered with an unspecified status.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	reply := m.apply(command)
	encoded, err := proto.Marshal(reply)
	if err != nil {
		return nil
	}
	return encoded
}

// apply executes a command.
func (m *Machine) apply(command []byte) *wire.ClaimReply {
	c := &wire.ClaimCommand{}
	if err := proto.Unmarshal(command, c); err != nil || c.Instance == "" {
		return &wire.ClaimReply{}
	}
	proposer := redwingshunt.InstanceID(c.Instance)
	incarnation := redwingshunt.Incarnation(c.Incarnation)
	stale := incarnation < m.clock.last[proposer].incarnation
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
		gone := action.Interrupt
		m.interrupt(redwingshunt.InstanceID(gone.Instance), redwingshunt.Incarnation(gone.Incarnation))
		return &wire.ClaimReply{Status: wire.ClaimStatus_CLAIM_STATUS_INTERRUPTED}
	}
	return &wire.ClaimReply{}
}

// grant decides on a new claim. A claim of a proposer that has restarted since
// is not granted, as nobody would run it.
func (m *Machine) grant(c *wire.ClaimCommand, g *wire.ClaimGrant, stale bool) *wire.ClaimReply {
	if len(g.Key) != len(Key{}) || len(g.Fingerprint) != len(redwingshunt.Fingerprint{}) {
		return &wire.ClaimReply{}
	}
	key, fingerprint := Key(g.Key), redwingshunt.Fingerprint(g.Fingerprint)
	known := m.claims[key]
	if known != nil && known.status != wire.ClaimStatus_CLAIM_STATUS_ABANDONED {
		return known.answerTo(g.Id, fingerprint)
	}
	if stale || known != nil && known.id == g.Id {
		return &wire.ClaimReply{Status: wire.ClaimStatus_CLAIM_STATUS_ABANDONED, Id: g.Id}
	}
	m.remove(known)
	if m.used+recordSize+InlineLimit > g.Space {
		m.insert(known)
		return &wire.ClaimReply{Status: wire.ClaimStatus_CLAIM_STATUS_FULL}
	}
	granted := &claim{
		key:         key,
		fingerprint: fingerprint,
		id:          g.Id,
		status:      wire.ClaimStatus_CLAIM_STATUS_GRANTED,
		holder:      redwingshunt.InstanceID(c.Instance),
		incarnation: redwingshunt.Incarnation(c.Incarnation),
		keep:        g.KeepS,
	}
	m.insert(granted)
	return granted.answerTo(g.Id, fingerprint)
}

// finish records how a run ended: with an answer, also of a claim that was taken
// for interrupted while its holder was only cut off, or without one.
func (m *Machine) finish(f *wire.ClaimFinish) *wire.ClaimReply {
	known := m.held(f.Key, f.Id)
	if known == nil {
		return &wire.ClaimReply{}
	}
	if known.status == wire.ClaimStatus_CLAIM_STATUS_ANSWERED {
		return known.reply()
	}
	m.remove(known)
	if f.Interrupted {
		known.status = wire.ClaimStatus_CLAIM_STATUS_INTERRUPTED
		m.settle(known)
		return known.reply()
	}
	known.status = wire.ClaimStatus_CLAIM_STATUS_ANSWERED
	known.kept = &kept{digest: f.Digest, keepers: f.Keepers}
	if len(f.Answer) <= InlineLimit {
		known.kept.answer = f.Answer
	}
	m.settle(known)
	return known.reply()
}

// abandon frees the key of a claim of which no upstream saw a byte. It leaves
// a mark, so that the claim is not granted when it is committed after this.
func (m *Machine) abandon(c *wire.ClaimCommand, a *wire.ClaimAbandon) *wire.ClaimReply {
	if len(a.Key) != len(Key{}) {
		return &wire.ClaimReply{}
	}
	known := m.claims[Key(a.Key)]
	switch {
	case known == nil:
		known = &claim{key: Key(a.Key), id: a.Id, holder: redwingshunt.InstanceID(c.Instance)}
	case known.id != a.Id, known.status == wire.ClaimStatus_CLAIM_STATUS_ANSWERED:
		return known.reply()
	default:
		m.remove(known)
	}
	known.status = wire.ClaimStatus_CLAIM_STATUS_ABANDONED
	known.keep = 0
	m.settle(known)
	return known.reply()
}

// interrupt marks all that an instance held up to an incarnation. The order
// does not show, as all of them expire by the same rule.
func (m *Machine) interrupt(holder redwingshunt.InstanceID, upTo redwingshunt.Incarnation) {
	for _, c := range m.running[holder] {
		if c.incarnation > upTo {
			continue
		}
		m.remove(c)
		c.status = wire.ClaimStatus_CLAIM_STATUS_INTERRUPTED
		m.settle(c)
	}
}

// held returns the claim with this key and id, or nil.
func (m *Machine) held(key []byte, id uint64) *claim {
	if len(key) != len(Key{}) {
		return nil
	}
	known := m.claims[Key(key)]
	if known == nil || known.id != id || known.status == wire.ClaimStatus_CLAIM_STATUS_ABANDONED {
		return nil
	}
	return known
}

// settle puts a claim that has ended back, with the time at which it expires.
func (m *Machine) settle(c *claim) {
	const millisecondsPerSecond = 1000
	c.expires = m.clock.newest() + int64(c.keep)*millisecondsPerSecond + Tolerance.Milliseconds()
	m.insert(c)
	heap.Push(&m.expiry, deadline{at: c.expires, key: c.key})
}

// expire forgets what is past its retention.
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

// remove takes a claim out of the indexes.
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

// size returns the bytes that a claim takes. A granted one reserves the space
// of its answer, so that an answer is never refused.
func (c *claim) size() int64 {
	if c.status == wire.ClaimStatus_CLAIM_STATUS_GRANTED {
		return recordSize + InlineLimit
	}
	size := recordSize
	if c.kept == nil {
		return int64(size)
	}
	size += len(c.kept.answer)
	for _, k := range c.kept.keepers {
		size += len(k)
	}
	return int64(size)
}

// answerTo returns what a claim with this id and body is told.
func (c *claim) answerTo(id uint64, fingerprint redwingshunt.Fingerprint) *wire.ClaimReply {
	if c.fingerprint != fingerprint {
		return &wire.ClaimReply{Status: wire.ClaimStatus_CLAIM_STATUS_CONFLICT, Id: c.id}
	}
	reply := c.reply()
	if c.status == wire.ClaimStatus_CLAIM_STATUS_GRANTED && c.id != id {
		reply.Status = wire.ClaimStatus_CLAIM_STATUS_IN_PROGRESS
	}
	return reply
}

// reply returns the whole state of the claim.
func (c *claim) reply() *wire.ClaimReply {
	reply := &wire.ClaimReply{
		Status:      c.status,
		Id:          c.id,
		Holder:      string(c.holder),
		Incarnation: uint64(c.incarnation),
	}
	if c.kept != nil {
		reply.Answer = c.kept.answer
		reply.Digest = c.kept.digest
		reply.Keepers = c.kept.keepers
	}
	return reply
}
