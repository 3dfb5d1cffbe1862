package pooler

import (
	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// maxNameBytes bounds the name of a service in a message.
const maxNameBytes = 256

// Encode returns the message fields for times, without the empty buckets at both ends.
func Encode(times []Times) []*wire.ClassTimes {
	var encoded []*wire.ClassTimes
	for _, t := range times {
		first, end := 0, Buckets
		for first < end && t.Counts[first] == 0 {
			first++
		}
		for end > first && t.Counts[end-1] == 0 {
			end--
		}
		e := &wire.ClassTimes{
			Service: string(t.Class.Service), Stream: t.Class.Kind == redwingshunt.RouteStream, Size: uint32(t.Class.Size),
		}
		if first < end {
			e.First, e.Counts = uint32(first), append(e.Counts, t.Counts[first:end]...)
		}
		encoded = append(encoded, e)
	}
	return encoded
}

// Decode returns the times in a message that are valid, and counts the others. Times of a
// service that may not be hedged are ignored, except where they withdraw others.
func Decode(encoded []*wire.ClassTimes, mayHedge func(redwingshunt.ServiceID) bool) ([]Times, Ignored) {
	var ignored Ignored
	if len(encoded) > MaxClasses {
		ignored.TooMany = len(encoded) - MaxClasses
		encoded = encoded[:MaxClasses]
	}
	var times []Times
	for _, e := range encoded {
		t, valid := decode(e)
		switch {
		case !valid:
			ignored.Invalid++
		case len(e.GetCounts()) > 0 && !mayHedge(t.Class.Service):
			ignored.Unknown++
		default:
			times = append(times, t)
		}
	}
	return times, ignored
}

func decode(e *wire.ClassTimes) (t Times, valid bool) {
	name, first, counts := e.GetService(), uint64(e.GetFirst()), e.GetCounts()
	if name == "" || len(name) > maxNameBytes || e.GetSize() > MaxSize || first+uint64(len(counts)) > Buckets {
		return t, false
	}
	t.Class = Class{Service: redwingshunt.ServiceID(name), Kind: redwingshunt.RouteSafe, Size: int(e.GetSize())}
	if e.GetStream() {
		t.Class.Kind = redwingshunt.RouteStream
	}
	copy(t.Counts[first:], counts)
	return t, true
}
