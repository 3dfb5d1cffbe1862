package daemon

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

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

// versionCaller is a caller with one stream.
type versionCaller struct {
	fleet *versionFleet
	name  string // prefix of its request IDs
	key   string
	tries int

	refusals []string // of its tries to take the stream up or to begin one

	mu      sync.Mutex
	resumes string   // request ID of the attempt that brought the first event
	events  []string // the version of each event, in order
	faults  []string
	broken  bool // the first answer has ended
}

// newCaller returns a caller that has sent nothing yet.
func (f *versionFleet) newCaller(account string) *versionCaller {
	f.callers++
	return &versionCaller{fleet: f, name: fmt.Sprintf("c%d", f.callers), key: "EXAMPLE-KEY-" + account}
}

// received returns the number of events that the caller has.
func (c *versionCaller) received() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.events)
}

// versions returns the versions of the events, without repetition.
func (c *versionCaller) versions() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	versions := slices.Clone(c.events)
	slices.Sort(versions)
	return slices.Compact(versions)
}

// isBroken reports whether the first answer has ended.
func (c *versionCaller) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// versionAnswer is the end of one attempt of a caller.
type versionAnswer struct {
	status     int // zero without an answer
	events     int
	retryAfter time.Duration
	detail     string // of a refusal
}

// send sends one attempt to a router, with the header of a take-up once it has an event.
// It returns at the end of the answer or after a number of events.
func (c *versionCaller) send(router *node, events int, change func(http.Header)) versionAnswer {
	dialect := redwingshunt.DefaultDialect()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.settings.Routes.String()+"/model/1", strings.NewReader(c.name))
	if err != nil {
		return versionAnswer{}
	}
	c.tries++
	id := fmt.Sprintf("%s-%d", c.name, c.tries)
	request.Host = "h"
	request.Header.Set(dialect.Request, id)
	request.Header.Set(dialect.Key, c.key)
	if c.resumes != "" {
		request.Header.Set(headerResumes, c.resumes)
		request.Header.Set(redwingshunt.HeaderLastEvent, strconv.Itoa(c.received()))
	}
	if change != nil {
		change(request.Header)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return versionAnswer{}
	}
	defer response.Body.Close()
	answer := versionAnswer{status: response.StatusCode, retryAfter: retryAfterOf(response.Header)}
	if response.StatusCode != http.StatusOK {
		var refusal struct{ Error struct{ Message string } }
		_ = json.NewDecoder(response.Body).Decode(&refusal) // other answers have no message
		answer.detail = refusal.Error.Message
		return answer
	}
	for lines := bufio.NewScanner(response.Body); answer.events < events && lines.Scan(); {
		c.read(id, lines.Text())
		if strings.HasPrefix(lines.Text(), "data: ") {
			answer.events++
		}
	}
	return answer
}

// read records one line of a stream.
func (c *versionCaller) read(id, line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, value, _ := strings.Cut(line, ": ")
	switch name {
	case "id":
		if value != strconv.Itoa(len(c.events)+1) {
			c.faults = append(c.faults, fmt.Sprintf("event %s after %d events", value, len(c.events)))
		}
	case "data":
		if len(c.events) == 0 {
			c.resumes = id
		}
		c.events = append(c.events, value)
	}
}

