package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in for a worker of a service. It listens on a loopback address and
// announces itself as the pages say.
type worker struct {
	record   *record
	id       string
	service  string
	zone     zone
	born     int64
	socket   net.Listener
	server   *http.Server
	fleet    *fleet
	stop     chan struct{}
	sequence int
	events   int  // of a stream
	grey     bool // resets the connection of two in five streams after the first event

	mu      sync.Mutex
	streams int            // begun from the first event on
	runs    map[string]int // runs by the ID of the request
}

// newWorker starts a worker.
func newWorker(f *fleet, id, service string, z zone, events int, grey bool) (*worker, error) {
	socket, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", f.network, f.next))
	if err != nil {
		return nil, err
	}
	f.next++
	w := &worker{
		record: f.record, id: id, service: service, zone: z, born: time.Now().UnixMilli(), socket: socket, fleet: f,
		stop: make(chan struct{}), runs: make(map[string]int), events: events, grey: grey,
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(socket) }()
	go w.announce()
	return w, nil
}

func (w *worker) address() string { return w.socket.Addr().String() }

func (w *worker) close() {
	close(w.stop)
	_ = w.server.Close()
}

// announce sends a heartbeat about every heartbeatMs, to the next machine when one does
// not acknowledge it.
func (w *worker) announce() {
	client := http.Client{Timeout: time.Second}
	for i := 0; ; i++ {
		cores := w.fleet.cores()
		for try := range cores {
			w.sequence++
			body, _ := json.Marshal(map[string]any{
				"service": w.service, "address": w.address(), "zone": w.zone.name, "version": "v1", "slots": 64, "state": "ready",
				"coldRemainingMs": 0, "stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
				"sequence": w.sequence, "born": w.born,
			})
			response, err := client.Post("http://"+cores[(i+try)%len(cores)].controlAddress()+"/v1/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeatMs * time.Millisecond):
		}
	}
}

// ServeHTTP runs one request.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	header := rw.Header()
	header.Set("X-Request-Id", id)
	header.Set("X-Response-Signature", w.id+"."+id)
	header.Set("X-Server-Load", "1,0,64")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	w.record.logf("worker %s runs %s %s %s, Last-Event-Id %q, %d bytes", w.id, r.Method, r.URL.Path, id, r.Header.Get("Last-Event-Id"), len(body))
	if w.service == engine {
		w.stream(rw, r, id)
		return
	}
	_, _ = rw.Write([]byte("answer to " + id))
}

// stream sends numbered events, from the one after Last-Event-Id on.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id string) {
	rw.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(rw)
	next, reset := 0, false
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	} else {
		w.mu.Lock()
		w.streams++
		reset = w.grey && w.streams%5%2 == 1
		w.mu.Unlock()
	}
	for i := next; i < w.events; i++ {
		fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", i, i)
		if controller.Flush() != nil {
			return
		}
		if reset {
			time.Sleep(20 * time.Millisecond) // until the event has been read
			w.record.logf("worker %s resets the connection of %s after event %d", w.id, id, i)
			if connection, _, err := controller.Hijack(); err == nil {
				_ = connection.(*net.TCPConn).SetLinger(0)
				_ = connection.Close()
			}
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
