package custodian

import (
	"context"
	"iter"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/pinner"
	"github.com/redwingshunt/redwingshunt/wire"
)

const (
	// answerTimeout is how long a message may be unanswered until it counts as lost.
	answerTimeout = 200 * time.Millisecond
	// maxFlights bounds the messages to one holder that are not answered.
	maxFlights = 8
	// maxItems bounds the records and questions of one message.
	maxItems = 256
	// maxQueue bounds the records and questions that wait for one holder.
	maxQueue = 8192
	// maxSends is how often a record is sent.
	maxSends = 10
)

// answer is the answer of a holder for one item.
type answer struct {
	found    bool
	origin   redwingshunt.Origin
	age      time.Duration                      // for which the holder has lost no record
	lost     redwingshunt.Option[time.Duration] // since the holder saw an instance end or restart
	holders  int                                // in the fleet, as the holder knows
	versions redwingshunt.ServiceVersions
}

// item is one record for a holder, or one question.
type item struct {
	record   pinner.Record // in a question its key, and the service that is asked about
	isRecord bool
	sends    int
	done     chan<- answer // buffered; nil if nobody waits
}

// lane is the traffic with one holder.
type lane struct {
	queue   []*item
	flights []flight // oldest first
}

// flight is a message without an answer.
type flight struct {
	batch  uint64
	items  []*item
	sentAt time.Time
}

// enqueue adds an item for a holder and sends it unless too many messages are in
// flight. A record that nobody waits for is sent with others, within tickInterval. The
// caller holds the lock.
func (c *Custodian) enqueue(now time.Time, holder redwingshunt.InstanceID, i *item) {
	l := c.lanes[holder]
	if l == nil {
		l = &lane{}
		c.lanes[holder] = l
	}
	if len(l.queue) >= maxQueue {
		return
	}
	l.queue = append(l.queue, i)
	if i.done != nil || len(l.queue) >= maxItems {
		c.flush(now, holder, l)
	}
}

// flush sends the next message of a lane unless too many are in flight. The caller holds
// the lock.
func (c *Custodian) flush(now time.Time, holder redwingshunt.InstanceID, l *lane) {
	if len(l.flights) >= maxFlights || len(l.queue) == 0 {
		return
	}
	n := min(maxItems, len(l.queue))
	c.batch++
	f := flight{batch: c.batch, items: l.queue[:n:n], sentAt: now}
	l.flights, l.queue = append(l.flights, f), l.queue[n:]
	m := &wire.Origins{Batch: f.batch}
	for _, i := range f.items {
		i.sends++
		if i.isRecord {
			m.Records = append(m.Records, encodeRecord(now, i.record))
		} else {
			m.Asked = append(m.Asked, &wire.OriginQuestion{Key: i.record.Key[:], Service: string(i.record.Origin.Service)})
		}
	}
	c.send(holder, m)
}

// expire handles messages that were not answered in time: their questions are dropped and
// their records sent again. It sends what waits. The caller holds the lock.
func (c *Custodian) expire(now time.Time, holder redwingshunt.InstanceID, l *lane) {
	var again []*item
	for len(l.flights) > 0 && now.Sub(l.flights[0].sentAt) >= answerTimeout {
		for _, i := range l.flights[0].items {
			if i.isRecord && i.sends < maxSends && i.record.Until.After(now) {
				again = append(again, i)
			}
		}
		l.flights = l.flights[1:]
	}
	l.queue = append(again, l.queue...)
	c.flush(now, holder, l)
}

func (c *Custodian) send(to redwingshunt.InstanceID, m *wire.Origins) {
	payload, err := proto.Marshal(m)
	if err != nil {
		c.options.Logger.Error("cannot encode origins of streams", "error", err.Error())
		return
	}
	c.options.Link.Send(to, redwingshunt.Message{Kind: redwingshunt.KindOrigin, Payload: payload})
}

