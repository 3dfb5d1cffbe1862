package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

const (
	growths      = 52               // times that the configuration grows by bigConfigRoutes
	calmGrowths  = 3                // the same without the disruption
	growthAck    = 12 * time.Second // beyond ackMs, and 3 ms for each route more
	growthReads  = 20 * time.Second // five times contactMs
	growthReadAt = 700 * time.Millisecond
)

// playGrow lets the configuration grow by big_config, one after the other, and reads
// the newest acknowledged version back once a change has got no acknowledgement.
func playGrow(f *fleet, trouble bool) (int, error) {
	for i, zone := range []string{"a", "b", "c"} {
		f.add("core-"+string(rune('1'+i)), zone, true)
	}
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return exitNotRun, err
		}
	}
	o := newOperator(f)
	version, acknowledged := 1, 0
	if !o.put(configuration(version, 0), time.Now().Add(15*time.Second)) {
		return exitNotRun, errors.New("the first configuration was not acknowledged")
	}
	acknowledged = version
	times := calmGrowths
	if trouble {
		times = growths
	}
	for i := range times {
		version += 2
		body := configuration(version, (i+1)*bigConfigRoutes)
		began := time.Now()
		ok := o.put(body, began.Add(growthAck))
		f.say("version %d with %d more routes, %d bytes: acknowledged %v after %s", version, (i+1)*bigConfigRoutes, len(body), ok, time.Since(began).Round(time.Millisecond))
		if !ok {
			go newOperator(f).put(body, time.Now().Add(growthReads+time.Minute)) // a call without a clear answer is sent again
			break
		}
		acknowledged = version
	}
	read := 0
	for deadline := time.Now().Add(growthReads); time.Now().Before(deadline) && read < acknowledged; {
		status, text, address := o.call(http.MethodGet, "/v1/Config.Get", nil)
		var c struct{ Version int }
		if status == http.StatusOK && json.Unmarshal(text, &c) == nil {
			read = c.Version
		}
		f.say("%s answers a read with status %d, version %d", address, status, read)
		time.Sleep(growthReadAt)
	}
	f.say("the newest acknowledged version is %d, read back is %d", acknowledged, read)
	if read < acknowledged {
		return exitBroken, nil
	}
	return exitHeld, nil
}
