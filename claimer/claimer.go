// Package claimer decides which request holds an idempotency key.
//
// A claim is the right to run a non-idempotent request, scoped to account,
// service and key. Claims are spread over groups; each group is a replicated
// log of which Machine is the state machine. A claim is committed by a quorum
// before the first byte of its request leaves for an upstream, and is in one
// of these states:
//
//	granted      its holder, one incarnation of one instance, may run it
//	answered     the run ended; the answer, or where it is kept, is known
//	interrupted  the holder is gone; the request may have run
//	abandoned    no byte left; the next claim of the key is granted
//
// Nothing leads from answered or interrupted back to granted before the claim
// expires, so a request runs at most once inside the retention.
//
// Retention and space are bounded. A claim expires Keep + Tolerance after it
// was answered or interrupted, by the clocks that commands carry (see clock).
// A granted claim never expires. When a group is full, new claims are refused
// and none is forgotten.
//
// # Usage
//
// A driver encodes a command, commits it and decodes the reply:
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

// InlineLimit is the largest encoded answer that the log itself carries, in
// bytes. Larger ones are kept in the home region, with a digest in the log.
const InlineLimit = 192

// KeptLimit is the largest encoded answer that is kept, in bytes.
const KeptLimit = 64 << 10

// Tolerance is added to the retention of a claim for a clock that is behind.
const Tolerance = 5 * time.Minute

// recordSize is what a claim is counted as, without its answer, in bytes.
const recordSize = 320

// Key is the digest of account, service and idempotency key.
type Key [16]byte

// KeyOf returns the key of a claim.
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

// DigestOf returns the digest by which a kept answer is checked.
func DigestOf(answer []byte) []byte {
	sum := sha256.Sum256(answer)
	return sum[:16]
}

// Encode returns the command as the log carries it. It panics on a command
// that can't be encoded, which is a fault of the program.
func Encode(command *wire.ClaimCommand) []byte {
	encoded, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Decode returns the reply of a group.
func Decode(encoded []byte) (*wire.ClaimReply, error) {
	reply := &wire.ClaimReply{}
	if err := proto.Unmarshal(encoded, reply); err != nil {
		return nil, err
	}
	return reply, nil
}
