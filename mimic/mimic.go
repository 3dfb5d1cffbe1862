// Package mimic provides simulated upstreams for tests and the demo: a model
// engine with a chat completions API, and a plain service.
//
// The engine runs a fixed number of requests concurrently, delays the first token
// and each following one, reports usage, echoes the request ID, and announces
// itself to instances like a real upstream. It counts the runs of each request and
// can be told to fail.
//
// # Usage
//
//	m := mimic.New(mimic.Options{ID: "gpu-1", Service: "assistant", Slots: 8, Token: 10 * time.Millisecond})
//	address, err := m.Start("127.0.0.1:0")
//	m.Announce("127.0.0.1:8080")
//	defer m.Stop()
package mimic

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/announcer"
)

// renewalInterval is the interval between announcements.
const renewalInterval = time.Second

// Options configures a Mimic.
type Options struct {
	ID      redwingshunt.UpstreamID
	Service redwingshunt.ServiceID
	Region  redwingshunt.RegionID
	Zone    redwingshunt.ZoneID
	Slots   int
	First   time.Duration // before the first token, or for a whole plain request
	Token   time.Duration // between tokens
	TLS     *tls.Config   // for calls to instances; nil means unencrypted
	Key     string        // key of the service, if the document sets one
	Failed  func(error)   // called for each announcement or leave that fails; may be nil
	Poison  string        // a request body that contains it crashes the upstream; empty for none
}

// Mimic is one simulated upstream.
type Mimic struct {
	options  Options
	server   *http.Server
	address  netip.AddrPort
	slots    chan struct{}
	running  atomic.Int64
	waiting  atomic.Int64
	cancel   context.CancelFunc
	ctx      context.Context
	wait     sync.WaitGroup
	client   *http.Client
	stopping sync.Once

	mu        sync.Mutex
	runs      map[string]int // by request ID
	bodies    map[string]int // by body
	cancelled int
	refuse    bool
}

// New returns a Mimic that does not listen yet.
func New(options Options) *Mimic {
	ctx, cancel := context.WithCancel(context.Background())
	return &Mimic{
		options: options,
		slots:   make(chan struct{}, options.Slots),
		ctx:     ctx,
		cancel:  cancel,
		client:  &http.Client{Timeout: time.Second, Transport: &http.Transport{TLSClientConfig: options.TLS}},
		runs:    make(map[string]int),
		bodies:  make(map[string]int),
	}
}

// Start listens on an IP address and port and returns the resulting address.
func (m *Mimic) Start(listen string) (netip.AddrPort, error) {
	var config net.ListenConfig
	socket, err := config.Listen(m.ctx, "tcp", listen)
	if err != nil {
		return netip.AddrPort{}, trace.Wrap(err)
	}
	m.address, err = netip.ParseAddrPort(socket.Addr().String())
	if err != nil {
		return netip.AddrPort{}, trace.Wrap(err)
	}
	router := mux.NewRouter()
	router.Path("/v1/chat/completions").HandlerFunc(m.serve(m.chat))
	router.PathPrefix("/").HandlerFunc(m.serve(m.plain))
	m.server = &http.Server{Handler: router, ReadHeaderTimeout: time.Second}
	m.wait.Go(func() { _ = m.server.Serve(socket) })
	return m.address, nil
}

// Address returns the listen address.
func (m *Mimic) Address() netip.AddrPort { return m.address }

// Announce announces the upstream to the instance at the given address and renews
// the announcement until Stop.
func (m *Mimic) Announce(instance string) {
	m.announce(instance)
	m.wait.Go(func() {
		ticker := time.NewTicker(renewalInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				m.announce(instance)
			case <-m.ctx.Done():
				return
			}
		}
	})
}

func (m *Mimic) announce(instance string) {
	body, err := json.Marshal(announcer.Announcement{
		ID: m.options.ID, Service: m.options.Service,
		Region: m.options.Region, Zone: m.options.Zone,
		Address: m.address, Slots: m.options.Slots,
		Load: announcer.Load{Running: int(m.running.Load()), Waiting: int(m.waiting.Load())},
	})
	if err != nil {
		return
	}
	m.call(http.MethodPost, m.scheme()+instance+"/v1/upstreams", body)
}

// scheme returns the scheme of an instance's URL.
func (m *Mimic) scheme() string {
	if m.options.TLS == nil {
		return "http://"
	}
	return "https://"
}

// call sends a request to an instance. It reports a failure but does not retry, as
// the next renewal does.
func (m *Mimic) call(method, url string, body []byte) {
	if err := m.send(method, url, body); err != nil && m.options.Failed != nil && m.ctx.Err() == nil {
		m.options.Failed(err)
	}
}

// send sends a request and returns an error unless it is accepted.
func (m *Mimic) send(method, url string, body []byte) error {
	request, err := http.NewRequestWithContext(m.ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	if m.options.Key != "" {
		request.Header.Set("Authorization", "Bearer "+m.options.Key)
	}
	response, err := m.client.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return trace.Errorf("%s was answered with %s", url, response.Status)
	}
	return nil
}

// Leave tells an instance that the upstream accepts no new requests.
func (m *Mimic) Leave(instance string) {
	m.call(http.MethodDelete,
		m.scheme()+instance+"/v1/upstreams/"+string(m.options.Service)+"/"+string(m.options.ID), nil)
}

// Stop closes the upstream immediately, like a crash.
func (m *Mimic) Stop() {
	m.stopping.Do(func() {
		m.cancel()
		if m.server != nil {
			_ = m.server.Close()
		}
		m.client.CloseIdleConnections()
	})
}

// Wait blocks until all goroutines have ended after Stop.
func (m *Mimic) Wait() { m.wait.Wait() }

// Refuse sets whether the upstream refuses each request as not started.
func (m *Mimic) Refuse(refuse bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refuse = refuse
}

// Runs returns how often a request with this body was started.
func (m *Mimic) Runs(body string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bodies[body]
}

// Requests returns how many requests were started.
func (m *Mimic) Requests() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0
	for _, n := range m.runs {
		total += n
	}
	return total
}

// Busy returns how many requests are running.
func (m *Mimic) Busy() int { return int(m.running.Load()) }

// Cancelled returns how many requests were cancelled by the router.
func (m *Mimic) Cancelled() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cancelled
}
