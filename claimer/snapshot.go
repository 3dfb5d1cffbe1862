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

// Snapshot encodes the whole state as a ClaimSnapshot, ordered by key.
func (m *Machine) Snapshot() ([]byte, error) {
	s := &wire.ClaimSnapshot{TimeMs: m.clock.now}
	for _, id := range m.clock.instances() {
		p := m.clock.last[id]
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

// Restore replaces the state by a snapshot. The state is unchanged when the
// snapshot does not parse.
func (m *Machine) Restore(snapshot []byte) error {
	s := &wire.ClaimSnapshot{}
	if err := proto.Unmarshal(snapshot, s); err != nil {
		return trace.Wrap(err, "decoding a snapshot of claims")
	}
	for _, r := range s.Claims {
		if len(r.Key) != len(Key{}) || len(r.Fingerprint) != len(redwingshunt.Fingerprint{}) {
			return trace.BadParameter("a snapshot of claims has a key of %d bytes", len(r.Key))
		}
	}
	m.reset()
	m.clock.now = s.TimeMs
	for _, c := range s.Clocks {
		m.clock.last[redwingshunt.InstanceID(c.Instance)] = proposer{
			incarnation: redwingshunt.Incarnation(c.Incarnation), time: c.TimeMs,
		}
	}
	for _, r := range s.Claims {
		m.load(r)
	}
	return nil
}

// load adds one claim of a snapshot.
func (m *Machine) load(r *wire.ClaimRecord) {
	c := &claim{
		key:         Key(r.Key),
		fingerprint: redwingshunt.Fingerprint(r.Fingerprint),
		id:          r.Id,
		status:      r.Status,
		holder:      redwingshunt.InstanceID(r.Holder),
		incarnation: redwingshunt.Incarnation(r.Incarnation),
		keep:        r.KeepS,
		expires:     r.ExpiresMs,
	}
	if r.Status == wire.ClaimStatus_CLAIM_STATUS_ANSWERED {
		c.kept = &kept{answer: r.Answer, digest: r.Digest, keepers: r.Keepers}
	}
	m.insert(c)
	if c.status != wire.ClaimStatus_CLAIM_STATUS_GRANTED {
		heap.Push(&m.expiry, deadline{at: c.expires, key: c.key})
	}
}

// record returns the claim as a snapshot holds it.
func (c *claim) record() *wire.ClaimRecord {
	r := &wire.ClaimRecord{
		Key:         c.key[:],
		Fingerprint: c.fingerprint[:],
		Id:          c.id,
		Status:      c.status,
		Holder:      string(c.holder),
		Incarnation: uint64(c.incarnation),
		KeepS:       c.keep,
		ExpiresMs:   c.expires,
	}
	if c.kept != nil {
		r.Answer = c.kept.answer
		r.Digest = c.kept.digest
		r.Keepers = c.kept.keepers
	}
	return r
}
