package gatherer

import (
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Encode returns the message that tells loads.
func Encode(kind redwingshunt.MessageKind, loads *wire.Loads) (redwingshunt.Message, error) {
	payload, err := proto.Marshal(loads)
	return redwingshunt.Message{Kind: kind, Payload: payload}, err
}

// Decode returns the loads that a message tells.
func Decode(payload []byte) (*wire.Loads, error) {
	loads := new(wire.Loads)
	return loads, proto.Unmarshal(payload, loads)
}
