package linker

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/certifier"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Exchange implements wire.InstancesServer. It receives the frames of one peer and
// acknowledges them in batches. The error is trace.BadParameter for a stream
// without a hello or with a payload that cannot be unpacked, and trace.AccessDenied for an instance that the certificate of
// the peer doesn't name, and trace.ConnectionProblem after Close.
func (l *Linker) Exchange(stream wire.Instances_ExchangeServer) error {
	first, err := stream.Recv()
	if err != nil {
		return trace.Wrap(err)
	}
	if first.GetHello().GetInstance() == "" {
		return trace.BadParameter("the first frame of a stream carries a hello")
	}
	from := redwingshunt.InstanceID(first.GetHello().GetInstance())
	if named := certifier.PeerOf(stream.Context()); named != "" && named != from {
		return trace.AccessDenied("the certificate of %s does not speak for %s", named, from)
	}
	l.wakePeer(from)
	connection := l.incoming.find(stream.Context())
	in := &inbound{
		stream:      stream,
		counters:    &l.counters,
		crossRegion: first.GetHello().GetRegion() != string(l.options.Self().Region),
		pending:     make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	stop := context.AfterFunc(l.ctx, cancel)
	defer stop()
	if !l.startGoroutine(func() { in.acknowledge(ctx.Done()) }) {
		return trace.ConnectionProblem(nil, "the links of this instance are closed")
	}
	for frame := first; ; {
		connection.complete()
		in.received(frame.GetSequence())
		l.counters.received(frame)
		if kind, known := kindOf(frame); known {
			payload, err := unpack(frame)
			if err != nil {
				return trace.BadParameter("frame %d of %s: %v", frame.GetSequence(), from, err)
			}
			l.dispatch(from, redwingshunt.Message{Kind: kind, Payload: payload})
		}
		if frame, err = stream.Recv(); err != nil {
			return nil // the sender closed or lost the stream; it redials when needed
		}
	}
}

// kindOf returns the kind of a frame, and false for a kind that this version does
// not know. The field on the wire is wider than a MessageKind, so the check comes
// before the conversion.
func kindOf(frame *wire.Frame) (redwingshunt.MessageKind, bool) {
	if frame.GetKind() >= uint32(redwingshunt.KindEnd) {
		return 0, false
	}
	return redwingshunt.MessageKind(frame.GetKind()), true
}

// inbound is the receiving end of one stream.
type inbound struct {
	stream       wire.Instances_ExchangeServer
	counters     *counters
	crossRegion  bool // the sender is in another region
	lastSequence atomic.Uint64
	pending      chan struct{}
}

func (in *inbound) received(sequence uint64) {
	in.lastSequence.Store(sequence)
	select {
	case in.pending <- struct{}{}:
	default:
	}
}

// acknowledge acknowledges the frames received, once per acknowledgeDelay.
func (in *inbound) acknowledge(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-in.pending:
		}
		delay := time.NewTimer(acknowledgeDelay)
		select {
		case <-done:
			delay.Stop()
			return
		case <-delay.C:
		}
		if err := in.stream.Send(&wire.Acknowledgement{Sequence: in.lastSequence.Load(), Unpacks: true}); err != nil {
			return
		}
		in.counters.acknowledged(in.crossRegion)
	}
}

// identify returns the instance at a link address.
func (l *Linker) identify(address netip.AddrPort) (redwingshunt.InstanceID, bool) {
	if l.options.Identify == nil {
		return "", false
	}
	return l.options.Identify(address)
}
