package main

import (
	"errors"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["replace"] = replaceCore }

// replaceCore replaces a core machine as planned work, the new one first, and lets
// another one lose its disk just after. Only that one counts as lost. What was
// acknowledged before must be read back.
func replaceCore(r *record, trouble bool) (verdict, error) {
	f, err := newFleet(r)
	if err != nil {
		return unplayed, err
	}
	defer f.close()
	for i, z := range zones {
		f.add("core-"+z.name+"-1", z, true)
		for j := range []int{2, 3, 1}[i] {
			f.add("front-"+z.name+"-"+string(rune('1'+j)), z, false)
		}
	}
	o := newOperator(r)
	seeds := f.cores()
	if err := f.startAll(); err != nil {
		return unplayed, err
	}
	r.logf("platform: %d machines started, 3 of them core", len(f.nodes))
	if o.submit(seeds, configuration(3), 20*time.Second) == nil {
		return unplayed, errors.New("the first configuration was not acknowledged")
	}
	time.Sleep(10 * time.Second) // the machines have started and caught up

	leaving, losing := seeds[0], seeds[1]
	successor := f.add("core-chc-a-2", zones[0], true)
	if err := successor.start(seeds, false); err != nil {
		return unplayed, err
	}
	r.logf("platform: %s started with an empty disk, to replace %s", successor.name, leaving.name)
	time.Sleep(8 * time.Second) // twice catchUpS
	n := o.submit([]*node{losing, seeds[2]}, configuration(7), 5*time.Second)
	if n == nil {
		return unplayed, errors.New("a change in calm was not acknowledged")
	}
	r.logf("operator: %s acknowledged version 7", n.name)
	began := time.Now()
	leaving.signal(syscall.SIGTERM)
	r.logf("platform: SIGTERM to %s, which is removed", leaving.name)
	if !leaving.wait(graceS * time.Second) {
		leaving.kill()
	}
	r.logf("platform: %s has ended, %v after SIGTERM", leaving.name, time.Since(began).Round(time.Millisecond))
	if trouble {
		time.Sleep(500 * time.Millisecond)
		losing.kill()
		if err := losing.loseDisk(); err != nil {
			return unplayed, err
		}
		if err := losing.start([]*node{losing, seeds[2], successor}, false); err != nil {
			return unplayed, err
		}
		r.logf("platform: %s was killed, lost its disk and is back, %v after SIGTERM", losing.name, time.Since(began).Round(time.Millisecond))
	}

	// Read back long after the bounds: contactMs and ackMs are 4 and 5 s.
	left := []*node{losing, seeds[2], successor}
	var read, acknowledged bool
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end) && !(read && acknowledged); time.Sleep(time.Second) {
		for _, n := range left {
			version, status := o.get(n)
			r.logf("operator: %s answers Config.Get with %d, version %d", n.name, status, version)
			read = read || status == http.StatusOK && version >= 7
		}
		if n := o.submit(left, configuration(9), 2*time.Second); n != nil {
			r.logf("operator: %s acknowledged version 9", n.name)
			acknowledged = true
		} else {
			r.logf("operator: version 9 is not acknowledged")
		}
	}
	r.logf("version 7 read back: %v; version 9 acknowledged: %v", read, acknowledged)
	if read && acknowledged {
		return held, nil
	}
	return broken, nil
}
