package relayer

import (
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/allocator"
	"github.com/redwingshunt/redwingshunt/enroller"
	"github.com/redwingshunt/redwingshunt/explainer"
	"github.com/redwingshunt/redwingshunt/logger"
	"github.com/redwingshunt/redwingshunt/mimic"
	"github.com/redwingshunt/redwingshunt/wire"
)

// soloFleet is a fleet of one router; the test sends messages to its gatherer.
type soloFleet struct {
	receive func(redwingshunt.InstanceID, []byte)
}

func (f *soloFleet) Self() redwingshunt.Instance                        { return redwingshunt.Instance{ID: "r"} }
func (f *soloFleet) Live() []redwingshunt.Instance                      { return []redwingshunt.Instance{f.Self()} }
func (f *soloFleet) Now() time.Time                                     { return time.Now() }
func (f *soloFleet) Send(redwingshunt.InstanceID, redwingshunt.Message) {}
func (f *soloFleet) Handle(_ redwingshunt.MessageKind, receive func(redwingshunt.InstanceID, []byte)) {
	f.receive = receive
}

// TestCauseFromLogAndMetrics causes failures and checks that their causes can be found in the log and
// the metrics alone.
func TestCauseFromLogAndMetrics(t *testing.T) {
	tests := map[string]struct {
		path   string
		cause  func(t *testing.T, f *fixture)
		story  []string // substrings of the log lines, in this order
		metric string   // outcome passed to Options.Observe
	}{
		"refused under load": {"/stream/a", overloadUpstream,
			[]string{"outcome=queue-full", "sent=0", "promise=not-run", "s at the best upstream is beyond"}, "queue-full"},
		"cut in the middle of a stream": {"/stream/a", func(_ *testing.T, f *fixture) { f.streaming[0].Misbehave(mimic.CutStream, -1) },
			[]string{"attempt failed", "upstream=w0", "event=1", "it may have run and is not idempotent", "outcome=broken", "event=1"}, "broken"},
		"refused during a planned stop": {"/stream/a", func(_ *testing.T, f *fixture) { f.relayer.Stop() },
			[]string{"outcome=stopping", "promise=not-run", "shutting down"}, "stopping"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.streaming)
			log, counted := &logger.Memory{}, make(chan Record, 10)
			f.relayer.options.Logger = slog.New(slog.NewJSONHandler(log, nil)).With("instance", "r")
			f.relayer.options.Observe = func(r Record) { counted <- r }
			test.cause(t, f)
			f.send(t, test.path, func(r *http.Request) { r.Header.Set("Redwingshunt-Tokens", "1000,100") })
			is.Equal((<-counted).Outcome, test.metric)
			story := explainer.New("r1")
			is.NoErr(story.Read("log", strings.NewReader(log.String())))
			var lines strings.Builder
			for _, line := range story.Lines() {
				lines.WriteString(line.String() + "\n")
			}
			rest := lines.String()
			for _, wanted := range test.story {
				_, after, found := strings.Cut(rest, wanted)
				if !found {
					t.Fatalf("%q is missing or out of order in\n%s", wanted, lines.String())
				}
				rest = after
			}
		})
	}
}

// useAllocator replaces the stub placer by the real allocator and enroller.
func useAllocator(t *testing.T, f *fixture) *enroller.Enroller {
	t.Helper()
	fleet, log := &soloFleet{}, f.relayer.options.Logger
	document := &redwingshunt.Document{Services: []redwingshunt.Service{{Name: "s", Kind: redwingshunt.ServicePlain}}}
	a := allocator.New(allocator.Options{
		Members: fleet, Link: fleet, Clock: fleet, Logger: log, Budget: redwingshunt.RepeatBudget{Extra: 10},
		Configuration: fixedConfiguration{&redwingshunt.Snapshot{Revision: 1, Document: document}},
	})
	e := enroller.New(enroller.Options{Members: fleet, Link: fleet, Clock: fleet, Logger: log})
	e.Watch(a.SetUpstreams)
	go func() { a.Run(t.Context()) }()
	go func() { e.Run(t.Context()) }()
	for _, w := range f.plain {
		e.Enroll(w.State("s", 1))
	}
	f.relayer.options.Placer, f.relayer.options.Roll = a, e
	eventually(t, func() bool {
		placed, err := a.Place(&redwingshunt.Placement{Service: "s", Route: &routes()[0], Attempt: 1})
		a.End(placed.Ticket, redwingshunt.EndLeft)
		return err == nil && len(e.Usable()) == 2
	})
	return e
}

// overloadUpstream reports five seconds of prompt processing by other routers at the
// only upstream.
func overloadUpstream(t *testing.T, f *fixture) {
	t.Helper()
	fleet := &soloFleet{}
	document := &redwingshunt.Document{
		Services: []redwingshunt.Service{{Name: "s", Kind: redwingshunt.ServiceEngine, Engine: redwingshunt.Engine{Slots: 64, Memory: 1_000_000}}},
	}
	a := allocator.New(allocator.Options{
		Members: fleet, Link: fleet, Clock: fleet, Logger: f.relayer.options.Logger,
		Configuration: fixedConfiguration{&redwingshunt.Snapshot{Revision: 1, Document: document}},
	})
	go func() { a.Run(t.Context()) }()
	a.SetUpstreams([]redwingshunt.UpstreamState{f.streaming[0].State("s", 1)})
	payload, err := proto.Marshal(&wire.Loads{Sequence: 1, Upstreams: []*wire.UpstreamLoad{{Id: "w0", Service: "s", Unread: 300_000, Running: 20}}})
	if err != nil {
		t.Fatal(err)
	}
	fleet.receive("g", payload)
	f.relayer.options.Placer = a
	// The allocator knows no upstream until it has read the document.
	eventually(t, func() bool {
		fleet.receive("g", payload)
		_, err := a.Place(&redwingshunt.Placement{Service: "s", Route: &routes()[2], Prompt: []redwingshunt.Part{{ID: "x", Tokens: 1}}, Attempt: 1})
		return err != nil && redwingshunt.OutcomeOf(err).Reason == redwingshunt.ReasonQueueFull
	})
}
