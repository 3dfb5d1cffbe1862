package linker

import (
	"sync/atomic"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Traffic counts the messages of one kind since the start of the process.
type Traffic struct {
	Kind                string `json:"kind"`
	Messages            uint64 `json:"messages"`       // sent within the region
	Bytes               uint64 `json:"bytes"`          // sent within the region, frames included
	CrossRegionMessages uint64 `json:"acrossMessages"` // sent to other regions
	CrossRegionBytes    uint64 `json:"acrossBytes"`    // sent to other regions, frames included
	Received            uint64 `json:"received"`       // messages received
	ReceivedBytes       uint64 `json:"receivedBytes"`  // received, frames included
	Dropped             uint64 `json:"dropped"`        // messages that could not be sent
	Saved               uint64 `json:"saved"`          // bytes of those sent that compression saved
}

// kindCounters holds the counters of one kind. The bytes exclude TCP, IP and TLS
// headers.
type kindCounters struct {
	messages, bytes, crossRegionMessages, crossRegionBytes atomic.Uint64
	received, receivedBytes, dropped, saved                atomic.Uint64
}

type counters [redwingshunt.KindEnd]kindCounters

func (c *counters) sent(m redwingshunt.Message, crossRegion bool) {
	size := uint64(len(m.Payload) + frameOverheadBytes)
	k := &c[m.Kind]
	if crossRegion {
		k.crossRegionMessages.Add(1)
		k.crossRegionBytes.Add(size)
		return
	}
	k.messages.Add(1)
	k.bytes.Add(size)
}

// acknowledged counts a sent acknowledgement, under the kind heartbeat.
func (c *counters) acknowledged(crossRegion bool) {
	c.sent(redwingshunt.Message{Kind: redwingshunt.KindHeartbeat}, crossRegion)
}

func (c *counters) received(frame *wire.Frame) {
	if frame.GetKind() >= uint32(redwingshunt.KindEnd) {
		return
	}
	k := &c[frame.GetKind()]
	k.received.Add(1)
	k.receivedBytes.Add(uint64(len(frame.GetPayload()) + frameOverheadBytes))
}

func (c *counters) drop(kind redwingshunt.MessageKind) { c[kind].dropped.Add(1) }

// save counts the bytes that compression saved.
func (c *counters) save(kind redwingshunt.MessageKind, saved int) { c[kind].saved.Add(uint64(saved)) }

func (c *counters) snapshot() []Traffic {
	var all []Traffic
	for kind := redwingshunt.KindHeartbeat; kind < redwingshunt.KindEnd; kind++ {
		k := &c[kind]
		t := Traffic{
			Kind:     kind.String(),
			Messages: k.messages.Load(), Bytes: k.bytes.Load(),
			CrossRegionMessages: k.crossRegionMessages.Load(), CrossRegionBytes: k.crossRegionBytes.Load(),
			Received: k.received.Load(), ReceivedBytes: k.receivedBytes.Load(),
			Dropped: k.dropped.Load(), Saved: k.saved.Load(),
		}
		if t.Messages+t.CrossRegionMessages+t.Received+t.Dropped > 0 {
			all = append(all, t)
		}
	}
	return all
}

// Traffic returns the counters of the kinds that have any traffic.
func (l *Linker) Traffic() []Traffic { return l.counters.snapshot() }
