package pinner

import (
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// settleTime is how long a version has to be the only one until every instance that
// serves requests knows that. Upstreams announce themselves several times within it.
const settleTime = 5 * time.Second

// noticeTime is the longest time until an announcement is known everywhere.
const noticeTime = time.Second

// inferTime is how long after the announcement of a second version a stream without a
// record may still have begun before it. Few streams last longer.
const inferTime = 30 * time.Second

// NeedsRecord reports whether the origins of streams of a service must be known to
// other instances: it has several versions, or may have.
func NeedsRecord(now time.Time, v redwingshunt.ServiceVersions) bool {
	return len(v.Spans) != 1 || !v.Joined || now.Sub(v.Since) < settleTime
}

// MustWait reports whether the first event of a stream at a version must not be sent
// before holders have its record: a stream without one might be taken for one of the
// first version.
func MustWait(now time.Time, v redwingshunt.ServiceVersions, version string) bool {
	if !NeedsRecord(now, v) {
		return false
	}
	if v.Joined && len(v.Spans) > 1 && now.Sub(v.Spans[1].First) > inferTime+settleTime {
		return false // no instance infers any more
	}
	first, known := firstVersion(now, v)
	return !known || first != version
}

// firstVersion returns the version that was the only one before there were several. It
// reports false if instances may not agree on it.
func firstVersion(now time.Time, v redwingshunt.ServiceVersions) (version string, known bool) {
	if !v.Complete || len(v.Spans) == 0 {
		return "", false
	}
	first := v.Spans[0]
	if now.Sub(first.Last) > retention-forgetMargin {
		return "", false
	}
	if len(v.Spans) == 1 {
		return first.Version, true
	}
	second := v.Spans[1]
	settled := second.First.Sub(first.First) >= settleTime && second.First.Sub(v.Since) >= settleTime
	return first.Version, settled
}

// Denial is the answer of a holder that has no record of a stream.
type Denial struct {
	Age  time.Duration                      // for which the holder has lost no record
	Lost redwingshunt.Option[time.Duration] // since the holder saw an instance end or restart
	// Informed reports that the holder has the history of the versions; one that has just
	// restarted knows nothing of them.
	Informed bool
}

// Infer returns the version, of several that a service has, at which a stream began of
// which holders have no record, given the number of holders in the fleet, those that went
// lately included. It reports false if the version is not known: an instance that lives
// has sent the records of its streams, so there is no such stream unless an instance was
// lost.
func Infer(now time.Time, v redwingshunt.ServiceVersions, holders int, denials []Denial) (version string, known bool) {
	version, known = firstVersion(now, v)
	if !known || len(v.Spans) == 1 { // see IsOnly
		return "", false
	}
	second := v.Spans[1]
	if now.Sub(second.First) > inferTime {
		return "", false
	}
	complete, lost := 0, false
	for _, d := range denials {
		if since, ok := d.Lost.Get(); ok && since < 2*inferTime {
			lost = true
		}
		if d.Informed && d.Age > now.Sub(second.First)+noticeTime {
			complete++
		}
	}
	return version, lost && holders > 0 && complete >= quorum(holders)
}

// IsOnly reports whether the only version of a service that is known is the only one that
// there is: a majority of the holders know no other. Those that do may be cut off from
// this instance, and hold the record of its stream.
func IsOnly(v redwingshunt.ServiceVersions, holders int, denials []Denial) bool {
	if len(v.Spans) != 1 || !v.Complete {
		return false
	}
	informed := 0
	for _, d := range denials {
		if d.Informed {
			informed++
		}
	}
	return informed > holders/2 || holders == 0
}

// Acknowledgements returns how many holders must have a record before the stream begins,
// given their number in the fleet.
func Acknowledgements(holders int) int { return min(holders, copies) }

// quorum returns how many of the holders must have no record. Each record of another
// version than the first has two copies before its stream begins, so one holder may be
// missing if there are more than two.
func quorum(holders int) int {
	if holders <= copies {
		return holders
	}
	return holders - copies + 1
}

// Merge returns what two instances know of the versions of a service.
func Merge(a, b redwingshunt.ServiceVersions) redwingshunt.ServiceVersions {
	h := &History{services: make(map[redwingshunt.ServiceID][]redwingshunt.VersionSpan)}
	for _, span := range slices.Concat(a.Spans, b.Spans) {
		h.add("", span)
	}
	merged := redwingshunt.ServiceVersions{Spans: h.services[""], Since: a.Since, Complete: a.Complete || b.Complete}
	if b.Since.Before(a.Since) {
		merged.Since = b.Since
	}
	return merged
}
