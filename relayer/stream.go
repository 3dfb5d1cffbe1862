package relayer

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/carrier"
	"github.com/redwingshunt/redwingshunt/splitter"
)

const (
	// streamChunkBytes is the size in bytes of a read from an upstream.
	streamChunkBytes = 4 << 10
	// eventReserveBytes is the buffer space in bytes that is reserved at a time for
	// an event longer than eventReserveBytes.
	eventReserveBytes = 64 << 10
	// maxEventBytes bounds in bytes an event whose end has not arrived.
	maxEventBytes = 1 << 20
)

var (
	errEventOrder     = errors.New("an event is missing or came twice")
	errNoEvent        = errors.New("a part of the stream is no event")
	errEventTooLong   = errors.New("an event does not end")
	errEventTruncated = errors.New("the stream ended within an event")
)

// eventSplitter splits the bytes of an event stream into complete events and checks
// that their numbers are consecutive.
type eventSplitter struct {
	last    redwingshunt.Option[uint64] // number of the last complete event, or of that after which the caller resumes
	pending []byte                      // bytes of an incomplete event
	lenient bool                        // lines may have any form
	partial bool                        // an event with data has no number, so the stream cannot be resumed
}

// push appends bytes and returns all events that are complete now. The result is
// valid until the next call.
func (s *eventSplitter) push(p []byte) ([]byte, error) {
	s.pending = append(s.pending, p...)
	end := 0
	for {
		size := splitter.EventSize(s.pending[end:])
		if size == 0 {
			break
		}
		if !s.lenient && !splitter.IsEvent(s.pending[end:end+size]) {
			return s.pending[:end], errNoEvent
		}
		if number, ok := splitter.Number(s.pending[end : end+size]); ok {
			if last, known := s.last.Get(); known && (number <= last || number-last > 1) {
				return s.pending[:end], errEventOrder
			}
			s.last = redwingshunt.Some(number)
		} else if splitter.HasData(s.pending[end : end+size]) {
			s.partial = true
		}
		end += size
	}
	complete := s.pending[:end:end]
	if len(s.pending)-end > maxEventBytes {
		return complete, errEventTooLong
	}
	s.pending = bytes.Clone(s.pending[end:])
	return complete, nil
}

// relayStream relays a stream event by event. The caller gets the header of the
// first upstream, also when another one continues the stream.
func (x *exchange) relayStream(ctx context.Context, placed redwingshunt.Placed, reply *carrier.Reply, stall *stallWatch) attemptResult {
	x.events.pending = nil
	x.events.lenient = !isEventStream(reply.Header)
	x.events.last = x.lastRelayed()
	var began time.Time // arrival of the first event of this attempt
	answered := false
	chunk := make([]byte, streamChunkBytes)
	reserved := eventReserveBytes // reserved for the event that is incomplete
	for {
		n, err := reply.Read(chunk)
		if err = stall.cause(err); errors.Is(err, errStalled) {
			n = 0 // the standby sends the events that were not relayed yet
		}
		if errors.Is(err, io.EOF) {
			err = cmp.Or(x.verifyEnd(ctx, placed, reply), err)
		}
		complete, streamErr := x.events.push(chunk[:n])
		if rest := len(x.events.pending); rest > reserved {
			if !x.reserveResponse(eventReserveBytes) {
				streamErr = errBuffersFull
			}
			reserved += eventReserveBytes
		}
		if len(complete) > 0 {
			if splitter.HasData(complete) {
				x.progressed = time.Now()
				stall.progress()
			}
			if x.standby != nil && x.standby.after != x.events.last {
				x.dropStandby("the stream has gone on without data")
			}
			if began.IsZero() {
				began = time.Now()
				x.firstAnswered()
				x.responseBegun()
				x.relayer.options.Placer.First(placed.Ticket)
			}
			if !answered && time.Since(began) >= answeredAfter {
				answered = true
				x.reportAnswered(began)
			}
			x.pinVersion(placed.Upstream.Version)
			if err := x.recordOrigin(ctx); err != nil {
				return attemptResult{end: failedOrLeft(ctx), sent: true, mayHaveBegun: true, err: err}
			}
			if !x.forward(reply, complete) {
				return attemptResult{end: redwingshunt.EndLeft, sent: true, mayHaveBegun: true, err: errResponseCut}
			}
		}
		switch {
		case streamErr != nil:
			return attemptResult{end: redwingshunt.EndFailed, sent: true, mayHaveBegun: true, err: streamErr}
		case errors.Is(err, io.EOF) && len(x.events.pending) > 0:
			return attemptResult{end: redwingshunt.EndFailed, sent: true, mayHaveBegun: true, err: errEventTruncated}
		case errors.Is(err, io.EOF):
			if !x.started {
				x.pinVersion(placed.Upstream.Version)
				x.forward(reply, nil)
			}
			if !answered && !began.IsZero() {
				x.reportAnswered(began)
			}
			return attemptResult{end: redwingshunt.EndComplete, sent: true, mayHaveBegun: true, done: true}
		case err != nil:
			progress := redwingshunt.LostAfterHeader
			if !began.IsZero() {
				progress = redwingshunt.LostAfterEvent
			}
			x.reportLoss(ctx, placed, err, loss{progress: progress, answered: answered})
			return attemptResult{end: failedOrLeft(ctx), sent: true, mayHaveBegun: true, err: err}
		}
	}
}

// continues reports whether an answer may hold the rest of the stream that the caller
// has a part of.
func (x *exchange) continues(reply *carrier.Reply) bool {
	return reply.Status == x.status && isEventStream(reply.Header) == isEventStream(x.writer.Header())
}

func isEventStream(header http.Header) bool {
	kind, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// failedOrLeft returns EndFailed, or EndLeft if the request itself has ended.
func failedOrLeft(ctx context.Context) redwingshunt.PlacementEnd {
	if ctx.Err() != nil {
		return redwingshunt.EndLeft
	}
	return redwingshunt.EndFailed
}

// lastRelayed returns the number of the event after which the stream goes on, if any.
func (x *exchange) lastRelayed() redwingshunt.Option[uint64] {
	if _, known := x.events.last.Get(); known {
		return x.events.last
	}
	return x.lastEventID()
}

// lastEventID returns the number of the event after which the caller itself
// resumes the stream, if any.
func (x *exchange) lastEventID() redwingshunt.Option[uint64] {
	number, err := strconv.ParseUint(x.request.Header.Get(redwingshunt.HeaderLastEvent), 10, 64)
	if err != nil {
		return redwingshunt.None[uint64]()
	}
	return redwingshunt.Some(number)
}

// forward sends complete events to the caller without delay. It reports whether the
// caller still accepts them.
func (x *exchange) forward(reply *carrier.Reply, events []byte) bool {
	if !x.started {
		x.copyHeader(reply.Header)
		x.writeStatus(reply.Status)
	}
	if _, err := x.writer.Write(events); err != nil {
		return false
	}
	return http.NewResponseController(x.writer).Flush() == nil
}
