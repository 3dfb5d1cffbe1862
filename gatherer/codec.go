package gatherer

import (
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Encode returns a message of a kind with loads. It returns the error of the
// encoder, if any.
func Encode(kind redwingshunt.MessageKind, loads *wire.Loads) (redwingshunt.Message, error) {
	payload, err := proto.Marshal(loads)
	return redwingshunt.Message{Kind: kind, Payload: payload}, err
}

// Decode returns the loads in the payload of a message. It returns an error if the
// payload is not valid.
func Decode(payload []byte) (*wire.Loads, error) {
	loads := new(wire.Loads)
	return loads, proto.Unmarshal(payload, loads)
}
