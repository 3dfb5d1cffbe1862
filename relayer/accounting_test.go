package relayer

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/logger"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// outcomes counts the records of a relayer by outcome.
type outcomes struct {
	mu     sync.Mutex
	counts map[string]int
}

func (o *outcomes) observe(r Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = make(map[string]int)
	}
	o.counts[r.Outcome]++
}

func (o *outcomes) total() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	total := 0
	for _, n := range o.counts {
		total += n
	}
	return int64(total)
}

// panickingSuspects is a Suspects whose Admit panics.
type panickingSuspects struct{ *lossCounter }

func (panickingSuspects) Admit(context.Context, redwingshunt.Fingerprint) error { panic("a defect") }

// TestEachRequestHasRecordAndLine guards against requests that end without being counted
// and logged.
func TestEachRequestHasRecordAndLine(t *testing.T) {
	tests := map[string]struct {
		path    string
		change  func(*fixture)
		leave   bool // the caller disconnects without waiting for a response
		outcome string
		line    string // part of the line
	}{
		"answered": {path: "/safe/a", outcome: outcomeAnswered, line: "request ended"},
		"refused by the placer": {
			path:    "/safe/a",
			change:  func(f *fixture) { f.placer.checkErr = errFull },
			outcome: string(redwingshunt.ReasonQueueFull), line: "request ended",
		},
		"refused at the limit": {
			path: "/safe/a",
			change: func(f *fixture) {
				f.relayer.options.ConcurrencyLimit = func() int { return 1 }
				f.relayer.running.tryAcquire("alpha", 1, 0)
			},
			outcome: string(redwingshunt.ReasonQueueFull), line: "request ended",
		},
		"refused at the limit, its caller has left": {
			path: "/safe/a", leave: true,
			change: func(f *fixture) {
				f.relayer.options.ConcurrencyLimit = func() int { return 1 }
				f.relayer.running.tryAcquire("alpha", 1, 0)
				for range maxConcurrentRefusals {
					f.relayer.refusalSlots <- struct{}{}
				}
				time.AfterFunc(callerCheckAfter+100*time.Millisecond, func() {
					for range maxConcurrentRefusals {
						<-f.relayer.refusalSlots
					}
				})
			},
			outcome: string(redwingshunt.ReasonCancelled), line: "before it was refused",
		},
		"cut within a stream": {
			path:    "/stream/a",
			change:  func(f *fixture) { f.streaming[0].Misbehave(mimic.CutStream, 1) },
			outcome: outcomeBroken, line: "no further attempt: it may have run and is not idempotent",
		},
		"a defect": {
			path:    "/safe/a",
			change:  func(f *fixture) { f.relayer.options.Suspects = panickingSuspects{f.suspects} },
			outcome: outcomePanic, line: "request ended by a panic",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.plain)
			if strings.HasPrefix(test.path, "/stream/") {
				f.setUpstreams(f.streaming)
			}
			log, seen := &logger.Memory{}, &outcomes{}
			f.relayer.options.Logger = slog.New(slog.NewJSONHandler(log, nil))
			f.relayer.options.Observe = seen.observe
			if test.change != nil {
				test.change(f)
			}
			connection, err := net.Dial("tcp", f.server.Listener.Addr().String())
			is.NoErr(err)
			defer connection.Close()
			fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nRedwingshunt-Key: %s\r\nContent-Length: 1\r\n\r\nx", test.path, key)
			if test.leave {
				is.NoErr(connection.Close())
			} else if response, err := http.ReadResponse(bufio.NewReader(connection), nil); err == nil {
				response.Body.Close()
			}
			ended := func() int64 { all, _, _ := f.relayer.Ended(); return all }
			eventually(t, func() bool { return ended() == 1 })
			is.Equal(seen.total(), int64(1))
			is.Equal(seen.counts[test.outcome], 1)
			is.True(strings.Contains(log.String(), test.line))
		})
	}
}
