package custodian

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/pinner"
	"github.com/redwingshunt/redwingshunt/wire"
)

// maxRecordTime bounds how long a record is held, and maxAge the ages in messages.
const (
	maxRecordTime = 10 * time.Minute
	maxAge        = 365 * 24 * time.Hour
)

func encodeRecord(now time.Time, r pinner.Record) *wire.OriginRecord {
	return &wire.OriginRecord{
		Key: r.Key[:], Service: string(r.Origin.Service), Version: r.Origin.Version,
		LeftMs: uint32(min(max(r.Until.Sub(now), 0), maxRecordTime).Milliseconds()),
	}
}

// decodeRecord returns a record and whether its key is valid.
func decodeRecord(now time.Time, encoded *wire.OriginRecord) (pinner.Record, bool) {
	if len(encoded.GetKey()) != len(redwingshunt.StreamKey{}) {
		return pinner.Record{}, false
	}
	left := min(time.Duration(encoded.GetLeftMs())*time.Millisecond, maxRecordTime)
	return pinner.Record{
		Key:    redwingshunt.StreamKey(encoded.GetKey()),
		Origin: redwingshunt.Origin{Service: redwingshunt.ServiceID(encoded.GetService()), Version: encoded.GetVersion()},
		Until:  now.Add(left),
	}, true
}

func encodeVersions(now time.Time, service redwingshunt.ServiceID, v redwingshunt.ServiceVersions) *wire.ServiceVersions {
	encoded := &wire.ServiceVersions{Service: string(service), Since: age(now, v.Since), Complete: v.Complete, Joined: v.Joined}
	for _, span := range v.Spans {
		encoded.Spans = append(encoded.Spans, &wire.VersionSpan{
			Version: span.Version, First: age(now, span.First), Last: age(now, span.Last),
		})
	}
	return encoded
}

func decodeVersions(now time.Time, encoded []*wire.ServiceVersions) map[redwingshunt.ServiceID]redwingshunt.ServiceVersions {
	versions := make(map[redwingshunt.ServiceID]redwingshunt.ServiceVersions, len(encoded))
	for _, e := range encoded {
		v := redwingshunt.ServiceVersions{Since: now.Add(-milliseconds(e.GetSince())), Complete: e.GetComplete(), Joined: e.GetJoined()}
		for _, span := range e.GetSpans() {
			v.Spans = append(v.Spans, redwingshunt.VersionSpan{
				Version: span.GetVersion(), First: now.Add(-milliseconds(span.GetFirst())), Last: now.Add(-milliseconds(span.GetLast())),
			})
		}
		versions[redwingshunt.ServiceID(e.GetService())] = v
	}
	return versions
}

// age returns the milliseconds from a time until now, at most maxAge. Ages are sent in
// place of times, since the clocks of instances differ.
func age(now, at time.Time) uint64 { return uint64(min(max(now.Sub(at), 0), maxAge).Milliseconds()) }

// milliseconds returns an age in a message, at most maxAge.
func milliseconds(n uint64) time.Duration {
	return time.Duration(min(n, uint64(maxAge.Milliseconds()))) * time.Millisecond
}
