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

// peer sends to one address. Its goroutine dials, streams and dials again; it
// ends when there has been nothing to send for idleTimeout.
type peer struct {
	linker  *Linker
	address netip.AddrPort
	queue   chan redwingshunt.Message
	held    *redwingshunt.Message // taken from the queue and not sent yet
	wake    chan struct{}         // holds one: the instance was heard of
}

func newPeer(l *Linker, address netip.AddrPort) *peer {
	return &peer{linker: l, address: address, queue: make(chan redwingshunt.Message, queueLength), wake: make(chan struct{}, 1)}
}

func (p *peer) run() {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryFirst
	retry.MaxInterval = retryLast
	for p.linker.ctx.Err() == nil {
		if p.held == nil && !p.await() {
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
		p.report(err)
		if p.rest(retry.NextBackOff()) {
			retry.Reset()
		}
	}
}

// rest waits before the next try and reports whether it was cut short since the
// instance was heard of.
func (p *peer) rest(d time.Duration) bool {
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

// await waits for the first message; false means that the peer is retired.
func (p *peer) await() bool {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case m := <-p.queue:
			p.held = &m
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

// discard drops what waited for a stream that could not be had; the senders
// repeat what still matters.
func (p *peer) discard() {
	if p.held != nil {
		p.linker.counters.drop(p.held.Kind)
		p.held = nil
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

func (p *peer) report(err error) {
	if p.linker.ctx.Err() != nil {
		return
	}
	p.linker.options.Logger.Debug("link lost", "address", p.address.String(), "error", err.Error())
	if id, ok := p.linker.identify(p.address); ok {
		p.linker.options.Lost(id)
	}
}

// stream opens a connection and sends until it breaks or idles. It reports
// whether a frame was acknowledged.
func (p *peer) stream() (bool, error) {
	connection, err := grpc.NewClient("passthrough:///"+p.address.String(),
		grpc.WithTransportCredentials(p.linker.options.Credentials),
		grpc.WithNoProxy(),
		grpc.WithMaxHeaderListSize(HeaderLimit),
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

	// Opening a stream blocks until the connection is up; the watchdog
	// bounds it as it bounds each frame.
	s.opening.Store(true)
	exchange, err := wire.NewInstancesClient(connection).Exchange(ctx)
	if err != nil {
		// Without a cause the context has not ended, and the error stands for itself.
		return false, trace.Wrap(cmp.Or(context.Cause(ctx), err), "opening a stream")
	}
	p.linker.wait.Go(func() { s.acknowledgements(exchange) })
	err = p.pump(ctx, s, exchange)
	return s.acked.Load() > 0, err
}

// pump sends the queue as frames. It returns nil when the stream idled.
func (p *peer) pump(ctx context.Context, s *outbound, exchange wire.Instances_ExchangeClient) error {
	self := p.linker.options.Self()
	hello := &wire.Hello{
		Instance:    string(self.ID),
		Incarnation: uint64(self.Incarnation),
		Region:      string(self.Region),
	}
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		if p.held != nil {
			frame := &wire.Frame{Kind: uint32(p.held.Kind), Payload: p.held.Payload, Hello: hello}
			hello = nil
			s.sending(frame)
			if err := exchange.Send(frame); err != nil {
				return trace.Wrap(err, "sending a frame: %v", context.Cause(ctx))
			}
			p.held = nil
			idle.Reset(idleTimeout)
		}
		select {
		case m := <-p.queue:
			p.held = &m
		case <-ctx.Done():
			return trace.Wrap(context.Cause(ctx))
		case <-idle.C:
			if s.settled() {
				return trace.Wrap(exchange.CloseSend())
			}
			idle.Reset(idleTimeout)
		}
	}
}

// outbound tracks which frames of one stream were acknowledged.
type outbound struct {
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
	opening  atomic.Bool
	sent     atomic.Uint64
	acked    atomic.Uint64
}

// sending numbers a frame and starts the watchdog when nothing was outstanding.
func (s *outbound) sending(frame *wire.Frame) {
	first := s.opening.Swap(false)
	settled := s.settled()
	frame.Sequence = s.sent.Add(1)
	if first || settled {
		s.watchdog.Reset(progressDeadline)
	}
}

func (s *outbound) settled() bool { return s.sent.Load() == s.acked.Load() }

// expire gives the stream up when it made no progress.
func (s *outbound) expire() {
	if s.opening.Load() || !s.settled() {
		s.cancel(trace.ConnectionProblem(nil, "no acknowledgement within %v", progressDeadline))
	}
}

func (s *outbound) acknowledgements(exchange wire.Instances_ExchangeClient) {
	for {
		ack, err := exchange.Recv()
		if err != nil {
			s.cancel(trace.Wrap(err, "receiving acknowledgements"))
			return
		}
		// Neither a repeated acknowledgement nor one of what was not sent is progress.
		if n := ack.GetSequence(); n > s.acked.Load() && n <= s.sent.Load() {
			s.acked.Store(n)
			s.watchdog.Reset(progressDeadline)
		}
	}
}
