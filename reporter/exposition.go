package reporter

// The text exposition format, for example:
//
//	# TYPE redwingshunt_requests_total counter
//	redwingshunt_requests_total{account="alpha"} 12

import (
	"bufio"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// escaper escapes a label value for use between quotes.
var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// formatLabels returns tags as {key="value",...} ordered by key.
func formatLabels(tags map[string]string) string {
	if len(tags) == 0 {
		return ""
	}
	var b strings.Builder
	separator := "{"
	for _, key := range slices.Sorted(maps.Keys(tags)) {
		b.WriteString(separator + key + `="`)
		_, _ = escaper.WriteString(&b, tags[key])
		b.WriteString(`"`)
		separator = ","
	}
	b.WriteString("}")
	return b.String()
}

// withBound adds the le label, a bucket's upper bound, to labels.
func withBound(labels string, upper float64) string {
	bound := `le="` + formatFloat(upper) + `"}`
	if labels == "" {
		return "{" + bound
	}
	return strings.TrimSuffix(labels, "}") + "," + bound
}

// formatFloat formats a number for the exposition format.
func formatFloat(v float64) string {
	if math.IsInf(v, 1) {
		return "+Inf"
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

// page writes the lines of an exposition. After a write error it discards the
// rest.
type page struct {
	out *bufio.Writer
}

// kind writes the TYPE line of a family.
func (p page) kind(name string, k kind) {
	_, _ = p.out.WriteString("# TYPE " + name + " " + string(k) + "\n")
}

// value writes one sample line.
func (p page) value(name, labels, value string) {
	_, _ = p.out.WriteString(name + labels + " " + value + "\n")
}

// write writes all families.
func (r *registry) write(w io.Writer) {
	p := page{out: bufio.NewWriter(w)}
	r.mu.RLock()
	for _, f := range r.families {
		p.kind(f.name, f.kind)
		for _, s := range f.series {
			f.write(p, s)
		}
	}
	r.mu.RUnlock()
	p.kind(refusedName, counterKind)
	p.value(refusedName, "", strconv.FormatInt(r.refused.Load(), 10))
	_ = p.out.Flush()
}

// write writes one series of the family.
func (f *family) write(p page, s *series) {
	count := strconv.FormatInt(s.count.Load(), 10)
	switch f.kind {
	case counterKind:
		p.value(f.name, s.labels, count)
	case gaugeKind:
		p.value(f.name, s.labels, formatFloat(math.Float64frombits(s.bits.Load())))
	case summaryKind:
		sum := time.Duration(s.nanos.Load()).Seconds()
		p.value(f.name+"_sum", s.labels, formatFloat(sum))
		p.value(f.name+"_count", s.labels, count)
	case histogramKind:
		writeHistogram(p, f.name, s)
	}
}

// writeHistogram writes cumulative buckets; the last one has no upper bound.
func writeHistogram(p page, name string, s *series) {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := int64(0)
	for _, b := range s.buckets {
		total += b.samples.Load()
		if !math.IsInf(b.upper, 1) {
			p.value(name+"_bucket", withBound(s.labels, b.upper), strconv.FormatInt(total, 10))
		}
	}
	text := strconv.FormatInt(total, 10)
	p.value(name+"_bucket", withBound(s.labels, math.Inf(1)), text)
	p.value(name+"_count", s.labels, text)
}
