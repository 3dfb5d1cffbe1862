package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// The doses are those of the small site files: big_config adds 350 routes
// (kowhai-horn), config_storm sends a change each 0.06 s for 4.94 s (lin-fitting).
const (
	bigConfigRoutes = 350
	bigConfigs      = 10
	stormGap        = 60 * time.Millisecond
	stormLength     = 4940 * time.Millisecond
	stormPause      = 500 * time.Millisecond
	ordersAtOnce    = 3                // the pages allow eight
	lastStorm       = 93 * time.Second // after the start
	maxOwnEnds      = 3                // of one machine in a day
)

// playMemory changes a configuration many times, after it has grown by big_config.
func playMemory(f *fleet, trouble bool) (int, error) {
	for i, zone := range []string{"a", "b", "c"} {
		f.add("core-"+string(rune('1'+i)), zone, true)
	}
	front := f.add("front-1", "a", false)
	done := make(chan struct{})
	defer close(done)
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return exitNotRun, err
		}
	}
	o := newOperator(f)
	version := 1
	if !o.put(configuration(version, 0), time.Now().Add(15*time.Second)) {
		return exitNotRun, nil
	}
	f.say("the first configuration is acknowledged")
	for _, n := range f.nodes {
		n.freed = true
		go n.guard(done)
	}
	routes := 0
	for range bigConfigs {
		if trouble {
			routes += bigConfigRoutes
		}
		version += 3
		acknowledged := o.put(configuration(version, routes), time.Now().Add(10*time.Second))
		f.say("version %d with %d more routes, %d bytes, acknowledged: %v", version, routes, len(configuration(version, routes)), acknowledged)
	}
	changes, refused, newest := 0, 0, version
	var mu sync.Mutex
	slots := make(chan struct{}, ordersAtOnce)
	for time.Since(f.began) < lastStorm {
		for storm := time.Now(); time.Since(storm) < stormLength; {
			began := time.Now()
			version += 2
			changes++
			slots <- struct{}{}
			go func(version int) {
				defer func() { <-slots }()
				acknowledged := newOperator(f).put(configuration(version, routes), time.Now().Add(2*time.Second))
				mu.Lock()
				defer mu.Unlock()
				if acknowledged {
					newest = max(newest, version)
				} else {
					refused++
				}
			}(version)
			time.Sleep(max(0, stormGap-time.Since(began)))
		}
		mu.Lock()
		f.say("%d changes sent, %d of them not acknowledged; memory in MB: core %d %d %d, front %d", changes, refused,
			f.nodes[0].memory(), f.nodes[1].memory(), f.nodes[2].memory(), front.memory())
		mu.Unlock()
		time.Sleep(stormPause)
	}
	for range ordersAtOnce {
		slots <- struct{}{}
	}
	f.say("the newest acknowledged version is %d", newest)
	read := 0
	for deadline := time.Now().Add(3 * contactMillis * time.Millisecond); time.Now().Before(deadline) && read < newest; {
		status, text, address := o.call(http.MethodGet, "/v1/Config.Get", nil)
		var c struct{ Version int }
		if status == http.StatusOK && json.Unmarshal(text, &c) == nil {
			read = c.Version
		}
		f.say("%s answers a read with status %d, version %d", address, status, read)
		time.Sleep(500 * time.Millisecond)
	}
	thrice := 0
	for _, n := range f.nodes {
		f.say("%s: %d ends, at most %d MB of %d MB", n.name, n.ends, n.peakMB, n.memoryMB)
		if n.core && n.ends >= maxOwnEnds {
			thrice++
		}
	}
	if read < newest || thrice*2 > 3 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
