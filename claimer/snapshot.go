package claimer

import (
	"bytes"
	"container/heap"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Snapshot encodes the state as a ClaimSnapshot. The claims are sorted by key and
// the encoding is deterministic, so that equal states give equal snapshots.
func (m *Machine) Snapshot() ([]byte, error) {
	s := &wire.ClaimSnapshot{TimeMs: m.clock.now}
	for _, id := range m.clock.instances() {
		p := m.clock.proposers[id]
		s.Clocks = append(s.Clocks, &wire.ClaimClock{
			Instance: string(id), Incarnation: uint64(p.incarnation), TimeMs: p.time,
		})
	}
	for _, c := range m.claims {
		s.Claims = append(s.Claims, c.record())
	}
	slices.SortFunc(s.Claims, func(a, b *wire.ClaimRecord) int { return bytes.Compare(a.Key, b.Key) })
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return encoded, trace.Wrap(err)
}

// Restore replaces the state by that of a snapshot. When the snapshot is
// malformed, it returns an error and leaves the state unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	s := &wire.ClaimSnapshot{}
	if err := proto.Unmarshal(snapshot, s); err != nil {
		return trace.Wrap(err, "decoding claim snapshot")
	}
	for _, r := range s.Claims {
		if len(r.Key) != len(Key{}) || len(r.Fingerprint) != len(redwingshunt.Fingerprint{}) {
			return trace.BadParameter("claim snapshot has a malformed fingerprint or a key of %d bytes", len(r.Key))
		}
	}
	m.reset()
	m.clock.now = s.TimeMs
	for _, c := range s.Clocks {
		m.clock.proposers[redwingshunt.InstanceID(c.Instance)] = proposer{
			incarnation: redwingshunt.Incarnation(c.Incarnation), time: c.TimeMs,
		}
	}
	for _, r := range s.Claims {
		m.load(r)
	}
	return nil
}

// load adds a claim from a snapshot.
func (m *Machine) load(r *wire.ClaimRecord) {
	c := &claim{
		key:         Key(r.Key),
		fingerprint: redwingshunt.Fingerprint(r.Fingerprint),
		id:          r.Id,
		status:      r.Status,
		holder:      redwingshunt.InstanceID(r.Holder),
		incarnation: redwingshunt.Incarnation(r.Incarnation),
		keepSeconds: r.KeepS,
		expires:     r.ExpiresMs,
	}
	if r.Status == wire.ClaimStatus_CLAIM_STATUS_ANSWERED {
		c.keptAnswer = &keptAnswer{answer: r.Answer, digest: r.Digest, keepers: r.Keepers}
	}
	m.insert(c)
	if c.status != wire.ClaimStatus_CLAIM_STATUS_GRANTED {
		heap.Push(&m.expiry, deadline{at: c.expires, key: c.key})
	}
}

// record returns the claim as a record of a snapshot.
func (c *claim) record() *wire.ClaimRecord {
	r := &wire.ClaimRecord{
		Key:         c.key[:],
		Fingerprint: c.fingerprint[:],
		Id:          c.id,
		Status:      c.status,
		Holder:      string(c.holder),
		Incarnation: uint64(c.incarnation),
		KeepS:       c.keepSeconds,
		ExpiresMs:   c.expires,
	}
	if c.keptAnswer != nil {
		r.Answer = c.keptAnswer.answer
		r.Digest = c.keptAnswer.digest
		r.Keepers = c.keptAnswer.keepers
	}
	return r
}
