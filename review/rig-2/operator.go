package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// route is a route of a configuration.
type route struct {
	Name, Prefix, Kind, Service string
	Timeout                     int // milliseconds
	Attempts                    int
	Resumable                   bool
}

const host = "ficu95.example"

// apiKey is the key of the only tenant.
const apiKey = "asnmgkcuyj8pjbvk9m68"

// configuration returns a configuration in the form of PROTOCOL.md.
func configuration(version int, routes []route, services ...string) []byte {
	var listed []map[string]any
	for _, r := range routes {
		listed = append(listed, map[string]any{
			"name": r.Name, "host": host, "pathPrefix": r.Prefix, "routeType": r.Kind, "timeoutMs": r.Timeout,
			"targetLatencyMs": 200, "priority": 1, "service": r.Service, "maxAttempts": r.Attempts, "public": false,
			"sticky": false, "resumable": r.Resumable, "targetGapMs": 300,
		})
	}
	var named []map[string]any
	for _, s := range services {
		named = append(named, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": listed, "services": named,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 650000},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// operator sends and reads configurations, as PROTOCOL.md says: it tries one daemon after
// the other, each for a second or a little more.
type operator struct {
	fleet *fleet
	next  int
}

const callTimeout = 1500 * time.Millisecond

func (o *operator) call(method, path string, body []byte) (int, []byte, *machine) {
	cores := o.fleet.cores()
	m := cores[o.next%len(cores)]
	o.next++
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, controlPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil, m
	}
	request.Close = true
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, nil, m
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, m
	}
	return response.StatusCode, answer, m
}

// put sends a configuration until it is acknowledged, or for the given time.
func (o *operator) put(version int, text []byte, patience time.Duration) bool {
	tries := 0
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		status, _, m := o.call(http.MethodPost, "/v1/Config.Put", text)
		tries++
		if status == http.StatusOK {
			o.fleet.record.line("configuration %d acknowledged by %s, call %d", version, m.name, tries)
			return true
		}
	}
	o.fleet.record.line("configuration %d not acknowledged in %s, %d calls", version, patience, tries)
	return false
}

// get reads the configuration, for the given time, and returns its version.
func (o *operator) get(patience time.Duration) (int, bool) {
	tries := 0
	statuses := map[int]int{}
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		status, text, m := o.call(http.MethodGet, "/v1/Config.Get", nil)
		tries++
		statuses[status]++
		var read struct {
			Version int `json:"version"`
		}
		if status == http.StatusOK && json.Unmarshal(text, &read) == nil {
			o.fleet.record.line("read version %d from %s, call %d", read.Version, m.name, tries)
			return read.Version, true
		}
	}
	o.fleet.record.line("no configuration read in %s, %d calls, answers by status (0 is none in time): %v", patience, tries, statuses)
	return 0, false
}
