package guarantor_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/claimer"
	"github.com/redwingshunt/redwingshunt/guarantor"
	"github.com/redwingshunt/redwingshunt/journaler"
	"github.com/redwingshunt/redwingshunt/keeper"
	"github.com/redwingshunt/redwingshunt/locator"
	"github.com/redwingshunt/redwingshunt/recorder"
)

const (
	farTrip       = 40 * time.Millisecond  // there and back between regions
	nearTrip      = 500 * time.Microsecond // within a region
	frameOverhead = 22                     // bytes that a link adds to a payload
	claimsMade    = 50
)

// regions is a fleet on the real log: a voter and a router in each of two
// regions and a third voter in a third, with a delay between all of them.
type regions struct {
	redwingshunt.Document
	live []redwingshunt.Instance

	mu       sync.Mutex
	handlers map[redwingshunt.InstanceID]map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte)
	far      int                             // bytes between regions
	messages map[redwingshunt.InstanceID]int // sent and received
	bytes    map[redwingshunt.InstanceID]int
}

// place is one instance of the fleet.
type place struct {
	*regions
	self redwingshunt.Instance
}

func (r *regions) Now() time.Time         { return time.Now() }
func (r *regions) Watch() <-chan struct{} { return nil }
func (r *regions) Current() *redwingshunt.Snapshot {
	return &redwingshunt.Snapshot{Document: &r.Document}
}
func (r *regions) Live() []redwingshunt.Instance { return r.live }
func (p place) Self() redwingshunt.Instance      { return p.self }

func (p place) Handle(kind redwingshunt.MessageKind, receive func(redwingshunt.InstanceID, []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.handlers[p.self.ID] == nil {
		p.handlers[p.self.ID] = make(map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte))
	}
	p.handlers[p.self.ID][kind] = receive
}

func (p place) Send(to redwingshunt.InstanceID, m redwingshunt.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	size, delay := len(m.Payload)+frameOverhead, nearTrip/2
	for _, i := range p.live {
		if i.ID == to && i.Region != p.self.Region {
			p.far += size
			delay = farTrip / 2
		}
	}
	for _, end := range []redwingshunt.InstanceID{p.self.ID, to} {
		p.messages[end]++
		p.bytes[end] += size
	}
	time.AfterFunc(delay, func() { p.deliver(to, m) })
}

// deliver hands a message over, unless the receiver has not begun yet.
func (p place) deliver(to redwingshunt.InstanceID, m redwingshunt.Message) {
	p.mu.Lock()
	receive := p.handlers[to][m.Kind]
	p.mu.Unlock()
	if receive != nil {
		receive(p.self.ID, m.Payload)
	}
}

// start runs the fleet until the test ends. Group 1, that of the account, is to
// be led in the given region.
func (r *regions) start(t *testing.T, lead redwingshunt.RegionID) (map[redwingshunt.InstanceID]*guarantor.Guarantor, *recorder.Recorder) {
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() { stop(); running.Wait() })
	root := t.TempDir()
	routers := make(map[redwingshunt.InstanceID]*guarantor.Guarantor)
	var voter *recorder.Recorder
	for _, i := range r.live {
		p := place{r, i}
		options := recorder.Options{
			Self: i.ID, Members: p, Link: p, Clock: r, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Initial: []redwingshunt.InstanceID{"n1", "s1", "w1"}, Bootstrap: i.ID == "n1", Groups: 2,
			Machines: func(redwingshunt.GroupID) redwingshunt.StateMachine { return claimer.New() },
			Prefer: func(group redwingshunt.GroupID) redwingshunt.Option[redwingshunt.RegionID] {
				if group == redwingshunt.GroupControl {
					return redwingshunt.None[redwingshunt.RegionID]()
				}
				return redwingshunt.Some(lead)
			},
		}
		if i.Voter {
			options.Files = journaler.Disk{Folder: filepath.Join(root, string(i.ID))}
		}
		log, err := recorder.New(options)
		if err != nil {
			t.Fatal(err)
		}
		running.Go(func() { _ = log.Run(ctx) })
		routers[i.ID] = guarantor.New(r, log, p, r, keeper.New(r, p, p, r))
		if i.ID == "n1" {
			voter = log
		}
	}
	time.Sleep(locator.Settle + 30*time.Second)
	return routers, voter
}

func newRegions() *regions {
	r := &regions{
		handlers: make(map[redwingshunt.InstanceID]map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte)),
		messages: make(map[redwingshunt.InstanceID]int), bytes: make(map[redwingshunt.InstanceID]int),
	}
	r.Regions = []redwingshunt.Region{{Name: "north"}, {Name: "south"}, {Name: "west"}}
	r.Accounts = []redwingshunt.Account{{Name: "lin", Home: "north"}}
	r.Fleet = redwingshunt.FleetConfiguration{Groups: 4, Keep: time.Hour, Space: 16 << 20}
	for _, id := range []redwingshunt.InstanceID{"n1", "n2", "s1", "s2", "w1"} {
		region := map[byte]redwingshunt.RegionID{'n': "north", 's': "south", 'w': "west"}[id[0]]
		r.live = append(r.live, redwingshunt.Instance{ID: id, Incarnation: 1, Region: region, Voter: id[1] == '1'})
	}
	return r
}

// TestClaimBetweenRegions makes claims with an answer of 2 KB in simulated time
// and holds them to the target: one round trip between regions at home, two
// elsewhere, less than 1 KB between regions. With -v it tells the figures.
func TestClaimBetweenRegions(t *testing.T) {
	tests := map[string]struct {
		lead  redwingshunt.RegionID
		via   redwingshunt.InstanceID
		trips time.Duration
		red   bool // the bytes are in KNOWN-RED.txt
	}{
		"at home, on the leader":            {"north", "n1", 1, false},
		"at home, through another instance": {"north", "n2", 1, false},
		"away":                              {"north", "s2", 2, true},
		"at home, led elsewhere":            {"south", "n2", 2, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRegions()
				routers, voter := r.start(t, test.lead)
				leader := voter.Status().Groups[1].Leader
				is.Equal(leader, map[redwingshunt.RegionID]redwingshunt.InstanceID{"north": "n1", "south": "s1"}[test.lead])
				_ = r.claim(t, routers[test.via], "first") // learns who leads
				r.mu.Lock()
				r.far, r.messages[leader], r.bytes[leader] = 0, 0, 0
				r.mu.Unlock()
				var longest time.Duration
				for i := range claimsMade {
					longest = max(longest, r.claim(t, routers[test.via], fmt.Sprint(i)))
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				t.Logf("longest %v, %d B between regions a claim, leader: %.1f messages and %d B a claim", longest,
					r.far/claimsMade, float64(r.messages[leader])/claimsMade, r.bytes[leader]/claimsMade)
				is.True(longest <= test.trips*farTrip+2*nearTrip)
				if !test.red || os.Getenv("REDWINGSHUNT_RED") != "" {
					is.True(r.far/claimsMade < 1000)
				}
			})
		})
	}
}

// claim makes and answers one claim, and returns the time until it was granted.
func (r *regions) claim(t *testing.T, g *guarantor.Guarantor, key string) time.Duration {
	request := request(1)
	request.Key = key
	began := time.Now()
	result, err := g.Claim(t.Context(), request)
	if err != nil || result.State != redwingshunt.ClaimGranted {
		t.Fatal(result, err)
	}
	took := time.Since(began)
	answer := &redwingshunt.Answer{Status: 201, Body: make([]byte, 2048)}
	if err := g.Finish(t.Context(), request, answer); err != nil {
		t.Fatal(err)
	}
	return took
}
