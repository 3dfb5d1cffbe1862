package main

import (
	"encoding/json"
	"fmt"
)

// service names of the stand-in deployment.
const (
	engineService = "svc-engine"
	plainService  = "svc-plain"
	host          = "shop.example"
	key           = "key-of-tenant-one-00"
)

// configuration returns the body of a Config.Put call with the routes of a small
// deployment and a number of further routes.
func configuration(version, routes int) []byte {
	c := map[string]any{
		"version": version,
		"services": []any{
			map[string]any{"name": engineService, "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kvCacheTokens": 585191, "kvTokenBytes": 327680, "linkMbps": 550000.0, "moves": true,
					"backups": true, "stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": plainService, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 650000 + version%7},
		"tenants": []any{map[string]any{"name": "tenant-one", "apiKeys": []string{key}, "priority": 1}},
	}
	list := []any{
		route("r-stream", "/stream/", "streaming", engineService, 2, 10000, 800),
		route("r-unsafe", "/charge/", "unsafe", plainService, 1, 2000, 200),
		route("r-safe", "/lookup/", "safe", plainService, 2, 2000, 200),
	}
	for i := range routes {
		list = append(list, route(fmt.Sprintf("r-more%05d", i), fmt.Sprintf("/more%05d/", i), "safe", plainService, 2, 2000, 200))
	}
	c["routes"] = list
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return text
}

func route(name, prefix, kind, service string, attempts, timeout, target int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout, "targetLatencyMs": target, "priority": 1,
		"service": service, "maxAttempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": kind == "streaming", "targetGapMs": 300,
	}
}
