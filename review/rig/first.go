package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["first"] = firstEvent }

// streamsAsked is the number of streams that clients ask for, streamsAtOnce of them at
// a time.
const streamsAsked, streamsAtOnce = 480, 24

// firstEvent has two of 18 workers reset the connection of some streams right after the
// first event, whose number is 0. A client must get each event once.
func firstEvent(r *record, trouble bool) (verdict, error) {
	f, err := newFleet(r)
	if err != nil {
		return unplayed, err
	}
	defer f.close()
	for _, z := range zones {
		f.add("core-"+z.name+"-1", z, true)
		f.add("front-"+z.name+"-1", z, false)
	}
	if err := f.startAll(); err != nil {
		return unplayed, err
	}
	if newOperator(r).submit(f.cores(), configuration(3), 20*time.Second) == nil {
		return unplayed, errors.New("the first configuration was not acknowledged")
	}
	for i := range 18 {
		w, err := newWorker(f, fmt.Sprintf("i-7f3a91%02d", i), engine, zones[i%3], 8, trouble && i < 2)
		if err != nil {
			return unplayed, err
		}
		defer w.close()
	}
	front := f.fronts()[0]
	if !until(10*time.Second, front.ready) {
		return unplayed, errors.New("a front is not ready")
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var group sync.WaitGroup
	places := make(chan struct{}, streamsAtOnce)
	bad, whole := 0, 0
	for i := range streamsAsked {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			id := fmt.Sprintf("9c41d07be2a3%04x", i)
			events, err := askStream(front, id)
			r.logf("client: %s gets events %v, end: %v", id, events, err)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				return
			}
			whole++
			if strings.Join(events, " ") != "0 1 2 3 4 5 6 7" {
				bad++
			}
		})
	}
	group.Wait()
	r.logf("%d streams came to their end, %d of them with a piece missing or twice", whole, bad)
	switch {
	case bad > 0:
		return broken, nil
	case whole == 0:
		return unplayed, errors.New("no stream came to its end")
	}
	return held, nil
}

// askStream sends a request for a stream and returns the numbers of its events, and an
// error unless it ended properly.
func askStream(n *node, id string) ([]string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+n.frontAddress()+streamPath+"1", strings.NewReader("a recording"))
	if err != nil {
		return nil, err
	}
	request.Host = host
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Api-Key": apiKey, "X-Request-Deadline": "10000", "X-Model": "m",
		"X-Token-Count": "1460,80", "X-Prompt-Prefix": "5c1e07a2:800,91bd" + id[12:] + ":410,e440" + id[12:] + ":250",
	} {
		request.Header.Set(name, value)
	}
	client := http.Client{Timeout: 11 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	var events []string
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if number, ok := strings.CutPrefix(line, "id: "); ok {
			events = append(events, strings.TrimSpace(number))
		}
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, err
		}
	}
}
