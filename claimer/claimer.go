// Package claimer decides which request holds an idempotency key.
//
// A claim is the right to run a non-idempotent request, scoped to account,
// service and key. Claims are partitioned into groups; each group is a
// replicated log whose state machine is a Machine. A claim is committed by a
// quorum before the first byte of its request is sent to an upstream, and is in
// one of these states:
//
//	granted      its holder, one incarnation of one instance, may run the request
//	answered     the run ended; the answer, or where it is stored, is recorded
//	interrupted  the run failed or its holder was lost; the request may have run
//	abandoned    no byte was sent to an upstream; the key can be granted again
//
// An answered or interrupted claim is not granted again before it expires, so a
// request runs at most once within the retention.
//
// Retention and space are bounded. A claim expires Keep + Tolerance after it
// was answered or interrupted, by the clocks that commands carry (see clock).
// A granted claim never expires. When a group is full, new claims are refused
// and no existing claim is evicted.
//
// # Usage
//
// The caller encodes a command, commits it to the log and decodes the reply:
//
//	group := claimer.Locate(document, account, key)
//	reply, err := log.Propose(ctx, group, claimer.Encode(command))
//
// Each voter applies it to its Machine:
//
//	machine := claimer.New()
//	reply := machine.Apply(index, command)
package claimer

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// InlineLimitBytes is the size in bytes of the largest encoded answer that is stored
// in the log. Larger answers are kept in the home region, and the log holds
// their digest.
const InlineLimitBytes = 192

// KeptLimitBytes is the size in bytes of the largest encoded answer that is kept.
const KeptLimitBytes = 64 << 10

// Tolerance is added to the retention of a claim to allow for clock skew.
const Tolerance = 5 * time.Minute

// recordBytes is the size that is accounted for a claim without its answer.
const recordBytes = 320

// Key is the digest of account, service and idempotency key.
type Key [16]byte

// KeyOf returns the key of a claim. Each part is hashed with its length, so that
// different parts cannot concatenate to the same input.
func KeyOf(account redwingshunt.AccountID, service redwingshunt.ServiceID, key string) Key {
	h := sha256.New()
	for _, part := range []string{string(account), string(service), key} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return Key(h.Sum(nil)[:16])
}

// DigestOf returns the digest that identifies and verifies a kept answer.
func DigestOf(answer []byte) []byte {
	sum := sha256.Sum256(answer)
	return sum[:16]
}

// Encode returns the encoding of a command for the log. It panics on a command
// that cannot be encoded, which is a programming error.
func Encode(command *wire.ClaimCommand) []byte {
	encoded, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Decode decodes the reply of a group. It fails on malformed input.
func Decode(encoded []byte) (*wire.ClaimReply, error) {
	reply := &wire.ClaimReply{}
	if err := proto.Unmarshal(encoded, reply); err != nil {
		return nil, err
	}
	return reply, nil
}
