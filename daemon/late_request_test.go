package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// lateOutcome is how a request ended that was sent around a planned stop.
type lateOutcome struct {
	id     string
	status int // zero if there was no complete answer
	err    error
	sent   time.Duration // after the stop began; zero before it
}

// TestPlannedStopAnswersLateRequests sends requests without pause while an instance
// stops, over kept and new connections. It guards against requests that are taken late
// in the grace time, passed on, and cut without an answer: each that an upstream runs is
// answered, and each that is refused never runs.
func TestPlannedStopAnswersLateRequests(t *testing.T) {
	tests := map[string]struct {
		work time.Duration
		cut  bool // requests may still run at the drain limit; their callers are told
	}{
		"work shorter than the drain limit": {work: 300 * time.Millisecond},
		"work longer than the drain limit":  {work: 3 * time.Second, cut: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dialect := redwingshunt.DefaultDialect()
			settings := testSettings(0, nil)
			settings.Routes = settings.Listen
			settings.Notice, settings.Drain = 300*time.Millisecond, 900*time.Millisecond
			n := runNode(t, settings, func(o *Options) {
				o.Document = &redwingshunt.Document{
					Services: []redwingshunt.Service{{Name: "desk"}},
					Routes: []redwingshunt.Route{{
						Name: "desk", Host: "h", Prefix: "/desk/", Kind: redwingshunt.RouteOnce, Limit: waitTimeout, Attempts: 2,
						Targets: []redwingshunt.Target{{Service: "desk", Weight: 1}},
					}},
				}
			})
			upstream := mimic.NewUpstream(mimic.UpstreamOptions{ID: "d1", Dialect: dialect, Slots: 256, Pause: test.work})
			is.NoErr(upstream.Start())
			t.Cleanup(upstream.Stop)
			n.enroller.Enroll(upstream.State("desk", 1))
			route := "http://" + n.sockets.routes.Addr().String() + "/desk/1"

			var began atomic.Pointer[time.Time]
			send := func(client *http.Client, id string) lateOutcome {
				outcome := lateOutcome{id: id}
				if began := began.Load(); began != nil {
					outcome.sent = time.Since(*began)
				}
				ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
				defer cancel()
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, route, strings.NewReader("x"))
				is.NoErr(err)
				request.Host = "h"
				request.GetBody = nil // the client must not send it again by itself
				request.Header.Set(dialect.Request, id)
				response, err := client.Do(request)
				if err != nil {
					outcome.err = err
					return outcome
				}
				defer response.Body.Close()
				if _, outcome.err = io.Copy(io.Discard, response.Body); outcome.err == nil {
					outcome.status = response.StatusCode
				}
				return outcome
			}
			var mu sync.Mutex
			var outcomes []lateOutcome
			var callers sync.WaitGroup
			stopped := make(chan struct{})
			kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for i, client := range []*http.Client{kept, fresh, kept, fresh} {
				callers.Go(func() {
					for k := 0; ; k++ {
						select {
						case <-stopped:
							return
						case <-time.After(15 * time.Millisecond):
						}
						callers.Go(func() {
							outcome := send(client, fmt.Sprintf("r-%d-%d", i, k))
							mu.Lock()
							outcomes = append(outcomes, outcome)
							mu.Unlock()
						})
					}
				})
			}
			eventually(t, func() bool { return upstream.Total() > 4 })
			now := time.Now()
			began.Store(&now)
			is.NoErr(n.stop())
			close(stopped)
			callers.Wait()
			counts := make(map[string]int)
			for _, o := range outcomes {
				runs := upstream.Runs(o.id)
				counts[fmt.Sprintf("status %d, runs %d", o.status, runs)]++
				switch {
				case runs > 1, o.status == http.StatusServiceUnavailable && runs > 0:
					t.Errorf("%s, sent after %v: status %d, runs %d", o.id, o.sent, o.status, runs)
				case runs == 1 && o.status == 0:
					t.Errorf("%s, sent after %v: ran and got no answer: %v", o.id, o.sent, o.err)
				case runs == 1 && o.status != http.StatusOK && !test.cut:
					t.Errorf("%s, sent after %v: status %d although it had time", o.id, o.sent, o.status)
				}
			}
			t.Log(counts)
			is.True(counts["status 0, runs 0"]+counts["status 503, runs 0"] > 0) // some came late
		})
	}
}
