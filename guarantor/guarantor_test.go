package guarantor_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/claimer"
	"github.com/redwingshunt/redwingshunt/guarantor"
	"github.com/redwingshunt/redwingshunt/keeper"
)

// verdict is what happens to one proposal.
type verdict int

const (
	commit        verdict = iota
	notCommitted          // refused, never applied
	unknownDone           // applied, the answer is lost
	unknownNever          // lost, never applied
	unknownLater          // applied after the next command
	alwaysUnknown         // lost, and all that follow
)

// fleet is a log and three instances in two regions that share it.
type fleet struct {
	mu       sync.Mutex
	machines map[redwingshunt.GroupID]*claimer.Machine
	verdicts []verdict
	delayed  []func()
	bytes    int // of commands
	live     []redwingshunt.Instance
	handlers map[redwingshunt.InstanceID]func(redwingshunt.InstanceID, []byte)
	sent     int // messages between instances
}

func (f *fleet) Propose(_ context.Context, group redwingshunt.GroupID, command []byte) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := commit
	if len(f.verdicts) > 0 {
		v = f.verdicts[0]
		if v != alwaysUnknown {
			f.verdicts = f.verdicts[1:]
		}
	}
	if f.machines[group] == nil {
		f.machines[group] = claimer.New()
	}
	apply := func() []byte { return f.machines[group].Apply(0, command) }
	switch v {
	case notCommitted:
		return nil, redwingshunt.ErrNotCommitted
	case unknownNever, alwaysUnknown:
		return nil, redwingshunt.ErrUnknown
	case unknownDone:
		apply()
		return nil, redwingshunt.ErrUnknown
	case unknownLater:
		f.delayed = append(f.delayed, func() { apply() })
		return nil, redwingshunt.ErrUnknown
	}
	f.bytes += len(command)
	reply := apply()
	for _, later := range f.delayed {
		later()
	}
	f.delayed = nil
	return reply, nil
}

func (f *fleet) Now() time.Time                  { return time.Unix(1000, 0) }
func (f *fleet) Watch() <-chan struct{}          { return nil }
func (f *fleet) Current() *redwingshunt.Snapshot { return &redwingshunt.Snapshot{Document: document} }
func (f *fleet) Live() []redwingshunt.Instance   { return f.live }

var document = &redwingshunt.Document{Fleet: redwingshunt.FleetConfiguration{
	Groups: 4, Keep: time.Hour, Space: 1 << 20,
}}

// member is the view of one instance.
type member struct {
	*fleet
	self redwingshunt.Instance
}

func (m member) Self() redwingshunt.Instance { return m.self }

func (m member) Handle(_ redwingshunt.MessageKind, receive func(redwingshunt.InstanceID, []byte)) {
	m.handlers[m.self.ID] = receive
}

func (m member) Send(to redwingshunt.InstanceID, message redwingshunt.Message) {
	m.sent++
	if receive := m.handlers[to]; receive != nil {
		receive(m.self.ID, message.Payload)
	}
}

func newFleet() (*fleet, []*guarantor.Guarantor) {
	f := &fleet{
		machines: make(map[redwingshunt.GroupID]*claimer.Machine),
		handlers: make(map[redwingshunt.InstanceID]func(redwingshunt.InstanceID, []byte)),
		live: []redwingshunt.Instance{
			{ID: "a", Incarnation: 1, Region: "north"},
			{ID: "b", Incarnation: 1, Region: "north"},
			{ID: "c", Incarnation: 1, Region: "south"},
		},
	}
	var routers []*guarantor.Guarantor
	for _, i := range f.live {
		m := member{fleet: f, self: i}
		routers = append(routers, guarantor.New(f, f, m, f, keeper.New(f, m, m, f)))
	}
	return f, routers
}

func request(body byte) *redwingshunt.Request {
	return &redwingshunt.Request{
		ID: "r", Account: "lin", Service: "fitting-app", Once: true, Key: "k",
		Fingerprint: redwingshunt.Fingerprint{body},
	}
}

// say returns the state of a claim, or the reason for which it was refused.
func say(is *is.I, r redwingshunt.ClaimResult, err error) string {
	if err == nil {
		return string(r.State)
	}
	var outcome *redwingshunt.OutcomeError
	is.True(errors.As(err, &outcome))
	is.Equal(outcome.Outcome, redwingshunt.OutcomeNotRun) // every refusal is honest
	is.True(outcome.RetryAfter > 0)
	return string(outcome.Reason)
}

