package reporter

// The adapter lets a tally.Scope report into the registry.

import (
	"math"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
)

// adapter implements tally.CachedStatsReporter.
type adapter struct {
	registry *registry
}

// Capabilities implements tally.BaseStatsReporter.
func (a *adapter) Capabilities() tally.Capabilities { return a }

// Reporting implements tally.Capabilities.
func (a *adapter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (a *adapter) Tagging() bool { return true }

// Flush implements tally.BaseStatsReporter. It does nothing, as values are stored
// immediately.
func (a *adapter) Flush() {}

// AllocateCounter implements tally.CachedStatsReporter.
func (a *adapter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	if !strings.HasSuffix(name, "_total") {
		name += "_total"
	}
	return counter{a.registry.allocate(name, counterKind, tags)}
}

// AllocateGauge implements tally.CachedStatsReporter.
func (a *adapter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return gauge{a.registry.allocate(name, gaugeKind, tags)}
}

// AllocateTimer implements tally.CachedStatsReporter.
func (a *adapter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return timer{a.registry.allocate(name, summaryKind, tags)}
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (a *adapter) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return histogram{a.registry.allocate(name, histogramKind, tags)}
}

type counter struct{ series *series }

// ReportCount implements tally.CachedCount.
func (c counter) ReportCount(value int64) { c.series.count.Add(value) }

type gauge struct{ series *series }

// ReportGauge implements tally.CachedGauge.
func (g gauge) ReportGauge(value float64) { g.series.setGauge(value) }

type timer struct{ series *series }

// ReportTimer implements tally.CachedTimer.
func (t timer) ReportTimer(interval time.Duration) {
	t.series.count.Add(1)
	t.series.nanos.Add(int64(interval))
}

type histogram struct{ series *series }

// ValueBucket implements tally.CachedHistogram.
func (h histogram) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	if upper == math.MaxFloat64 {
		upper = math.Inf(1)
	}
	return samples{h.series.bucketAt(upper)}
}

// DurationBucket implements tally.CachedHistogram.
func (h histogram) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == math.MaxInt64 {
		return samples{h.series.bucketAt(math.Inf(1))}
	}
	return samples{h.series.bucketAt(upper.Seconds())}
}

type samples struct{ bucket *bucket }

// ReportSamples implements tally.CachedHistogramBucket.
func (s samples) ReportSamples(value int64) { s.bucket.samples.Add(value) }