// ask asks holders for the origin of a stream that is at a service now, and yields their
// answers until all have answered, the time is over or ctx is done.
func (c *Custodian) ask(
	ctx context.Context, holders []redwingshunt.Instance, key redwingshunt.StreamKey, service redwingshunt.ServiceID, timeout time.Duration,
) iter.Seq[answer] {
	return func(yield func(answer) bool) {
		if len(holders) == 0 {
			return
		}
		answers := make(chan answer, len(holders))
		now := c.options.Clock.Now()
		c.mu.Lock()
		for _, h := range holders {
			question := pinner.Record{Key: key, Origin: redwingshunt.Origin{Service: service}}
			c.enqueue(now, h.ID, &item{record: question, done: answers})
		}
		c.mu.Unlock()
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		for range holders {
			select {
			case a := <-answers:
				if !yield(a) {
					return
				}
			case <-timer.C:
				return
			case <-ctx.Done():
				return
			}
		}
	}
}

// receive handles a message of another instance.
func (c *Custodian) receive(from redwingshunt.InstanceID, payload []byte) {
	m := &wire.Origins{}
	if err := proto.Unmarshal(payload, m); err != nil {
		c.options.Logger.Warn("cannot decode origins of streams", "from", string(from), "error", err.Error())
		return
	}
	now := c.options.Clock.Now()
	versions := c.versionsAsked(now, m)
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.GetDone() != 0 {
		c.receiveAnswer(now, from, m)
		return
	}
	for _, encoded := range m.GetRecords() {
		if record, ok := decodeRecord(now, encoded); ok {
			c.held.Put(now, record)
		}
	}
	if m.GetBatch() != 0 {
		reply := c.answerTo(now, m)
		reply.Versions = versions
		c.send(from, reply)
	}
}

// versionsAsked returns the versions of the services that a message asks about. The
// caller does not hold the lock.
func (c *Custodian) versionsAsked(now time.Time, m *wire.Origins) []*wire.ServiceVersions {
	services := redwingshunt.NewSet[redwingshunt.ServiceID]()
	for _, question := range m.GetAsked() {
		services.Add(redwingshunt.ServiceID(question.GetService()))
	}
	var versions []*wire.ServiceVersions
	for _, service := range services.Sorted() {
		versions = append(versions, encodeVersions(now, service, c.options.Versions.Versions(service)))
	}
	return versions
}

// answerTo returns the answer to a message. The caller holds the lock.
func (c *Custodian) answerTo(now time.Time, m *wire.Origins) *wire.Origins {
	reply := &wire.Origins{Done: m.GetBatch(), AgeMs: age(now, c.held.Since()), Holders: uint32(len(c.seen))}
	if lost, ok := c.lost.Get(); ok {
		reply.LostMs = proto.Uint64(age(now, lost))
	}
	for _, question := range m.GetAsked() {
		if len(question.GetKey()) != len(redwingshunt.StreamKey{}) {
			continue
		}
		key := redwingshunt.StreamKey(question.GetKey())
		if origin, known := c.get(now, key); known {
			reply.Records = append(reply.Records, encodeRecord(now, pinner.Record{Key: key, Origin: origin, Until: now}))
		}
	}
	return reply
}

// receiveAnswer handles the answer to the message in flight. The caller holds the lock.
func (c *Custodian) receiveAnswer(now time.Time, from redwingshunt.InstanceID, m *wire.Origins) {
	l := c.lanes[from]
	if l == nil {
		return
	}
	at := slices.IndexFunc(l.flights, func(f flight) bool { return f.batch == m.GetDone() })
	if at < 0 {
		return // late
	}
	answered := l.flights[at]
	l.flights = slices.Delete(l.flights, at, at+1)
	known := make(map[redwingshunt.StreamKey]redwingshunt.Origin, len(m.GetRecords()))
	for _, encoded := range m.GetRecords() {
		if record, ok := decodeRecord(now, encoded); ok {
			known[record.Key] = record.Origin
		}
	}
	versions := decodeVersions(now, m.GetVersions())
	lost := redwingshunt.None[time.Duration]()
	if m.LostMs != nil {
		lost = redwingshunt.Some(milliseconds(m.GetLostMs()))
	}
	for _, i := range answered.items {
		if i.done == nil {
			continue
		}
		origin, found := known[i.record.Key]
		i.done <- answer{
			found: found, origin: origin, age: milliseconds(m.GetAgeMs()), lost: lost, holders: int(min(m.GetHolders(), maxSeen)),
			versions: versions[i.record.Origin.Service],
		}
	}
	c.flush(now, from, l)
}
