// Package linker carries messages between instances over gRPC streams.
//
// Each instance dials the instances that it has something to say to; a stream
// carries frames one way and acknowledgements the other. The linker does not
// rely on socket options: a stream on which a frame is not acknowledged within
// the progress deadline is given up together with its connection, a new
// connection is dialled, and the loss is reported. A stream that has nothing to
// carry is closed after a while, so an idle fleet is silent. An instance that
// opens a stream is there: whatever waits to dial it does so at once.
//
// Delivery is best effort. Messages of a broken stream are lost; the decision
// packages above expect that.
//
// # Usage
//
//	l := linker.New(linker.Options{Self: self, Resolve: members.Find, Logger: logger})
//	l.Handle(redwingshunt.KindDemand, receive)
//	wire.RegisterInstancesServer(grpcServer, l)
//	l.Send("north-a-2", redwingshunt.Message{Kind: redwingshunt.KindDemand, Payload: payload})
package linker

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// HeaderLimit bounds in bytes the header of a call between instances.
const HeaderLimit = 16 << 10

// The times and sizes of a link.
const (
	progressDeadline = time.Second      // for the acknowledgement of a frame
	idleTimeout      = 30 * time.Second // until a stream with nothing to carry is closed
	acknowledgeDelay = 50 * time.Millisecond
	queueLength      = 4096
	retryFirst       = 100 * time.Millisecond
	retryLast        = 2 * time.Second
	// frameOverhead is what a frame takes besides its payload: the gRPC
	// message prefix, the HTTP/2 frame header and the fields of the frame.
	frameOverhead = 5 + 9 + 8 // bytes
)

// Options configure a Linker.
type Options struct {
	Self func() redwingshunt.Instance
	// Resolve returns the last known address and region of an instance.
	Resolve func(redwingshunt.InstanceID) (redwingshunt.Instance, bool)
	// Identify returns the instance known at a link address; it may be nil.
	Identify func(netip.AddrPort) (redwingshunt.InstanceID, bool)
	// Lost is told about instances of which the link broke; it may be nil.
	Lost        func(redwingshunt.InstanceID)
	Credentials credentials.TransportCredentials // plain text when nil
	Logger      *slog.Logger
}

// Linker is the redwingshunt.Link of a daemon.
type Linker struct {
	wire.UnimplementedInstancesServer

	options  Options
	counters counters
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup

	mu       sync.Mutex
	handlers [redwingshunt.KindEnd]func(redwingshunt.InstanceID, []byte)
	peers    map[netip.AddrPort]*peer
}

// New returns a linker that has no streams yet.
func New(options Options) *Linker {
	if options.Credentials == nil {
		options.Credentials = insecure.NewCredentials()
	}
	if options.Lost == nil {
		options.Lost = func(redwingshunt.InstanceID) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Linker{
		options: options,
		ctx:     ctx,
		cancel:  cancel,
		peers:   make(map[netip.AddrPort]*peer),
	}
}

// Handle registers the receiver of one kind of message.
func (l *Linker) Handle(kind redwingshunt.MessageKind, receive func(redwingshunt.InstanceID, []byte)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers[kind] = receive
}

// Send queues a message for an instance. A message to this instance itself is
// handed to its receiver on another goroutine.
func (l *Linker) Send(to redwingshunt.InstanceID, m redwingshunt.Message) {
	self := l.options.Self()
	if to == self.ID {
		go l.dispatch(self.ID, m)
		return
	}
	instance, ok := l.options.Resolve(to)
	if !ok {
		l.counters.drop(m.Kind)
		return
	}
	l.counters.sent(m, instance.Region != self.Region)
	l.enqueue(instance.Address, m)
}

// SendAddress queues a message for whoever listens at a link address.
func (l *Linker) SendAddress(address netip.AddrPort, m redwingshunt.Message) {
	l.counters.sent(m, false)
	l.enqueue(address, m)
}

func (l *Linker) enqueue(address netip.AddrPort, m redwingshunt.Message) {
	l.mu.Lock()
	if l.ctx.Err() != nil {
		l.mu.Unlock()
		return
	}
	p, ok := l.peers[address]
	if !ok {
		p = newPeer(l, address)
		l.peers[address] = p
		l.wait.Go(p.run)
	}
	select {
	case p.queue <- m:
	default:
		l.counters.drop(m.Kind)
	}
	l.mu.Unlock()
}

// revive lets the peer at an instance's address try again at once.
func (l *Linker) revive(id redwingshunt.InstanceID) {
	instance, ok := l.options.Resolve(id)
	if !ok {
		return // it is not in view yet, so nothing waits for it
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[instance.Address]; p != nil {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// retire forgets a peer without work; it returns false when work has come.
func (l *Linker) retire(p *peer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(l.peers, p.address)
	return true
}

func (l *Linker) dispatch(from redwingshunt.InstanceID, m redwingshunt.Message) {
	l.mu.Lock()
	receive := l.handlers[m.Kind]
	l.mu.Unlock()
	if receive != nil {
		receive(from, m.Payload)
	}
}

// Close ends all streams and waits for them.
func (l *Linker) Close() {
	l.mu.Lock()
	l.cancel()
	l.mu.Unlock()
	l.wait.Wait()
}

// Dump returns the traffic by kind of message.
func (l *Linker) Dump() any { return l.counters.snapshot() }
