package linker

import (
	"sync/atomic"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Traffic counts the messages of one kind since the start of the process.
type Traffic struct {
	Kind           string `json:"kind"`
	Messages       uint64 `json:"messages"`       // sent within the region
	Bytes          uint64 `json:"bytes"`          // sent within the region, frames included
	AcrossMessages uint64 `json:"acrossMessages"` // sent to other regions
	AcrossBytes    uint64 `json:"acrossBytes"`    // sent to other regions, frames included
	Received       uint64 `json:"received"`       // messages
	ReceivedBytes  uint64 `json:"receivedBytes"`  // frames included
	Dropped        uint64 `json:"dropped"`        // messages that could not be sent
}

// kindCounters are the counters of one kind. TCP, IP and TLS headers are not
// counted.
type kindCounters struct {
	messages, bytes, acrossMessages, acrossBytes atomic.Uint64
	received, receivedBytes, dropped             atomic.Uint64
}

type counters [redwingshunt.KindEnd]kindCounters

func (c *counters) sent(m redwingshunt.Message, across bool) {
	size := uint64(len(m.Payload) + frameOverhead)
	k := &c[m.Kind]
	if across {
		k.acrossMessages.Add(1)
		k.acrossBytes.Add(size)
		return
	}
	k.messages.Add(1)
	k.bytes.Add(size)
}

// acknowledged counts an acknowledgement that was sent, as a heartbeat.
func (c *counters) acknowledged(across bool) {
	c.sent(redwingshunt.Message{Kind: redwingshunt.KindHeartbeat}, across)
}

func (c *counters) received(frame *wire.Frame) {
	if frame.GetKind() >= uint32(redwingshunt.KindEnd) {
		return
	}
	k := &c[frame.GetKind()]
	k.received.Add(1)
	k.receivedBytes.Add(uint64(len(frame.GetPayload()) + frameOverhead))
}

func (c *counters) drop(kind redwingshunt.MessageKind) { c[kind].dropped.Add(1) }

func (c *counters) snapshot() []Traffic {
	var all []Traffic
	for kind := redwingshunt.KindHeartbeat; kind < redwingshunt.KindEnd; kind++ {
		k := &c[kind]
		t := Traffic{
			Kind:     kind.String(),
			Messages: k.messages.Load(), Bytes: k.bytes.Load(),
			AcrossMessages: k.acrossMessages.Load(), AcrossBytes: k.acrossBytes.Load(),
			Received: k.received.Load(), ReceivedBytes: k.receivedBytes.Load(),
			Dropped: k.dropped.Load(),
		}
		if t.Messages+t.AcrossMessages+t.Received+t.Dropped > 0 {
			all = append(all, t)
		}
	}
	return all
}

// Traffic returns the counters of all kinds that were used.
func (l *Linker) Traffic() []Traffic { return l.counters.snapshot() }
