package relayer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// lossThenRefusal is a Suspects that admits no request any more after a loss.
type lossThenRefusal struct {
	lossCounter
}

func (s *lossThenRefusal) Admit(context.Context, redwingshunt.Fingerprint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost > 0 {
		return redwingshunt.NotRun(redwingshunt.ReasonSuspect, 422, "suspect")
	}
	return nil
}

// TestStandbyAfterLossAwaitsAdmission guards against a request that is sent to a third
// upstream although it must wait, since the second one died with it.
func TestStandbyAfterLossAwaitsAdmission(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	suspects := &lossThenRefusal{}
	f.relayer.options.Suspects = suspects
	f.setUpstreams(f.streaming)
	f.startSilent(t, 0, mimic.SilentOptions{Events: 5, Point: mimic.BetweenEvents, For: 2500 * time.Millisecond, Times: 1})
	var dying *mimic.Scripted
	dying, err := mimic.StartScripted(func(connection net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(connection))
		dying.Stop()
	})
	is.NoErr(err)
	f.placer.upstreams[1].Address = dying.Address()
	f.placer.upstreams = append(f.placer.upstreams, redwingshunt.Upstream{ID: "w2", Service: "s", Slots: 8})
	third := f.startSilent(t, 2, mimic.SilentOptions{Events: 5})
	got := f.send(t, "/resumable/a", nil)
	is.NoErr(got.err)
	is.Equal(got.body, events())
	is.Equal(suspects.lost, 1)
	is.Equal(third.Runs("r1"), 0)
}

// TestPartRefusedDuringOverlap has a part of the prompt refused while two upstreams have the request.
func TestPartRefusedDuringOverlap(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.streaming)
	silent := f.startSilent(t, 0, mimic.SilentOptions{Events: 5, Point: mimic.BetweenEvents, For: silentFor, Times: 1})
	f.streaming[1].Misbehave(mimic.Hang, -1)
	done := make(chan callerView, 1)
	go func() {
		done <- f.send(t, "/resumable/a", func(r *http.Request) { r.Header.Set(redwingshunt.DefaultDialect().Prompt, "p1:10,p2:20") })
	}()
	eventually(t, func() bool { return f.streaming[1].Runs("r1") == 1 })
	f.parts.refuseAll()
	got := <-done
	is.Equal(silent.Runs("r1"), 1)
	is.NoErr(got.err)
	is.Equal(got.body, events())
}

// countingPlacer gives each attempt a ticket and counts the open ones.
type countingPlacer struct {
	*listPlacer
	tickets atomic.Uint64
	ended   atomic.Uint64
	panics  bool // of the second call of StillValid
	calls   atomic.Uint64
}

func (p *countingPlacer) Place(placement *redwingshunt.Placement) (redwingshunt.Placed, error) {
	placed, err := p.listPlacer.Place(placement)
	if err == nil {
		placed.Ticket = p.tickets.Add(1)
	}
	return placed, err
}

func (p *countingPlacer) End(ticket uint64, end redwingshunt.PlacementEnd) {
	p.ended.Add(1)
	p.listPlacer.End(ticket, end)
}

func (p *countingPlacer) StillValid(ticket uint64) bool {
	if p.calls.Add(1) == 2 && p.panics {
		panic("defect")
	}
	return p.listPlacer.StillValid(ticket)
}

// TestPanicOfStandbyKeepsProcess guards against a process that ends since a standby, which
// has a goroutine of its own, panics.
func TestPanicOfStandbyKeepsProcess(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	placer := &countingPlacer{listPlacer: f.placer, panics: true}
	f.relayer.options.Placer = placer
	f.setUpstreams(f.streaming)
	f.startSilent(t, 0, mimic.SilentOptions{Events: 5, Point: mimic.BetweenEvents, For: silentFor, Times: 1})
	got := f.send(t, "/resumable/a", nil)
	is.NoErr(got.err)
	is.Equal(got.body, events())
	is.Equal(placer.tickets.Load(), placer.ended.Load())
}

// TestEventWithoutData has the first upstream send an event that has a number and no data
// while another one is asked.
func TestEventWithoutData(t *testing.T) {
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
		fmt.Fprint(connection, "7\r\nid: 2\n\n\r\n")
		time.Sleep(500 * time.Millisecond)
		for i := 3; i <= 5; i++ {
			fmt.Fprintf(connection, "15\r\nid: %d\ndata: token %d\n\n\r\n", i, i)
		}
		fmt.Fprint(connection, "0\r\n\r\n")
	})
	is.NoErr(err)
	t.Cleanup(first.Stop)
	f.placer.upstreams[0].Address = first.Address()
	f.startSilent(t, 1, mimic.SilentOptions{Events: 5, Point: mimic.BeforeHead, For: 400 * time.Millisecond, Times: 1})
	got := f.send(t, "/resumable/a", nil)
	is.NoErr(got.err)
	is.Equal(got.body, strings.Replace(events(), "data: token 2\n", "", 1))
}

