// Package reporter publishes the metrics of one instance. Components record
// metrics through a tally.Scope; a scrape endpoint serves them in the Prometheus
// text exposition format, version 0.0.4.
//
// A scope reports once per Interval, so a scrape lags by at most that much.
// Counters get the suffix _total. Durations are in seconds. Histograms have
// buckets and a count but no sum, because a scope reports only the bucket of a
// sample; timers have a count and a sum.
//
// The number of series per name is bounded (Series). Counters, histograms and
// timers beyond the bound are aggregated in one series whose labels are all
// "other"; gauges beyond it are omitted. The metric
// redwingshunt_series_refused_total counts them. Labels contain only names from
// the document and names of instances, never request content or keys.
//
// # Usage
//
//	scope, handler, closer := reporter.New()
//	defer closer.Close() // reports the last values
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

// Interval is the reporting interval of a scope.
const Interval = time.Second

// Series is the maximum number of series per name.
const Series = 2048

// Prefix is the prefix of all metric names except those of the process.
const Prefix = "redwingshunt"

// contentType is the media type of the text exposition format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// New returns a scope, the handler of its scrape endpoint, and a closer that
// reports the last values and stops the scope.
func New() (tally.Scope, http.Handler, io.Closer) {
	families := newRegistry(Series)
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 Prefix,
		Separator:              "_",
		CachedReporter:         &adapter{registry: families},
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, Interval)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		families.write(w)
		writeProcess(w)
	})
	return scope, handler, closer
}

// sanitizeOptions restrict names and labels to characters that the exposition
// format allows.
func sanitizeOptions() *tally.SanitizeOptions {
	names := tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters}
	return &tally.SanitizeOptions{
		NameCharacters:       names,
		KeyCharacters:        names,
		ValueCharacters:      tally.ValidCharacters{Ranges: []tally.SanitizeRange{{0, unicode.MaxRune}}},
		ReplacementCharacter: tally.DefaultReplacementCharacter,
	}
}
