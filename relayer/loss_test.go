package relayer

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// TestLossNamesParts checks what is reported of the parts of a prompt when its
// upstream dies, and when it does not.
func TestLossNamesParts(t *testing.T) {
	shared := redwingshunt.SharedPrompt{Service: "s", Account: "alpha", Parts: []string{"kind", "bad"}}
	tests := map[string]struct {
		poison   bool // the first upstream
		fault    mimic.Misbehaviour
		lost     []redwingshunt.LossProgress
		answered []redwingshunt.SharedPrompt
	}{
		"upstream dies as it begins":     {poison: true, lost: []redwingshunt.LossProgress{redwingshunt.LostAfterHeader}, answered: []redwingshunt.SharedPrompt{shared}},
		"upstream cuts and goes on":      {fault: mimic.CutHeader, answered: []redwingshunt.SharedPrompt{shared}},
		"upstream is silent and goes on": {fault: mimic.Hang, answered: []redwingshunt.SharedPrompt{shared}},
		"answered":                       {answered: []redwingshunt.SharedPrompt{shared}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			if test.poison {
				dialect := redwingshunt.DefaultDialect()
				f.streaming[0] = mimic.NewUpstream(mimic.UpstreamOptions{ID: "w0", Dialect: dialect, Slots: 8, Events: 5, Poison: "bad"})
				is.NoErr(f.streaming[0].Start())
				t.Cleanup(f.streaming[0].Stop)
			}
			f.streaming[0].Misbehave(test.fault, 1)
			f.setUpstreams(f.streaming)
			got := f.send(t, "/resumable/a", func(r *http.Request) { r.Header.Set(redwingshunt.DefaultDialect().Prompt, "kind:10,bad:5,own:1") })
			is.Equal(got.body, events())
			is.Equal(f.parts.lost, test.lost)
			is.Equal(f.parts.answered, test.answered)
		})
	}
}

// TestRefusedPart checks that a request with a refused part reaches no upstream, and
// that other requests do not mind.
func TestRefusedPart(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.streaming)
	f.parts.refuseAll()
	got := f.send(t, "/resumable/a", func(r *http.Request) { r.Header.Set(redwingshunt.DefaultDialect().Prompt, "kind:10,bad:5,own:1") })
	is.Equal(got.status, 503)
	is.Equal(got.header.Get("Retry-After"), "60.000")
	is.Equal(f.streaming[0].Total(), 0)
	is.Equal(f.send(t, "/resumable/a", nil).status, 200)
}

// TestRefusedPartLeavesUpstream refuses a part while a request with it waits at an
// upstream, and while another one streams.
func TestRefusedPartLeavesUpstream(t *testing.T) {
	tests := map[string]struct {
		fault  mimic.Misbehaviour
		status int
		left   bool
	}{
		"waits":   {fault: mimic.Hang, status: 502, left: true},
		"streams": {status: 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			slow := mimic.NewUpstream(mimic.UpstreamOptions{
				ID: "w0", Dialect: redwingshunt.DefaultDialect(), Slots: 8, Events: 5, Pause: 20 * time.Millisecond,
			})
			is.NoErr(slow.Start())
			t.Cleanup(slow.Stop)
			slow.Misbehave(test.fault, 1)
			f.streaming[0] = slow
			f.setUpstreams(f.streaming)
			got := make(chan callerView, 1)
			go func() {
				got <- f.send(t, "/stream/a", func(r *http.Request) { r.Header.Set(redwingshunt.DefaultDialect().Prompt, "kind:10,bad:5,own:1") })
			}()
			eventually(t, func() bool { return slow.Runs("r1") == 1 })
			eventually(t, func() bool { // it waits, or its first event has arrived
				return isEmpty(&f.relayer.awaiting) != test.left
			})
			f.parts.refuseAll()
			response := <-got
			is.Equal(response.status, test.status)
			is.NoErr(response.err)
			eventually(t, func() bool { return slow.Left("r1") == test.left })
			is.Equal(f.streaming[1].Total(), 0)
			is.Equal(f.placer.ends[0] == redwingshunt.EndLeft, test.left) // no fault of the upstream
		})
	}
}

func isEmpty(m *sync.Map) bool {
	empty := true
	m.Range(func(any, any) bool {
		empty = false
		return false
	})
	return empty
}
