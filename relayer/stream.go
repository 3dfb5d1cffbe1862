package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/carrier"
	"github.com/redwingshunt/redwingshunt/splitter"
)

const (
	// eventChunk is the size in bytes of a read from an upstream.
	eventChunk = 4 << 10
	// roomStep is the buffer space in bytes that is reserved at a time for an
	// event longer than roomStep.
	roomStep = 64 << 10
	// longestEvent bounds in bytes an event whose end has not arrived.
	longestEvent = 1 << 20
)

var (
	errEventOrder = errors.New("an event is missing or came twice")
	errEventLong  = errors.New("an event does not end")
	errEventCut   = errors.New("the stream ended within an event")
)

// stream splits the bytes of an event stream into complete events and checks that
// their numbers are consecutive.
type stream struct {
	last    uint64 // number of the last complete event; zero before the first
	pending []byte // bytes of an incomplete event
}

// take appends bytes and returns all events that are complete now. The result is
// valid until the next call.
func (s *stream) take(p []byte) ([]byte, error) {
	s.pending = append(s.pending, p...)
	end := 0
	for {
		size := splitter.End(s.pending[end:])
		if size == 0 {
			break
		}
		if number, ok := splitter.Number(s.pending[end : end+size]); ok {
			if s.last != 0 && number != s.last+1 {
				return s.pending[:end], errEventOrder
			}
			s.last = number
		}
		end += size
	}
	whole := s.pending[:end:end]
	if len(s.pending)-end > longestEvent {
		return whole, errEventLong
	}
	s.pending = bytes.Clone(s.pending[end:])
	return whole, nil
}

// relayStream relays a stream event by event. The caller gets the header of the
// first upstream, also when another one continues the stream.
func (x *exchange) relayStream(ctx context.Context, placed redwingshunt.Placed, reply *carrier.Reply, dog *watchdog) verdict {
	x.events.pending = nil
	if x.events.last == 0 {
		x.events.last = x.resumedAfter()
	}
	begun := false
	chunk := make([]byte, eventChunk)
	roomOf := roomStep // reserved for the event that is incomplete
	for {
		n, err := reply.Read(chunk)
		whole, broken := x.events.take(chunk[:n])
		if rest := len(x.events.pending); rest > roomOf {
			if !x.hold(roomStep) {
				broken = errNoRoom
			}
			roomOf += roomStep
		}
		if len(whole) > 0 {
			if splitter.HasData(whole) {
				dog.progress()
			}
			if !begun {
				begun = true
				x.relayer.options.Placer.First(placed.Ticket)
			}
			if !x.pass(reply, whole) {
				return verdict{end: redwingshunt.EndLeft, sent: true, ran: true, err: errBroken}
			}
		}
		switch {
		case broken != nil:
			return verdict{end: redwingshunt.EndFailed, sent: true, ran: true, err: broken}
		case errors.Is(err, io.EOF) && len(x.events.pending) > 0:
			return verdict{end: redwingshunt.EndFailed, sent: true, ran: true, err: errEventCut}
		case errors.Is(err, io.EOF):
			if !x.started {
				x.pass(reply, nil)
			}
			return verdict{end: redwingshunt.EndComplete, sent: true, ran: true, done: true}
		case err != nil:
			x.suspect(ctx, placed)
			return verdict{end: failedUnless(ctx), sent: true, ran: true, err: err}
		}
	}
}

// failedUnless returns EndFailed, or EndLeft if the request itself has ended.
func failedUnless(ctx context.Context) redwingshunt.PlacementEnd {
	if ctx.Err() != nil {
		return redwingshunt.EndLeft
	}
	return redwingshunt.EndFailed
}

// resumedAfter returns the number of the event after which the caller itself
// resumes the stream.
func (x *exchange) resumedAfter() uint64 {
	number, err := strconv.ParseUint(x.request.Header.Get(redwingshunt.HeaderLastEvent), 10, 64)
	if err != nil {
		return 0
	}
	return number
}

// pass sends complete events to the caller without delay. It reports whether the
// caller still accepts them.
func (x *exchange) pass(reply *carrier.Reply, events []byte) bool {
	if !x.started {
		x.answerHeader(reply.Header)
		x.begin(reply.Status)
	}
	if _, err := x.writer.Write(events); err != nil {
		return false
	}
	return http.NewResponseController(x.writer).Flush() == nil
}
