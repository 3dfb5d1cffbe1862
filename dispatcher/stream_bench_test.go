package dispatcher

import (
	"bufio"
	"strings"
	"testing"

	"github.com/redwingshunt/redwingshunt/splitter"
)

// BenchmarkSplit splits a stream whose events are all available at once.
func BenchmarkSplit(b *testing.B) {
	const events = 1000
	stream := strings.Repeat("data: "+strings.Repeat("x", 160)+"\n\n", events)
	for range b.N {
		scanner := bufio.NewScanner(strings.NewReader(stream))
		scanner.Buffer(make([]byte, 0, copyBufferBytes), maxEventBytes)
		scanner.Split(splitter.Events)
		n := 0
		for scanner.Scan() {
			n++
		}
		if n != events {
			b.Fatalf("%d events", n)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*events), "ns/event")
}
