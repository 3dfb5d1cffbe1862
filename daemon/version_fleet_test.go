package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/authenticator"
)

const (
	// headerResumes names the attempt that brought the first event of a stream.
	headerResumes = redwingshunt.HeaderResumes
	// versionEvents is the number of events of a stream, versionEventPause the pause before each.
	versionEvents     = 200
	versionEventPause = 100 * time.Millisecond
	// versionSettleTime is the time after which all instances know that a service has
	// one version.
	versionSettleTime = 6 * time.Second
	// announcementPeriod is the interval at which an upstream announces itself.
	announcementPeriod = 300 * time.Millisecond
	// takeUpTime is the time after a disturbance over which callers return.
	takeUpTime = 3 * time.Second
	// takeUpTries is how often a caller tries to take up a stream or to begin one.
	takeUpTries = 3
)

// versionedUpstream is an upstream whose events state its version. It resumes streams
// after the last event that the caller has, whichever version sent it.
type versionedUpstream struct {
	state  redwingshunt.UpstreamState // without the sequence number
	server *http.Server
	leave  context.CancelFunc // ends the announcements

	mu    sync.Mutex
	reset chan struct{} // closed to break off the running streams
}

// breakStreams closes the connections of the running streams.
func (u *versionedUpstream) breakStreams() {
	u.mu.Lock()
	defer u.mu.Unlock()
	close(u.reset)
	u.reset = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (u *versionedUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	dialect := redwingshunt.DefaultDialect()
	u.mu.Lock()
	reset := u.reset
	u.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(dialect.Request)
	w.Header().Set(dialect.Request, id)
	if r.Header.Get(dialect.Expect) != string(u.state.ID) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(dialect.Signature, string(u.state.ID)+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	last, err := strconv.Atoi(r.Header.Get(redwingshunt.HeaderLastEvent))
	if err != nil {
		last = 0 // from the beginning
	}
	for i := last + 1; i <= versionEvents; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-reset:
			panic(http.ErrAbortHandler)
		case <-time.After(versionEventPause):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, u.state.Version)
		_ = http.NewResponseController(w).Flush() // the caller may have disconnected
	}
}

// versionFleet is a fleet of voters and routers before upstreams of several versions.
type versionFleet struct {
	t        *testing.T
	document *redwingshunt.Document
	routers  []*node
	served   []redwingshunt.UpstreamID // all that have started
	running  map[string][]*versionedUpstream
	callers  int

	mu     sync.Mutex
	voters []*node // nil while stopped
}

const (
	versionVoters  = 3
	versionRouters = 3
	versionPort    = 28400 // first port of the links
)

// versionFleets counts the fleets of this process, which have ports of their own.
var versionFleets atomic.Int32

// startVersionFleet starts a fleet without upstreams.
func startVersionFleet(t *testing.T) *versionFleet {
	t.Helper()
	f := &versionFleet{t: t, document: versionDocument(), running: make(map[string][]*versionedUpstream)}
	port := uint16(versionPort + 3*versionFleets.Add(1))
	var links []netip.AddrPort
	for i := range versionVoters {
		links = append(links, netip.AddrPortFrom(netip.MustParseAddr(loopback(120+i)), port))
	}
	for i := range versionVoters + versionRouters {
		address := netip.MustParseAddr(loopback(120 + i))
		settings := redwingshunt.Settings{
			Name: redwingshunt.InstanceID(fmt.Sprint("router-", i)), Region: "north", Zone: redwingshunt.ZoneID(fmt.Sprint("north-", i%3)),
			Link: netip.AddrPortFrom(address, port), Admin: netip.AddrPortFrom(address, port+1), Peers: links, Plain: true,
			Repeats: redwingshunt.RepeatBudget{Ratio: 100, Extra: 1000, Window: 10 * time.Second},
		}
		if i < versionVoters {
			settings.Name = redwingshunt.InstanceID(fmt.Sprint("voter-", i))
			settings.Data, settings.Wanted, settings.Founders = t.TempDir(), versionVoters, links
			f.voters = append(f.voters, f.run(settings))
			continue
		}
		settings.Routes = netip.AddrPortFrom(address, port+2)
		f.routers = append(f.routers, f.run(settings))
	}
	eventually(t, f.isConnected)
	return f
}

func versionDocument() *redwingshunt.Document {
	account := func(name redwingshunt.AccountID) redwingshunt.Account {
		return redwingshunt.Account{Name: name, Keys: []redwingshunt.KeyHash{authenticator.HashKey("EXAMPLE-KEY-" + string(name))}}
	}
	return &redwingshunt.Document{
		Services: []redwingshunt.Service{{Name: "model"}},
		Accounts: []redwingshunt.Account{account("alpha"), account("beta")},
		Routes: []redwingshunt.Route{{
			Name: "model", Host: "h", Prefix: "/model/", Kind: redwingshunt.RouteStream, Resumable: true,
			Limit: time.Minute, Aim: time.Second, Pause: time.Second, Attempts: 3,
			Targets: []redwingshunt.Target{{Service: "model", Weight: 1}},
		}},
	}
}

