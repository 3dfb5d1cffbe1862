package relayer

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/logger"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// silentFor is longer than the stall timeouts of the fixture's routes and shorter than
// callers wait.
const silentFor = 1600 * time.Millisecond

var silencePoints = map[string]mimic.SilencePoint{
	"before the request": mimic.BeforeRequest, "before the head": mimic.BeforeHead, "within the head": mimic.WithinHead,
	"before the first event": mimic.BeforeFirstEvent, "between events": mimic.BetweenEvents,
	"within an event": mimic.WithinEvent, "before the last byte": mimic.BeforeLastByte,
}

// startSilent starts a silent upstream and places it at an index of the placer's list.
func (f *fixture) startSilent(t *testing.T, index int, options mimic.SilentOptions) *mimic.Silent {
	t.Helper()
	options.ID, options.Dialect = f.placer.upstreams[index].ID, redwingshunt.DefaultDialect()
	u, err := mimic.StartSilent(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Stop)
	f.placer.upstreams[index].Address = u.Address()
	return u
}

// unreachableAddress returns an address at which connections are neither accepted nor
// refused.
func unreachableAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	raw, err := socket.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(descriptor uintptr) { err = unix.Listen(int(descriptor), 0) }); err != nil {
		t.Fatal(err)
	}
	for { // until the backlog is full
		connection, err := net.DialTimeout("tcp4", socket.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return socket.Addr().(*net.TCPAddr).AddrPort()
		}
		t.Cleanup(func() { connection.Close() })
	}
}

// TestSilentUpstreamFinishesItsAnswer guards against an answer that is cut since its
// upstream was silent, although no other upstream could take the request over.
func TestSilentUpstreamFinishesItsAnswer(t *testing.T) {
	misbehave := func(fault mimic.Misbehaviour) func(*testing.T, *fixture) {
		return func(_ *testing.T, f *fixture) {
			f.plain[1].Misbehave(fault, -1)
			f.streaming[1].Misbehave(fault, -1)
		}
	}
	obstacles := map[string]struct {
		apply     func(*testing.T, *fixture)
		allPoints bool
	}{
		"no retry budget":          {apply: func(_ *testing.T, f *fixture) { f.placer.budget = 0 }, allPoints: true},
		"no other upstream":        {apply: func(_ *testing.T, f *fixture) { f.placer.upstreams = f.placer.upstreams[:1] }, allPoints: true},
		"the other refuses":        {apply: misbehave(mimic.RefuseAll)},
		"the other breaks off":     {apply: misbehave(mimic.CutHeader)},
		"the other fails":          {apply: misbehave(mimic.Fail)},
		"the other is unreachable": {apply: func(t *testing.T, f *fixture) { f.placer.upstreams[1].Address = unreachableAddress(t) }},
		"the other has ended": {apply: func(_ *testing.T, f *fixture) {
			f.plain[1].Stop()
			f.streaming[1].Stop()
		}},
	}
	for name, point := range silencePoints {
		for obstacle, test := range obstacles {
			for path, events := range map[string]int{"/resumable/a": 5, "/safe/a": 0} {
				if events == 0 && point == mimic.WithinEvent || !test.allPoints && point != mimic.BeforeHead && point != mimic.BetweenEvents {
					continue
				}
				t.Run(path+", "+name+", "+obstacle, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					f := newFixture(t)
					want := "whole body"
					f.setUpstreams(f.plain)
					if events > 0 {
						want = mimic.Events(events)
						f.setUpstreams(f.streaming)
					}
					silent := f.startSilent(t, 0, mimic.SilentOptions{Events: events, Point: point, For: silentFor, Times: 1})
					test.apply(t, f)
					got := f.send(t, path, nil)
					is.NoErr(got.err)
					is.Equal(got.status, 200)
					is.Equal(got.body, want)
					is.Equal(silent.Runs("r1"), 1)
					is.Equal(silent.Cut(), 0)
					is.Equal(f.suspects.lost, 0)
				})
			}
		}
	}
}

// TestStalledUpstreamIsLeftInTime guards against two upstreams that work on one stream
// for longer than the second one may take to refuse it.
func TestStalledUpstreamIsLeftInTime(t *testing.T) {
	const maxOverlap = 400 * time.Millisecond
	for name, hangs := range map[string]time.Duration{"the other answers at once": 0, "the other takes its time": 800 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.streaming)
			f.streaming[0].Misbehave(mimic.Hang, -1)
			log := &logger.Memory{}
			f.relayer.options.Logger = slog.New(slog.NewJSONHandler(log, nil))
			other := f.startSilent(t, 1, mimic.SilentOptions{Events: 5, Point: mimic.BeforeHead, For: hangs, Times: 1})
			got := make(chan callerView, 1)
			go func() { got <- f.send(t, "/resumable/a", nil) }()
			eventually(t, func() bool { return other.Runs("r1") == 1 })
			began := time.Now()
			eventually(t, func() bool { return f.streaming[0].Left("r1") })
			is.True(time.Since(began) < maxOverlap)
			response := <-got
			is.NoErr(response.err)
			is.Equal(response.body, events())
			is.Equal(f.placer.budget, 9) // one retry
			is.True(regexp.MustCompile(`"upstream":"w0","address":"[^"]*","attempt":1,`).MatchString(log.String()))
		})
	}
}

