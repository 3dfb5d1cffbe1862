package linker

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	grpcpeer "google.golang.org/grpc/peer"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/budgeter"
)

const (
	// frameStepBytes is the memory for an incomplete frame that is reserved at once.
	frameStepBytes = 128 << 10
	// frameCostFactor is the memory for a frame by its length: what was read, and the
	// copy that is decoded from it.
	frameCostFactor = 2
)

const (
	// openTimeout limits the time until a connection speaks HTTP/2.
	openTimeout = 5 * time.Second
	// maxUnusedTime limits the time of a connection without a stream. Instances close
	// theirs when the stream has ended.
	maxUnusedTime = 2 * idleTimeout
	// maxStreams is the number of streams that an instance opens on a connection.
	maxStreams = 1
)

// ServerOptions returns the options of the server that accepts the streams of other
// instances.
func ServerOptions(c credentials.TransportCredentials) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.Creds(c), grpc.MaxHeaderListSize(MaxHeaderBytes), grpc.ConnectionTimeout(openTimeout),
		grpc.MaxConcurrentStreams(maxStreams), grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: maxUnusedTime}),
	}
}

// errNoMemory ends a connection on which an incomplete frame takes too much memory.
var errNoMemory = errors.New("there is no memory for more of an incomplete frame")

// incoming holds the connections of other instances that this one accepted.
type incoming struct {
	memory redwingshunt.Memory // nil is unlimited
	slots  chan struct{}       // semaphore: one element for each connection; nil is unlimited

	mu     sync.Mutex
	byPeer map[string]*incomingConn // by address of the other end
}

// LimitListener returns a listener that accepts connections of other instances up to a
// number, and closes those whose incomplete frames need more memory than there is. The
// number is zero, and the memory nil, for no limit. It must be called before serving.
func (l *Linker) LimitListener(socket net.Listener, connections int, memory redwingshunt.Memory) net.Listener {
	l.incoming.memory = memory
	if connections > 0 {
		l.incoming.slots = make(chan struct{}, connections)
	}
	return &limitListener{Listener: socket, incoming: &l.incoming, closed: make(chan struct{})}
}

// limitListener is a listener that waits for a free connection before it accepts.
type limitListener struct {
	net.Listener
	incoming *incoming
	once     sync.Once
	closed   chan struct{}
}

// Accept returns the next connection once there is room for it.
func (l *limitListener) Accept() (net.Conn, error) {
	if l.incoming.slots != nil {
		select {
		case l.incoming.slots <- struct{}{}:
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
	accepted, err := l.Listener.Accept()
	if err != nil {
		l.incoming.leave()
		return nil, err
	}
	return l.incoming.add(accepted), nil
}

// Close closes the listener and ends a waiting Accept.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (i *incoming) leave() {
	if i.slots != nil {
		<-i.slots
	}
}

func (i *incoming) add(accepted net.Conn) *incomingConn {
	c := &incomingConn{Conn: accepted, incoming: i}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.byPeer == nil {
		i.byPeer = make(map[string]*incomingConn)
	}
	i.byPeer[accepted.RemoteAddr().String()] = c
	return c
}

// find returns the connection of a stream, or nil if it is not limited.
func (i *incoming) find(ctx context.Context) *incomingConn {
	p, ok := grpcpeer.FromContext(ctx)
	if !ok {
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.byPeer[p.Addr.String()]
}

// incomingConn is a connection that counts what it has read since the last complete
// frame.
type incomingConn struct {
	net.Conn
	incoming *incoming
	once     sync.Once

	mu       sync.Mutex
	read     int64
	reserved int64
	closed   bool
}

// Read implements net.Conn.
func (c *incomingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.count(n) {
		return 0, errNoMemory
	}
	return n, err
}

// count counts a part of a frame and reports whether there is memory for it.
func (c *incomingConn) count(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read += int64(n)
	for c.incoming.memory != nil && !c.closed && frameCostFactor*(c.read-budgeter.FrameAllowance) > c.reserved {
		if !c.incoming.memory.Reserve(frameStepBytes) {
			return false
		}
		c.reserved += frameStepBytes
	}
	return true
}

// complete records that a frame is complete and returns its memory. What was read of
// the next one is not counted; the flow control of the stream limits it.
func (c *incomingConn) complete() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release()
}

// release returns the reserved memory. The caller holds mu.
func (c *incomingConn) release() {
	if c.reserved > 0 {
		c.incoming.memory.Release(c.reserved)
	}
	c.read, c.reserved = 0, 0
}

// Close implements net.Conn.
func (c *incomingConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.mu.Lock()
		c.closed = true
		c.release()
		c.mu.Unlock()
		c.incoming.mu.Lock()
		if address := c.RemoteAddr().String(); c.incoming.byPeer[address] == c {
			delete(c.incoming.byPeer, address)
		}
		c.incoming.mu.Unlock()
		c.incoming.leave()
	})
	return err
}
