package custodian

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// pair is a router and its only holder, which exchange messages at once.
type pair struct {
	versions redwingshunt.ServiceVersions
	self     redwingshunt.InstanceID
	peer     *pair
	receive  func(redwingshunt.InstanceID, []byte)
	queue    chan []byte
	bytes    int
}

func (p *pair) Self() redwingshunt.Instance { return redwingshunt.Instance{ID: p.self} }

func (p *pair) Live() []redwingshunt.Instance {
	return []redwingshunt.Instance{{ID: "holder", Voter: true}, {ID: "router"}}
}

func (p *pair) Handle(_ redwingshunt.MessageKind, receive func(redwingshunt.InstanceID, []byte)) {
	p.receive = receive
}

func (p *pair) Send(_ redwingshunt.InstanceID, m redwingshunt.Message) {
	p.bytes += len(m.Payload)
	p.peer.queue <- m.Payload
}

func (p *pair) Versions(redwingshunt.ServiceID) redwingshunt.ServiceVersions { return p.versions }

// BenchmarkBegin measures what one stream costs, the holder included, in each state of
// its service. The bytes are those of both messages.
func BenchmarkBegin(b *testing.B) {
	now := time.Now()
	both := []redwingshunt.VersionSpan{{Version: "v1", First: now.Add(-time.Minute), Last: now}, {Version: "v2", First: now, Last: now}}
	tests := map[string]struct {
		spans   []redwingshunt.VersionSpan
		version string
	}{
		"one-version":   {both[:1], "v1"},
		"first-of-two":  {both, "v1"},
		"second-of-two": {both, "v2"},
	}
	for name, test := range tests {
		b.Run(name, func(b *testing.B) {
			versions := redwingshunt.ServiceVersions{Spans: test.spans, Since: now.Add(-time.Hour), Complete: true, Joined: true}
			router := &pair{versions: versions, self: "router", queue: make(chan []byte, 1024)}
			holder := &pair{versions: versions, self: "holder", queue: make(chan []byte, 1024)}
			router.peer, holder.peer = holder, router
			var custodian *Custodian
			for _, p := range []*pair{holder, router} {
				custodian = New(Options{Members: p, Link: p, Versions: p, Clock: systemClock{}, Logger: slog.New(slog.DiscardHandler)})
				go custodian.Run(b.Context())
				go func() {
					for payload := range p.queue {
						p.receive(p.peer.self, payload)
					}
				}()
			}
			origin := redwingshunt.Origin{Service: "assistant", Version: test.version}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				key := redwingshunt.NewStreamKey("alpha", fmt.Sprint(i))
				_ = custodian.Begin(context.Background(), key, origin, time.Now().Add(time.Second))
			}
			b.ReportMetric(float64(router.bytes+holder.bytes)/float64(b.N), "wire-B/op")
		})
	}
}
