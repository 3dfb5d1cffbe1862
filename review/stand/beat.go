package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	settleTime  = 6 * time.Second // more than contactMs
	clientGap   = 5 * time.Millisecond
	beatTraffic = 20 * time.Second
	beatClients = 16
)

// playBeat has one heartbeat come from another writer. It lacks the fields version,
// coldRemainingMs and born, and names an engine worker for the plain service.
func playBeat(f *fleet, trouble bool) (int, error) {
	for i, zone := range []string{"a", "b", "c"} {
		f.add("core-"+string(rune('1'+i)), zone, true)
	}
	front := f.add("front-1", "a", false)
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return exitNotRun, err
		}
	}
	done := make(chan struct{})
	defer close(done)
	o := newOperator(f)
	if !o.put(configuration(1, 0), time.Now().Add(15*time.Second)) {
		return exitNotRun, errors.New("the first configuration was not acknowledged")
	}
	f.say("the first configuration is acknowledged; %s may go to %s only", "/lookup/", plainService)
	var engines, plain []*worker
	for i := range 2 {
		w, err := startWorker(f, 1+i, fmt.Sprintf("i-engine-%d", i+1), engineService, "a")
		if err != nil {
			return exitNotRun, err
		}
		engines = append(engines, w)
		if w, err = startWorker(f, 11+i, fmt.Sprintf("i-plain-%d", i+1), plainService, "a"); err != nil {
			return exitNotRun, err
		}
		plain = append(plain, w)
	}
	for _, w := range append(append([]*worker(nil), engines...), plain...) {
		go w.announce(done)
	}
	if !waitReady(front, 15*time.Second) {
		return exitNotRun, errors.New("the front daemon is not ready")
	}
	time.Sleep(settleTime)
	began := time.Now()
	if trouble {
		time.AfterFunc(beatTraffic/4, func() {
			victim := engines[0]
			body := map[string]any{
				"service": plainService, "address": victim.address, "zone": "a", "slots": 6, "state": "ready", "sequence": 4,
			}
			f.say("a heartbeat of another writer, without version, coldRemainingMs and born: %s %v: status %d", victim.id, body, sendBeat(newOperator(f), victim.id, body))
		})
	}
	var mu sync.Mutex
	answers := map[string]int{}
	sent := 0
	var clients sync.WaitGroup
	for c := range beatClients {
		clients.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
			for i := 0; time.Since(began) < beatTraffic; i++ {
				id := fmt.Sprintf("request-%d-%05d", c, i)
				got := send(client, front, http.MethodGet, fmt.Sprintf("/lookup/%d/%d", c, i), id, nil)
				mu.Lock()
				sent++
				answers[fmt.Sprintf("%d %s", got.status, got.signature)]++
				mu.Unlock()
				time.Sleep(clientGap)
			}
		})
	}
	clients.Wait()
	f.say("%d requests on /lookup/ sent; answers by status and signature: %v", sent, answers)
	wrong := 0
	for _, w := range engines {
		for _, r := range w.ran() {
			if strings.HasPrefix(r.path, "/lookup/") {
				wrong++
				f.say("%s of %s ran %s %s", w.id, w.service, r.id, r.path)
			}
		}
	}
	served := 0
	for _, w := range plain {
		served += len(w.ran())
	}
	f.say("%d requests on /lookup/ were run by %s, %d by %s", served, plainService, wrong, engineService)
	if served == 0 {
		return exitNotRun, errors.New("no request was served")
	}
	if wrong > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
