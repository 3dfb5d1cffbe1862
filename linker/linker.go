// Package linker carries messages between instances over gRPC streams.
//
// Each instance dials the instances that it has messages for; a stream carries
// frames one way and acknowledgements the other. The linker does not rely on
// socket options: when a frame is not acknowledged within the progress deadline,
// the stream and its connection are closed, a new connection is dialled, and the
// loss is reported. A stream without messages is closed after an idle timeout, so
// an idle fleet sends nothing. An incoming stream shows that its instance is
// reachable: a peer that waits to redial that instance does so at once.
//
// Delivery is best effort. Messages of a broken stream are lost; the packages
// that use the linker tolerate that.
//
// # Usage
//
//	l := linker.New(linker.Options{Self: self, Resolve: members.Find, Logger: logger})
//	l.Handle(redwingshunt.KindDemand, receive)
//	wire.RegisterInstancesServer(grpcServer, l)
//	grpcServer.Serve(l.LimitListener(socket, maxLinks, memory))
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

// MaxHeaderBytes is the maximum size in bytes of the header of a call between
// instances.
const MaxHeaderBytes = 16 << 10

// Timeouts and sizes of a link.
const (
	progressDeadline  = time.Second      // for the acknowledgement of a frame
	idleTimeout       = 30 * time.Second // until a stream without messages is closed
	acknowledgeDelay  = 50 * time.Millisecond
	queueLength       = 4096 // messages
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	// frameOverheadBytes is the size of a frame without its payload: the gRPC
	// message prefix, the HTTP/2 frame header and the fields of the frame.
	frameOverheadBytes = 5 + 9 + 8
)

// Options configure a Linker.
type Options struct {
	Self func() redwingshunt.Instance
	// Resolve returns the last known address and region of an instance, and false
	// for an unknown one.
	Resolve func(redwingshunt.InstanceID) (redwingshunt.Instance, bool)
	// Identify returns the instance at a link address; it may be nil.
	Identify func(netip.AddrPort) (redwingshunt.InstanceID, bool)
	// Lost is called with the instance to which a link broke; it may be nil.
	Lost        func(redwingshunt.InstanceID)
	Credentials credentials.TransportCredentials // plain text when nil
	Logger      *slog.Logger
}

// Linker is the redwingshunt.Link of a daemon.
type Linker struct {
	wire.UnimplementedInstancesServer

	options    Options
	counters   counters
	incoming   incoming
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu       sync.Mutex
	handlers [redwingshunt.KindEnd]func(redwingshunt.InstanceID, []byte)
	peers    map[netip.AddrPort]*peer
}

// New returns a linker without streams.
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

// Handle registers the handler for one kind of message. It replaces the previous
// handler.
func (l *Linker) Handle(kind redwingshunt.MessageKind, handler func(redwingshunt.InstanceID, []byte)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers[kind] = handler
}

// Send queues a message for an instance. A message to an unknown instance or to a
// full queue is dropped. A message to this instance itself is passed to its
// handler on a new goroutine.
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

// SendAddress queues a message for the instance at a link address, whichever it
// is.
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
		l.goroutines.Go(p.run)
	}
	select {
	case p.queue <- m:
	default:
		l.counters.drop(m.Kind)
	}
	l.mu.Unlock()
}

// wakePeer makes the peer at an instance's address redial at once.
func (l *Linker) wakePeer(id redwingshunt.InstanceID) {
	instance, ok := l.options.Resolve(id)
	if !ok {
		return // the instance is not known yet, so no peer waits to dial it
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

// retire removes a peer without messages. It returns false when a message was
// queued meanwhile.
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
	handler := l.handlers[m.Kind]
	l.mu.Unlock()
	if handler != nil {
		handler(from, m.Payload)
	}
}

// Close ends all streams and waits for their goroutines.
func (l *Linker) Close() {
	l.mu.Lock()
	l.cancel()
	l.mu.Unlock()
	l.goroutines.Wait()
}

// startGoroutine runs f on a goroutine that Close waits for. It returns false after
// Close.
func (l *Linker) startGoroutine(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return false
	}
	l.goroutines.Go(f)
	return true
}

// Dump returns the traffic counters by kind of message.
func (l *Linker) Dump() any { return l.counters.snapshot() }
