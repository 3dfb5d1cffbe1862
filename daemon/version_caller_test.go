package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// versionCaller is a caller with one stream.
type versionCaller struct {
	fleet *versionFleet
	name  string // prefix of its request IDs
	key   string
	tries int

	refusals []string // of its tries to take the stream up or to begin one

	mu      sync.Mutex
	resumes string   // request ID of the attempt that brought the first event
	events  []string // the version of each event, in order
	faults  []string
	broken  bool // the first answer has ended
}

// newCaller returns a caller that has sent nothing yet.
func (f *versionFleet) newCaller(account string) *versionCaller {
	f.callers++
	return &versionCaller{fleet: f, name: fmt.Sprintf("c%d", f.callers), key: "EXAMPLE-KEY-" + account}
}

// received returns the number of events that the caller has.
func (c *versionCaller) received() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.events)
}

// versions returns the versions of the events, without repetition.
func (c *versionCaller) versions() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	versions := slices.Clone(c.events)
	slices.Sort(versions)
	return slices.Compact(versions)
}

// isBroken reports whether the first answer has ended.
func (c *versionCaller) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// versionAnswer is the end of one attempt of a caller.
type versionAnswer struct {
	status     int // zero without an answer
	events     int
	retryAfter time.Duration
	detail     string // of a refusal
}

// send sends one attempt to a router, with the header of a take-up once it has an event.
// It returns at the end of the answer or after a number of events.
func (c *versionCaller) send(router *node, events int, change func(http.Header)) versionAnswer {
	dialect := redwingshunt.DefaultDialect()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.settings.Routes.String()+"/model/1", strings.NewReader(c.name))
	if err != nil {
		return versionAnswer{}
	}
	c.tries++
	id := fmt.Sprintf("%s-%d", c.name, c.tries)
	request.Host = "h"
	request.Header.Set(dialect.Request, id)
	request.Header.Set(dialect.Key, c.key)
	if c.resumes != "" {
		request.Header.Set(headerResumes, c.resumes)
		request.Header.Set(redwingshunt.HeaderLastEvent, strconv.Itoa(c.received()))
	}
	if change != nil {
		change(request.Header)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return versionAnswer{}
	}
	defer response.Body.Close()
	answer := versionAnswer{status: response.StatusCode, retryAfter: retryAfterOf(response.Header)}
	if response.StatusCode != http.StatusOK {
		var refusal struct{ Error struct{ Message string } }
		_ = json.NewDecoder(response.Body).Decode(&refusal) // other answers have no message
		answer.detail = refusal.Error.Message
		return answer
	}
	for lines := bufio.NewScanner(response.Body); answer.events < events && lines.Scan(); {
		c.read(id, lines.Text())
		if strings.HasPrefix(lines.Text(), "data: ") {
			answer.events++
		}
	}
	return answer
}

// read records one line of a stream.
func (c *versionCaller) read(id, line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, value, _ := strings.Cut(line, ": ")
	switch name {
	case "id":
		if value != strconv.Itoa(len(c.events)+1) {
			c.faults = append(c.faults, fmt.Sprintf("event %s after %d events", value, len(c.events)))
		}
	case "data":
		if len(c.events) == 0 {
			c.resumes = id
		}
		c.events = append(c.events, value)
	}
}

func retryAfterOf(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// try sends up to takeUpTries attempts, each to the next router, until one brings the
// given number of events. It waits between them as callers do.
func (c *versionCaller) try(first, events int) bool {
	for i := range takeUpTries {
		answer := c.send(c.fleet.routers[(first+i)%versionRouters], events, nil)
		if answer.events == events {
			return true
		}
		c.refusals = append(c.refusals, fmt.Sprint(answer.status, " ", answer.detail))
		time.Sleep(max(answer.retryAfter, 100*time.Millisecond<<i))
	}
	return false
}

// begin starts streams and waits until each has two events. They go on in the
// background until they break.
func (f *versionFleet) begin(count int) []*versionCaller {
	f.t.Helper()
	var callers []*versionCaller
	for i := range count {
		c := f.newCaller("alpha")
		callers = append(callers, c)
		router := f.routers[i%versionRouters]
		go func() {
			for end := time.Now().Add(waitTimeout); c.send(router, versionEvents, nil).events == 0 && time.Now().Before(end); {
				time.Sleep(100 * time.Millisecond)
			}
			c.mu.Lock()
			c.broken = true
			c.mu.Unlock()
		}()
	}
	eventually(f.t, func() bool {
		return !slices.ContainsFunc(callers, func(c *versionCaller) bool { return c.received() < 2 })
	})
	return callers
}

// beginOf begins streams until a number of them are of a version.
func (f *versionFleet) beginOf(version string, count int) []*versionCaller {
	f.t.Helper()
	var all []*versionCaller
	for range 10 {
		all = append(all, f.begin(count)...)
		of := slices.DeleteFunc(slices.Clone(all), func(c *versionCaller) bool { return c.versions()[0] != version })
		if len(of) >= count {
			return all
		}
	}
	f.t.Fatalf("fewer than %d of %d streams began at %s", count, len(all), version)
	return nil
}

// returned tells how many callers had a result.
type returned struct{ succeeded, all int }

func (r returned) share() float64 { return float64(r.succeeded) / float64(max(r.all, 1)) }

// takeUp has all callers take up their broken streams over takeUpTime, and as many
// others begin new ones. It returns how many streams went on, of those whose version has
// two upstreams, and how many began.
func (f *versionFleet) takeUp(callers []*versionCaller) (continued, begun returned) {
	f.t.Helper()
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i, c := range callers {
		fresh := f.newCaller("beta")
		delay := takeUpTime * time.Duration(i) / time.Duration(len(callers))
		counts := len(f.running[c.versions()[0]]) >= 2
		count := func(r *returned, succeeded bool) {
			mu.Lock()
			defer mu.Unlock()
			r.all++
			if succeeded {
				r.succeeded++
			}
		}
		wait.Go(func() {
			time.Sleep(delay)
			succeeded := c.try(i, 3)
			if counts {
				count(&continued, succeeded)
			}
		})
		wait.Go(func() {
			time.Sleep(delay)
			count(&begun, fresh.try(i, 3))
		})
	}
	wait.Wait()
	refusals := make(map[string]int)
	for _, c := range callers {
		for _, refusal := range c.refusals {
			refusals[refusal]++
		}
	}
	f.t.Logf("refused take-ups: %v", refusals)
	return continued, begun
}

// awaitBroken waits until the first answer of each caller has ended.
func awaitBroken(t *testing.T, callers []*versionCaller) {
	t.Helper()
	eventually(t, func() bool {
		return !slices.ContainsFunc(callers, func(c *versionCaller) bool { return !c.isBroken() })
	})
}

// streamFaults describes the streams that hold events of two versions, or not each event once.
func streamFaults(callers []*versionCaller) []string {
	var faults []string
	for _, c := range callers {
		if versions := c.versions(); len(versions) > 1 {
			faults = append(faults, fmt.Sprintf("%s: %d events of %v, began as %s", c.name, len(c.events), versions, c.resumes))
		}
		for _, fault := range c.faults {
			faults = append(faults, c.name+": "+fault)
		}
	}
	return faults
}

// checkStreams fails the test for streams that were joined.
func checkStreams(t *testing.T, callers []*versionCaller) {
	t.Helper()
	faults := streamFaults(callers)
	t.Logf("%d of %d streams hold events of two versions or are out of order: %s", len(faults), len(callers), strings.Join(faults, "; "))
	is.New(t).Equal(len(faults), 0)
}
