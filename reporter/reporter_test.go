package reporter

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// text returns the exposition of a registry without refusedName.
func text(r *registry) string {
	var b strings.Builder
	r.write(&b)
	families, _, _ := strings.Cut(b.String(), "# TYPE "+refusedName)
	return families
}

func TestExposition(t *testing.T) {
	tests := map[string]struct {
		report func(a *adapter)
		want   string
	}{
		"counters add up and are ordered by labels": {
			report: func(a *adapter) {
				a.AllocateCounter("requests", map[string]string{"zone": "b", "account": "z"}).ReportCount(2)
				a.AllocateCounter("requests", map[string]string{"account": "a"}).ReportCount(1)
				a.AllocateCounter("requests", map[string]string{"account": "a"}).ReportCount(4)
			},
			want: "# TYPE requests_total counter\n" +
				"requests_total{account=\"a\"} 5\n" +
				"requests_total{account=\"z\",zone=\"b\"} 2\n",
		},
		"label values are escaped": {
			report: func(a *adapter) {
				a.AllocateGauge("depth", map[string]string{"name": "a\"\\\nb"}).ReportGauge(0.5)
			},
			want: "# TYPE depth gauge\ndepth{name=\"a\\\"\\\\\\nb\"} 0.5\n",
		},
		"histograms are cumulative": {
			report: func(a *adapter) {
				h := a.AllocateHistogram("wait", map[string]string{"account": "a"}, nil)
				h.DurationBucket(time.Second, math.MaxInt64).ReportSamples(1)
				h.DurationBucket(0, 500*time.Millisecond).ReportSamples(3)
				h.DurationBucket(500*time.Millisecond, time.Second).ReportSamples(2)
			},
			want: "# TYPE wait histogram\n" +
				"wait_bucket{account=\"a\",le=\"0.5\"} 3\n" +
				"wait_bucket{account=\"a\",le=\"1\"} 5\n" +
				"wait_bucket{account=\"a\",le=\"+Inf\"} 6\n" +
				"wait_count{account=\"a\"} 6\n",
		},
		"timers have sum and count": {
			report: func(a *adapter) {
				timer := a.AllocateTimer("fsync", nil)
				timer.ReportTimer(time.Second)
				timer.ReportTimer(500 * time.Millisecond)
			},
			want: "# TYPE fsync summary\nfsync_sum 1.5\nfsync_count 2\n",
		},
		"another kind of a known name is refused": {
			report: func(a *adapter) {
				a.AllocateGauge("depth", nil).ReportGauge(1)
				a.AllocateTimer("depth", nil).ReportTimer(time.Second)
			},
			want: "# TYPE depth gauge\ndepth 1\n",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRegistry(Series)
			test.report(&adapter{registry: r})
			is.Equal(text(r), test.want)
		})
	}
}

// TestBound reports many more series than the bound. No count may be lost, and
// the number of series must stay bounded.
func TestBound(t *testing.T) {
	is := is.New(t)
	r := newRegistry(2)
	a := &adapter{registry: r}
	for i := range 1000 {
		tags := map[string]string{"account": fmt.Sprint("a", i)}
		a.AllocateCounter("requests", tags).ReportCount(1)
		a.AllocateGauge("depth", tags).ReportGauge(1)
	}
	is.Equal(text(r), "# TYPE depth gauge\ndepth{account=\"a0\"} 1\ndepth{account=\"a1\"} 1\n"+
		"# TYPE requests_total counter\nrequests_total{account=\"a0\"} 1\nrequests_total{account=\"a1\"} 1\n"+
		"requests_total{account=\"other\"} 998\n")
	is.Equal(r.refused.Load(), int64(2*998))
}

// TestScrape reads the endpoint after the scope has reported its values.
func TestScrape(t *testing.T) {
	is := is.New(t)
	scope, handler, closer := New()
	scope.Tagged(map[string]string{"model": "a/b é"}).Counter("requests").Inc(3)
	scope.SubScope("link").Histogram("delay", tally.DurationBuckets{time.Millisecond}).RecordDuration(time.Second)
	is.NoErr(closer.Close())
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.Equal(answer.Header().Get("Content-Type"), contentType)
	for _, line := range []string{
		"redwingshunt_requests_total{model=\"a/b é\"} 3\n",
		"redwingshunt_link_delay_bucket{le=\"0.001\"} 0\n",
		"redwingshunt_link_delay_bucket{le=\"+Inf\"} 1\n",
		"process_cpu_seconds_total ",
		"process_resident_memory_bytes ",
	} {
		is.True(strings.Contains(answer.Body.String(), line)) // the line is present
	}
}

// BenchmarkScrape writes 8 families with one series per account.
func BenchmarkScrape(b *testing.B) {
	for _, accounts := range []int{15, 115, 230, 460} {
		r := newRegistry(Series)
		a := &adapter{registry: r}
		for i := range accounts {
			for j := range 8 {
				a.AllocateCounter(fmt.Sprint("family_", j), map[string]string{"account": fmt.Sprint("account-", i)}).ReportCount(int64(i))
			}
		}
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.write(io.Discard)
			}
		})
	}
}

// BenchmarkReport measures the CPU time of one report of a scope, which happens
// once per Interval. All series change between reports.
func BenchmarkReport(b *testing.B) {
	const interval = 10 * time.Millisecond
	for _, accounts := range []int{15, 115, 230, 460} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			scope, closer := tally.NewRootScope(tally.ScopeOptions{
				CachedReporter: &adapter{registry: newRegistry(Series)}, OmitCardinalityMetrics: true,
			}, interval)
			var counters []tally.Counter
			for i := range accounts {
				tagged := scope.Tagged(map[string]string{"account": fmt.Sprint("account-", i)})
				for j := range 8 {
					counters = append(counters, tagged.Counter(fmt.Sprint("family_", j)))
				}
			}
			before := processorTime()
			for b.Loop() {
				for _, c := range counters {
					c.Inc(1)
				}
				time.Sleep(interval)
			}
			b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
			_ = closer.Close()
		})
	}
}
