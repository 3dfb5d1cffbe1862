package enroller

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// ColdTolerance is by how much two announcements of an incarnation may differ in the
// time until which it is cold without being a change. The remaining time that upstreams
// report jitters by milliseconds, and announcements are delayed.
const ColdTolerance = 500 * time.Millisecond

// keepCold returns a newer announcement of an upstream with the known time until which it
// is cold, unless the announcement changes it. A change is passed on to all instances at
// once, so jitter must not be one.
func keepCold(s, known redwingshunt.UpstreamState, announcedAt time.Time) redwingshunt.UpstreamState {
	switch {
	case !s.Born.Equal(known.Born):
	case s.ColdUnknown:
		s.Cold, s.ColdUnknown = known.Cold, known.ColdUnknown
	case remaining(s.Cold, announcedAt)-remaining(known.Cold, announcedAt) <= ColdTolerance &&
		remaining(known.Cold, announcedAt)-remaining(s.Cold, announcedAt) <= ColdTolerance:
		s.Cold = known.Cold
	}
	return s
}

// remaining returns how long an upstream is cold at a time.
func remaining(cold, at time.Time) time.Duration {
	if cold.IsZero() {
		return 0
	}
	return max(cold.Sub(at), 0)
}
