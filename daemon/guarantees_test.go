package daemon

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/claimer"
	"github.com/redwingshunt/redwingshunt/mimic"
	"github.com/redwingshunt/redwingshunt/replayer"
)

// sharedLog is an in-memory log shared by a test fleet. While it is down, it
// refuses commands as a log without a quorum does.
type sharedLog struct {
	mu       sync.Mutex
	machines map[redwingshunt.GroupID]*claimer.Machine
	down     bool
}

func (l *sharedLog) Propose(_ context.Context, group redwingshunt.GroupID, command []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, redwingshunt.ErrNotCommitted
	}
	if l.machines[group] == nil {
		l.machines[group] = claimer.New()
	}
	return l.machines[group].Apply(0, command), nil
}

func (l *sharedLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func startFleetWithLog(t *testing.T, count int) ([]*node, *sharedLog) {
	t.Helper()
	log := &sharedLog{machines: make(map[redwingshunt.GroupID]*claimer.Machine)}
	return startFleet(t, count, func(o *Options) { o.Log = log }), log
}

// TestRunsOnce resends a non-idempotent request through each instance. It must run
// once, and every resend must get the first answer. Without a quorum new requests
// are refused.
func TestRunsOnce(t *testing.T) {
	is := is.New(t)
	nodes, log := startFleetWithLog(t, 3)
	desk := startMimic(t, mimic.Options{ID: "desk-1", Service: "desk", Slots: 4}, nodes[0])
	book := func(n *node, key, body string) reply {
		return call(t, n, "alpha", "/services/desk/bookings", body, http.Header{redwingshunt.HeaderIdempotency: {key}})
	}
	first := book(nodes[0], "k", "lesson")
	is.Equal(first.header.Get(redwingshunt.HeaderOutcome), "complete")
	is.True(strings.Contains(first.body, "lesson"))
	for _, n := range nodes {
		again := book(n, "k", "lesson")
		is.Equal(again.body, first.body)
		is.Equal(again.status, first.status)
		is.Equal(again.header.Get(replayer.HeaderReplayed), "true")
	}
	is.Equal(book(nodes[1], "k", "other").header.Get(redwingshunt.HeaderReason), string(redwingshunt.ReasonKeyConflict))
	long := strings.Repeat("lesson", 400) // too large to be kept in the log
	first = book(nodes[0], "long", long)
	is.Equal(book(nodes[2], "long", long).body, first.body)
	is.Equal(desk.Runs("lesson"), 1)
	is.Equal(desk.Runs(long), 1)
	is.Equal(desk.Runs("other"), 0)

	log.setDown(true)
	refused := book(nodes[1], "new", "second")
	is.Equal(refused.header.Get(redwingshunt.HeaderOutcome), "not-run")
	is.Equal(refused.header.Get(redwingshunt.HeaderReason), string(redwingshunt.ReasonNoQuorum))
	is.True(refused.header.Get("Retry-After") != "")
	is.Equal(desk.Runs("second"), 0)
	is.Equal(call(t, nodes[1], "alpha", "/services/desk/stock", "", nil).status, http.StatusOK) // idempotent requests need no quorum
	log.setDown(false)
	accepted := book(nodes[2], "new", "second")
	is.Equal(accepted.header.Get(redwingshunt.HeaderReason), "")
	is.Equal(accepted.header.Get(redwingshunt.HeaderOutcome), "complete")
	is.Equal(desk.Runs("second"), 1)
}

// TestPoison sends a request that kills every upstream it reaches ten times,
// through three instances. It must reach at most two upstreams.
func TestPoison(t *testing.T) {
	is := is.New(t)
	nodes, _ := startFleetWithLog(t, 3)
	const poison = "poison"
	var desks []*mimic.Mimic
	for i := range 5 {
		desks = append(desks, startMimic(t, mimic.Options{
			ID: redwingshunt.UpstreamID(fmt.Sprint("desk-", i)), Service: "desk", Slots: 4, Poison: poison,
		}, nodes[i%3]))
	}
	for i := range 10 {
		got := call(t, nodes[i%3], "alpha", "/services/desk/stock", poison, nil)
		outcome := got.header.Get(redwingshunt.HeaderOutcome)
		runs := 0
		for _, d := range desks {
			runs += d.Runs(poison)
		}
		is.True(runs <= 2)
		is.True(outcome == "may-have-run" || outcome == "not-run")
		if i > 0 {
			is.Equal(outcome, "not-run")
			is.Equal(got.header.Get(redwingshunt.HeaderReason), string(redwingshunt.ReasonSuspect))
		}
	}
	is.Equal(call(t, nodes[2], "alpha", "/services/desk/stock", "fine", nil).status, http.StatusOK)
}

// TestNewUpstreamOfAnotherRegionServes sends a request in a region without upstreams
// right after the first one was announced in another region.
func TestNewUpstreamOfAnotherRegionServes(t *testing.T) {
	is := is.New(t)
	nodes, _ := startFleetWithLog(t, 3)
	book := func(key string) reply {
		return call(t, nodes[2], "alpha", "/services/desk/bookings", "lesson", http.Header{redwingshunt.HeaderIdempotency: {key}})
	}
	eventually(t, func() bool { // the time after the election has passed in which requests wait
		return book("early").header.Get(redwingshunt.HeaderReason) == string(redwingshunt.ReasonNoUpstream)
	})
	startMimic(t, mimic.Options{ID: "desk-1", Service: "desk", Slots: 4}, nodes[0])
	got := book("late")
	is.Equal(got.header.Get(redwingshunt.HeaderReason), "")
	is.Equal(got.header.Get(redwingshunt.HeaderOutcome), "complete")
}
