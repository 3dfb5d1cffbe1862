package relayer

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// TestMisbehaviour has the first upstream misbehave, and checks the response to the
// caller and how often each upstream has run the request.
func TestMisbehaviour(t *testing.T) {
	tests := map[string]struct {
		path         string
		misbehaviour mimic.Misbehaviour
		status       int
		body         string // complete body
		broken       bool   // the connection is cut before the end of the response
		runs         [2]int
		streaming    bool
	}{
		"safe, error is retried":                {path: "/safe/a", misbehaviour: mimic.Fail, status: 200, body: "answer of w1 to r1", runs: [2]int{1, 1}},
		"safe, truncated is retried":            {path: "/safe/a", misbehaviour: mimic.CutHeader, status: 200, body: "answer of w1 to r1", runs: [2]int{1, 1}},
		"safe, silent is retried":               {path: "/safe/a", misbehaviour: mimic.Hang, status: 200, body: "answer of w1 to r1", runs: [2]int{1, 1}},
		"safe, unsigned is retried":             {path: "/safe/a", misbehaviour: mimic.Unsigned, status: 200, body: "answer of w1 to r1", runs: [2]int{1, 1}},
		"safe, late response is dropped":        {path: "/safe/a", misbehaviour: mimic.AnswerLate, status: 200, body: "answer to r1", runs: [2]int{1, 0}},
		"single attempt, error":                 {path: "/single/a", misbehaviour: mimic.Fail, status: 500, body: "", runs: [2]int{1, 0}},
		"single attempt, refused":               {path: "/single/a", misbehaviour: mimic.RefuseAll, status: 503, runs: [2]int{0, 0}},
		"once, refused is retried":              {path: "/once/a", misbehaviour: mimic.RefuseAll, status: 200, body: "answer of w1 to r1", runs: [2]int{0, 1}},
		"once, refused after it began":          {path: "/once/a", misbehaviour: mimic.RefuseBegun, status: 502, runs: [2]int{1, 0}},
		"once, truncated is not retried":        {path: "/once/a", misbehaviour: mimic.CutHeader, status: 502, runs: [2]int{1, 0}},
		"once, error is relayed":                {path: "/once/a", misbehaviour: mimic.Fail, status: 500, body: "", runs: [2]int{1, 0}},
		"once, unsigned is not retried":         {path: "/once/a", misbehaviour: mimic.Unsigned, status: 502, runs: [2]int{1, 0}},
		"once, silent ends at its limit":        {path: "/short/a", misbehaviour: mimic.Hang, status: 504, runs: [2]int{1, 0}},
		"stream, complete":                      {path: "/stream/a", misbehaviour: mimic.Behave, status: 200, body: events(), runs: [2]int{1, 0}, streaming: true},
		"stream, truncated is cut":              {path: "/stream/a", misbehaviour: mimic.CutStream, status: 200, broken: true, runs: [2]int{1, 0}, streaming: true},
		"stream, a missing event is cut":        {path: "/stream/a", misbehaviour: mimic.Wander, status: 200, broken: true, runs: [2]int{1, 0}, streaming: true},
		"stream, truncated is not retried":      {path: "/stream/a", misbehaviour: mimic.CutHeader, status: 502, runs: [2]int{1, 0}, streaming: true},
		"resumable, truncated is resumed":       {path: "/resumable/a", misbehaviour: mimic.CutStream, status: 200, body: events(), runs: [2]int{1, 1}, streaming: true},
		"resumable, a missing event is resumed": {path: "/resumable/a", misbehaviour: mimic.Wander, status: 200, body: events(), runs: [2]int{1, 1}, streaming: true},
		"resumable, silent is resumed":          {path: "/resumable/a", misbehaviour: mimic.Hang, status: 200, body: events(), runs: [2]int{1, 1}, streaming: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			upstreams := f.plain
			if test.streaming {
				upstreams = f.streaming
			}
			f.setUpstreams(upstreams)
			upstreams[0].Misbehave(test.misbehaviour, -1)
			got := f.send(t, test.path, nil)
			is.Equal(got.status, test.status)
			is.Equal(got.err != nil, test.broken)
			if test.status == 200 && !test.broken {
				is.Equal(got.body, test.body)
				is.True(got.header.Get("Redwingshunt-Signature") != "")
			}
			if test.status == 500 { // the upstream's response, unchanged
				is.True(strings.HasPrefix(got.header.Get("Redwingshunt-Signature"), "w0."))
			}
			if test.status == 502 || test.status == 503 || test.status == 504 {
				is.Equal(got.header.Get("Redwingshunt-Signature"), "")
			}
			if test.status == 503 {
				is.True(got.header.Get("Retry-After") != "")
				is.Equal(got.header.Get(redwingshunt.HeaderOutcome), string(redwingshunt.OutcomeNotRun))
			}
			is.Equal([2]int{upstreams[0].Runs("r1"), upstreams[1].Runs("r1")}, test.runs)
		})
	}
}

// TestBudget checks that nothing is retried beyond the budget of the fleet.
func TestBudget(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.plain)
	f.placer.budget = 0
	f.plain[0].Misbehave(mimic.CutHeader, -1)
	is.Equal(f.send(t, "/safe/a", nil).status, 502)
	is.Equal(f.plain[1].Runs("r1"), 0)
}

// TestUnreachable checks that any kind of request is sent to the next upstream if no
// byte was sent to the first one.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.plain)
	f.plain[0].Stop()
	f.placer.budget = 0 // no retry is needed, since nothing was sent before
	got := f.send(t, "/once/a", nil)
	is.Equal(got.status, 200)
	is.Equal(f.plain[1].Runs("r1"), 1)
	is.Equal(f.placer.ends, []redwingshunt.PlacementEnd{redwingshunt.EndLost, redwingshunt.EndComplete})
}
