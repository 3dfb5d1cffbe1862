package linker

import (
	"bytes"
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/klauspost/compress/s2"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

func TestPack(t *testing.T) {
	text := []byte(strings.Repeat(`{"name":"r-1","pathPrefix":"/p/"},`, 1000))
	tests := map[string]struct {
		kind    redwingshunt.MessageKind
		payload []byte
		packed  bool
	}{
		"text":         {redwingshunt.KindLog, text, true},
		"publish":      {redwingshunt.KindPublish, text, true},
		"short":        {redwingshunt.KindLog, text[:minPackedBytes-1], false},
		"another kind": {redwingshunt.KindDemand, text, false},
		"empty":        {redwingshunt.KindLog, nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			frame := &wire.Frame{Kind: uint32(test.kind), Payload: test.payload}
			saved := pack(frame)
			is.Equal(frame.GetPacked(), test.packed)
			is.Equal(saved, len(test.payload)-len(frame.GetPayload()))
			got, err := unpack(frame)
			is.NoErr(err)
			is.True(bytes.Equal(got, test.payload))
		})
	}
}

// TestUnpackRefuses checks that a peer cannot make an instance allocate more than
// maxUnpackedBytes, or pass on a payload that is damaged.
func TestUnpackRefuses(t *testing.T) {
	whole := s2.Encode(nil, make([]byte, maxUnpackedBytes+1))
	tests := map[string][]byte{
		"too large":   whole,
		"huge length": {0xff, 0xff, 0xff, 0xff, 0x0f},
		"empty":       nil,
		"truncated":   s2.Encode(nil, bytes.Repeat([]byte("abcdefgh"), 1000))[:20],
	}
	for name, payload := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := unpack(&wire.Frame{Payload: payload, Packed: true})
			is.New(t).True(err != nil)
		})
	}
}

// plainReceiver acknowledges frames as a version without packed payloads does.
type plainReceiver struct {
	wire.UnimplementedInstancesServer
	frames chan *wire.Frame
}

func (p *plainReceiver) Exchange(stream wire.Instances_ExchangeServer) error {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return nil
		}
		p.frames <- frame
		if err := stream.Send(&wire.Acknowledgement{Sequence: frame.GetSequence()}); err != nil {
			return nil
		}
	}
}

// TestPackedOnlyForReceiversThatUnpack sends texts to a receiver of this version and to
// an older one.
func TestPackedOnlyForReceiversThatUnpack(t *testing.T) {
	text := []byte(strings.Repeat("some text ", 1000))
	serve := func(t *testing.T, service wire.InstancesServer) netip.AddrPort {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := grpc.NewServer()
		wire.RegisterInstancesServer(server, service)
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(server.Stop)
		return netip.MustParseAddrPort(listener.Addr().String())
	}
	t.Run("this version", func(t *testing.T) {
		is := is.New(t)
		receiver := newLinker("b", netip.AddrPort{}, nil)
		t.Cleanup(receiver.Close)
		got := make(chan []byte, 64)
		receiver.Handle(redwingshunt.KindPublish, func(_ redwingshunt.InstanceID, payload []byte) { got <- payload })
		sender := newLinker("a", serve(t, receiver), nil)
		t.Cleanup(sender.Close)
		for sender.Traffic() == nil || sender.Traffic()[0].Saved == 0 { // until the first acknowledgement is there
			sender.Send("b", redwingshunt.Message{Kind: redwingshunt.KindPublish, Payload: text})
			is.True(bytes.Equal(<-got, text))
		}
	})
	t.Run("older version", func(t *testing.T) {
		is := is.New(t)
		receiver := &plainReceiver{frames: make(chan *wire.Frame, 64)}
		sender := newLinker("a", serve(t, receiver), nil)
		t.Cleanup(sender.Close)
		for range 20 {
			sender.Send("b", redwingshunt.Message{Kind: redwingshunt.KindPublish, Payload: text})
			frame := <-receiver.frames
			is.True(!frame.GetPacked() && bytes.Equal(frame.GetPayload(), text))
		}
	})
}
