package linker

import (
	"fmt"

	"github.com/klauspost/compress/s2"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	minPackedBytes   = 4 << 10  // payloads below this are sent as they are
	maxUnpackedBytes = 32 << 20 // of one payload, so that a peer cannot exhaust the memory
)

// packedKinds are the kinds of message that may hold a text. They are large, and their
// copies go to other regions.
var packedKinds = map[redwingshunt.MessageKind]bool{
	redwingshunt.KindLog:     true,
	redwingshunt.KindSubmit:  true,
	redwingshunt.KindPublish: true,
}

// pack compresses the payload of a frame if that makes it smaller. It returns the number
// of bytes saved.
func pack(frame *wire.Frame) int {
	kind, known := kindOf(frame)
	if !known || !packedKinds[kind] || len(frame.GetPayload()) < minPackedBytes {
		return 0
	}
	packed := s2.Encode(nil, frame.GetPayload())
	saved := len(frame.GetPayload()) - len(packed)
	if saved <= 0 {
		return 0
	}
	frame.Payload, frame.Packed = packed, true
	return saved
}

// unpack returns the payload of a frame as it was before pack.
func unpack(frame *wire.Frame) ([]byte, error) {
	if !frame.GetPacked() {
		return frame.GetPayload(), nil
	}
	size, err := s2.DecodedLen(frame.GetPayload())
	if err != nil {
		return nil, err
	}
	if size > maxUnpackedBytes {
		return nil, fmt.Errorf("a payload has %d bytes, at most %d are accepted", size, maxUnpackedBytes)
	}
	return s2.Decode(nil, frame.GetPayload())
}
