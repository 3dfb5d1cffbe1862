package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatPeriod = 1200 * time.Millisecond
	workDuration    = 15 * time.Millisecond
)

// worker is a stand-in worker that follows the pages: it checks whom a request
// expects, echoes the identifier, signs its answers and announces itself.
type worker struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	address string
	born    int64
	server  *http.Server

	mu       sync.Mutex
	sequence int
	runs     []run
}

// run is one request that a worker ran.
type run struct{ id, path string }

// startWorker starts a worker on a free port of an own address.
func startWorker(f *fleet, host int, id, service, zone string) (*worker, error) {
	socket, err := net.Listen("tcp", f.address(2, host)+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{fleet: f, id: id, service: service, zone: zone, address: socket.Addr().String(), born: time.Now().UnixMilli()}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(socket) }()
	f.say("worker %s of %s at %s, born %d", id, service, w.address, w.born)
	return w, nil
}

// serve runs a request, or says that it does not.
func (w *worker) serve(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	header := writer.Header()
	header.Set("X-Request-Id", id)
	header.Set("Keep-Alive", "timeout=5")
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		header.Set("X-Instance-Id", w.id)
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	w.mu.Lock()
	w.runs = append(w.runs, run{id, request.URL.Path})
	w.mu.Unlock()
	time.Sleep(workDuration)
	header.Set("X-Response-Signature", "signature-of-"+w.id)
	body := strings.Repeat("x", 800)
	header.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(writer, body)
}

// ran returns the runs so far.
func (w *worker) ran() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

// beatBody returns the body of the next heartbeat.
func (w *worker) beatBody() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	body := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 6, "state": "ready",
		"coldRemainingMs": 0, "sequence": w.sequence, "born": w.born,
	}
	if w.service == engineService {
		body["stage"] = "both"
		body["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return body
}

// announce sends heartbeats until done is closed.
func (w *worker) announce(done <-chan struct{}) {
	o := newOperator(w.fleet)
	for {
		sendBeat(o, w.id, w.beatBody())
		select {
		case <-done:
			return
		case <-time.After(heartbeatPeriod):
		}
	}
}

// sendBeat sends a heartbeat to one control address after the other until one
// answers with success, and returns the last status.
func sendBeat(o *operator, id string, body map[string]any) int {
	text, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	status := 0
	for range 3 {
		status, _, _ = o.call(http.MethodPost, "/v1/Instances.Heartbeat/"+id, text)
		if status == http.StatusOK {
			break
		}
	}
	return status
}

// reply is what a client got.
type reply struct {
	status    int
	signature string
	body      []byte
	err       error
}

// send sends one request to a front address.
func send(client *http.Client, n *node, method, path, id string, body []byte) reply {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", n.ip, n.fleet.front(), path), bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Request-Deadline", "2000")
	request.Header.Set("X-Api-Key", key)
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header.Get("X-Response-Signature"), text, err}
}

// waitReady waits until a front daemon says that it is ready.
func waitReady(n *node, limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", n.ip, n.fleet.ready()))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