func retryAfterOf(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// try sends up to takeUpTries attempts, each to the next router, until one brings the
// given number of events. It waits between them as callers do.
func (c *versionCaller) try(first, events int) bool {
	for i := range takeUpTries {
		answer := c.send(c.fleet.routers[(first+i)%versionRouters], events, nil)
		if answer.events == events {
			return true
		}
		c.refusals = append(c.refusals, fmt.Sprint(answer.status, " ", answer.detail))
		time.Sleep(max(answer.retryAfter, 100*time.Millisecond<<i))
	}
	return false
}

// begin starts streams and waits until each has two events. They go on in the
// background until they break.
func (f *versionFleet) begin(count int) []*versionCaller {
	f.t.Helper()
	var callers []*versionCaller
	for i := range count {
		c := f.newCaller("alpha")
		callers = append(callers, c)
		router := f.routers[i%versionRouters]
		go func() {
			for end := time.Now().Add(waitTimeout); c.send(router, versionEvents, nil).events == 0 && time.Now().Before(end); {
				time.Sleep(100 * time.Millisecond)
			}
			c.mu.Lock()
			c.broken = true
			c.mu.Unlock()
		}()
	}
	eventually(f.t, func() bool {
		return !slices.ContainsFunc(callers, func(c *versionCaller) bool { return c.received() < 2 })
	})
	return callers
}

// beginOf begins streams until a number of them are of a version.
func (f *versionFleet) beginOf(version string, count int) []*versionCaller {
	f.t.Helper()
	var all []*versionCaller
	for range 10 {
		all = append(all, f.begin(count)...)
		of := slices.DeleteFunc(slices.Clone(all), func(c *versionCaller) bool { return c.versions()[0] != version })
		if len(of) >= count {
			return all
		}
	}
	f.t.Fatalf("fewer than %d of %d streams began at %s", count, len(all), version)
	return nil
}

// returned tells how many callers had a result.
type returned struct{ succeeded, all int }

func (r returned) share() float64 { return float64(r.succeeded) / float64(max(r.all, 1)) }

// takeUp has all callers take up their broken streams over takeUpTime, and as many
// others begin new ones. It returns how many streams went on, of those whose version has
// two upstreams, and how many began.
func (f *versionFleet) takeUp(callers []*versionCaller) (continued, begun returned) {
	f.t.Helper()
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i, c := range callers {
		fresh := f.newCaller("beta")
		delay := takeUpTime * time.Duration(i) / time.Duration(len(callers))
		counts := len(f.running[c.versions()[0]]) >= 2
		count := func(r *returned, succeeded bool) {
			mu.Lock()
			defer mu.Unlock()
			r.all++
			if succeeded {
				r.succeeded++
			}
		}
		wait.Go(func() {
			time.Sleep(delay)
			succeeded := c.try(i, 3)
			if counts {
				count(&continued, succeeded)
			}
		})
		wait.Go(func() {
			time.Sleep(delay)
			count(&begun, fresh.try(i, 3))
		})
	}
	wait.Wait()
	refusals := make(map[string]int)
	for _, c := range callers {
		for _, refusal := range c.refusals {
			refusals[refusal]++
		}
	}
	f.t.Logf("refused take-ups: %v", refusals)
	return continued, begun
}

// awaitBroken waits until the first answer of each caller has ended.
func awaitBroken(t *testing.T, callers []*versionCaller) {
	t.Helper()
	eventually(t, func() bool {
		return !slices.ContainsFunc(callers, func(c *versionCaller) bool { return !c.isBroken() })
	})
}

// streamFaults describes the streams that hold events of two versions, or not each event once.
func streamFaults(callers []*versionCaller) []string {
	var faults []string
	for _, c := range callers {
		if versions := c.versions(); len(versions) > 1 {
			faults = append(faults, fmt.Sprintf("%s: %d events of %v, began as %s", c.name, len(c.events), versions, c.resumes))
		}
		for _, fault := range c.faults {
			faults = append(faults, c.name+": "+fault)
		}
	}
	return faults
}

// checkStreams fails the test for streams that were joined.
func checkStreams(t *testing.T, callers []*versionCaller) {
	t.Helper()
	faults := streamFaults(callers)
	t.Logf("%d of %d streams hold events of two versions or are out of order: %s", len(faults), len(callers), strings.Join(faults, "; "))
	is.New(t).Equal(len(faults), 0)
}

// versionStreams is the number of streams that each step of a test begins.
const versionStreams = 24

// TestTakenUpStreamStaysAtItsVersion guards against streams that go on at another version
// of the upstreams than the one that began them.
func TestTakenUpStreamStaysAtItsVersion(t *testing.T) {
	// alone begins streams while v1 is the only version.
	alone := func(f *versionFleet) []*versionCaller {
		f.serve("v1")
		f.awaitUpstreams()
		time.Sleep(versionSettleTime)
		return f.begin(versionStreams)
	}
	// both adds streams that begin while v1 and v2 serve.
	both := func(f *versionFleet) []*versionCaller {
		callers := alone(f)
		f.serve("v2")
		f.awaitUpstreams()
		return append(callers, f.beginOf("v2", versionStreams/2)...)
	}
	tests := map[string]struct {
		begin   func(f *versionFleet) []*versionCaller
		disturb func(f *versionFleet)
		atLeast int // take-ups whose version has two upstreams
	}{
		"one version": {
			begin: alone, disturb: func(f *versionFleet) { f.restartRouters() }, atLeast: versionStreams,
		},
		"both versions in service": {
			begin: both, disturb: func(f *versionFleet) { f.restartRouters() }, atLeast: versionStreams,
		},
		"second version begins as the routers end": {
			begin: alone,
			disturb: func(f *versionFleet) {
				f.serve("v2")
				f.restartRouters()
			},
			atLeast: versionStreams,
		},
		"old version has just left": {
			begin: both,
			disturb: func(f *versionFleet) {
				f.withdraw("v1")
				f.restartRouters()
			},
			atLeast: versionStreams / 2,
		},
		"new version withdrawn": {
			begin: both,
			disturb: func(f *versionFleet) {
				f.withdraw("v2")
				f.restartRouters()
			},
			atLeast: versionStreams,
		},
		"old version returns": {
			begin: func(f *versionFleet) []*versionCaller {
				callers := both(f)
				f.withdraw("v1")
				callers = append(callers, f.begin(versionStreams/2)...)
				f.serve("v1")
				f.awaitUpstreams()
				return append(callers, f.beginOf("v1", versionStreams/2)...)
			},
			disturb: func(f *versionFleet) { f.restartRouters() },
			atLeast: versionStreams,
		},
		"both versions start at once": {
			begin: func(f *versionFleet) []*versionCaller {
				f.serve("v1")
				f.serve("v2")
				return f.begin(versionStreams)
			},
			disturb: func(f *versionFleet) { f.restartRouters() },
			atLeast: versionStreams,
		},
		"voter restarted in between": {
			begin: both,
			disturb: func(f *versionFleet) {
				f.restartVoter(0)
				f.restartRouters()
			},
			atLeast: versionStreams,
		},
		"voter lost with the routers": {
			begin: both,
			disturb: func(f *versionFleet) {
				f.stopVoter(0)
				f.restartRouters()
			},
			atLeast: versionStreams,
		},
		"upstream breaks its streams off": {
			begin: both,
			disturb: func(f *versionFleet) {
				f.running["v1"][0].breakStreams()
				f.running["v2"][0].breakStreams()
				time.Sleep(10 * versionEventPause)
				f.restartRouters()
			},
			atLeast: versionStreams,
		},
	}
	fleets := make(chan struct{}, 3) // at the same time
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleets <- struct{}{}
			defer func() { <-fleets }()
			is := is.New(t)
			f := startVersionFleet(t)
			callers := test.begin(f)
			test.disturb(f)
			awaitBroken(t, callers)
			continued, begun := f.takeUp(callers)
			t.Logf("%d of %d streams went on, %d of %d began", continued.succeeded, continued.all, begun.succeeded, begun.all)
			checkStreams(t, callers)
			is.True(continued.all >= test.atLeast)
			is.True(begun.share() > 0)
			is.True(continued.share() >= begun.share()/2)
		})
	}
}

