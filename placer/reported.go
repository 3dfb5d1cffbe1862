package placer

import (
	"math"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

const (
	// reportLifetime is the age at which a reported load no longer counts. Its weight
	// falls linearly until then.
	reportLifetime = 600 * time.Millisecond
	// maxPaceFactor bounds by how much a reported pace may differ from its average.
	maxPaceFactor = 4.0
	// defaultSlotTime is how long a request is assumed to hold a slot of an engine until
	// that is measured.
	defaultSlotTime = time.Second
)

// report is the last load that an upstream reported, with what is learned from all its
// reports.
type report struct {
	load     redwingshunt.ReportedLoad
	at       time.Time
	own      int64   // running requests of this router at that time
	meanPace float64 // moving average; zero without a reported pace
}

// Report records the load that a response of an attempt reported.
func (c *Core) Report(now time.Time, id uint64, load redwingshunt.ReportedLoad) {
	t := c.tickets[id]
	if t == nil {
		return
	}
	u := t.upstream
	if s := c.services[u.Service]; s != nil {
		s.uneven = true
	}
	if u.report == nil {
		u.report = &report{}
	}
	r := u.report
	r.load, r.at, r.own = load, now, u.own.running
	if load.Pace == 0 {
		return
	}
	if r.meanPace == 0 {
		r.meanPace = 1
	}
	r.meanPace += (load.Pace - r.meanPace) * averageWeight
}

// weight returns the weight of the report, from 1 to 0.
func (r *report) weight(now time.Time) float64 {
	return max(1-max(float64(now.Sub(r.at))/float64(reportLifetime), 0), 0)
}

// paceFactor returns how long work takes now relative to the average, which the measured
// slowdown and durations include already.
func (r *report) paceFactor(now time.Time) float64 {
	w := r.weight(now)
	if w == 0 || r.load.Pace == 0 {
		return 1
	}
	return 1 + w*(min(max(r.load.Pace/r.meanPace, 1/maxPaceFactor), maxPaceFactor)-1)
}

// unknown returns the requests on the upstream that routers do not know of: those that it
// reported, less those that this router had there at that time and those of other routers.
// It is at least zero: an upstream that reports too little must not attract requests.
func (u *upstream) unknown(now time.Time) int64 {
	w := u.report.weight(now)
	if w == 0 {
		return 0
	}
	reported := int64(u.report.load.Running + u.report.load.Waiting)
	return int64(math.Round(w * float64(max(reported-u.report.own-u.remote.running, 0))))
}

// unknownUnread returns the prompt tokens that unknown requests have to prefill. Those that
// wait for a slot are left out: the time until there is one includes their prefill.
func (u *upstream) unknownUnread(now time.Time) int64 {
	load := &u.report.load
	if load.Waiting == 0 || load.Running >= load.Slots {
		return 0
	}
	return int64(float64(min(u.unknown(now), int64(load.Waiting))) * u.meanUnread)
}

// slots returns how many requests the upstream runs at once, given the number that the
// configuration or the announcement states. The number that it reported last is used at
// any age, since it changes little.
func (u *upstream) slots(stated int) int64 {
	if u.report != nil && u.report.load.Slots > 0 {
		return int64(u.report.load.Slots)
	}
	return int64(stated)
}

// slotTime returns how long a request holds a slot of an engine. Of an upstream that
// reports its load, this is measured. The measured time is used at any age of the report:
// if it ages with it, routers that rarely hear of an engine take slow ones for fast.
func (u *upstream) slotTime(now time.Time) time.Duration {
	if u.report == nil || u.held == 0 {
		return defaultSlotTime
	}
	return time.Duration(float64(u.held) * u.report.paceFactor(now))
}
