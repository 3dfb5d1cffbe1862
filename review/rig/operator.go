package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator is a stand-in for the platform's operator.
type operator struct {
	record *record
	client http.Client
}

func newOperator(r *record) *operator {
	return &operator{record: r, client: http.Client{
		Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// put sends a configuration once to one machine and returns the status, 0 without one.
func (o *operator) put(n *node, body []byte) int {
	response, err := o.client.Post("http://"+n.controlAddress()+"/v1/Config.Put", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// get reads the configuration from one machine. It returns the version, and the status,
// 0 without one.
func (o *operator) get(n *node) (version, status int) {
	response, err := o.client.Get("http://" + n.controlAddress() + "/v1/Config.Get")
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	var read struct {
		Version int `json:"version"`
	}
	_ = json.NewDecoder(response.Body).Decode(&read)
	return read.Version, response.StatusCode
}

// submit sends a configuration to one machine after the other until one acknowledges
// it, and returns that machine, or nil if none does in time.
func (o *operator) submit(to []*node, body []byte, limit time.Duration) *node {
	backoff := 50 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); {
		for _, n := range to {
			if status := o.put(n, body); status == http.StatusOK {
				return n
			} else if status == http.StatusBadRequest {
				o.record.logf("operator: %s answers 400", n.name)
				return nil
			}
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, time.Second)
	}
	return nil
}

// The routes, services and the tenant of the configurations that the operator sends.
const (
	host        = "lessons.example"
	unsafePath  = "/charge/"
	safePath    = "/read/"
	streamPath  = "/review/"
	plain       = "studio-desk"
	engine      = "tutor-model"
	tenant      = "students"
	apiKey      = "k7b2ex5wa5xwyhks8nbk"
	timeoutMs   = 10000
	drainMs     = 3000
	heartbeatMs = 1200
)

// configuration returns a configuration with a version. extra are further routes.
func configuration(version int, extra ...map[string]any) []byte {
	routes := []map[string]any{
		{"name": "r-unsafe", "host": host, "pathPrefix": unsafePath, "routeType": "unsafe", "timeoutMs": timeoutMs, "targetLatencyMs": 200, "priority": 2, "service": plain, "maxAttempts": 1, "public": false, "sticky": false, "resumable": false},
		{"name": "r-safe", "host": host, "pathPrefix": safePath, "routeType": "safe", "timeoutMs": timeoutMs, "targetLatencyMs": 200, "priority": 2, "service": plain, "maxAttempts": 2, "public": false, "sticky": false, "resumable": false},
		{"name": "r-stream", "host": host, "pathPrefix": streamPath, "routeType": "streaming", "timeoutMs": timeoutMs, "targetLatencyMs": 800, "priority": 1, "service": engine, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "targetGapMs": 300},
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": append(routes, extra...),
		"services": []map[string]any{
			{"name": plain, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false},
			{"name": engine, "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kvCacheTokens": 585191, "kvTokenBytes": 327680, "linkMbps": 550000.0, "moves": true, "backups": true, "stride": 4,
				"most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "models": []map[string]any{{"name": "m"}},
			}},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 650000,
		},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		panic(fmt.Sprint("unreachable: ", err))
	}
	return text
}
