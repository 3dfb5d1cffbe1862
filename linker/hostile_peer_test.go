package linker

import (
	"encoding/binary"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Frame types and flags of HTTP/2.
const (
	frameData         = 0x0
	frameHeaders      = 0x1
	frameSettings     = 0x4
	framePing         = 0x6
	frameContinuation = 0x9
)

func frame(kind byte, stream uint32, payload string) string {
	header := make([]byte, 9)
	binary.BigEndian.PutUint32(header, uint32(len(payload))<<8|uint32(kind))
	binary.BigEndian.PutUint32(header[5:], stream)
	return string(header) + payload
}

// literalField returns an HPACK literal header field without indexing, with a
// long value.
func literalField() string {
	return "\x00\x03x-y\x7f\x81\x1e" + strings.Repeat("z", 4000)
}

var endlessStreams = map[string]struct{ first, repeated string }{
	"not HTTP/2":                {"", strings.Repeat("x", 4000)},
	"pings":                     {frame(frameSettings, 0, ""), frame(framePing, 0, "12345678")},
	"settings":                  {"", frame(frameSettings, 0, "")},
	"endless header":            {frame(frameSettings, 0, "") + frame(frameHeaders, 1, literalField()), frame(frameContinuation, 1, literalField())},
	"data of an unknown stream": {frame(frameSettings, 0, ""), frame(frameData, 7, strings.Repeat("x", 4000))},
}

// TestPeerSendsWithoutEnd dials a peer that sends bytes forever and acknowledges
// nothing. The stream must be ended, its connection closed, and little memory
// used.
func TestPeerSendsWithoutEnd(t *testing.T) {
	for name, test := range endlessStreams {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{}, 1000)
			other, err := mimic.StartScripted(func(connection net.Conn) {
				flood(connection, test.first, test.repeated)
				closed <- struct{}{}
			})
			is.NoErr(err)
			defer other.Stop()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			lost := make(chan redwingshunt.InstanceID, 100)
			sender := newLinker("a", other.Address(), func(id redwingshunt.InstanceID) { lost <- id })
			sender.Send("b", redwingshunt.Message{Kind: redwingshunt.KindDemand, Payload: []byte("x")})
			is.Equal(<-lost, redwingshunt.InstanceID("b"))
			<-closed
			sender.Close()
			runtime.ReadMemStats(&after)
			is.True(after.HeapInuse < before.HeapInuse+16<<20)
		})
	}
}

// flood sends first, then sends repeated until the connection is closed.
func flood(connection net.Conn, first, repeated string) {
	go func() { // discards what the other end sends
		buffer := make([]byte, 4096)
		for {
			if _, err := connection.Read(buffer); err != nil {
				return
			}
		}
	}()
	for text := first; ; text = repeated {
		if _, err := connection.Write([]byte(text)); err != nil {
			return
		}
	}
}

// TestRefusedConnection checks that the queued message is dropped when nothing
// listens at the address of a peer. The next try follows after a delay.
func TestRefusedConnection(t *testing.T) {
	is := is.New(t)
	socket, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(socket.Addr().String())
	is.NoErr(socket.Close())
	lost := make(chan redwingshunt.InstanceID, 10)
	sender := newLinker("a", address, func(id redwingshunt.InstanceID) { lost <- id })
	defer sender.Close()
	sender.Send("b", redwingshunt.Message{Kind: redwingshunt.KindDemand, Payload: []byte("x")})
	is.Equal(<-lost, redwingshunt.InstanceID("b"))
	is.Equal(sender.Traffic()[0].Dropped, uint64(1))
}

// staleAcker acknowledges the first frame repeatedly, and no other.
type staleAcker struct {
	wire.UnimplementedInstancesServer
}

func (staleAcker) Exchange(stream wire.Instances_ExchangeServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	for stream.Context().Err() == nil {
		if err := stream.Send(&wire.Acknowledgement{Sequence: first.GetSequence()}); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// TestRepeatedAcknowledgementIsNoProgress checks that the link is lost when a peer
// acknowledges the first frame repeatedly, and never the second.
func TestRepeatedAcknowledgementIsNoProgress(t *testing.T) {
	is := is.New(t)
	socket, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := grpc.NewServer()
	wire.RegisterInstancesServer(server, staleAcker{})
	go func() { _ = server.Serve(socket) }()
	defer server.Stop()
	lost := make(chan redwingshunt.InstanceID, 10)
	sender := newLinker("a", netip.MustParseAddrPort(socket.Addr().String()), func(id redwingshunt.InstanceID) { lost <- id })
	defer sender.Close()
	for range 2 {
		sender.Send("b", redwingshunt.Message{Kind: redwingshunt.KindDemand, Payload: []byte("x")})
	}
	is.Equal(<-lost, redwingshunt.InstanceID("b"))
}