// TestClaim loses proposals of a claim and checks what the caller is told, and
// what a resend through another instance is told after that.
func TestClaim(t *testing.T) {
	tests := map[string]struct {
		verdicts      []verdict
		first, resend string
	}{
		"committed":                      {nil, "granted", "in-progress"},
		"no quorum":                      {[]verdict{notCommitted}, "no-quorum", "granted"},
		"the reply is lost":              {[]verdict{unknownDone}, "granted", "in-progress"},
		"the command is lost":            {[]verdict{unknownNever}, "granted", "in-progress"},
		"committed twice":                {[]verdict{unknownLater}, "granted", "in-progress"},
		"both replies are lost":          {[]verdict{unknownDone, unknownDone}, "no-quorum", "granted"},
		"both commands are lost":         {[]verdict{unknownNever, unknownNever}, "no-quorum", "granted"},
		"lost, then refused":             {[]verdict{unknownDone, notCommitted}, "no-quorum", "granted"},
		"committed after it was refused": {[]verdict{unknownNever, unknownLater}, "no-quorum", "granted"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			f, routers := newFleet()
			f.verdicts = test.verdicts
			r, err := routers[0].Claim(ctx, request(1))
			is.Equal(say(is, r, err), test.first)
			done := make(chan struct{})
			go func() {
				routers[0].Run(ctx)
				close(done)
			}()
			for routers[0].Pending() > 0 {
				time.Sleep(time.Millisecond)
			}
			cancel()
			<-done
			r, err = routers[1].Claim(t.Context(), request(1))
			is.Equal(say(is, r, err), test.resend)
		})
	}
}

// TestRouterLost loses the holder of a claim at each moment and sends the
// request again through the others.
func TestRouterLost(t *testing.T) {
	tests := map[string]struct {
		before func(context.Context, *fleet, *guarantor.Guarantor) error
		resend string
	}{
		"after the claim": {nil, "interrupted"},
		"after the answer, before the record": {func(ctx context.Context, f *fleet, g *guarantor.Guarantor) error {
			f.verdicts = []verdict{unknownNever}
			_ = g.Finish(ctx, request(1), &redwingshunt.Answer{Status: 200})
			return nil
		}, "interrupted"},
		"after the record": {func(ctx context.Context, _ *fleet, g *guarantor.Guarantor) error {
			return g.Finish(ctx, request(1), &redwingshunt.Answer{Status: 200})
		}, "answered"},
		"after it was abandoned": {func(ctx context.Context, _ *fleet, g *guarantor.Guarantor) error {
			return g.Abandon(ctx, request(1))
		}, "granted"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, routers := newFleet()
			r, err := routers[0].Claim(t.Context(), request(1))
			is.Equal(say(is, r, err), "granted")
			if test.before != nil {
				is.NoErr(test.before(t.Context(), f, routers[0]))
			}
			f.live = f.live[1:]
			r, err = routers[1].Claim(t.Context(), request(1))
			is.Equal(say(is, r, err), test.resend)
			r, err = routers[2].Claim(t.Context(), request(2))
			is.Equal(say(is, r, err), "conflict")
		})
	}
}

func TestAnswer(t *testing.T) {
	tests := map[string]struct {
		size int
		kept bool // after the holder was lost
		all  bool // every instance of the region was lost
	}{
		"small":                     {100, true, true},
		"larger than the log takes": {2048, true, false},
		"its region is lost":        {2048, false, true},
		"larger than what is kept":  {claimer.KeptLimit, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, routers := newFleet()
			_, err := routers[0].Claim(t.Context(), request(1))
			is.NoErr(err)
			sent := &redwingshunt.Answer{
				Status: 201,
				Header: http.Header{"Content-Type": {"application/json"}, "X": {"1", "2"}},
				Body:   bytes.Repeat([]byte("x"), test.size),
			}
			is.NoErr(routers[0].Finish(t.Context(), request(1), sent))
			is.True(f.bytes < 512) // across regions, to each of two voters
			f.live = f.live[1:]
			if test.all {
				f.live = f.live[1:]
			}
			r, err := routers[2].Claim(t.Context(), request(1))
			is.Equal(say(is, r, err), "answered")
			is.Equal(r.Answer != nil, test.kept)
			if test.kept {
				is.Equal(r.Answer, sent)
			}
		})
	}
}

// BenchmarkClaim reports what one claim with an answer of 2 KB costs.
func BenchmarkClaim(b *testing.B) {
	f, routers := newFleet()
	answer := &redwingshunt.Answer{Status: 201, Body: make([]byte, 2048)}
	for b.Loop() {
		r := request(1)
		if _, err := routers[0].Claim(b.Context(), r); err != nil {
			b.Fatal(err)
		}
		if err := routers[0].Finish(b.Context(), r, answer); err != nil {
			b.Fatal(err)
		}
		f.machines = make(map[redwingshunt.GroupID]*claimer.Machine)
	}
	b.ReportMetric(float64(f.bytes)/float64(b.N), "log-B/claim")
}