// TestCallerLeavesBesideStandby has a caller leave while two upstreams have its request.
func TestCallerLeavesBesideStandby(t *testing.T) {
	for path, after := range map[string]time.Duration{
		"/resumable/a": 50 * time.Millisecond, "/safe/a": 50 * time.Millisecond, "/resumable/b": 230 * time.Millisecond,
	} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t)
			placer := &countingPlacer{listPlacer: f.placer}
			f.relayer.options.Placer = placer
			both := f.streaming
			if path == "/safe/a" {
				both = f.plain
			}
			f.setUpstreams(both)
			both[0].Misbehave(mimic.Hang, -1)
			both[1].Misbehave(mimic.Hang, -1)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			done := make(chan struct{})
			go func() {
				defer close(done)
				request, _ := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+path, strings.NewReader("a body"))
				request.Host = "h"
				request.Header.Set(redwingshunt.HeaderRequest, "r1")
				request.Header.Set("Redwingshunt-Key", key)
				if response, err := http.DefaultClient.Do(request); err == nil {
					_ = response.Body.Close()
				}
			}()
			eventually(t, func() bool { return both[1].Runs("r1") == 1 })
			time.Sleep(after)
			cancel()
			began := time.Now()
			eventually(t, func() bool { return both[0].Left("r1") && both[1].Left("r1") && f.relayer.Running() == 0 })
			is.True(time.Since(began) < 500*time.Millisecond)
			is.Equal(placer.tickets.Load(), placer.ended.Load())
			<-done
		})
	}
}

// TestNonIdempotentRequestsHaveNoStandby has upstreams of requests that must not be sent
// twice fall silent.
func TestNonIdempotentRequestsHaveNoStandby(t *testing.T) {
	for path, events := range map[string]int{"/once/a": 0, "/stream/a": 5, "/single/a": 0} {
		for name, point := range silencePoints {
			if events == 0 && point == mimic.WithinEvent || path == "/stream/a" && point < mimic.BetweenEvents {
				continue
			}
			t.Run(path+", "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newFixture(t)
				placer := &countingPlacer{listPlacer: f.placer}
				f.relayer.options.Placer = placer
				want := "whole body"
				f.setUpstreams(f.plain)
				if events > 0 {
					want = mimic.Events(events)
					f.setUpstreams(f.streaming)
				}
				f.startSilent(t, 0, mimic.SilentOptions{Events: events, Point: point, For: silentFor, Times: 1})
				got := f.send(t, path, nil)
				is.NoErr(got.err)
				is.Equal(got.body, want)
				is.Equal(f.plain[1].Runs("r1")+f.streaming[1].Runs("r1"), 0)
				is.Equal(placer.tickets.Load(), uint64(1))
				is.Equal(placer.ended.Load(), uint64(1))
			})
		}
	}
}

// TestStandbyThatRefusesLate has the upstream that took a stream over refuse it, after the
// first one, which was only silent, was given up.
func TestStandbyThatRefusesLate(t *testing.T) {
	for name, budget := range map[string]int{"budget of one": 1, "budget": 10} {
		for reply, text := range map[string]string{"refuses": "HTTP/1.1 503 Service Unavailable\r\nX-Begun: no\r\n", "fails": "HTTP/1.1 500 Internal Server Error\r\n", "breaks off": ""} {
			t.Run(name+", "+reply, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newFixture(t)
				f.placer.budget = budget
				f.setUpstreams(f.streaming)
				silent := f.startSilent(t, 0, mimic.SilentOptions{Events: 5, Point: mimic.BetweenEvents, For: silentFor, Times: 1})
				late, err := mimic.StartScripted(func(connection net.Conn) {
					request, err := http.ReadRequest(bufio.NewReader(connection))
					if err != nil {
						return
					}
					time.Sleep(300 * time.Millisecond)
					if text != "" {
						fmt.Fprintf(connection, text+"Content-Length: 0\r\n%s: %s\r\n\r\n", redwingshunt.HeaderRequest, request.Header.Get(redwingshunt.HeaderRequest))
					}
				})
				is.NoErr(err)
				t.Cleanup(late.Stop)
				f.placer.upstreams[1].Address = late.Address()
				got := f.send(t, "/resumable/a", nil)
				is.Equal(silent.Runs("r1"), 1)
				if os.Getenv("REDWINGSHUNT_RED") != "" { // see KNOWN-RED.txt
					is.NoErr(got.err)
					is.Equal(got.body, events())
				}
			})
		}
	}
}

// TestAnswerThatArrivesIsNotGivenUp guards against an answer that is given up although its
// bytes arrive all the time.
func TestAnswerThatArrivesIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.plain)
	for i := range 2 {
		slow, err := mimic.StartScripted(func(connection net.Conn) {
			request, err := http.ReadRequest(bufio.NewReader(connection))
			if err != nil {
				return
			}
			const pieces = 28
			fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n%s: w%d.r1\r\n\r\n", pieces,
				redwingshunt.HeaderRequest, request.Header.Get(redwingshunt.HeaderRequest), redwingshunt.DefaultDialect().Signature, i)
			for range pieces {
				if _, err := connection.Write([]byte("x")); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
		is.NoErr(err)
		t.Cleanup(slow.Stop)
		f.placer.upstreams[i].Address = slow.Address()
	}
	got := f.send(t, "/safe/a", nil)
	is.NoErr(got.err)
	if os.Getenv("REDWINGSHUNT_RED") != "" { // see KNOWN-RED.txt
		is.Equal(got.status, 200)
		is.Equal(got.body, strings.Repeat("x", 28))
	}
}
