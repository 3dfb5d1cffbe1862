package redwingshunt

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"time"
)

// Origin is where a stream began. Only upstreams of the same service and software
// version continue it.
type Origin struct {
	Service ServiceID
	Version string
}

// StreamKey identifies a stream over all requests of its caller.
type StreamKey [16]byte

// NewStreamKey returns the key of the stream that began with a request of a client
// account. The account is part of it, so that no caller can name a stream of another
// account.
func NewStreamKey(account AccountID, request string) StreamKey {
	hash := sha256.New()
	_, _ = io.WriteString(hash, string(account)) // never fails
	_, _ = hash.Write([]byte{0})
	_, _ = io.WriteString(hash, request)
	return StreamKey(hash.Sum(nil)[:len(StreamKey{})])
}

// Hash returns a number that depends on the whole key.
func (k StreamKey) Hash() uint64 { return binary.BigEndian.Uint64(k[:]) }

// Origins remembers where streams began, so that an instance that has never heard of a
// stream continues it at the right software version.
type Origins interface {
	// Begin records the origin of a stream until a time. The first event must not be
	// sent to the caller before it returns nil: from then on other instances find the
	// origin even if this instance ends. After an error no event must be sent; it is
	// ErrUnrecorded unless ctx has ended.
	Begin(ctx context.Context, key StreamKey, origin Origin, until time.Time) error
	// Find returns the origin of a stream that its caller takes up and that, if
	// nothing else is known, began at the given service. The caller may not have named
	// the stream. The error is an OutcomeError with OutcomeNotRun: the origin is not
	// known.
	Find(ctx context.Context, key Option[StreamKey], service ServiceID) (Origin, error)
}

// ErrUnrecorded means that a stream must not begin, because too few instances have
// recorded where.
var ErrUnrecorded = errors.New("too few instances recorded where the stream begins")

// VersionSpan is a software version of a service with the times at which it was
// announced first and last.
type VersionSpan struct {
	Version     string
	First, Last time.Time
}

// ServiceVersions are the software versions that a service had lately, that which was
// announced first in front.
type ServiceVersions struct {
	Spans []VersionSpan
	// Since is the time since when no version is missing from Spans.
	Since time.Time
	// Complete reports that no other instance is expected to know more: this one has
	// Joined the others, or has found none.
	Complete, Joined bool
}

// VersionHistory knows the software versions of services.
type VersionHistory interface {
	Versions(service ServiceID) ServiceVersions
}
