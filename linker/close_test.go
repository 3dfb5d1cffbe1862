package linker

import (
	"context"
	"io"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// shortStream is a stream that carries a hello and ends.
type shortStream struct {
	wire.Instances_ExchangeServer
	ctx    context.Context
	frames int
}

func (s *shortStream) Context() context.Context { return s.ctx }

func (s *shortStream) Recv() (*wire.Frame, error) {
	if s.frames++; s.frames > 1 {
		return nil, io.EOF
	}
	return &wire.Frame{Hello: &wire.Hello{Instance: "other"}}, nil
}

// TestStreamAfterCloseIsRefused guards against a goroutine that is started while Close
// waits for all of them.
func TestStreamAfterCloseIsRefused(t *testing.T) {
	is := is.New(t)
	l := newLinker("self", netip.AddrPort{}, func(redwingshunt.InstanceID) {})
	is.NoErr(l.Exchange(&shortStream{ctx: t.Context()}))
	l.Close()
	is.True(l.Exchange(&shortStream{ctx: t.Context()}) != nil)
}
