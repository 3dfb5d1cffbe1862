package hedger

import (
	"math/bits"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/pooler"
)

const (
	// window is how long times are collected before the older half of them is dropped. Within
	// it the mix of requests, and which upstreams are slow, hardly changes.
	window = 30 * time.Second
	// minTimes is the number of times below which no quantile is known. The quantile of a
	// limit of 1% has two of a hundred above it.
	minTimes = 100
	// minLater is the number of later times from which the remaining time is estimated.
	minLater = 3
	// quantileAge is how long a quantile is used before it is worked out again.
	quantileAge = 200 * time.Millisecond
	// minPredicted is the lower bound of a prediction that times are related to. Shorter
	// ones would be related to the delays of the processor. It is that of package placer.
	minPredicted = 20 * time.Millisecond
	// maxClasses bounds the classes; each has three histograms of 10 KiB.
	maxClasses = pooler.MaxClasses
	// unitsPerRatio is the number of histogram units of a time that equals its prediction.
	unitsPerRatio = 1000
	// maxRatio is the largest ratio that is told apart from larger ones.
	maxRatio = 100
	// significantDigits is the precision of the histograms.
	significantDigits = 2
)

// Class is a group of requests whose times relative to their predictions are alike.
type Class = pooler.Class

// SizeOf returns the size class of a prompt: one for up to 256 tokens, and one for each
// doubling up to 32,768.
func SizeOf(tokens int64) int {
	const unit = 256
	return min(bits.Len64(uint64(max(tokens, 0))/unit), pooler.MaxSize)
}

// times are the recent times of a class as ratios to their predictions. They are collected
// in the newer of two windows, which replaces the older one when it ends.
type times struct {
	older, newer *hdrhistogram.Histogram
	merged       *hdrhistogram.Histogram // sum of the two and of the fleet's, as of mergedAt
	mergedAt     time.Time
	began        time.Time // of newer

	olderCounts, newerCounts pooler.Counts // the same as older and newer, to be shared
	fleet                    pooler.Counts // of all other instances
	fleetAt                  time.Time
}

func newTimes(now time.Time) *times {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxRatio*unitsPerRatio, significantDigits)
	}
	return &times{older: histogram(), newer: histogram(), merged: histogram(), began: now}
}

// atLeast returns a prediction, or the lower bound of predictions.
func atLeast(predicted time.Duration) time.Duration { return max(predicted, minPredicted) }

// units returns a ratio in units of the histograms.
func units(ratio float64) int64 { return max(int64(min(ratio, maxRatio)*unitsPerRatio), 1) }

// ratio returns the time of an attempt relative to its prediction.
func (r Run) ratio() float64 { return float64(max(r.Elapsed, 0)) / float64(atLeast(r.Predicted)) }

// rotate begins a new window if the current one has ended.
func (t *times) rotate(now time.Time) {
	age := now.Sub(t.began)
	if age < window {
		return
	}
	t.older, t.newer = t.newer, t.older
	t.olderCounts, t.newerCounts = t.newerCounts, pooler.Counts{}
	t.newer.Reset()
	if age >= 2*window {
		t.older.Reset()
		t.olderCounts = pooler.Counts{}
	}
	t.began = now
}

func (t *times) record(now time.Time, run Run) {
	t.rotate(now)
	_ = t.newer.RecordValue(units(run.ratio())) // units is within the range
	t.newerCounts.Record(run.ratio(), 1)
}

func (t *times) count() int64 { return t.older.TotalCount() + t.newer.TotalCount() }

// own returns the times of this instance.
func (t *times) own(now time.Time) pooler.Counts {
	t.rotate(now)
	counts := t.olderCounts
	counts.Add(&t.newerCounts)
	return counts
}

// expireFleet drops the times of other instances if they were not renewed.
func (t *times) expireFleet(now time.Time) {
	if now.Sub(t.fleetAt) > pooler.ReplyExpiry {
		t.fleet = pooler.Counts{}
	}
}

// all returns the times of both windows and of other instances, at most quantileAge old.
func (t *times) all(now time.Time) *hdrhistogram.Histogram {
	if age := now.Sub(t.mergedAt); age >= 0 && age < quantileAge {
		return t.merged
	}
	t.rotate(now)
	t.expireFleet(now)
	t.merged.Reset()
	t.merged.Merge(t.older)
	t.merged.Merge(t.newer)
	t.fleet.Points(func(ratio float64, n int64) { _ = t.merged.RecordValues(units(ratio), n) })
	t.mergedAt = now
	return t.merged
}

// quantile returns a quantile of the ratios, or none while too few are known.
func (t *times) quantile(now time.Time, q float64) redwingshunt.Option[float64] {
	const hundred = 100
	all := t.all(now)
	if all.TotalCount() < minTimes {
		return redwingshunt.None[float64]()
	}
	return redwingshunt.Some(float64(all.ValueAtQuantile(q*hundred)) / unitsPerRatio)
}

// remaining returns the median of the remaining times of attempts that took longer than
// this one has so far, or none if too few did.
func (t *times) remaining(now time.Time, run Run) redwingshunt.Option[time.Duration] {
	const hundred = 100
	all, elapsed := t.all(now), units(run.ratio())
	var upTo int64 // times that are not longer
	for _, bar := range all.Distribution() {
		if bar.From > elapsed {
			break
		}
		upTo += bar.Count
	}
	later := all.TotalCount() - upTo
	if later < minLater {
		return redwingshunt.None[time.Duration]()
	}
	median := all.ValueAtQuantile(hundred * (float64(upTo) + float64(later)/2) / float64(all.TotalCount()))
	ratio := float64(max(median-elapsed, 0)) / unitsPerRatio
	return redwingshunt.Some(time.Duration(ratio * float64(atLeast(run.Predicted))))
}