// TestStalledUpstreamIsReplaced has an upstream fall silent for longer than callers wait,
// at each point, while another one can take the request over.
func TestStalledUpstreamIsReplaced(t *testing.T) {
	for name, point := range silencePoints {
		for path, events := range map[string]int{"/resumable/a": 5, "/safe/a": 0} {
			if events == 0 && point == mimic.WithinEvent {
				continue
			}
			t.Run(path+", "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newFixture(t)
				want := "answer of w1 to r1"
				f.setUpstreams(f.plain)
				if events > 0 {
					want = mimic.Events(events)
					f.setUpstreams(f.streaming)
				}
				f.startSilent(t, 0, mimic.SilentOptions{Events: events, Point: point, For: 5 * time.Second, Times: -1})
				began := time.Now()
				got := f.send(t, path, nil)
				is.NoErr(got.err)
				is.Equal(got.body, want)
				is.True(time.Since(began) < 2*time.Second) // the limit of the safe route
				is.Equal(f.placer.budget, 9)               // one retry
				is.Equal(f.suspects.lost, 0)
			})
		}
	}
}

// TestSilentUpstreamThatGoesOnKeepsItsRequest has an upstream go on while another one was
// asked and has not refused yet.
func TestSilentUpstreamThatGoesOnKeepsItsRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.streaming)
	silent := f.startSilent(t, 0, mimic.SilentOptions{Events: 5, Point: mimic.BetweenEvents, For: minEventTimeout + 100*time.Millisecond, Times: 1})
	f.streaming[1].Misbehave(mimic.Hang, -1)
	got := f.send(t, "/resumable/a", nil)
	is.NoErr(got.err)
	is.Equal(got.body, events())
	is.Equal(silent.Cut(), 0)
	is.Equal(f.streaming[1].Runs("r1"), 1)
	eventually(t, func() bool { return f.streaming[1].Left("r1") })
}

// TestStandbyFollowsUpstreamThatBreaksOff has an upstream break off after another one was
// asked.
func TestStandbyFollowsUpstreamThatBreaksOff(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.streaming)
	first, err := mimic.StartScripted(func(connection net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		fmt.Fprintf(connection, streamHead+"Transfer-Encoding: chunked\r\n\r\n15\r\nid: 1\ndata: token 1\n\n\r\n", request.Header.Get(redwingshunt.HeaderRequest))
		time.Sleep(minEventTimeout + 100*time.Millisecond)
	})
	is.NoErr(err)
	t.Cleanup(first.Stop)
	f.placer.upstreams[0].Address = first.Address()
	second := f.startSilent(t, 1, mimic.SilentOptions{Events: 5, Point: mimic.BeforeHead, For: 500 * time.Millisecond, Times: 1})
	got := f.send(t, "/resumable/a", nil)
	is.NoErr(got.err)
	is.Equal(got.body, events())
	is.Equal(second.Runs("r1"), 1)
	is.Equal(f.placer.budget, 9) // one retry
}

// TestSilentUnreachableUpstreamIsSpared guards against new requests on kept connections to
// a silent upstream that accepts no new one. The request that runs there goes on.
func TestSilentUnreachableUpstreamIsSpared(t *testing.T) {
	tests := map[string]struct {
		unreachable bool
		pauses      []time.Duration
	}{
		"accepts connections":    {},
		"accepts no connections": {unreachable: true, pauses: []time.Duration{unreachablePause}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.streaming)
			f.placer.budget = 0
			silent := f.startSilent(t, 0, mimic.SilentOptions{Events: 5, Point: mimic.BetweenEvents, For: silentFor, Times: 1})
			got := make(chan callerView, 1)
			go func() { got <- f.send(t, "/resumable/a", nil) }()
			eventually(t, func() bool { return silent.Silences() == 1 })
			if test.unreachable {
				silent.Stop()
			}
			response := <-got
			is.NoErr(response.err)
			is.Equal(response.body, events())
			f.placer.mu.Lock()
			defer f.placer.mu.Unlock()
			is.Equal(f.placer.pauses, test.pauses)
		})
	}
}
