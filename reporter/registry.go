package reporter

// The registry holds the current value of every series. Series with the same name
// and kind form a family, ordered by labels.

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// kind is a metric type of the exposition format.
type kind string

const (
	counterKind   kind = "counter"
	gaugeKind     kind = "gauge"
	histogramKind kind = "histogram"
	summaryKind   kind = "summary"
)

// overflowLabel is the value of every label of the series that aggregates all
// series beyond the bound.
const overflowLabel = "other"

// refusedName is the metric that counts series beyond the bound.
const refusedName = Prefix + "_series_refused_total"

// series is one name with one set of labels. Which fields are used depends on
// the kind of its family.
type series struct {
	labels  string        // for example {account="alpha"}; empty without labels
	count   atomic.Int64  // counter, or samples of a summary
	bits    atomic.Uint64 // gauge, as math.Float64bits
	nanos   atomic.Int64  // sum of a summary in nanoseconds
	mu      sync.Mutex    // guards buckets
	buckets []*bucket     // histogram, by ascending upper bound
}

// bucket counts samples up to an upper bound, excluding those of lower buckets.
type bucket struct {
	upper   float64
	samples atomic.Int64
}

// bucketAt returns the bucket with an upper bound and creates it if needed.
func (s *series) bucketAt(upper float64) *bucket {
	s.mu.Lock()
	defer s.mu.Unlock()
	index, found := slices.BinarySearchFunc(s.buckets, upper, func(b *bucket, u float64) int {
		return cmp.Compare(b.upper, u)
	})
	if !found {
		s.buckets = slices.Insert(s.buckets, index, &bucket{upper: upper})
	}
	return s.buckets[index]
}

// setGauge stores the value of a gauge.
func (s *series) setGauge(value float64) { s.bits.Store(math.Float64bits(value)) }

// family is all series of one name.
type family struct {
	name   string
	kind   kind
	series []*series // ordered by labels
}

// find returns the index of the series with labels and whether it exists.
func (f *family) find(labels string) (int, bool) {
	return slices.BinarySearchFunc(f.series, labels, func(s *series, l string) int {
		return strings.Compare(s.labels, l)
	})
}

// add returns the series with labels and creates it if needed.
func (f *family) add(labels string) *series {
	index, found := f.find(labels)
	if !found {
		f.series = slices.Insert(f.series, index, &series{labels: labels})
	}
	return f.series[index]
}

// registry holds all families.
type registry struct {
	maxSeries int // per name
	refused   atomic.Int64
	mu        sync.RWMutex
	families  []*family // ordered by name
}

func newRegistry(maxSeries int) *registry { return &registry{maxSeries: maxSeries} }

// allocate returns the series of a name and tags. For a gauge beyond the bound and
// for a name of another kind it returns a series that is not published.
func (r *registry) allocate(name string, kind kind, tags map[string]string) *series {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.family(name, kind)
	if f.kind != kind {
		r.refused.Add(1)
		return &series{}
	}
	labels := formatLabels(tags)
	if _, found := f.find(labels); found || len(f.series) < r.maxSeries {
		return f.add(labels)
	}
	r.refused.Add(1)
	if kind == gaugeKind {
		return &series{}
	}
	others := make(map[string]string, len(tags))
	for key := range tags {
		others[key] = overflowLabel
	}
	return f.add(formatLabels(others))
}

// family returns the family of a name and creates it if needed.
func (r *registry) family(name string, kind kind) *family {
	index, found := slices.BinarySearchFunc(r.families, name, func(f *family, n string) int {
		return strings.Compare(f.name, n)
	})
	if !found {
		r.families = slices.Insert(r.families, index, &family{name: name, kind: kind})
	}
	return r.families[index]
}
