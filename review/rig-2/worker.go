package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in for a model worker that streams events, as PROTOCOL.md says.
type worker struct {
	fleet       *fleet
	id, service string
	zone        string
	address     string
	born        int64
	server      *http.Server
	stop        chan struct{}
	stopped     sync.WaitGroup

	silent    atomic.Bool // each new stream falls silent once, and goes on
	failEvery int64       // of the streams that are taken up, one in so many gets a 500 of the worker's own
	takenUp   atomic.Int64

	mu   sync.Mutex
	runs map[string]string // by request: how its run at this worker ended
}

const (
	streamEvents  = 20
	eventGap      = 50 * time.Millisecond
	silenceAfter  = 5                       // events
	silence       = 1600 * time.Millisecond // within what a client waits: 3.2 s
	failureAfter  = 300 * time.Millisecond
	heartbeatTime = 1200 * time.Millisecond
)

func startWorker(f *fleet, id, service string, n int) (*worker, error) {
	ip := f.machines[0].ip
	address := fmt.Sprintf("%s.%d:8443", ip[:strings.LastIndexByte(ip, '.')], 60+n)
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{
		fleet: f, id: id, service: service, zone: zones[n%len(zones)].zone, address: address,
		born: time.Now().UnixMilli(), stop: make(chan struct{}), runs: make(map[string]string),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(socket) }()
	w.stopped.Add(1)
	go w.beat()
	return w, nil
}

func (w *worker) close() {
	close(w.stop)
	w.stopped.Wait()
	_ = w.server.Close()
}

// beat announces the worker to one core machine after the other until one acknowledges.
func (w *worker) beat() {
	defer w.stopped.Done()
	client := &http.Client{Timeout: time.Second}
	for sequence, next := 1, 0; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 64, "state": "ready",
			"coldRemainingMs": 0, "stage": "both", "models": []any{}, "sequence": sequence, "born": w.born,
		})
		for range w.fleet.cores() {
			m := w.fleet.cores()[next%len(w.fleet.cores())]
			response, err := client.Post(fmt.Sprintf("http://%s:%d/v1/Instances.Heartbeat/%s", m.ip, controlPort, w.id), "application/json", bytes.NewReader(body))
			if err == nil {
				response.Body.Close()
				if response.StatusCode/100 == 2 {
					break
				}
			}
			next++
		}
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

func (w *worker) note(id, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = how
}

// ServeHTTP streams the events after Last-Event-Id.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	header := out.Header()
	header.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		header.Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	header.Set("X-Response-Signature", w.id+"."+id)
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
		if n := w.takenUp.Add(1); w.failEvery > 0 && n%w.failEvery == 1 {
			time.Sleep(failureAfter)
			w.note(id, "failed with 500 of its own")
			out.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	header.Set("Content-Type", "text/event-stream")
	flusher := out.(http.Flusher)
	for event := first; event <= streamEvents; event++ {
		if first == 1 && event == silenceAfter+1 && w.silent.Load() && !w.sleep(r, silence) {
			w.note(id, "dropped by the router during its silence, after event "+strconv.Itoa(event-1))
			return
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", event, id, event); err != nil || !w.sleep(r, eventGap) {
			w.note(id, "dropped by the router after event "+strconv.Itoa(event-1))
			return
		}
		flusher.Flush()
	}
	w.note(id, "complete")
}

// sleep waits and reports whether the connection is still open.
func (w *worker) sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}
