package balancer

// This file holds what is known of one upstream: its window, and the requests that take
// its slots.

import (
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// entry is the state of one upstream.
type entry struct {
	key            Key
	upstream       redwingshunt.Upstream
	expires        time.Time // zero for a borrowed one
	leaving        bool
	window         int
	limit          int // part of the window that the upstream's health allows
	own            int // requests of this owner in flight
	lent           map[redwingshunt.InstanceID]int
	lentSum        int
	orphans        []orphan
	foreign        int  // other requests, as load reports show them
	queueing       bool // the last report had waiting requests
	peak           [2]int
	peaksShiftedAt time.Time     // time of the last shift of the peaks
	firstByte      time.Duration // average time to first byte
	slow           bool
	pausedUntil    time.Time // no new requests before this time
}

// alive reports whether the upstream takes requests.
func (e *entry) alive() bool { return !e.leaving && e.limit > 0 }

// room returns the number of free slots.
func (e *entry) room() int {
	if e.leaving {
		return 0
	}
	return max(0, e.limit-e.used())
}

// betterThan reports whether e is a better choice than other.
func (e *entry) betterThan(other *entry, zone redwingshunt.ZoneID) bool {
	if (e.key.Lender == "") != (other.key.Lender == "") {
		return e.key.Lender == ""
	}
	if (e.upstream.Zone == zone) != (other.upstream.Zone == zone) {
		return e.upstream.Zone == zone
	}
	// Compares the used fractions of the limits without a division.
	return e.used()*other.limit < other.used()*e.limit
}

func (e *entry) used() int { return e.known() + e.foreign }

// known returns the number of requests on the upstream that the owner knows of.
func (e *entry) known() int { return e.own + e.lentSum + len(e.orphans) }

// updatePeak updates the peak of known requests.
func (e *entry) updatePeak() { e.peak[0] = max(e.peak[0], e.known()) }

// shiftPeaks starts a new period of the peaks when maxReportLag has passed.
func (e *entry) shiftPeaks(now time.Time) {
	if now.Sub(e.peaksShiftedAt) < maxReportLag {
		return
	}
	if now.Sub(e.peaksShiftedAt) < 2*maxReportLag {
		e.peak[1] = e.peak[0]
	} else {
		e.peak[1] = e.known()
	}
	e.peak[0] = e.known()
	e.peaksShiftedAt = now
}

// applyReport updates foreign requests and window from a load report.
func (e *entry) applyReport(now time.Time, load redwingshunt.LoadReport) {
	e.shiftPeaks(now)
	total := load.Running + load.Waiting
	e.removeOrphans(now, e.known()-total)
	e.foreign = max(0, total-max(e.peak[0], e.peak[1], e.known()))
	switch {
	case load.Waiting == 0 && !e.slow:
		e.window = min(announcedSlots(e.upstream), e.window+1)
	case load.Waiting > 0 && e.queueing:
		e.window = min(e.window, max(1, load.Running, e.window-load.Waiting))
	}
	e.queueing = load.Waiting > 0
}

// removeOrphans removes up to the given number of orphans, which a report no longer
// shows. Orphans that are younger than the lag of reports stay.
func (e *entry) removeOrphans(now time.Time, ended int) {
	for ended > 0 && len(e.orphans) > 0 && now.Sub(e.orphans[0].since) > maxReportLag {
		e.orphans = e.orphans[1:]
		ended--
	}
}

// observeFirstByte updates the average time to first byte, and sets slow while the
// times are far above it. A single slow answer changes the average little.
func (e *entry) observeFirstByte(firstByte time.Duration) {
	if e.firstByte == 0 {
		e.firstByte = firstByte
	}
	e.slow = firstByte > slowFactor*e.firstByte
	e.firstByte += time.Duration(firstByteWeight * float64(firstByte-e.firstByte))
}
