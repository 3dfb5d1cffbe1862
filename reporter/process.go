package reporter

// Metrics of the process itself, read at each scrape.

import (
	"bufio"
	"io"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// started is the approximate start time of the process.
var started = time.Now()

// writeProcess writes the process's CPU time, memory, goroutines and start time.
func writeProcess(w io.Writer) {
	p := page{out: bufio.NewWriter(w)}
	metrics := []struct {
		name  string
		kind  kind
		value float64
	}{
		{"process_cpu_seconds_total", counterKind, processorTime().Seconds()},
		{"process_resident_memory_bytes", gaugeKind, float64(residentMemory())},
		{"process_start_time_seconds", gaugeKind, float64(started.Unix())},
		{"go_goroutines", gaugeKind, float64(runtime.NumGoroutine())},
	}
	for _, m := range metrics {
		p.kind(m.name, m.kind)
		p.value(m.name, "", formatFloat(m.value))
	}
	_ = p.out.Flush()
}

// processorTime returns the user and system CPU time of the process, or zero if it
// is not available.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentMemory returns the resident set size in bytes, or zero if it is not
// available.
func residentMemory() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
