package linker

import (
	"cmp"
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"
	"google.golang.org/grpc"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// peer sends messages to one address. Its goroutine dials, streams and redials. It
// ends after idleTimeout without a message.
type peer struct {
	linker  *Linker
	address netip.AddrPort
	queue   chan redwingshunt.Message
	unsent  *redwingshunt.Message // taken from the queue and not sent yet
	wake    chan struct{}         // capacity 1; the instance opened a stream
}

func newPeer(l *Linker, address netip.AddrPort) *peer {
	return &peer{linker: l, address: address, queue: make(chan redwingshunt.Message, queueLength), wake: make(chan struct{}, 1)}
}

func (p *peer) run() {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialRetryDelay
	retry.MaxInterval = maxRetryDelay
	for p.linker.ctx.Err() == nil {
		if p.unsent == nil && !p.awaitMessage() {
			return
		}
		progressed, err := p.stream()
		if err == nil {
			continue
		}
		if progressed {
			retry.Reset()
		}
		p.discard()
		p.reportLoss(err)
		if p.waitRetry(retry.NextBackOff()) {
			retry.Reset()
		}
	}
}

// waitRetry waits before the next try. It reports whether the wait ended early
// because the instance opened a stream.
func (p *peer) waitRetry(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.linker.ctx.Done():
	case <-p.wake:
		return true
	}
	return false
}

// awaitMessage waits for a message. It returns false when the peer must end,
// since it was retired or the linker is closed.
func (p *peer) awaitMessage() bool {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case m := <-p.queue:
			p.unsent = &m
			return true
		case <-p.linker.ctx.Done():
			return false
		case <-idle.C:
			if p.linker.retire(p) {
				return false
			}
		}
	}
}

// discard drops the queued messages after a stream failed; the senders repeat
// those that still matter.
func (p *peer) discard() {
	if p.unsent != nil {
		p.linker.counters.drop(p.unsent.Kind)
		p.unsent = nil
	}
	for {
		select {
		case m := <-p.queue:
			p.linker.counters.drop(m.Kind)
		default:
			return
		}
	}
}

func (p *peer) reportLoss(err error) {
	if p.linker.ctx.Err() != nil {
		return
	}
	p.linker.options.Logger.Debug("link lost", "address", p.address.String(), "error", err.Error())
	if id, ok := p.linker.identify(p.address); ok {
		p.linker.options.Lost(id)
	}
}

// stream opens a connection and sends messages until it breaks or idles. It
// reports whether a frame was acknowledged.
func (p *peer) stream() (bool, error) {
	connection, err := grpc.NewClient("passthrough:///"+p.address.String(),
		grpc.WithTransportCredentials(p.linker.options.Credentials),
		grpc.WithNoProxy(),
		grpc.WithMaxHeaderListSize(MaxHeaderBytes),
		grpc.WithDisableServiceConfig())
	if err != nil {
		return false, trace.Wrap(err)
	}
	defer func() { _ = connection.Close() }()
	ctx, cancel := context.WithCancelCause(p.linker.ctx)
	defer cancel(nil)

	s := &outbound{cancel: cancel}
	watchdog := time.AfterFunc(progressDeadline, func() { s.expire() })
	defer watchdog.Stop()
	s.watchdog = watchdog

	// Opening a stream blocks until the connection is established. The watchdog
	// limits that time as it does the acknowledgement of a frame.
	s.opening.Store(true)
	exchange, err := wire.NewInstancesClient(connection).Exchange(ctx)
	if err != nil {
		// Without a cause the context is still live, and the error itself is the cause.
		return false, trace.Wrap(cmp.Or(context.Cause(ctx), err), "opening a stream")
	}
	p.linker.goroutines.Go(func() { s.receiveAcks(exchange) })
	err = p.sendQueue(ctx, s, exchange)
	return s.acked.Load() > 0, err
}

// sendQueue sends the queued messages as frames. It returns nil when the stream was
// closed after the idle timeout.
func (p *peer) sendQueue(ctx context.Context, s *outbound, exchange wire.Instances_ExchangeClient) error {
	self := p.linker.options.Self()
	hello := &wire.Hello{
		Instance:    string(self.ID),
		Incarnation: uint64(self.Incarnation),
		Region:      string(self.Region),
	}
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		if p.unsent != nil {
			frame := &wire.Frame{Kind: uint32(p.unsent.Kind), Payload: p.unsent.Payload, Hello: hello}
			hello = nil
			if s.unpacks.Load() {
				p.linker.counters.save(p.unsent.Kind, pack(frame))
			}
			s.beforeSend(frame)
			if err := exchange.Send(frame); err != nil {
				return trace.Wrap(err, "sending a frame: %v", context.Cause(ctx))
			}
			p.unsent = nil
			idle.Reset(idleTimeout)
		}
		select {
		case m := <-p.queue:
			p.unsent = &m
		case <-ctx.Done():
			return trace.Wrap(context.Cause(ctx))
		case <-idle.C:
			if s.allAcked() {
				return trace.Wrap(exchange.CloseSend())
			}
			idle.Reset(idleTimeout)
		}
	}
}

// outbound tracks the acknowledgements of the frames of one stream.
type outbound struct {
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
	opening  atomic.Bool
	sent     atomic.Uint64
	acked    atomic.Uint64
	unpacks  atomic.Bool // the receiver accepts packed payloads
}

// beforeSend numbers a frame and restarts the watchdog when no frame was
// outstanding.
func (s *outbound) beforeSend(frame *wire.Frame) {
	first := s.opening.Swap(false)
	allAcked := s.allAcked()
	frame.Sequence = s.sent.Add(1)
	if first || allAcked {
		s.watchdog.Reset(progressDeadline)
	}
}

func (s *outbound) allAcked() bool { return s.sent.Load() == s.acked.Load() }

// expire cancels a stream that made no progress.
func (s *outbound) expire() {
	if s.opening.Load() || !s.allAcked() {
		s.cancel(trace.ConnectionProblem(nil, "no acknowledgement within %v", progressDeadline))
	}
}

func (s *outbound) receiveAcks(exchange wire.Instances_ExchangeClient) {
	for {
		ack, err := exchange.Recv()
		if err != nil {
			s.cancel(trace.Wrap(err, "receiving acknowledgements"))
			return
		}
		if ack.GetUnpacks() {
			s.unpacks.Store(true)
		}
		// A repeated acknowledgement, or one of a frame not sent, is no progress.
		if n := ack.GetSequence(); n > s.acked.Load() && n <= s.sent.Load() {
			s.acked.Store(n)
			s.watchdog.Reset(progressDeadline)
		}
	}
}
