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
	"github.com/redwingshunt/redwingshunt/logger"
	"github.com/redwingshunt/redwingshunt/mimic"
	"github.com/redwingshunt/redwingshunt/narrator"
	"github.com/redwingshunt/redwingshunt/wire"
)

// alone is a fleet of one router; the test sends messages to its gatherer.
type alone struct {
	receive func(redwingshunt.InstanceID, []byte)
}

func (a *alone) Self() redwingshunt.Instance                        { return redwingshunt.Instance{ID: "r"} }
func (a *alone) Live() []redwingshunt.Instance                      { return []redwingshunt.Instance{a.Self()} }
func (a *alone) Now() time.Time                                     { return time.Now() }
func (a *alone) Send(redwingshunt.InstanceID, redwingshunt.Message) {}
func (a *alone) Handle(_ redwingshunt.MessageKind, receive func(redwingshunt.InstanceID, []byte)) {
	a.receive = receive
}

// TestStory causes failures and checks that their causes can be found in the log and
// the metrics alone.
func TestStory(t *testing.T) {
	tests := map[string]struct {
		path   string
		cause  func(t *testing.T, b *bench)
		story  []string // substrings of the log lines, in this order
		metric string   // outcome passed to Options.Observe
	}{
		"refused under load": {"/stream/a", refuseUnderLoad,
			[]string{"outcome=queue-full", "sent=0", "promise=not-run", "s at the best upstream is beyond"}, "queue-full"},
		"cut in the middle of a stream": {"/stream/a", func(_ *testing.T, b *bench) { b.streaming[0].Misbehave(mimic.CutStream, -1) },
			[]string{"attempt failed", "upstream=w0", "event=1", "it may have run and is not idempotent", "outcome=broken", "event=1"}, "broken"},
		"refused during a planned stop": {"/stream/a", func(_ *testing.T, b *bench) { b.relayer.Stop() },
			[]string{"outcome=stopping", "promise=not-run", "shutting down"}, "stopping"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			b.use(b.streaming)
			log, counted := &logger.Memory{}, make(chan Record, 10)
			b.relayer.options.Logger = slog.New(slog.NewJSONHandler(log, nil)).With("instance", "r")
			b.relayer.options.Observe = func(r Record) { counted <- r }
			test.cause(t, b)
			b.ask(t, test.path, func(r *http.Request) { r.Header.Set("Redwingshunt-Tokens", "1000,100") })
			is.Equal((<-counted).Outcome, test.metric)
			story := narrator.New("r1")
			is.NoErr(story.Read("log", strings.NewReader(log.String())))
			var told strings.Builder
			for _, line := range story.Lines() {
				told.WriteString(line.String() + "\n")
			}
			rest := told.String()
			for _, wanted := range test.story {
				_, after, found := strings.Cut(rest, wanted)
				if !found {
					t.Fatalf("%q is missing or out of order in\n%s", wanted, told.String())
				}
				rest = after
			}
		})
	}
}

// usePlacing replaces the stub placer by the real allocator and enroller.
func usePlacing(t *testing.T, b *bench) *enroller.Enroller {
	t.Helper()
	fleet, log := &alone{}, b.relayer.options.Logger
	document := &redwingshunt.Document{Services: []redwingshunt.Service{{Name: "s", Kind: redwingshunt.ServicePlain}}}
	a := allocator.New(allocator.Options{
		Members: fleet, Link: fleet, Clock: fleet, Logger: log, Budget: redwingshunt.RepeatBudget{Extra: 10},
		Configuration: fixed{&redwingshunt.Snapshot{Revision: 1, Document: document}},
	})
	e := enroller.New(enroller.Options{Members: fleet, Link: fleet, Clock: fleet, Logger: log})
	e.Watch(a.SetUpstreams)
	go func() { a.Run(t.Context()) }()
	go func() { e.Run(t.Context()) }()
	for _, w := range b.plain {
		e.Enroll(w.State("s", 1))
	}
	b.relayer.options.Placer, b.relayer.options.Roll = a, e
	eventually(t, func() bool {
		placed, err := a.Place(&redwingshunt.Placement{Service: "s", Route: &routes()[0], Attempt: 1})
		a.End(placed.Ticket, redwingshunt.EndLeft)
		return err == nil && len(e.Usable()) == 2
	})
	return e
}

// refuseUnderLoad reports five seconds of prompt processing by other routers at the
// only upstream.
func refuseUnderLoad(t *testing.T, b *bench) {
	t.Helper()
	fleet := &alone{}
	document := &redwingshunt.Document{
		Services: []redwingshunt.Service{{Name: "s", Kind: redwingshunt.ServiceEngine, Engine: redwingshunt.Engine{Slots: 64, Memory: 1_000_000}}},
	}
	a := allocator.New(allocator.Options{
		Members: fleet, Link: fleet, Clock: fleet, Logger: b.relayer.options.Logger,
		Configuration: fixed{&redwingshunt.Snapshot{Revision: 1, Document: document}},
	})
	go func() { a.Run(t.Context()) }()
	a.SetUpstreams([]redwingshunt.UpstreamState{b.streaming[0].State("s", 1)})
	payload, err := proto.Marshal(&wire.Loads{Sequence: 1, Upstreams: []*wire.UpstreamLoad{{Id: "w0", Service: "s", Unread: 300_000, Running: 20}}})
	if err != nil {
		t.Fatal(err)
	}
	fleet.receive("g", payload)
	b.relayer.options.Placer = a
	// The allocator knows no upstream until it has read the document.
	eventually(t, func() bool {
		fleet.receive("g", payload)
		_, err := a.Place(&redwingshunt.Placement{Service: "s", Route: &routes()[2], Prompt: []redwingshunt.Part{{ID: "x", Tokens: 1}}, Attempt: 1})
		return err != nil && redwingshunt.OutcomeOf(err).Reason == redwingshunt.ReasonQueueFull
	})
}
