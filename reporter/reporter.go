// Package reporter publishes the metrics of one instance. Filters count through
// a tally.Scope; a scrape endpoint shows what they counted in the Prometheus
// text exposition format, version 0.0.4.
//
// A scope hands its counts over once an Interval, so that a scrape is at most
// that much behind. Counters get the suffix _total. Durations are seconds.
// Histograms have buckets and a count but no sum, because a scope only tells in
// which bucket a sample fell; timers have a count and a sum.
//
// The number of series of one name is bounded (Series). Counters, histograms
// and timers beyond the bound are added up in one series of which every label
// is "other"; gauges beyond it are left out. The metric
// redwingshunt_series_refused_total says how many there were. Labels carry
// names out of the document and names of instances only, never content of
// requests, and never keys.
//
// # Usage
//
//	scope, handler, closer := reporter.New()
//	defer closer.Close() // hands over the last counts
//	router.Handle("/metrics", handler)
//	requests := scope.Tagged(map[string]string{"account": "alpha"}).Counter("requests")
//	requests.Inc(1) // redwingshunt_requests_total{account="alpha"} 1
package reporter

import (
	"io"
	"net/http"
	"time"
	"unicode"

	"github.com/uber-go/tally/v4"
)

// Interval is how often a scope hands over its counts.
const Interval = time.Second

// Series bounds the series of one name.
const Series = 2048

// Prefix begins the name of every metric but those of the process.
const Prefix = "redwingshunt"

// contentType is the media type of the text exposition format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// New returns a scope, the handler of its scrape endpoint, and a closer that
// hands over the last counts and stops the scope.
func New() (tally.Scope, http.Handler, io.Closer) {
	families := newRegistry(Series)
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 Prefix,
		Separator:              "_",
		CachedReporter:         &adapter{registry: families},
		SanitizeOptions:        sanitizing(),
		OmitCardinalityMetrics: true,
	}, Interval)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		families.write(w)
		writeProcess(w)
	})
	return scope, handler, closer
}

// sanitizing keeps names and labels within the exposition format.
func sanitizing() *tally.SanitizeOptions {
	names := tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters}
	return &tally.SanitizeOptions{
		NameCharacters:       names,
		KeyCharacters:        names,
		ValueCharacters:      tally.ValidCharacters{Ranges: []tally.SanitizeRange{{0, unicode.MaxRune}}},
		ReplacementCharacter: tally.DefaultReplacementCharacter,
	}
}
