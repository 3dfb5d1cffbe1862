package relayer

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// TestStreamDoesNotGoOnAtAnotherVersion breaks a stream off after two events.
func TestStreamDoesNotGoOnAtAnotherVersion(t *testing.T) {
	tests := map[string]struct {
		versions [2]string
		whole    bool
	}{
		"same version":    {[2]string{"v1", "v1"}, true},
		"no version":      {[2]string{"", ""}, true},
		"newer version":   {[2]string{"v1", "v2"}, false},
		"older version":   {[2]string{"v2", "v1"}, false},
		"version unknown": {[2]string{"v1", ""}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.streaming)
			for i, version := range test.versions {
				f.placer.upstreams[i].Version = version
			}
			f.streaming[0].Misbehave(mimic.CutStream, 1)
			got := f.send(t, "/resumable/a", nil)
			is.Equal(got.status, 200)
			is.Equal(got.err == nil, test.whole)
			is.Equal(got.body == events(), test.whole)
			is.True(strings.HasPrefix(events(), got.body))
			is.Equal(f.streaming[1].Total() == 1, test.whole)
		})
	}
}

// TestRetryBeforeFirstEventMayChangeVersion has the first upstream end without an event.
func TestRetryBeforeFirstEventMayChangeVersion(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.streaming)
	f.placer.upstreams[0].Version, f.placer.upstreams[1].Version = "v1", "v2"
	f.streaming[0].Misbehave(mimic.CutHeader, 1)
	got := f.send(t, "/resumable/a", func(r *http.Request) { r.Header.Del(redwingshunt.HeaderLastEvent) })
	is.NoErr(got.err)
	is.Equal(got.body, events())
}

// originTable is an Origins with fixed answers.
type originTable struct {
	mu    sync.Mutex
	known map[redwingshunt.StreamKey]redwingshunt.Origin
	only  redwingshunt.Option[redwingshunt.Origin] // of streams that are not known
	begun int
	asked int

	unrecorded bool // no stream can be recorded
}

func (o *originTable) Begin(_ context.Context, key redwingshunt.StreamKey, origin redwingshunt.Origin, _ time.Time) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unrecorded {
		return redwingshunt.ErrUnrecorded
	}
	o.begun++
	o.known[key] = origin
	return nil
}

func (o *originTable) Find(
	_ context.Context, key redwingshunt.Option[redwingshunt.StreamKey], _ redwingshunt.ServiceID,
) (redwingshunt.Origin, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked++
	if named, ok := key.Get(); ok {
		if origin, known := o.known[named]; known {
			return origin, nil
		}
	}
	if origin, ok := o.only.Get(); ok {
		return origin, nil
	}
	return redwingshunt.Origin{}, redwingshunt.NotRun(redwingshunt.ReasonOriginUnknown, http.StatusServiceUnavailable, "unknown")
}

