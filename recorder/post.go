package recorder

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/replicator/encoder"
	"github.com/redwingshunt/redwingshunt/wire"
)

// maxBatchBytes limits the size of the entries in one message between instances,
// because the link is shared with other kinds of message.
const maxBatchBytes = 512 << 10

// batcher collects the messages of all groups for each member, and keeps the last
// defined batch of heartbeats in both directions.
type batcher struct {
	number   uint64 // number of the last defined batch
	outgoing map[destination]*outbox
	incoming map[source]*wire.LogBatch // last defined batch
}

// class separates messages that repeat while a group is idle from all others.
// Heartbeats and their replies have classes of their own: two instances that lead
// groups of each other send both in a varying order, so that a mixed batch would
// rarely equal the last one.
type class uint8

const (
	classOther class = iota
	classHeartbeat
	classReply
)

// destination is a member and a class of messages to it.
type destination struct {
	to    replicator.MemberID
	class class
}

// source is an instance and a class of messages from it.
type source struct {
	from  redwingshunt.InstanceID
	class class
}

// outbox holds the messages queued for one destination and the last batch defined
// for it.
type outbox struct {
	messages []*wire.LogMessage
	defined  []byte // last defined batch, encoded without its number
	number   uint64
}

// classOf returns the class of a kind of message.
func classOf(kind replicator.MessageKind) class {
	switch kind {
	case replicator.MessageHeartbeat:
		return classHeartbeat
	case replicator.MessageHeartbeatReply:
		return classReply
	}
	return classOther
}

func newBatcher(number uint32) *batcher {
	return &batcher{
		number:   uint64(number),
		outgoing: make(map[destination]*outbox),
		incoming: make(map[source]*wire.LogBatch),
	}
}

// add queues a message until the end of the loop iteration.
func (b *batcher) add(group redwingshunt.GroupID, m replicator.Message) {
	to := destination{m.To, classOf(m.Kind)}
	box := b.outgoing[to]
	if box == nil {
		box = &outbox{}
		b.outgoing[to] = box
	}
	box.messages = append(box.messages, encoder.Message(group, m))
}

// sendBatches sends all queued messages.
func (r *Recorder) sendBatches() {
	for to, box := range r.batcher.outgoing {
		messages := box.messages
		box.messages = nil
		for len(messages) > 0 {
			n := batchLength(messages)
			batch := &wire.LogBatch{
				FromFolder: uint64(r.self.Folder),
				ToFolder:   uint64(to.to.Folder),
				Start:      r.journal.Start(),
				Messages:   messages[:n],
			}
			messages = messages[n:]
			if to.class != classOther && len(messages) == 0 {
				batch = r.batcher.deduplicate(box, batch)
			}
			r.send(to.to.Instance, redwingshunt.KindLog, batch)
		}
	}
}

// batchLength returns the number of messages that fit into one batch, at least
// one.
func batchLength(messages []*wire.LogMessage) int {
	size := 0
	for i, m := range messages {
		size += proto.Size(m)
		if i > 0 && size > maxBatchBytes {
			return i
		}
	}
	return len(messages)
}

// deduplicate replaces a batch that equals the last defined one by its number, and
// defines it otherwise.
func (b *batcher) deduplicate(box *outbox, batch *wire.LogBatch) *wire.LogBatch {
	content, err := proto.Marshal(batch)
	if err != nil {
		return batch
	}
	if bytes.Equal(content, box.defined) {
		return &wire.LogBatch{Repeat: box.number}
	}
	b.number++
	box.defined, box.number = content, b.number
	batch.Define = b.number
	return batch
}

// resolve returns the batch that a received one refers to, or nil if it is
// unknown.
func (b *batcher) resolve(from redwingshunt.InstanceID, batch *wire.LogBatch) *wire.LogBatch {
	if batch.GetDefine() != 0 && len(batch.GetMessages()) > 0 {
		kind := replicator.MessageKind(batch.GetMessages()[0].GetKind())
		b.incoming[source{from, classOf(kind)}] = batch
	}
	if batch.GetRepeat() == 0 {
		return batch
	}
	for _, class := range []class{classHeartbeat, classReply} {
		if kept := b.incoming[source{from, class}]; kept.GetDefine() == batch.GetRepeat() {
			return kept
		}
	}
	return nil
}

// resetDefined discards a defined batch that the receiver does not know, so that
// the next batch of heartbeats is sent in full.
func (b *batcher) resetDefined(to redwingshunt.InstanceID, number uint64) {
	for destination, box := range b.outgoing {
		if destination.to.Instance == to && box.number == number {
			box.defined = nil
		}
	}
}

// send encodes a message and passes it to the link.
func (r *Recorder) send(to redwingshunt.InstanceID, kind redwingshunt.MessageKind, m proto.Message) {
	payload, err := proto.Marshal(m)
	if err != nil {
		r.options.Logger.Error("a message could not be encoded", "error", err)
		return
	}
	r.options.Link.Send(to, redwingshunt.Message{Kind: kind, Payload: payload})
}

// receiveBatch handles a batch from the link.
func (r *Recorder) receiveBatch(from redwingshunt.InstanceID, payload []byte) {
	var batch wire.LogBatch
	if !r.hasFolder() || proto.Unmarshal(payload, &batch) != nil {
		return
	}
	r.tryRunInLoop(func() { r.handleBatch(from, &batch) })
}

// handleBatch passes the messages of a batch to their groups.
func (r *Recorder) handleBatch(from redwingshunt.InstanceID, received *wire.LogBatch) {
	if received.GetUnknown() != 0 {
		r.batcher.resetDefined(from, received.GetUnknown())
		return
	}
	batch := r.batcher.resolve(from, received)
	if batch == nil {
		r.send(from, redwingshunt.KindLog, &wire.LogBatch{Unknown: received.GetRepeat()})
		return
	}
	sender := replicator.MemberID{Instance: from, Folder: replicator.FolderID(batch.GetFromFolder())}
	receiver := replicator.MemberID{Instance: r.options.Self, Folder: replicator.FolderID(batch.GetToFolder())}
	for _, m := range batch.GetMessages() {
		if g := r.groups[redwingshunt.GroupID(m.GetGroup())]; g != nil {
			g.step(replicator.Received{Message: encoder.ParseMessage(m, sender, receiver, batch.GetStart())})
		}
	}
}