// run starts an instance whose stop is not graceful.
func (f *versionFleet) run(settings redwingshunt.Settings) *node {
	abort := make(chan struct{})
	close(abort)
	return runNode(f.t, settings, func(o *Options) { o.Document, o.Abort = f.document, abort })
}

// isConnected reports whether all instances know all others as they run now.
func (f *versionFleet) isConnected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := slices.DeleteFunc(slices.Concat(f.voters, f.routers), func(n *node) bool { return n == nil })
	return !slices.ContainsFunc(all, func(n *node) bool { return !sees(n, all) })
}

// crash ends an instance as a loss of power does: its connections are closed first, so
// that nobody hears of its end.
func (n *node) crash() {
	if n.routeServer != nil {
		_ = n.routeServer.server.Close()
	}
	n.grpc.Stop()
	n.linker.Close()
	_ = n.stop()
}

// restartRouters ends all routers at once and starts them again.
func (f *versionFleet) restartRouters() {
	var crashes sync.WaitGroup
	for _, n := range f.routers {
		crashes.Go(n.crash)
	}
	crashes.Wait()
	for i, n := range f.routers {
		f.routers[i] = f.run(n.settings)
	}
}

// stopVoter ends a voter.
func (f *versionFleet) stopVoter(i int) redwingshunt.Settings {
	f.mu.Lock()
	n := f.voters[i]
	f.voters[i] = nil
	f.mu.Unlock()
	n.crash()
	return n.settings
}

// restartVoter ends a voter and starts it again with its data folder.
func (f *versionFleet) restartVoter(i int) {
	n := f.run(f.stopVoter(i))
	f.mu.Lock()
	f.voters[i] = n
	f.mu.Unlock()
	eventually(f.t, f.isConnected)
}

// serve starts two upstreams of a version, which announce themselves at the voters in turn.
func (f *versionFleet) serve(version string) {
	f.t.Helper()
	for range 2 {
		socket, err := new(net.ListenConfig).Listen(f.t.Context(), "tcp4", "127.0.0.1:0")
		if err != nil {
			f.t.Fatal(err)
		}
		id := redwingshunt.UpstreamID(fmt.Sprint("u", len(f.served)))
		f.served = append(f.served, id)
		ctx, cancel := context.WithCancel(context.Background())
		u := &versionedUpstream{
			state: redwingshunt.UpstreamState{Born: time.Now(), Upstream: redwingshunt.Upstream{
				ID: id, Service: "model", Region: "north", Zone: "north-0", Address: socket.Addr().(*net.TCPAddr).AddrPort(),
				Slots: 256, Version: version,
			}},
			leave: cancel, reset: make(chan struct{}),
		}
		u.server = &http.Server{Handler: u, ReadHeaderTimeout: headerTimeout}
		go func() { _ = u.server.Serve(socket) }() // ends with Close
		f.t.Cleanup(func() { cancel(); _ = u.server.Close() })
		f.running[version] = append(f.running[version], u)
		go f.announce(ctx, u.state)
	}
}

func (f *versionFleet) announce(ctx context.Context, state redwingshunt.UpstreamState) {
	for ; ctx.Err() == nil; redwingshunt.Pause(ctx, announcementPeriod) {
		state.Sequence++
		if voter := f.voter(int(state.Sequence)); voter != nil {
			voter.enroller.Enroll(state)
		}
	}
}

// voter returns a running voter, or nil if the i-th one is stopped.
func (f *versionFleet) voter(i int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.voters[i%len(f.voters)]
}

// withdraw has all upstreams of a version leave. They stop once their leave is known.
func (f *versionFleet) withdraw(version string) {
	f.t.Helper()
	for _, u := range f.running[version] {
		u.leave()
		for i := range versionVoters {
			if voter := f.voter(i); voter != nil {
				voter.enroller.Dismiss(u.state.ID, u.state.Born)
			}
		}
	}
	eventually(f.t, func() bool { return !f.knows(version) })
	for _, u := range f.running[version] {
		_ = u.server.Close()
	}
	delete(f.running, version)
}

// knows reports whether any router has a usable upstream of a version.
func (f *versionFleet) knows(version string) bool {
	return slices.ContainsFunc(f.routers, func(n *node) bool { return usableOf(n, version) > 0 })
}

func usableOf(n *node, version string) int {
	count := 0
	for _, s := range n.enroller.Usable() {
		if s.Version == version {
			count++
		}
	}
	return count
}

// awaitUpstreams waits until all routers know all upstreams.
func (f *versionFleet) awaitUpstreams() {
	f.t.Helper()
	eventually(f.t, func() bool {
		for version, upstreams := range f.running {
			if slices.ContainsFunc(f.routers, func(n *node) bool { return usableOf(n, version) != len(upstreams) }) {
				return false
			}
		}
		return true
	})
}
