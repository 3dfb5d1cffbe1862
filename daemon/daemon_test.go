package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// waitTimeout limits the wait for a condition. Tests end as soon as the condition
// holds, so the value does not change how long a passing test takes.
const waitTimeout = 2 * time.Minute

// node is one daemon of a test fleet in this process.
type node struct {
	*Daemon
	stop func() error
}

// startFleet starts daemons on 127.0.0.1, 127.0.0.2, ... with
// examples/three.yaml, and waits until each considers all others alive.
func startFleet(t testing.TB, count int, configure ...func(*Options)) []*node {
	t.Helper()
	var nodes []*node
	var seeds []netip.AddrPort
	for i := range count {
		n := runNode(t, testSettings(i, seeds), configure...)
		nodes = append(nodes, n)
		seeds = append(seeds, n.Link())
	}
	eventually(t, func() bool {
		for _, n := range nodes {
			if len(n.members.Live()) != count {
				return false
			}
		}
		return true
	})
	return nodes
}

// runNode starts one daemon and stops it at the end of the test.
func runNode(t testing.TB, settings redwingshunt.Settings, configure ...func(*Options)) *node {
	t.Helper()
	options := Options{Logger: slog.New(slog.DiscardHandler)}
	for _, f := range configure {
		f(&options)
	}
	d, err := New(settings, options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	n := &node{Daemon: d, stop: func() error { cancel(); err := <-done; done <- err; return err }}
	t.Cleanup(func() { _ = n.stop() })
	return n
}

func testSettings(index int, seeds []netip.AddrPort) redwingshunt.Settings {
	loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(index + 1)}), 0)
	region, zone := redwingshunt.RegionID("north"), redwingshunt.ZoneID("north-a")
	if index == 2 {
		region, zone = "south", "south-a"
	}
	return redwingshunt.Settings{
		Name: redwingshunt.InstanceID(fmt.Sprintf("node-%c", 'a'+index)), Region: region, Zone: zone,
		Listen: loopback, Link: loopback, Admin: loopback, Peers: seeds, Plain: true, Notice: 300 * time.Millisecond, Drain: waitTimeout,
		Document: filepath.Join("..", "examples", "three.yaml"),
	}
}

func eventually(t testing.TB, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("condition not met in time")
}

func startMimic(t testing.TB, options mimic.Options, at *node) *mimic.Mimic {
	t.Helper()
	m := mimic.New(options)
	if _, err := m.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { m.Stop(); m.Wait() })
	if at != nil {
		m.Announce(at.Listen().String())
	}
	return m
}

// reply is an answer as a caller sees it.
type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
}

func call(t *testing.T, n *node, account, path, body string, header http.Header) reply {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+n.Listen().String()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer EXAMPLE-KEY-"+account)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{response.StatusCode, response.Header, response.Trailer, string(text)}
}

const streamRequest = `{"model":"example-model","stream":true,"max_tokens":5,"messages":[]}`

func TestStreamThroughAnotherInstance(t *testing.T) {
	is := is.New(t)
	nodes := startFleet(t, 3)
	startMimic(t, mimic.Options{ID: "gpu-1", Service: "assistant", Slots: 4}, nodes[0])
	startMimic(t, mimic.Options{ID: "desk-1", Service: "desk", Slots: 4}, nodes[1])

	got := call(t, nodes[2], "alpha", "/v1/chat/completions", streamRequest, nil)
	is.Equal(got.status, http.StatusOK)
	is.True(strings.Contains(got.body, `"content":"t4 "`))
	is.True(strings.HasSuffix(got.body, "data: [DONE]\n\n"))
	is.Equal(got.trailer.Get(redwingshunt.HeaderOutcome), "complete")

	got = call(t, nodes[2], "gamma", "/services/desk/stock/42?size=3", "hello",
		http.Header{"X-Trace": {"7"}})
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.header.Get(redwingshunt.HeaderOutcome), "complete")
	is.True(strings.Contains(got.body, `"path":"/stock/42?size=3"`))
}

func TestRefusals(t *testing.T) {
	nodes := startFleet(t, 1)
	m := startMimic(t, mimic.Options{ID: "desk-1", Service: "desk", Slots: 4}, nodes[0])
	tests := map[string]struct {
		account, path, body string
		status              int
		reason              redwingshunt.Reason
	}{
		"unknown key":     {"nobody", "/services/desk/x", "", http.StatusUnauthorized, redwingshunt.ReasonUnauthorized},
		"unknown service": {"alpha", "/services/other/x", "", http.StatusNotFound, redwingshunt.ReasonUnknownService},
		"unknown model": {
			"alpha", "/v1/chat/completions", `{"model":"other"}`,
			http.StatusNotFound, redwingshunt.ReasonUnknownService,
		},
		"no chat completion": {
			"alpha", "/v1/chat/completions", `[`, http.StatusBadRequest, redwingshunt.ReasonInvalidRequest,
		},
		"too large": {
			"alpha", "/services/desk/x", strings.Repeat("x", 5<<20),
			http.StatusRequestEntityTooLarge, redwingshunt.ReasonTooLarge,
		},
		"no idempotency key": {
			"alpha", "/services/desk/bookings", "{}", http.StatusBadRequest, redwingshunt.ReasonKeyMissing,
		},
		"unknown path": {"alpha", "/other", "", http.StatusNotFound, redwingshunt.ReasonUnknownService},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := call(t, nodes[0], test.account, test.path, test.body, nil)
			is.Equal(got.status, test.status)
			is.Equal(got.header.Get(redwingshunt.HeaderOutcome), "not-run")
			is.Equal(got.header.Get(redwingshunt.HeaderReason), string(test.reason))
			is.Equal(m.Requests(), 0)
		})
	}
}

func TestGracefulShutdownCompletesRequests(t *testing.T) {
	is := is.New(t)
	nodes := startFleet(t, 2)
	m := startMimic(t, mimic.Options{
		ID: "gpu-1", Service: "assistant", Slots: 4, Token: 20 * time.Millisecond,
	}, nodes[1])
	answer := make(chan reply, 1)
	go func() {
		answer <- call(t, nodes[0], "alpha", "/v1/chat/completions",
			`{"model":"example-model","stream":true,"max_tokens":100,"messages":[]}`, nil)
	}()
	eventually(t, func() bool { return m.Requests() == 1 })
	is.NoErr(nodes[0].stop())
	got := <-answer
	is.True(strings.HasSuffix(got.body, "data: [DONE]\n\n"))
	is.Equal(got.trailer.Get(redwingshunt.HeaderOutcome), "complete")
}
