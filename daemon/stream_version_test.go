package daemon

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

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
