package daemon

import (
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
)

const (
	pacedCallers        = 32   // concurrent callers while the throughput is measured
	pacedWarmupRequests = 4000 // requests for measuring the throughput
	pacedBlockRequests  = 200  // requests on one path before switching to the next
)

// path is one path to the simulated upstream, with its measurements.
type path struct {
	name, url string
	took      *hdrhistogram.Histogram // microseconds
	allocs    uint64
}

// BenchmarkPaced sends requests in an open loop at half of the throughput of the
// daemon. It alternates between direct calls of the simulated upstream, a bare
// relay and the daemon, so that other load on the machine affects all three
// equally. Allocations are those of the whole process, including callers and
// simulated upstream.
func BenchmarkPaced(b *testing.B) {
	defer runtime.KeepAlive(newBallast(redwingshunt.Settings{})) // as in a daemon process
	n := startFleet(b, 1)[0]
	m := startMimic(b, mimic.Options{ID: "desk-1", Service: "desk", Slots: 256}, n)
	direct := "http://" + m.Address().String()
	var paths []*path
	for _, p := range []path{
		{name: "direct", url: direct + "/stock"},
		{name: "relay", url: startRelay(b, direct) + "/stock"},
		{name: "daemon", url: "http://" + n.Listen().String() + "/services/desk/stock"},
	} {
		p.took = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		paths = append(paths, &p)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	b.Cleanup(client.CloseIdleConnections)
	// Every path has the same warm-up; the last path, the daemon, sets the rate.
	var rate float64
	for _, p := range paths {
		throughput(b, client, p.url) // warm-up: opens connections and waits for the first grant
		rate = throughput(b, client, p.url)
	}
	gap := time.Duration(float64(2*time.Second) / rate)
	b.ResetTimer()
	for sent := 0; sent < b.N; sent += pacedBlockRequests {
		for _, p := range paths {
			p.pace(b, client, gap, min(pacedBlockRequests, b.N-sent))
		}
	}
	b.StopTimer()
	report(b, paths, rate/2)
}

// throughput returns the requests per second that pacedCallers callers achieve in
// a closed loop.
func throughput(b *testing.B, client *http.Client, url string) float64 {
	var wait sync.WaitGroup
	start := time.Now()
	for range pacedCallers {
		wait.Go(func() {
			for range pacedWarmupRequests / pacedCallers {
				request(b, client, url)
			}
		})
	}
	wait.Wait()
	return pacedWarmupRequests / time.Since(start).Seconds()
}

// pace starts count requests at intervals of gap.
func (p *path) pace(b *testing.B, client *http.Client, gap time.Duration, count int) {
	took := make([]time.Duration, count)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var wait sync.WaitGroup
	start := time.Now()
	for i := range count {
		time.Sleep(time.Until(start.Add(time.Duration(i) * gap)))
		wait.Go(func() { took[i] = request(b, client, p.url) })
	}
	wait.Wait()
	runtime.ReadMemStats(&after)
	p.allocs += after.Mallocs - before.Mallocs
	for _, t := range took {
		_ = p.took.RecordValue(t.Microseconds())
	}
}

// report reports the latencies of each path, and the latency that relay and daemon
// add to direct calls.
func report(b *testing.B, paths []*path, rate float64) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(rate, "requests/s")
	direct := paths[0]
	for _, p := range paths {
		for _, q := range []struct {
			name string
			at   float64
		}{{"p50", 50}, {"p99", 99}} {
			took, least := p.took.ValueAtPercentile(q.at), direct.took.ValueAtPercentile(q.at)
			b.ReportMetric(float64(took)/1000, p.name+"-"+q.name+"-ms")
			if p != direct {
				b.ReportMetric(float64(took-least)/1000, p.name+"-added-"+q.name+"-ms")
				b.ReportMetric(float64(took)/float64(least), p.name+"-"+q.name+"-ratio")
			}
		}
		b.ReportMetric(float64(p.allocs)/float64(b.N), p.name+"-allocs/request")
	}
}
