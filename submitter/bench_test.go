package submitter_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/parser"
	"github.com/redwingshunt/redwingshunt/recorder"
	"github.com/redwingshunt/redwingshunt/registrar"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/submitter"
	"github.com/redwingshunt/redwingshunt/subscriber"
)

// oneWay is the delay between two regions; half of the round trip.
const oneWay = 20 * time.Millisecond

// site is one instance of a fleet in this process.
type site struct {
	fleet     *fleet
	self      redwingshunt.Instance
	log       *recorder.Recorder
	subscribe *subscriber.Subscriber
	submit    *submitter.Submitter
}

// fleet passes messages between its sites, late across regions.
type fleet struct {
	mu       sync.Mutex
	live     []redwingshunt.Instance
	handlers map[redwingshunt.InstanceID]map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte)
}

func (s *site) Self() redwingshunt.Instance   { return s.self }
func (s *site) Live() []redwingshunt.Instance { return s.fleet.live }

func (s *site) Send(to redwingshunt.InstanceID, m redwingshunt.Message) {
	s.fleet.mu.Lock()
	receive := s.fleet.handlers[to][m.Kind]
	s.fleet.mu.Unlock()
	i := slices.IndexFunc(s.fleet.live, func(i redwingshunt.Instance) bool { return i.ID == to })
	if receive == nil || i < 0 {
		return
	}
	delay := 200 * time.Microsecond
	if s.fleet.live[i].Region != s.self.Region {
		delay = oneWay
	}
	time.AfterFunc(delay, func() { receive(s.self.ID, m.Payload) })
}

func (s *site) Handle(kind redwingshunt.MessageKind, receive func(redwingshunt.InstanceID, []byte)) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.fleet.handlers[s.self.ID] == nil {
		s.fleet.handlers[s.self.ID] = make(map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte))
	}
	s.fleet.handlers[s.self.ID][kind] = receive
}

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// startSite runs the log, with a disk on a voter, and the configuration.
func startSite(b *testing.B, f *fleet, i int, voters []redwingshunt.InstanceID) *site {
	s := &site{fleet: f, self: f.live[i]}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	leads := func() bool {
		groups := s.log.Status().Groups
		return len(groups) > 0 && groups[0].Role == replicator.RoleLeader
	}
	s.subscribe = subscriber.New(subscriber.Options{
		Link: s, Members: s, Clock: wallClock{}, Document: parser.Document, Logger: quiet,
		Quorum: func() bool { return s.self.Voter }, Leader: leads, Seed: uint64(i),
	})
	options := recorder.Options{
		Self: s.self.ID, Members: s, Link: s, Clock: wallClock{}, Logger: quiet, Initial: voters, Groups: 1,
		Bootstrap: i == 0,
		Machines: func(redwingshunt.GroupID) redwingshunt.StateMachine {
			return registrar.New(registrar.Options{Document: parser.Document, Section: parser.Section, Accepted: s.subscribe.Accept})
		},
	}
	if s.self.Voter {
		options.Folder = b.TempDir()
	}
	log, err := recorder.New(options)
	if err != nil {
		b.Fatal(err)
	}
	s.log = log
	s.submit = submitter.New(submitter.Options{Log: log, View: s.subscribe, Clock: wallClock{}, Section: parser.Section, Logger: quiet})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = s.log.Run(ctx) })
	group.Go(func() { s.subscribe.Run(ctx) })
	b.Cleanup(func() { cancel(); group.Wait() })
	return s
}

// BenchmarkInForce measures the time from a submission until it is in force on
// all of nine instances in three regions, three of them voters with a disk.
func BenchmarkInForce(b *testing.B) {
	f := &fleet{handlers: make(map[redwingshunt.InstanceID]map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte))}
	voters := []redwingshunt.InstanceID{"n0", "n1", "n2"}
	for i := range 9 {
		f.live = append(f.live, redwingshunt.Instance{
			ID:     redwingshunt.InstanceID(fmt.Sprint("n", i)),
			Region: []redwingshunt.RegionID{"north", "central", "south"}[i%3],
			Voter:  i < len(voters),
		})
	}
	var sites []*site
	for i := range f.live {
		sites = append(sites, startSite(b, f, i, voters))
	}
	ctx := context.Background()
	if r, err := sites[8].submit.Submit(ctx, redwingshunt.Submission{ID: "first", Team: registrar.Bootstrap, Text: []byte(start)}); err != nil || !r.Accepted {
		b.Fatal(r, err)
	}
	await(sites, 1)
	var times []time.Duration
	for b.Loop() {
		n := len(times)
		change := services(fmt.Sprint(n), []string{"engine", "plain"}[n%2])
		change.Base = redwingshunt.Revision(n + 1)
		began := time.Now()
		r, err := sites[3+n%6].submit.Submit(ctx, change) // an instance without a disk
		if err != nil || !r.Accepted {
			b.Fatal(r, err)
		}
		await(sites, r.Revision)
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "median-ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "worst-ms")
}

// await returns when a revision is in force on all sites.
func await(sites []*site, revision redwingshunt.Revision) {
	for _, s := range sites {
		for {
			watch := s.subscribe.Watch()
			if snapshot := s.subscribe.Current(); snapshot != nil && snapshot.Revision >= revision {
				break
			}
			<-watch
		}
	}
}
