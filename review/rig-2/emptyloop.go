package main

import (
	"errors"
	"fmt"
	"time"
)

// emptyLoop ends one core machine again and again, which comes back with an empty disk each
// time, as with a volume that is not mounted, and then leaves it alone. No other machine is
// touched. What was acknowledged must be readable afterwards, and changes acknowledged.
func emptyLoop(f *fleet, trouble bool) (int, error) {
	const (
		losses    = 120
		calmTime  = 15 * time.Second // more than catchUpS, contactMs and recoveryS
		readTime  = 12 * time.Second
		firstWait = 20 * time.Second

		routeCount = 351 // one, and the 350 that big_config adds
	)
	var routes []route
	for i := range routeCount {
		routes = append(routes, route{fmt.Sprintf("r-%06d", i), fmt.Sprintf("/lohu%05d/", i), "safe", "studio", 1000, 2, false})
	}
	if err := f.startAll(); err != nil {
		return 0, err
	}
	o := &operator{fleet: f}
	if !o.put(1, configuration(1, routes, "studio"), firstWait) {
		return 0, errors.New("the first configuration was not acknowledged")
	}
	routes[0].Timeout = 900
	if !o.put(3, configuration(3, routes, "studio"), firstWait) {
		return 0, errors.New("the second configuration was not acknowledged")
	}
	if version, ok := o.get(firstWait); !ok || version != 3 {
		return 0, errors.New("the configuration cannot be read before the disruption")
	}
	time.Sleep(5 * time.Second)
	victim := f.cores()[1]
	for i := range losses {
		if !trouble {
			time.Sleep(250 * time.Millisecond)
			continue
		}
		victim.kill()
		if err := victim.wipe(); err != nil {
			return 0, err
		}
		time.Sleep(50 * time.Millisecond) // the platform starts it again after a short delay
		if err := f.start(victim, false); err != nil {
			return 0, err
		}
		up := 105*time.Millisecond + time.Duration(i*37%61)*time.Millisecond // in another order, so that no cycle is like the next
		f.record.line("%s lost its disk, loss %d, and is back", victim.name, i+1)
		time.Sleep(up)
	}
	f.record.line("all %d machines run from here on", f.running())
	time.Sleep(calmTime)
	version, ok := o.get(readTime)
	routes[0].Timeout = 800
	acknowledged := o.put(5, configuration(5, routes, "studio"), readTime)
	for _, m := range f.cores() {
		lines := m.logLines("voters of the log changed", "member of the log changed", "seat is taken", "joining the log")
		for _, line := range lines[max(len(lines)-120, 0):] {
			f.record.line("log of %s: %s", m.name, line)
		}
	}
	if f.running() != len(f.machines) {
		return 0, errors.New("a process has ended by itself")
	}
	if !ok || version != 3 || !acknowledged {
		return exitBroken, nil
	}
	return exitHeld, nil
}
