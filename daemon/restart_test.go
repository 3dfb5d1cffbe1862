package daemon

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// balancer simulates a load balancer with health checks: it distributes requests
// in turn to the healthy instances.
type balancer struct {
	addresses []netip.AddrPort
	client    *http.Client
	next      atomic.Uint64

	mu      sync.Mutex
	healthy []bool
}

// probe checks the health of all instances periodically until ctx ends.
func (b *balancer) probe(ctx context.Context) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		for i, address := range b.addresses {
			response, err := b.client.Get("http://" + address.String() + "/v1/healthz")
			healthy := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				response.Body.Close()
			}
			b.mu.Lock()
			b.healthy[i] = healthy
			b.mu.Unlock()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		i := int(b.next.Add(1)) % len(b.addresses)
		if b.healthy[i] {
			return b.addresses[i].String()
		}
	}
}

// send sends a request and returns why its answer is not complete, or "" if it is.
func (b *balancer) send(body string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+b.pick()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Authorization", "Bearer EXAMPLE-KEY-alpha")
	response, err := b.client.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return err.Error()
	case !strings.HasSuffix(string(text), "data: [DONE]\n\n"):
		return string(text)
	}
	return ""
}

// TestRollingRestartUnderLoad restarts three instances one after the other under
// continuous load. No request may fail or run twice.
func TestRollingRestartUnderLoad(t *testing.T) {
	is := is.New(t)
	nodes := startFleet(t, 3)
	b := &balancer{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}, healthy: make([]bool, 3)}
	for i, n := range nodes {
		b.addresses = append(b.addresses, n.Listen())
		b.healthy[i] = true
	}
	engines := []*mimic.Mimic{
		startEngine(t, "gpu-1", "north", nodes), startEngine(t, "gpu-2", "south", nodes),
	}

	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	var sent atomic.Int64
	failures := make(chan string, 1024)
	load.Go(func() { b.probe(ctx) })
	for range 6 {
		load.Go(func() {
			for ctx.Err() == nil {
				sent.Add(1)
				if failure := b.send(streamRequest); failure != "" {
					failures <- failure
				}
			}
		})
	}
	for i := range nodes {
		restart(t, nodes, i)
	}
	eventually(t, func() bool { return sent.Load() > 100 }) // also on a slow machine
	cancel()
	load.Wait()
	close(failures)
	for failure := range failures {
		t.Errorf("a request failed: %s", failure)
	}
	is.Equal(int64(engines[0].Requests()+engines[1].Requests()), sent.Load()) // none ran twice
}

// startEngine starts an engine that announces itself to all instances, as through
// a load balancer.
func startEngine(t *testing.T, id redwingshunt.UpstreamID, region redwingshunt.RegionID, nodes []*node) *mimic.Mimic {
	t.Helper()
	engine := mimic.New(mimic.Options{
		ID: id, Service: "assistant", Region: region, Zone: redwingshunt.ZoneID(region) + "-a",
		Slots: 8, Token: 2 * time.Millisecond,
	})
	if _, err := engine.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { engine.Stop(); engine.Wait() })
	for _, n := range nodes {
		engine.Announce(n.Listen().String())
	}
	return engine
}

// restart stops an instance gracefully and starts it again on the same addresses,
// without its former state.
func restart(t *testing.T, nodes []*node, index int) {
	t.Helper()
	old := nodes[index]
	settings := old.settings
	settings.Listen, settings.Link, settings.Admin = old.Listen(), old.Link(), old.Admin()
	for i, n := range nodes {
		if i != index {
			settings.Peers = append(settings.Peers, n.Link())
		}
	}
	if err := old.stop(); err != nil {
		t.Fatal(err)
	}
	nodes[index] = runNode(t, settings)
	eventually(t, func() bool {
		for _, n := range nodes {
			if !sees(n, nodes) {
				return false
			}
		}
		return true
	})
}

// sees reports whether a node knows all nodes in their current incarnation, and
// none of them as leaving.
func sees(n *node, nodes []*node) bool {
	for _, other := range nodes {
		found, ok := n.members.find(other.Self().ID)
		if !ok || found.Leaving || found.Incarnation != other.Self().Incarnation {
			return false
		}
	}
	return true
}

// TestDrainLimitTellsTheOutcome stops an instance whose drain limit is shorter
// than its running request. The answer must state the outcome.
func TestDrainLimitTellsTheOutcome(t *testing.T) {
	tests := map[string]struct {
		path, body string
		outcome    string
	}{
		"stream": {
			path: "/v1/chat/completions", outcome: `"outcome":"may-have-run","reason":"stopping"`,
			body: `{"model":"example-model","stream":true,"max_tokens":100000,"messages":[]}`,
		},
		"plain request": {
			path: "/services/desk/stock", body: "7", outcome: `"outcome":"may-have-run","reason":"stopping"`,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			settings := testSettings(0, nil)
			settings.Drain = 200 * time.Millisecond
			settings.Notice = 0
			n := runNode(t, settings)
			engine := startMimic(t, mimic.Options{ID: "gpu", Service: "assistant", Slots: 1, Token: time.Second}, n)
			desk := startMimic(t, mimic.Options{ID: "desk", Service: "desk", Slots: 1, First: waitTimeout}, n)
			answer := make(chan reply, 1)
			go func() { answer <- call(t, n, "alpha", test.path, test.body, nil) }()
			eventually(t, func() bool { return engine.Requests()+desk.Requests() == 1 })
			is.NoErr(n.stop())
			got := <-answer
			is.True(strings.Contains(got.body, test.outcome))
		})
	}
}
