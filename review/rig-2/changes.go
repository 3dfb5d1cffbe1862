package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// residentMiB returns the resident memory of a machine's process.
func (m *machine) residentMiB() int {
	if m.process == nil {
		return 0
	}
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kib / 1024
		}
	}
	return 0
}

// manyChanges has the operator change a configuration again and again, each change once the
// one before is acknowledged. Nothing fails. The platform ends a process that uses more than
// its memoryMb, and starts it again, as DEPLOY.md says.
func manyChanges(f *fleet, trouble bool) (int, error) {
	const (
		memoryMiB = 280
		changeFor = 85 * time.Second
		growth    = 350 // routes more in a change, as big_config adds
		maxRoutes = 7 * growth
	)
	if err := f.startAll(); err != nil {
		return 0, err
	}
	ended := map[string]int{}
	stop, stopped := make(chan struct{}), make(chan struct{})
	peaks := map[string]int{}
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			for _, m := range f.cores() {
				used := m.residentMiB()
				peaks[m.name] = max(peaks[m.name], used)
				if used <= memoryMiB {
					continue
				}
				m.kill()
				ended[m.name]++
				f.record.line("%s used %d MiB, more than memoryMb = %d, and was ended", m.name, used, memoryMiB)
				time.Sleep(300 * time.Millisecond)
				if f.start(m, false) != nil {
					return
				}
			}
		}
	}()
	o := &operator{fleet: f}
	routes := []route{{"r-0", "/lohu0/", "safe", "studio", 1000, 2, false}}
	acknowledged, version := 0, 1
	for began := time.Now(); time.Since(began) < changeFor; version += 2 {
		if trouble && len(routes) < maxRoutes {
			for range growth {
				n := len(routes)
				routes = append(routes, route{fmt.Sprintf("r-%06d", n), fmt.Sprintf("/lohu%d/", n), "safe", "studio", 1000, 2, false})
			}
		}
		routes[0].Timeout = 900 + version%100
		text := configuration(version, routes, "studio")
		if !o.putQuietly(version, text, 10*time.Second) {
			f.record.line("configuration %d of %d bytes not acknowledged in 10 s", version, len(text))
			continue
		}
		if acknowledged++; acknowledged%25 == 0 {
			f.record.line("%d changes acknowledged, the last of %d bytes; memory in MiB %v", acknowledged, len(text), peaks)
		}
	}
	close(stop)
	<-stopped
	f.record.line("%d changes acknowledged; peaks of memory in MiB %v; ends for memory %v", acknowledged, peaks, ended)
	if acknowledged == 0 {
		return 0, errors.New("no configuration was acknowledged")
	}
	total := 0
	for _, n := range ended {
		total += n
	}
	if total >= 3 && 2*len(ended) >= len(f.cores()) { // three times, on half of the core
		return exitBroken, nil
	}
	return exitHeld, nil
}
