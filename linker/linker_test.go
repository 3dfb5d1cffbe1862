package linker

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"google.golang.org/grpc"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// relay forwards TCP connections. Its method freeze makes the established ones
// silent permanently, while new ones work.
type relay struct {
	listener net.Listener
	target   string
	wait     sync.WaitGroup
	mu       sync.Mutex
	frozen   *atomic.Bool
	open     []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target, frozen: new(atomic.Bool)}
	r.wait.Go(r.accept)
	return r
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		r.mu.Lock()
		frozen := r.frozen
		r.open = append(r.open, in, out)
		r.mu.Unlock()
		r.wait.Go(func() { forward(out, in, frozen) })
		r.wait.Go(func() { forward(in, out, frozen) })
	}
}

func forward(to, from net.Conn, frozen *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if !frozen.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

func (r *relay) freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frozen.Store(true)
	r.frozen = new(atomic.Bool)
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	for _, c := range r.open {
		c.Close()
	}
	r.mu.Unlock()
	r.wait.Wait()
}

func newLinker(self redwingshunt.InstanceID, to netip.AddrPort, lost func(redwingshunt.InstanceID)) *Linker {
	peer := redwingshunt.Instance{ID: "b", Region: "south", Address: to}
	return New(Options{
		Self: func() redwingshunt.Instance { return redwingshunt.Instance{ID: self, Region: "north"} },
		Resolve: func(id redwingshunt.InstanceID) (redwingshunt.Instance, bool) {
			return peer, id == peer.ID
		},
		Identify: func(a netip.AddrPort) (redwingshunt.InstanceID, bool) { return "b", a == to },
		Lost:     lost,
		Logger:   slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

func TestMessagesAfterEstablishedLinkGoesSilent(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	receiver := newLinker("b", netip.AddrPort{}, nil)
	got := make(chan string, 64)
	receiver.Handle(redwingshunt.KindDemand, func(from redwingshunt.InstanceID, payload []byte) {
		got <- string(from) + " " + string(payload)
	})
	server := grpc.NewServer()
	wire.RegisterInstancesServer(server, receiver)
	go func() { _ = server.Serve(listener) }()
	relay := newRelay(t, listener.Addr().String())

	lost := make(chan redwingshunt.InstanceID, 1)
	sender := newLinker("a", netip.MustParseAddrPort(relay.listener.Addr().String()),
		func(id redwingshunt.InstanceID) { lost <- id })
	send := func(text string) {
		sender.Send("b", redwingshunt.Message{Kind: redwingshunt.KindDemand, Payload: []byte(text)})
	}
	send("before")
	is.Equal(<-got, "a before")

	for range 2 { // twice in a row
		relay.freeze()
		send("swallowed")
		is.Equal(<-lost, redwingshunt.InstanceID("b"))
		send("after")
		is.Equal(<-got, "a after")
	}
	is.Equal(sender.Traffic()[0].CrossRegionMessages, uint64(5))
	is.True(receiver.Traffic()[0].Messages >= 2) // acknowledgements before each loss

	sender.Close()
	server.Stop()
	receiver.Close()
	relay.close()
}

// TestWakePeerEndsRetryDelay checks that a peer with a long retry delay redials at once
// when the instance opens a stream.
func TestWakePeerEndsRetryDelay(t *testing.T) {
	is := is.New(t)
	address := netip.MustParseAddrPort("127.0.0.1:9")
	l := newLinker("a", address, nil)
	t.Cleanup(l.Close)
	p := newPeer(l, address)
	l.peers[address] = p
	woken := make(chan bool, 1)
	go func() { woken <- p.waitRetry(time.Hour) }()
	l.wakePeer("b")
	is.True(<-woken)
}

func TestSendToUnknownInstanceIsCounted(t *testing.T) {
	is := is.New(t)
	sender := newLinker("a", netip.AddrPort{}, nil)
	defer sender.Close()
	sender.Send("nobody", redwingshunt.Message{Kind: redwingshunt.KindGrant})
	is.Equal(sender.Traffic()[0].Dropped, uint64(1))
}

func TestKindOfAnotherVersion(t *testing.T) {
	tests := map[string]struct {
		kind  uint32
		known bool
	}{
		"known":                      {uint32(redwingshunt.KindDemand), true},
		"first one of a later fleet": {uint32(redwingshunt.KindEnd), false},
		"known in its lowest byte":   {256 + uint32(redwingshunt.KindDemand), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, known := kindOf(&wire.Frame{Kind: test.kind})
			is.New(t).Equal(known, test.known)
		})
	}
}

var _ redwingshunt.Link = (*Linker)(nil)

// endedStream is the receiving end of a stream of which only the hello arrives.
type endedStream struct {
	wire.Instances_ExchangeServer
	sent atomic.Bool
}

func (s *endedStream) Context() context.Context { return context.Background() }

func (s *endedStream) Recv() (*wire.Frame, error) {
	if s.sent.Swap(true) {
		return nil, io.EOF
	}
	return &wire.Frame{Hello: &wire.Hello{Instance: "peer"}}, nil
}

// TestStreamsThatArriveDuringClose opens streams while the linker closes, under the race
// detector.
func TestStreamsThatArriveDuringClose(t *testing.T) {
	is := is.New(t)
	for range 50 {
		l := newLinker("self", netip.AddrPort{}, nil)
		var wait sync.WaitGroup
		for range 8 {
			wait.Go(func() { _ = l.Exchange(&endedStream{}) })
		}
		l.Close()
		wait.Wait()
		is.True(trace.IsConnectionProblem(l.Exchange(&endedStream{})))
	}
}
