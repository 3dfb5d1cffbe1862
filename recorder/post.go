package recorder

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/replicator/encoder"
	"github.com/redwingshunt/redwingshunt/wire"
)

// batchBytes bounds the entries in one message between instances, which shares
// its link with the other kinds of message.
const batchBytes = 512 << 10

// post collects the messages of all groups to each member, and remembers the
// last batch of heartbeats in both directions.
type post struct {
	number   uint64 // of the last defined batch
	outgoing map[destination]*outbox
	incoming map[source]*wire.LogBatch // last defined
}

// class divides messages into those that repeat while a group is idle and the
// others. Heartbeats and replies go apart, because two instances that lead
// groups of each other send both, in a varying order.
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

// source is an instance and the class of its messages.
type source struct {
	from  redwingshunt.InstanceID
	class class
}

// outbox is what is about to leave, or has left last, for one destination.
type outbox struct {
	messages []*wire.LogMessage
	defined  []byte // last defined batch, without its number
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

func newPost(number uint32) *post {
	return &post{
		number:   uint64(number),
		outgoing: make(map[destination]*outbox),
		incoming: make(map[source]*wire.LogBatch),
	}
}

// add queues a message until the end of the turn.
func (p *post) add(group redwingshunt.GroupID, m replicator.Message) {
	to := destination{m.To, classOf(m.Kind)}
	box := p.outgoing[to]
	if box == nil {
		box = &outbox{}
		p.outgoing[to] = box
	}
	box.messages = append(box.messages, encoder.Message(group, m))
}

// sendBatches lets all queued messages go.
func (r *Recorder) sendBatches() {
	for to, box := range r.post.outgoing {
		messages := box.messages
		box.messages = nil
		for len(messages) > 0 {
			n := fitting(messages)
			batch := &wire.LogBatch{
				FromFolder: uint64(r.self.Folder),
				ToFolder:   uint64(to.to.Folder),
				Start:      r.journal.Start(),
				Messages:   messages[:n],
			}
			messages = messages[n:]
			if to.class != classOther && len(messages) == 0 {
				batch = r.post.shorten(box, batch)
			}
			r.send(to.to.Instance, redwingshunt.KindLog, batch)
		}
	}
}

// fitting returns how many messages go into one batch, at least one.
func fitting(messages []*wire.LogMessage) int {
	size := 0
	for i, m := range messages {
		size += proto.Size(m)
		if i > 0 && size > batchBytes {
			return i
		}
	}
	return len(messages)
}

// shorten replaces a batch that equals the last defined one by its number, or
// defines it.
func (p *post) shorten(box *outbox, batch *wire.LogBatch) *wire.LogBatch {
	content, err := proto.Marshal(batch)
	if err != nil {
		return batch
	}
	if bytes.Equal(content, box.defined) {
		return &wire.LogBatch{Repeat: box.number}
	}
	p.number++
	box.defined, box.number = content, p.number
	batch.Define = p.number
	return batch
}

// expand returns the batch that a received one stands for, or nil.
func (p *post) expand(from redwingshunt.InstanceID, batch *wire.LogBatch) *wire.LogBatch {
	if batch.GetDefine() != 0 && len(batch.GetMessages()) > 0 {
		kind := replicator.MessageKind(batch.GetMessages()[0].GetKind())
		p.incoming[source{from, classOf(kind)}] = batch
	}
	if batch.GetRepeat() == 0 {
		return batch
	}
	for _, class := range []class{classHeartbeat, classReply} {
		if kept := p.incoming[source{from, class}]; kept.GetDefine() == batch.GetRepeat() {
			return kept
		}
	}
	return nil
}

// forget makes the next batch of heartbeats a whole one.
func (p *post) forget(to redwingshunt.InstanceID, number uint64) {
	for destination, box := range p.outgoing {
		if destination.to.Instance == to && box.number == number {
			box.defined = nil
		}
	}
}

// send encodes a message and gives it to the link.
func (r *Recorder) send(to redwingshunt.InstanceID, kind redwingshunt.MessageKind, m proto.Message) {
	payload, err := proto.Marshal(m)
	if err != nil {
		r.options.Logger.Error("a message could not be encoded", "error", err)
		return
	}
	r.options.Link.Send(to, redwingshunt.Message{Kind: kind, Payload: payload})
}

// receiveBatch takes a batch from the link.
func (r *Recorder) receiveBatch(from redwingshunt.InstanceID, payload []byte) {
	var batch wire.LogBatch
	if r.journal == nil || proto.Unmarshal(payload, &batch) != nil {
		return
	}
	r.try(func() { r.handleBatch(from, &batch) })
}

// handleBatch gives the messages of a batch to their groups.
func (r *Recorder) handleBatch(from redwingshunt.InstanceID, received *wire.LogBatch) {
	if received.GetUnknown() != 0 {
		r.post.forget(from, received.GetUnknown())
		return
	}
	batch := r.post.expand(from, received)
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
