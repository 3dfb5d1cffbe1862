package relayer

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// TestParseRetryAfter parses values of Retry-After.
func TestParseRetryAfter(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tests := map[string]struct {
		text string
		want time.Duration
	}{
		"none": {"", 0}, "zero": {"0", 0}, "whole": {"2", 2 * time.Second}, "fraction": {" 0.5 ", 500 * time.Millisecond},
		"below zero": {"-3", 0}, "too long": {"1e300", maxPause}, "beyond the range": {"1e999", maxPause}, "no number": {"NaN", 0},
		"words": {"soon", 0}, "two": {"1, 2", 0},
		"date": {now.Add(4 * time.Second).UTC().Format(http.TimeFormat), 4 * time.Second}, "past": {now.Add(-time.Hour).UTC().Format(http.TimeFormat), 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(parseRetryAfter(test.text, now), test.want)
		})
	}
}

// TestBackOff has an upstream refuse with a Retry-After. The request must go to
// another upstream, and the first one must get no new work for that time.
func TestBackOff(t *testing.T) {
	for name, path := range map[string]string{"safe": "/safe/a", "once": "/once/a"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.plain)
			f.plain[0].Misbehave(mimic.RefuseAll, -1)
			f.plain[0].BackOff("1.5")
			is.Equal(f.send(t, path, nil).status, 200)
			is.Equal(f.placer.pauses, []time.Duration{1500 * time.Millisecond})
			is.Equal(f.plain[0].Runs("r1"), 0)
		})
	}
}

// dismissalCounter counts the dismissals of each upstream.
type dismissalCounter struct {
	mu        sync.Mutex
	dismissed map[redwingshunt.UpstreamID]int
}

func (*dismissalCounter) Enroll(redwingshunt.UpstreamState) {}

func (r *dismissalCounter) Dismiss(id redwingshunt.UpstreamID, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dismissed[id]++
}

// TestLeaving has an upstream announce in each kind of response that it leaves.
func TestLeaving(t *testing.T) {
	tests := map[string]struct {
		path         string
		misbehaviour mimic.Misbehaviour
		streaming    bool
		leaving      bool
	}{
		"success":          {"/safe/a", mimic.Behave, false, true},
		"error":            {"/once/a", mimic.Fail, false, true},
		"refusal":          {"/safe/a", mimic.RefuseAll, false, true},
		"unsigned":         {"/safe/a", mimic.Unsigned, false, true},
		"stream":           {"/stream/a", mimic.Behave, true, true},
		"cut stream":       {"/resumable/a", mimic.CutStream, true, true},
		"not leaving":      {"/safe/a", mimic.Behave, false, false},
		"truncated header": {"/safe/a", mimic.CutHeader, false, false}, // contains no announcement
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			roll := &dismissalCounter{dismissed: make(map[redwingshunt.UpstreamID]int)}
			f.relayer.options.Roll = roll
			upstreams := f.plain
			if test.streaming {
				upstreams = f.streaming
			}
			f.setUpstreams(upstreams)
			upstreams[0].Misbehave(test.misbehaviour, -1)
			if test.leaving {
				upstreams[0].Leave()
			}
			f.send(t, test.path, nil)
			is.Equal(roll.dismissed["w0"] > 0, test.leaving)
			is.Equal(roll.dismissed["w1"], 0)
		})
	}
}

// TestStale has placements that no longer hold once the connection is open, as after
// a pause of the process. Nothing must be sent, whatever the kind of request.
func TestStale(t *testing.T) {
	for name, path := range map[string]string{"safe": "/safe/a", "once": "/once/a"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.plain)
			f.placer.staleCalls = 1
			f.placer.budget = 0 // no retry is needed, since nothing was sent before
			is.Equal(f.send(t, path, nil).status, 200)
			is.Equal([2]int{f.plain[0].Runs("r1"), f.plain[1].Runs("r1")}, [2]int{0, 1})
			is.Equal(f.placer.ends[0], redwingshunt.EndLeft)
		})
	}
}

// TestLeavingUnderLoad has an upstream leave under concurrent requests, with the
// real allocator and enroller. Once its first response has announced that, no later
// request may reach it.
func TestLeavingUnderLoad(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	roll := useAllocator(t, f)
	var wait sync.WaitGroup
	var asked atomic.Int64
	send := func(n int) {
		for range n {
			wait.Go(func() {
				id := fmt.Sprint("q", asked.Add(1))
				f.send(t, "/safe/a", func(r *http.Request) { r.Header.Set(redwingshunt.HeaderRequest, id) })
			})
		}
		wait.Wait()
	}
	send(20)
	f.plain[0].Leave()
	f.plain[1].Misbehave(mimic.RefuseAll, 1) // so that the next request reaches the other one
	send(1)
	is.Equal(len(roll.Usable()), 1)
	before := f.plain[0].Total()
	send(40)
	is.Equal(f.plain[0].Total(), before)
}