// TestOddTakeUpsJoinNoVersions guards against callers that get events of another version,
// or learn of a stream of another client account, by what they say of their stream.
func TestOddTakeUpsJoinNoVersions(t *testing.T) {
	set := func(value string) func(http.Header) {
		return func(h http.Header) { h.Set(headerResumes, value) }
	}
	tests := map[string]func(http.Header){
		"absent":      func(h http.Header) { h.Del(headerResumes) },
		"empty":       set(""),
		"two":         func(h http.Header) { h[headerResumes] = []string{"c1-1", "c2-1"} },
		"malformed":   set("\t\"\x80\xff\";, %00"),
		"very long":   set(strings.Repeat("x", 4<<10)),
		"never sent":  set("no-such-request"),
		"own request": func(h http.Header) { h.Set(headerResumes, h.Get(redwingshunt.DefaultDialect().Request)) },
	}
	f := startVersionFleet(t)
	f.serve("v1")
	f.awaitUpstreams()
	time.Sleep(versionSettleTime)
	running := f.begin(versionStreams / 2)
	f.serve("v2")
	f.awaitUpstreams()
	running = append(running, f.beginOf("v2", versionStreams/2)...)

	t.Run("still running", func(t *testing.T) {
		is := is.New(t)
		checkStreams(t, f.takeUpAll(running, nil))
		before := make(map[*versionCaller]int)
		for _, c := range running {
			before[c] = c.received()
		}
		eventually(t, func() bool { // those that were named go on
			return !slices.ContainsFunc(running, func(c *versionCaller) bool {
				return c.received() < min(before[c]+2, versionEvents)
			})
		})
		is.True(!slices.ContainsFunc(running, func(c *versionCaller) bool { return c.isBroken() && c.received() < versionEvents }))
	})

	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			checkStreams(t, f.takeUpAll(running, change))
		})
	}

	t.Run("another account", func(t *testing.T) {
		is := is.New(t)
		answers := make(map[string][]string) // by version of the stream that is named
		ask := func(named, version string) {
			var mu sync.Mutex
			f.forEach(running, func(router *node, c *versionCaller) {
				if named == "" && c.versions()[0] != version {
					return
				}
				other := &versionCaller{fleet: f, name: "other-" + c.name, key: "EXAMPLE-KEY-beta"}
				answer := other.send(router, 1, func(h http.Header) {
					h.Set(headerResumes, cmp.Or(named, c.resumes))
					h.Set(redwingshunt.HeaderLastEvent, "1")
				})
				mu.Lock()
				defer mu.Unlock()
				answers[version] = append(answers[version], fmt.Sprint(answer.status, other.versions()))
			})
			slices.Sort(answers[version])
			answers[version] = slices.Compact(answers[version])
		}
		ask("", "v1")
		ask("", "v2")
		ask("no-such-request", "none")
		t.Logf("answers by the version of the stream that is named: %v", answers)
		is.Equal(answers["v1"], answers["none"])
		is.Equal(answers["v2"], answers["none"])
	})

	t.Run("ended whole", func(t *testing.T) {
		awaitBroken(t, running)
		for _, last := range []int{2, versionEvents} {
			checkStreams(t, f.takeUpAll(running, func(h http.Header) { h.Set(redwingshunt.HeaderLastEvent, strconv.Itoa(last)) }))
		}
		f.restartRouters()
		checkStreams(t, f.takeUpAll(running, nil))
	})
}

// forEach calls a function for each caller at the same time, with one of the routers.
func (f *versionFleet) forEach(callers []*versionCaller, call func(*node, *versionCaller)) {
	var wait sync.WaitGroup
	for i, c := range callers {
		wait.Go(func() { call(f.routers[i%versionRouters], c) })
	}
	wait.Wait()
}

// takeUpAll has other callers, which hold the first two events of the streams of callers,
// take these streams up. It returns them.
func (f *versionFleet) takeUpAll(callers []*versionCaller, change func(http.Header)) []*versionCaller {
	f.t.Helper()
	var copies []*versionCaller
	for _, c := range callers {
		next := f.newCaller("alpha")
		c.mu.Lock()
		next.resumes, next.events = c.resumes, slices.Clone(c.events[:2])
		c.mu.Unlock()
		copies = append(copies, next)
	}
	f.forEach(copies, func(router *node, c *versionCaller) {
		if answer := c.send(router, 2, change); answer.status != http.StatusOK && answer.status != http.StatusServiceUnavailable {
			f.t.Errorf("%s is answered with status %d", c.name, answer.status)
		}
	})
	return copies
}
