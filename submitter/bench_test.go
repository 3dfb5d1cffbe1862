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

// oneWayDelay is the message delay between two regions, half of the round-trip time.
const oneWayDelay = 20 * time.Millisecond

// member is one instance of a fleet that runs in this process.
type member struct {
	fleet         *fleet
	self          redwingshunt.Instance
	log           *recorder.Recorder
	configuration *subscriber.Subscriber
	client        *submitter.Submitter
}

// fleet delivers messages between its instances, with a longer delay across regions.
type fleet struct {
	mu       sync.Mutex
	live     []redwingshunt.Instance
	handlers map[redwingshunt.InstanceID]map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte)
}

func (m *member) Self() redwingshunt.Instance   { return m.self }
func (m *member) Live() []redwingshunt.Instance { return m.fleet.live }

func (m *member) Send(to redwingshunt.InstanceID, message redwingshunt.Message) {
	m.fleet.mu.Lock()
	receive := m.fleet.handlers[to][message.Kind]
	m.fleet.mu.Unlock()
	i := slices.IndexFunc(m.fleet.live, func(i redwingshunt.Instance) bool { return i.ID == to })
	if receive == nil || i < 0 {
		return
	}
	delay := 200 * time.Microsecond
	if m.fleet.live[i].Region != m.self.Region {
		delay = oneWayDelay
	}
	time.AfterFunc(delay, func() { receive(m.self.ID, message.Payload) })
}

func (m *member) Handle(kind redwingshunt.MessageKind, receive func(redwingshunt.InstanceID, []byte)) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.fleet.handlers[m.self.ID] == nil {
		m.fleet.handlers[m.self.ID] = make(map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte))
	}
	m.fleet.handlers[m.self.ID][kind] = receive
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// startMember starts the log and the subscriber of one instance. Only a voter stores
// the log on disk.
func startMember(b *testing.B, f *fleet, i int, voters []redwingshunt.InstanceID) *member {
	m := &member{fleet: f, self: f.live[i]}
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	isLeader := func() bool {
		groups := m.log.Status().Groups
		return len(groups) > 0 && groups[0].Role == replicator.RoleLeader
	}
	m.configuration = subscriber.New(subscriber.Options{
		Link: m, Members: m, Clock: systemClock{}, Document: parser.Document, Logger: logger,
		Quorum: func() bool { return m.self.Voter }, Leader: isLeader, Seed: uint64(i),
	})
	options := recorder.Options{
		Self: m.self.ID, Members: m, Link: m, Clock: systemClock{}, Logger: logger, Initial: voters, Groups: 1,
		Bootstrap: i == 0,
		Machines: func(redwingshunt.GroupID) redwingshunt.StateMachine {
			return registrar.New(registrar.Options{Document: parser.Document, Section: parser.Section, Accepted: m.configuration.Accept})
		},
	}
	if m.self.Voter {
		options.Folder = b.TempDir()
	}
	log, err := recorder.New(options)
	if err != nil {
		b.Fatal(err)
	}
	m.log = log
	m.client = submitter.New(submitter.Options{Log: log, View: m.configuration, Clock: systemClock{}, Section: parser.Section, Logger: logger})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = m.log.Run(ctx) })
	wg.Go(func() { m.configuration.Run(ctx) })
	b.Cleanup(func() { cancel(); wg.Wait() })
	return m
}

// BenchmarkInForce measures the time from a submission until it is in force on all
// of nine instances in three regions. Three instances are voters with a disk.
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
	var members []*member
	for i := range f.live {
		members = append(members, startMember(b, f, i, voters))
	}
	ctx := context.Background()
	if receipt, err := members[8].client.Submit(ctx, redwingshunt.Submission{ID: "first", Team: registrar.Bootstrap, Text: []byte(initialDocument)}); err != nil || !receipt.Accepted {
		b.Fatal(receipt, err)
	}
	awaitRevision(members, 1)
	var durations []time.Duration
	for b.Loop() {
		n := len(durations)
		change := servicesSubmission(fmt.Sprint(n), []string{"engine", "plain"}[n%2])
		change.Base = redwingshunt.Revision(n + 1)
		started := time.Now()
		receipt, err := members[3+n%6].client.Submit(ctx, change) // to an instance without a disk
		if err != nil || !receipt.Accepted {
			b.Fatal(receipt, err)
		}
		awaitRevision(members, receipt.Revision)
		durations = append(durations, time.Since(started))
	}
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2].Milliseconds()), "median-ms")
	b.ReportMetric(float64(durations[len(durations)-1].Milliseconds()), "worst-ms")
}

// awaitRevision blocks until a revision is in force on all instances.
func awaitRevision(members []*member, revision redwingshunt.Revision) {
	for _, m := range members {
		for {
			watch := m.configuration.Watch()
			if snapshot := m.configuration.Current(); snapshot != nil && snapshot.Revision >= revision {
				break
			}
			<-watch
		}
	}
}
