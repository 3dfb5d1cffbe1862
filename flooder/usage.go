package flooder

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ResidentPeak returns the highest resident memory of a process so far in bytes, or
// zero if it has ended.
func ResidentPeak(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if size, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(size, "kB")), 10, 64)
			if err != nil {
				return 0
			}
			return kilobytes << 10
		}
	}
	return 0
}

// Descriptors returns the number of open file descriptors of a process, or zero if it
// has ended.
func Descriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}
