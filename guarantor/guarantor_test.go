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

// proposalResult is what the fake log does with one proposal.
type proposalResult int

const (
	committed      proposalResult = iota
	notCommitted                  // refused and never applied
	unknownApplied                // applied, but its reply is lost
	unknownLost                   // lost and never applied
	unknownDelayed                // applied after the next command
	alwaysLost                    // lost, as are all later proposals
)

// fleet is a fake log that three instances in two regions share.
type fleet struct {
	mu       sync.Mutex
	machines map[redwingshunt.GroupID]*claimer.Machine
	results  []proposalResult
	delayed  []func()
	bytes    int // total size of the committed commands
	live     []redwingshunt.Instance
	handlers map[redwingshunt.InstanceID]func(redwingshunt.InstanceID, []byte)
	sent     int // number of messages between instances
}

func (f *fleet) Propose(_ context.Context, group redwingshunt.GroupID, command []byte) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := committed
	if len(f.results) > 0 {
		v = f.results[0]
		if v != alwaysLost {
			f.results = f.results[1:]
		}
	}
	if f.machines[group] == nil {
		f.machines[group] = claimer.New()
	}
	apply := func() []byte { return f.machines[group].Apply(0, command) }
	switch v {
	case notCommitted:
		return nil, redwingshunt.ErrNotCommitted
	case unknownLost, alwaysLost:
		return nil, redwingshunt.ErrUnknown
	case unknownApplied:
		apply()
		return nil, redwingshunt.ErrUnknown
	case unknownDelayed:
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

// member is the fleet as seen by one instance.
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
	var guarantors []*guarantor.Guarantor
	for _, i := range f.live {
		m := member{fleet: f, self: i}
		guarantors = append(guarantors, guarantor.New(f, f, m, f, keeper.New(f, m, m, f)))
	}
	return f, guarantors
}

func request(body byte) *redwingshunt.Request {
	return &redwingshunt.Request{
		ID: "r", Account: "lin", Service: "fitting-app", Once: true, Key: "k",
		Fingerprint: redwingshunt.Fingerprint{body},
	}
}

// stateOrReason returns the state of a claim, or the reason why it was refused.
func stateOrReason(is *is.I, r redwingshunt.ClaimResult, err error) string {
	if err == nil {
		return string(r.State)
	}
	var outcome *redwingshunt.OutcomeError
	is.True(errors.As(err, &outcome))
	is.Equal(outcome.Outcome, redwingshunt.OutcomeNotRun) // a refused request never runs
	is.True(outcome.RetryAfter > 0)
	return string(outcome.Reason)
}

// TestClaim loses proposals of a claim, and checks the result of the claim and that
// of a later resend through another instance.
func TestClaim(t *testing.T) {
	tests := map[string]struct {
		results       []proposalResult
		first, resend string
	}{
		"committed":                      {nil, "granted", "in-progress"},
		"no quorum":                      {[]proposalResult{notCommitted}, "no-quorum", "granted"},
		"the reply is lost":              {[]proposalResult{unknownApplied}, "granted", "in-progress"},
		"the command is lost":            {[]proposalResult{unknownLost}, "granted", "in-progress"},
		"committed twice":                {[]proposalResult{unknownDelayed}, "granted", "in-progress"},
		"both replies are lost":          {[]proposalResult{unknownApplied, unknownApplied}, "no-quorum", "granted"},
		"both commands are lost":         {[]proposalResult{unknownLost, unknownLost}, "no-quorum", "granted"},
		"lost, then refused":             {[]proposalResult{unknownApplied, notCommitted}, "no-quorum", "granted"},
		"committed after it was refused": {[]proposalResult{unknownLost, unknownDelayed}, "no-quorum", "granted"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			f, guarantors := newFleet()
			f.results = test.results
			r, err := guarantors[0].Claim(ctx, request(1))
			is.Equal(stateOrReason(is, r, err), test.first)
			done := make(chan struct{})
			go func() {
				guarantors[0].Run(ctx)
				close(done)
			}()
			for guarantors[0].Pending() > 0 {
				time.Sleep(time.Millisecond)
			}
			cancel()
			<-done
			r, err = guarantors[1].Claim(t.Context(), request(1))
			is.Equal(stateOrReason(is, r, err), test.resend)
		})
	}
}

// TestHolderLost loses the holder of a claim at different stages and resends the
// request through the other instances.
func TestHolderLost(t *testing.T) {
	tests := map[string]struct {
		before func(context.Context, *fleet, *guarantor.Guarantor) error
		resend string
	}{
		"after the claim": {nil, "interrupted"},
		"after the answer, before the record": {func(ctx context.Context, f *fleet, g *guarantor.Guarantor) error {
			f.results = []proposalResult{unknownLost}
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
			f, guarantors := newFleet()
			r, err := guarantors[0].Claim(t.Context(), request(1))
			is.Equal(stateOrReason(is, r, err), "granted")
			if test.before != nil {
				is.NoErr(test.before(t.Context(), f, guarantors[0]))
			}
			f.live = f.live[1:]
			r, err = guarantors[1].Claim(t.Context(), request(1))
			is.Equal(stateOrReason(is, r, err), test.resend)
			r, err = guarantors[2].Claim(t.Context(), request(2))
			is.Equal(stateOrReason(is, r, err), "conflict")
		})
	}
}

func TestAnswer(t *testing.T) {
	tests := map[string]struct {
		size       int
		kept       bool // the answer is available after the holder was lost
		regionLost bool // all instances of the region are lost
	}{
		"small":                 {100, true, true},
		"too large for the log": {2048, true, false},
		"its region is lost":    {2048, false, true},
		"too large to keep":     {claimer.KeptLimitBytes, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, guarantors := newFleet()
			_, err := guarantors[0].Claim(t.Context(), request(1))
			is.NoErr(err)
			sent := &redwingshunt.Answer{
				Status: 201,
				Header: http.Header{"Content-Type": {"application/json"}, "X": {"1", "2"}, "X-Name": {"caf\xe9"}},
				Body:   bytes.Repeat([]byte("x"), test.size),
			}
			is.NoErr(guarantors[0].Finish(t.Context(), request(1), sent))
			is.True(f.bytes < 512) // sent to each of two voters in other regions
			f.live = f.live[1:]
			if test.regionLost {
				f.live = f.live[1:]
			}
			r, err := guarantors[2].Claim(t.Context(), request(1))
			is.Equal(stateOrReason(is, r, err), "answered")
			is.Equal(r.Answer != nil, test.kept)
			if test.kept {
				is.Equal(r.Answer, sent)
			}
		})
	}
}

// BenchmarkClaim reports the size of the commands of one claim with a 2 KB answer.
func BenchmarkClaim(b *testing.B) {
	f, guarantors := newFleet()
	answer := &redwingshunt.Answer{Status: 201, Body: make([]byte, 2048)}
	for b.Loop() {
		r := request(1)
		if _, err := guarantors[0].Claim(b.Context(), r); err != nil {
			b.Fatal(err)
		}
		if err := guarantors[0].Finish(b.Context(), r, answer); err != nil {
			b.Fatal(err)
		}
		f.machines = make(map[redwingshunt.GroupID]*claimer.Machine)
	}
	b.ReportMetric(float64(f.bytes)/float64(b.N), "log-B/claim")
}
