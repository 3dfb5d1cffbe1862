package relayer

import (
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/redwingshunt/redwingshunt"
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
	if os.Getenv("REDWINGSHUNT_RED") == "" {
		t.Skip("see KNOWN-RED.txt")
	}
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
