package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stream is what a client got of a stream.
type stream struct {
	id     string
	status int
	events int
	whole  bool // all events, each once, and the end of the answer
	err    error
}

// askStream sends a request for a stream and reads its answer to the end.
func askStream(f *fleet, front *machine, id string) stream {
	got := stream{id: id}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/lohu930/2f", front.ip, frontPort), strings.NewReader("prompt"))
	if err != nil {
		got.err = err
		return got
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Request-Deadline", "10000")
	request.Header.Set("X-Api-Key", apiKey)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		got.err = err
		return got
	}
	defer response.Body.Close()
	got.status = response.StatusCode
	ordered := true
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if number, ok := strings.CutPrefix(line, "id: "); ok {
			got.events++
			ordered = ordered && strings.TrimSpace(number) == fmt.Sprint(got.events)
		}
		if err != nil {
			got.whole = errors.Is(err, io.EOF) && ordered && got.events == streamEvents
			if !errors.Is(err, io.EOF) {
				got.err = err
			}
			return got
		}
	}
}

// silentWorkers has two sound workers fall silent once in each stream, for 1.6 s, and go on.
// Of the streams that the router takes up at the other worker meanwhile, one in seven gets a
// 500 of that worker's own, 0.3 s after it came. The settings of the front machine change
// (SIGHUP) before the streams are sent. No stream may be cut.
func silentWorkers(f *fleet, trouble bool) (int, error) {
	const (
		perRound, rounds = 6, 7
		roundGap         = 350 * time.Millisecond
	)
	if err := f.startAll(); err != nil {
		return 0, err
	}
	o := &operator{fleet: f}
	routes := []route{{"r-1", "/lohu930/", "streaming", "assistant", 10000, 2, true}}
	if !o.put(1, configuration(1, routes, "assistant"), 20*time.Second) {
		return 0, errors.New("the configuration was not acknowledged")
	}
	var workers []*worker
	for n := range 2 {
		w, err := startWorker(f, fmt.Sprintf("i-worker-%d", n), "assistant", n)
		if err != nil {
			return 0, err
		}
		defer w.close()
		workers = append(workers, w)
	}
	front := f.fronts()[0]
	ready := false
	for range 40 {
		time.Sleep(250 * time.Millisecond)
		if ready = askStream(f, front, "warm-up").whole; ready {
			break
		}
	}
	if !ready {
		return 0, errors.New("no stream is served")
	}
	time.Sleep(8 * time.Second) // calm, longer than contactMs
	for _, w := range workers {
		w.silent.Store(trouble)
		w.failEvery = 7
	}
	if err := front.process.Process.Signal(syscall.SIGHUP); err != nil {
		return 0, err
	}
	f.record.line("SIGHUP to %s", front.name)
	var mu sync.Mutex
	var got []stream
	var clients sync.WaitGroup
	for round := range rounds {
		for n := range perRound {
			clients.Add(1)
			go func() {
				defer clients.Done()
				s := askStream(f, front, fmt.Sprintf("request-%d-%d", round, n))
				mu.Lock()
				defer mu.Unlock()
				got = append(got, s)
			}()
		}
		f.record.line("%d requests sent", perRound)
		time.Sleep(roundGap)
	}
	clients.Wait()
	cut := 0
	for _, s := range got {
		how := ""
		for _, w := range workers {
			w.mu.Lock()
			if end, ok := w.runs[s.id]; ok {
				how += fmt.Sprintf("; %s: %s", w.id, end)
			}
			w.mu.Unlock()
		}
		f.record.line("%s: status %d, %d events, whole %t, error %v%s", s.id, s.status, s.events, s.whole, s.err, how)
		if s.status == http.StatusOK && !s.whole {
			cut++
		}
	}
	f.record.line("%d of %d streams were cut", cut, len(got))
	for _, line := range front.logLines("attempt failed") {
		f.record.line("log of %s: %s", front.name, line)
	}
	if cut > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
