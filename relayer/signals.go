package relayer

// Signals of upstreams in their response headers.

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/carrier"
)

// applySignals applies the signals in the header of a response: an upstream that
// leaves gets no new work, and one that sends a Retry-After gets none until then.
func (x *exchange) applySignals(placed redwingshunt.Placed, reply *carrier.Reply) {
	options := &x.relayer.options
	if options.Roll != nil && options.Dialect.SaysLeaving(reply.Header) {
		options.Roll.Dismiss(placed.Upstream.ID, placed.Born)
	}
	x.applyLoad(placed, reply)
	if reply.Status != http.StatusServiceUnavailable {
		return
	}
	pause := parseRetryAfter(reply.Header.Get("Retry-After"), time.Now())
	if pause == 0 {
		return
	}
	options.Placer.Pause(placed.Ticket, pause)
	options.Logger.Info("upstream asks for a pause", "request", x.id, "upstream", string(placed.Upstream.ID),
		"address", placed.Upstream.Address.String(), "pause", pause.String())
}

// applyLoad passes the load that a response reports to the placer. A response with status
// 421 is of another upstream than the one that was asked.
func (x *exchange) applyLoad(placed redwingshunt.Placed, reply *carrier.Reply) {
	options := &x.relayer.options
	if options.Dialect.Load == "" || reply.Status == http.StatusMisdirectedRequest {
		return
	}
	text := reply.Header.Get(options.Dialect.Load)
	if text == "" {
		return
	}
	parsed, odd := redwingshunt.ParseLoad(text)
	if load, ok := parsed.Get(); ok && (load.Pace > 0 || !options.Dialect.LoadPaced) {
		options.Placer.Report(placed.Ticket, load)
		x.loads++
	}
	if odd == 0 {
		return
	}
	x.oddLoads++
	if logged, suppressed := x.relayer.loadLog.allow(time.Now(), maxLoadLinesPerSecond); logged {
		options.Logger.Warn("upstream reports an invalid load", "request", x.id, "upstream", string(placed.Upstream.ID),
			"address", placed.Upstream.Address.String(), "load", text[:min(len(text), maxLoggedLoadBytes)], "odd", odd, "untold", suppressed)
	}
}

const (
	// maxLoadLinesPerSecond bounds the log lines a second for invalid loads.
	maxLoadLinesPerSecond = 1
	// maxLoggedLoadBytes bounds in bytes the part of an invalid load that is logged.
	maxLoggedLoadBytes = 64
)

// maxPause is the upper bound of a Retry-After.
const maxPause = 24 * time.Hour

// parseRetryAfter parses a Retry-After: a number of seconds, which may have a
// fraction, or a date. It returns zero if the value is missing or invalid.
func parseRetryAfter(text string, now time.Time) time.Duration {
	text = strings.TrimSpace(text)
	if seconds, err := strconv.ParseFloat(text, 64); err == nil || math.IsInf(seconds, 0) {
		if !(seconds > 0) { // NaN too
			return 0
		}
		return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	}
	date, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	return min(max(date.Sub(now), 0), maxPause)
}