// TestTakenUpStreamGoesOnAtItsVersion takes streams up at an instance that has none of
// them, with upstreams of v1 and v2.
func TestTakenUpStreamGoesOnAtItsVersion(t *testing.T) {
	origin := func(version string) redwingshunt.Origin {
		return redwingshunt.Origin{Service: "s", Version: version}
	}
	known := map[redwingshunt.StreamKey]redwingshunt.Origin{
		redwingshunt.NewStreamKey("alpha", "began-v1"):  origin("v1"),
		redwingshunt.NewStreamKey("alpha", "began-v2"):  origin("v2"),
		redwingshunt.NewStreamKey("alpha", "began-v3"):  origin("v3"),
		redwingshunt.NewStreamKey("beta", "of-beta"):    origin("v2"),
		redwingshunt.NewStreamKey("alpha", "elsewhere"): {Service: "other", Version: "v1"},
	}
	tests := map[string]struct {
		resumes, last string
		only          string // version of streams that are not known
		want          string // version at which it goes on, or reason of the refusal
	}{
		"first version":          {"began-v1", "2", "", "v1"},
		"second version":         {"began-v2", "2", "", "v2"},
		"version without one":    {"began-v3", "2", "", "no-upstream"},
		"unknown":                {"began-elsewhere", "2", "", "origin-unknown"},
		"not named":              {"", "2", "", "origin-unknown"},
		"name is too long":       {strings.Repeat("x", 200), "2", "", "origin-unknown"},
		"names itself":           {"r1", "2", "", "origin-unknown"},
		"names two":              {"began-v1, began-v2", "2", "", "origin-unknown"},
		"of another account":     {"of-beta", "2", "", "origin-unknown"},
		"service left the route": {"elsewhere", "2", "", "no-upstream"},
		"only version":           {"", "2", "v2", "v2"},
		"no event, known":        {"began-v2", "", "", "v2"},
		"no event, not known":    {"began-elsewhere", "", "", "v1"},
		"begins":                 {"", "", "", "v1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.streaming)
			f.placer.upstreams[0].Version, f.placer.upstreams[1].Version = "v1", "v2"
			origins := &originTable{known: maps.Clone(known)}
			if test.only != "" {
				origins.only = redwingshunt.Some(origin(test.only))
			}
			f.relayer.options.Origins = origins
			got := f.send(t, "/resumable/a", func(r *http.Request) {
				if test.resumes != "" {
					r.Header.Set(redwingshunt.HeaderResumes, test.resumes)
				}
				if test.last != "" {
					r.Header.Set(redwingshunt.HeaderLastEvent, test.last)
				}
			})
			is.NoErr(got.err)
			runs := [2]int{f.streaming[0].Total(), f.streaming[1].Total()}
			switch test.want {
			case "v1", "v2":
				is.Equal(got.status, http.StatusOK)
				is.True(strings.HasSuffix(events(), got.body) && got.body != "")
				is.Equal(runs, map[string][2]int{"v1": {1, 0}, "v2": {0, 1}}[test.want])
			default:
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.Equal(got.header.Get(redwingshunt.HeaderOutcome), string(redwingshunt.OutcomeNotRun))
				is.Equal(got.header.Get(redwingshunt.HeaderReason), test.want)
				is.Equal(runs, [2]int{})
			}
		})
	}
}

// TestStreamWithoutRecordDoesNotBegin has a stream that cannot be recorded.
func TestStreamWithoutRecordDoesNotBegin(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.streaming)
	f.relayer.options.Origins = &originTable{unrecorded: true}
	got := f.send(t, "/resumable/a", nil)
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(got.header.Get(redwingshunt.HeaderOutcome), string(redwingshunt.OutcomeMayHaveRun))
	is.Equal([2]int{f.streaming[0].Total(), f.streaming[1].Total()}, [2]int{1, 0})
}

// TestOtherStreamsHaveNoRecord checks that only streams that may be taken up cost a record.
func TestOtherStreamsHaveNoRecord(t *testing.T) {
	for _, path := range []string{"/stream/a", "/safe/a"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.streaming)
			origins := &originTable{known: make(map[redwingshunt.StreamKey]redwingshunt.Origin)}
			f.relayer.options.Origins = origins
			got := f.send(t, path, func(r *http.Request) { r.Header.Set(redwingshunt.HeaderLastEvent, "2") })
			is.Equal(got.status, http.StatusOK)
			is.Equal(origins.begun+origins.asked, 0)
		})
	}
}

// TestStandbyOfAnotherVersionIsDropped has a stream begin with a comment after an upstream
// of another version was asked, and break off.
func TestStandbyOfAnotherVersionIsDropped(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.streaming)
	first, err := mimic.StartScripted(func(connection net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		fmt.Fprintf(connection, streamHead+"Transfer-Encoding: chunked\r\n\r\n", request.Header.Get(redwingshunt.HeaderRequest))
		time.Sleep(firstByteSlack + 150*time.Millisecond) // the route's objective is 50 ms
		fmt.Fprint(connection, "8\r\n: note\n\n\r\n")
		time.Sleep(20 * time.Millisecond)
	})
	is.NoErr(err)
	t.Cleanup(first.Stop)
	f.placer.upstreams[0].Address = first.Address()
	f.placer.upstreams[0].Version, f.placer.upstreams[1].Version = "v1", "v2"
	second := f.startSilent(t, 1, mimic.SilentOptions{Events: 5, Point: mimic.BeforeHead, For: time.Second, Times: 1})
	got := f.send(t, "/resumable/a", nil)
	is.True(got.err != nil) // cut off
	is.Equal(got.body, ": note\n\n")
	is.Equal(second.Runs("r1"), 1) // it was asked
}
