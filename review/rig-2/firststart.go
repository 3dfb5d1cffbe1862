package main

import (
	"errors"
	"time"
)

// firstStart ends one core machine shortly after the whole system has started for the first
// time, and takes its disk. The machine comes back at once, with an empty disk and with
// bootstrap set to false. The other machines are not touched. The operator sends the first
// configuration all the while.
func firstStart(f *fleet, trouble bool) (int, error) {
	const (
		startSpread = 300 * time.Millisecond // machines start within 0.3 s of each other
		lossAfter   = 200 * time.Millisecond
		backAfter   = 500 * time.Millisecond
		patience    = 60 * time.Second
		readTime    = 10 * time.Second
	)
	victim, last := f.cores()[0], f.cores()[len(f.cores())-1]
	for _, m := range f.machines {
		if m == last {
			continue
		}
		if err := f.start(m, true); err != nil {
			return 0, err
		}
	}
	f.record.line("started all machines but %s for the first time", last.name)
	lastStart := time.AfterFunc(startSpread, func() {
		if err := f.start(last, true); err == nil {
			f.record.line("started %s for the first time", last.name)
		}
	})
	defer lastStart.Stop()
	if trouble {
		time.Sleep(lossAfter)
		victim.kill()
		if err := victim.wipe(); err != nil {
			return 0, err
		}
		f.record.line("%s lost its disk", victim.name)
		time.Sleep(backAfter)
		if err := f.start(victim, false); err != nil {
			return 0, err
		}
		f.record.line("%s is back, with an empty disk and bootstrap false", victim.name)
	}
	time.Sleep(startSpread)
	o := &operator{fleet: f}
	routes := []route{{"r-1", "/lohu930/", "safe", "studio", 1000, 2, false}}
	acknowledged := o.put(1, configuration(1, routes, "studio"), patience)
	version, ok := o.get(readTime)
	for _, m := range f.cores() {
		for _, line := range m.logLines("membership", "voters of the log", "joining", "alive changed") {
			f.record.line("log of %s: %s", m.name, line)
		}
	}
	if f.running() != len(f.machines) {
		return 0, errors.New("a process has ended by itself")
	}
	if !acknowledged || !ok || version != 1 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
