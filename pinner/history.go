// Package pinner decides at which software version of a service a stream goes on.
//
// Upstreams of several versions may serve one service, and what two versions write
// does not fit together. A stream that broke off therefore goes on only at the version
// that began it, also if its caller takes it up at an instance that has never heard of
// it.
//
// While a service has one version, that version is the answer, and instances need not
// tell each other of streams. From the time at which an instance hears of a second
// version, it records the origin of each stream at other instances, the holders, before
// the caller sees the first event. A stream without a record then began before the
// second version, provided that the holders that say so kept records at that time, and
// that the first version was the only one for long enough before.
//
// History knows the versions, Records the origins, and NeedsRecord and Infer decide.
// They read no clock and send nothing; package custodian drives them.
//
// # Usage
//
//	history := pinner.NewHistory(now)
//	history.Observe("assistant", "v2", now)
//	versions := history.Versions(now, "assistant")
//	if pinner.NeedsRecord(now, versions) { ... }
//	version, known := pinner.Infer(now, versions, holders, denials)
package pinner

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// retention is how long a version is remembered after it was last announced. It is
	// longer than any stream lasts.
	retention = 2 * time.Minute
	// forgetMargin is how much earlier no stream is inferred to be of a version than
	// streams cease to be recorded for it, since instances forget at different times.
	forgetMargin = 10 * time.Second
	// joinTimeout is how long an instance that has just started waits for the history
	// of others before its own counts as complete.
	joinTimeout = 3 * time.Second
	// maxServices and maxVersions bound the services, and the versions of each.
	maxServices = 4096
	maxVersions = 64
)

// History knows the versions that each service had lately. It is used by one goroutine
// at a time.
type History struct {
	started  time.Time
	since    time.Time // no later version is missing
	joined   bool      // has the history of others
	services map[redwingshunt.ServiceID][]redwingshunt.VersionSpan
}

// NewHistory returns the empty history of an instance that starts now.
func NewHistory(now time.Time) *History {
	return &History{started: now, since: now, services: make(map[redwingshunt.ServiceID][]redwingshunt.VersionSpan)}
}

// Observe adds the announcement of an upstream of a version.
func (h *History) Observe(service redwingshunt.ServiceID, version string, at time.Time) {
	h.add(service, redwingshunt.VersionSpan{Version: version, First: at, Last: at})
}

// Join adds the history of another instance, which is complete since the given time.
func (h *History) Join(services map[redwingshunt.ServiceID][]redwingshunt.VersionSpan, since time.Time) {
	for service, spans := range services {
		for _, span := range spans {
			h.add(service, span)
		}
	}
	if since.Before(h.since) {
		h.since = since
	}
	h.joined = true
}

func (h *History) add(service redwingshunt.ServiceID, span redwingshunt.VersionSpan) {
	spans, known := h.services[service]
	if !known && len(h.services) >= maxServices {
		return
	}
	i := slices.IndexFunc(spans, func(s redwingshunt.VersionSpan) bool { return s.Version == span.Version })
	switch {
	case i >= 0 && span.First.Sub(spans[i].Last) > retention-forgetMargin:
		spans[i] = span // no stream of the time before lives
	case i >= 0:
		if span.First.Before(spans[i].First) {
			spans[i].First = span.First
		}
		if span.Last.After(spans[i].Last) {
			spans[i].Last = span.Last
		}
	case len(spans) < maxVersions:
		spans = append(spans, span)
	default:
		return
	}
	slices.SortStableFunc(spans, func(a, b redwingshunt.VersionSpan) int {
		return cmp.Or(a.First.Compare(b.First), cmp.Compare(a.Version, b.Version))
	})
	h.services[service] = spans
}

// Expire forgets versions that were last announced long ago. While no upstream at all
// is announced, this instance may be cut off and forgets nothing.
func (h *History) Expire(now time.Time) {
	var newest time.Time
	for _, spans := range h.services {
		for _, span := range spans {
			if span.Last.After(newest) {
				newest = span.Last
			}
		}
	}
	for service, spans := range h.services {
		spans = slices.DeleteFunc(spans, func(s redwingshunt.VersionSpan) bool {
			return now.Sub(s.Last) > retention && newest.Sub(s.Last) > retention
		})
		if len(spans) == 0 {
			delete(h.services, service)
			continue
		}
		h.services[service] = spans
	}
}

// Complete reports whether no other instance is expected to know more.
func (h *History) Complete(now time.Time) bool { return h.joined || now.Sub(h.started) > joinTimeout }

// Joined reports whether this instance has the history of others, or has been there for
// longer than any other could tell of.
func (h *History) Joined(now time.Time) bool { return h.joined || now.Sub(h.started) > retention }

// Since returns the time since when no version is missing.
func (h *History) Since() time.Time { return h.since }

// Versions returns the versions of a service.
func (h *History) Versions(now time.Time, service redwingshunt.ServiceID) redwingshunt.ServiceVersions {
	return redwingshunt.ServiceVersions{
		Spans: slices.Clone(h.services[service]), Since: h.since, Complete: h.Complete(now), Joined: h.Joined(now),
	}
}

// All returns the versions of all services.
func (h *History) All() map[redwingshunt.ServiceID][]redwingshunt.VersionSpan {
	all := make(map[redwingshunt.ServiceID][]redwingshunt.VersionSpan, len(h.services))
	for service, spans := range h.services {
		all[service] = slices.Clone(spans)
	}
	return all
}
