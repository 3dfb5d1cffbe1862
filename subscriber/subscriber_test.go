package subscriber_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/merger"
	"github.com/redwingshunt/redwingshunt/parser"
	"github.com/redwingshunt/redwingshunt/publisher"
	"github.com/redwingshunt/redwingshunt/registrar"
	"github.com/redwingshunt/redwingshunt/subscriber"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const start = `teams:
  - {name: platform, key: "sha256:1111111111111111111111111111111111111111111111111111111111111111", edits: [teams]}
regions:
  - {name: north, zones: [north-a]}
services:
  - {name: desk, kind: plain}
accounts:
  - {name: alpha, share: 1, home: north, key: "sha256:3333333333333333333333333333333333333333333333333333333333333333"}
`

// network passes messages between subscribers of one process.
type network struct {
	mu       sync.Mutex
	handlers map[redwingshunt.InstanceID]map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte)
	live     []redwingshunt.Instance
}

// port is the Link and the Members of one instance.
type port struct {
	*network
	self redwingshunt.Instance
}

func (p port) Send(to redwingshunt.InstanceID, m redwingshunt.Message) {
	p.mu.Lock()
	receive := p.handlers[to][m.Kind]
	p.mu.Unlock()
	if receive != nil {
		receive(p.self.ID, m.Payload)
	}
}

func (p port) Handle(kind redwingshunt.MessageKind, receive func(redwingshunt.InstanceID, []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.handlers[p.self.ID] == nil {
		p.handlers[p.self.ID] = map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte){}
	}
	p.handlers[p.self.ID][kind] = receive
}

func (p port) Self() redwingshunt.Instance   { return p.self }
func (p port) Live() []redwingshunt.Instance { return p.live }

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// TestSubscribers drives three instances, of which one is a voter.
func TestSubscribers(t *testing.T) {
	is := is.New(t)
	n := &network{handlers: map[redwingshunt.InstanceID]map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte){}}
	for i, id := range []redwingshunt.InstanceID{"a", "b", "c"} {
		n.live = append(n.live, redwingshunt.Instance{ID: id, Region: "north", Voter: i == 0})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var all []*subscriber.Subscriber
	var group sync.WaitGroup
	for _, self := range n.live {
		p := port{n, self}
		s := subscriber.New(subscriber.Options{
			Link: p, Members: p, Clock: clock{}, Document: parser.Document,
			Quorum: func() bool { return self.Voter }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		is.True(s.Current() == nil)
		is.Equal(s.Status().Age, publisher.Never)
		all = append(all, s)
		group.Go(func() { s.Run(ctx) })
	}
	text := []byte(start)
	document, findings := parser.Document("-", text)
	is.NoErr(findings.Err())
	parts := merger.Split(text)
	for i := range parts {
		parts[i].Revision = 7
	}
	watch := all[2].Watch()
	all[0].Accept(registrar.State{Revision: 7, Document: document, Parts: parts})
	<-watch
	is.Equal(all[2].Current().Revision, redwingshunt.Revision(7))
	is.Equal(all[2].Current().Sections[redwingshunt.SectionTeams], redwingshunt.Revision(7))
	is.Equal(string(all[2].Text()), start)
	is.True(all[2].Status().Age < publisher.Never)
	cancel()
	group.Wait()
}
