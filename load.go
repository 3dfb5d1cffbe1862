package redwingshunt

import (
	"strconv"
	"strings"
)

// maxReportedFigure bounds each figure of a ReportedLoad. A larger one is a fault of the
// upstream.
const maxReportedFigure = 1_000_000

// ReportedLoad is how busy an upstream says it is in a response.
type ReportedLoad struct {
	Running int     // requests in the batch
	Waiting int     // requests admitted and not yet in the batch
	Slots   int     // maximum requests in the batch; zero if unknown
	Pace    float64 // how long work takes now relative to normal, 1 is normal; zero if unknown
}

// ParseLoad parses "running,waiting,slots" or "running,waiting,slots,pace" with the pace
// in percent; anything after that is ignored. It returns no load if one of the first three
// is not a whole number up to maxReportedFigure, and how many figures it did not use
// because they are invalid.
func ParseLoad(text string) (load Option[ReportedLoad], odd int) {
	var counts [3]int
	fields := strings.SplitN(text, ",", len(counts)+2) // with the pace and the rest
	for i := range counts {
		if i >= len(fields) {
			odd++
			continue
		}
		count, err := strconv.ParseUint(strings.TrimSpace(fields[i]), 10, 32)
		if err != nil || count > maxReportedFigure {
			odd++
		}
		counts[i] = int(count)
	}
	if odd > 0 {
		return None[ReportedLoad](), odd
	}
	parsed := ReportedLoad{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
	if len(fields) > len(counts) {
		percent, err := strconv.ParseFloat(strings.TrimSpace(fields[len(counts)]), 64)
		if err != nil || !(percent > 0 && percent <= maxReportedFigure) { // also if it is not a number
			return Some(parsed), 1
		}
		parsed.Pace = percent / 100
	}
	return Some(parsed), 0
}
