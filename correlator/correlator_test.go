package correlator

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// network is a fake network that connects correlators, as seen by one of them.
type network struct {
	self redwingshunt.Instance
	*shared
}

// shared is the state that all correlators have in common.
type shared struct {
	mu       sync.Mutex
	live     []redwingshunt.Instance
	handlers map[redwingshunt.InstanceID]func(redwingshunt.InstanceID, []byte)
	sent     map[redwingshunt.InstanceID]int // messages by receiver
}

func newShared() *shared {
	return &shared{
		handlers: make(map[redwingshunt.InstanceID]func(redwingshunt.InstanceID, []byte)),
		sent:     make(map[redwingshunt.InstanceID]int),
	}
}

func (*network) Now() time.Time                { return time.Now() }
func (n *network) Self() redwingshunt.Instance { return n.self }

func (n *network) Live() []redwingshunt.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.live)
}

func (n *network) Handle(_ redwingshunt.MessageKind, f func(redwingshunt.InstanceID, []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[n.self.ID] = f
}

func (n *network) Send(to redwingshunt.InstanceID, m redwingshunt.Message) {
	n.mu.Lock()
	receive := n.handlers[to]
	n.sent[to]++
	n.mu.Unlock()
	if receive != nil {
		receive(n.self.ID, m.Payload)
	}
}

// start adds an instance.
func (s *shared) start(ctx context.Context, id redwingshunt.InstanceID, voter bool) *Correlator {
	n := &network{self: redwingshunt.Instance{ID: id, Incarnation: 1, Voter: voter}, shared: s}
	a := New(Options{Clock: n, Members: n, Link: n, Logger: slog.New(slog.DiscardHandler)})
	s.mu.Lock()
	s.live = append(s.live, n.self)
	slices.SortFunc(s.live, func(a, b redwingshunt.Instance) int { return cmp.Compare(a.ID, b.ID) })
	s.mu.Unlock()
	go a.Run(ctx)
	return a
}

// remove takes an instance out of the membership and drops its messages.
func (s *shared) remove(id redwingshunt.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live = slices.DeleteFunc(s.live, func(i redwingshunt.Instance) bool { return i.ID == id })
	delete(s.handlers, id)
}

// lose reports an upstream lost to a request that nobody sent before.
func lose(a *Correlator, number int, parts ...string) {
	var f redwingshunt.Fingerprint
	binary.BigEndian.PutUint64(f[:], uint64(number))
	u := redwingshunt.UpstreamKey{Service: "s", ID: redwingshunt.UpstreamID(fmt.Sprint("u", number))}
	a.PartsLost(prompt(parts...), f, u, redwingshunt.LostAfterHeader)
}

func prompt(parts ...string) redwingshunt.SharedPrompt {
	return redwingshunt.SharedPrompt{Service: "s", Account: "a", Parts: parts}
}

func refuses(a *Correlator, parts ...string) bool { return a.Check(prompt(parts...)) != nil }

// TestVerdictReachesAllInstances loses upstreams through several instances, one
// collector among them, which is lost on the way in one case.
func TestVerdictReachesAllInstances(t *testing.T) {
	tests := map[string]struct {
		voters int
		lost   redwingshunt.InstanceID // after two of five losses
	}{
		"two of three voters collect": {voters: 3},
		"a collector is lost":         {voters: 3, lost: "i0"},
		"no voter":                    {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := newShared()
				var all []*Correlator
				for i := range 8 {
					all = append(all, s.start(ctx, redwingshunt.InstanceID(fmt.Sprint("i", i)), i < test.voters))
				}
				for i := range 5 {
					lose(all[(3+i)%8], i, "kind", "bad")
					time.Sleep(500 * time.Millisecond)
					all[7].PartsAnswered(prompt("kind", "good"), time.Now())
					if i == 1 && test.lost != "" {
						s.remove(test.lost)
						all = all[1:]
						all = append(all, s.start(ctx, "i9", false))
					}
				}
				time.Sleep(3 * time.Second)
				late := s.start(ctx, "j0", false)
				time.Sleep(2 * syncInterval)
				for _, a := range append(all, late) {
					is.True(refuses(a, "kind", "bad"))
					is.True(!refuses(a, "kind", "good"))
				}
				is.Equal(late.Dump(), state{Refused: []string{"a bad"}})
				err := late.Check(prompt("kind", "bad"))
				var outcome *redwingshunt.OutcomeError
				is.True(errors.As(err, &outcome))
				is.Equal(outcome.Outcome, redwingshunt.OutcomeNotRun)
				is.Equal(outcome.Status, http.StatusServiceUnavailable)
				is.True(outcome.RetryAfter > 9*time.Minute)
				cancel()
			})
		})
	}
}

// TestAnyPartIsTold loses upstreams with a part whose identifier is no text, and one
// that is long.
func TestAnyPartIsTold(t *testing.T) {
	for name, part := range map[string]string{"not UTF-8": "\xff\xfe", "long": strings.Repeat("p", 4000)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := newShared()
				var all []*Correlator
				for i := range 4 {
					all = append(all, s.start(ctx, redwingshunt.InstanceID(fmt.Sprint("i", i)), i < 2))
				}
				for i := range 5 {
					lose(all[i%4], i, "kind", part)
					time.Sleep(100 * time.Millisecond)
					all[2].PartsAnswered(prompt("kind", "good"), time.Now())
				}
				time.Sleep(3 * time.Second)
				for _, a := range all {
					is.True(refuses(a, "kind", part))
					is.True(!refuses(a, "kind", part+"x"))
				}
				cancel()
			})
		})
	}
}

// TestMessagesDoNotGrowWithRequests ends one upstream that ran many requests. Only
// collectors may hear of it.
func TestMessagesDoNotGrowWithRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newShared()
		var all []*Correlator
		for i := range 6 {
			all = append(all, s.start(ctx, redwingshunt.InstanceID(fmt.Sprint("i", i)), i < 3))
		}
		for i := range 100 {
			var f redwingshunt.Fingerprint
			f[0] = byte(i)
			all[5].PartsLost(prompt("kind", fmt.Sprint("p", i)), f, redwingshunt.UpstreamKey{Service: "s", ID: "u"}, redwingshunt.LostBeforeHeader)
		}
		time.Sleep(time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		is.Equal(s.sent, map[redwingshunt.InstanceID]int{"i0": 1, "i1": 1})
		cancel()
	})
}

// TestMessagesAreBounded loses an upstream with many long parts of many requests.
func TestMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	n := &network{shared: newShared()}
	received, longest := 0, 0
	n.handlers["to"] = func(_ redwingshunt.InstanceID, payload []byte) {
		m := &wire.PartNotices{}
		is.NoErr(proto.Unmarshal(payload, m))
		received += len(m.GetLosses())
		longest = max(longest, len(payload))
	}
	a := New(Options{Clock: n, Members: n, Link: n, Logger: slog.New(slog.DiscardHandler)})
	parts := make([]string, 64)
	for i := range parts {
		parts[i] = fmt.Sprint(strings.Repeat("p", 4000), i)
	}
	a.PartsAnswered(prompt(parts...), time.Now())
	for i := range 200 {
		var f redwingshunt.Fingerprint
		f[0] = byte(i)
		a.PartsLost(prompt(parts...), f, redwingshunt.UpstreamKey{Service: "s", ID: "u"}, redwingshunt.LostBeforeHeader)
	}
	a.send("to", a.queued)
	is.Equal(received, 200)
	is.True(longest <= maxMessageBytes)
}
