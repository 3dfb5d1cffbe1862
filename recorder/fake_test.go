package recorder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/journaler"
)

// wantedVoters is the number of voters that instances that join the log want.
const wantedVoters = 3

// network is a set of instances and the links between them, with message loss,
// duplicates, delays and partitions that follow from a fixed seed.
type network struct {
	t            *testing.T
	root         string
	groups       int
	compact      int
	explicitForm bool                  // the initial membership is created by Form
	ballast      int                   // bytes in each snapshot of group 1 besides its number
	rate         int                   // bytes a second between two instances, with a delay of farDelay; zero means messages of any size take 10 to 30 ms
	home         redwingshunt.RegionID // home region of group 1; each instance is alone in the region of its name

	mu          sync.Mutex
	random      *rand.Rand
	busyUntil   map[[2]redwingshunt.InstanceID]time.Time // used if rate is set
	loss        float64
	isolated    map[redwingshunt.InstanceID]bool
	handlers    map[redwingshunt.InstanceID]map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte)
	bytes       map[redwingshunt.MessageKind]int // payload bytes
	messages    int
	running     map[redwingshunt.InstanceID]*process
	brokenDisks map[redwingshunt.InstanceID]*atomic.Bool // broken flags of the disks
}

// process is a running instance.
type process struct {
	*Recorder
	machines map[redwingshunt.GroupID]*register
	stop     context.CancelFunc
	ended    chan error
}

func newNetwork(t *testing.T, seed uint64, names ...redwingshunt.InstanceID) *network {
	n := emptyNetwork(t, seed)
	for _, name := range names {
		n.start(name)
	}
	time.Sleep(10 * time.Second)
	return n
}

// emptyNetwork returns a network without instances.
func emptyNetwork(t *testing.T, seed uint64) *network {
	n := &network{
		t: t, root: t.TempDir(), groups: 2, random: rand.New(rand.NewPCG(seed, 2)),
		isolated:    make(map[redwingshunt.InstanceID]bool),
		handlers:    make(map[redwingshunt.InstanceID]map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte)),
		bytes:       make(map[redwingshunt.MessageKind]int),
		running:     make(map[redwingshunt.InstanceID]*process),
		busyUntil:   make(map[[2]redwingshunt.InstanceID]time.Time),
		brokenDisks: make(map[redwingshunt.InstanceID]*atomic.Bool),
	}
	t.Cleanup(n.crashAll)
	return n
}

func (n *network) folder(name redwingshunt.InstanceID) string {
	return filepath.Join(n.root, string(name))
}

// files returns the disk of an instance, or nil for a router.
func (n *network) files(name redwingshunt.InstanceID) journaler.FileSystem {
	if strings.HasPrefix(string(name), "router") {
		return nil
	}
	n.brokenDisks[name] = new(atomic.Bool)
	return failingFiles{journaler.Disk{Folder: n.folder(name)}, n.brokenDisks[name]}
}

// start starts a process, with a folder unless it is a router.
func (n *network) start(name redwingshunt.InstanceID) {
	p := &process{machines: make(map[redwingshunt.GroupID]*register), ended: make(chan error, 1)}
	r, err := New(Options{
		Self: name, Members: members{n, name}, Link: link{n, name}, Clock: clock{},
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Files:  n.files(name), Initial: []redwingshunt.InstanceID{"a", "b", "c"}, Bootstrap: name == "a" && !n.explicitForm,
		Groups: n.groups, Compact: n.compact, Prefer: n.prefer,
		Machines: func(g redwingshunt.GroupID) redwingshunt.StateMachine {
			p.machines[g] = &register{}
			if g == 1 {
				p.machines[g].ballast = n.ballast
			}
			return p.machines[g]
		},
	})
	if err != nil {
		n.t.Fatal(err)
	}
	p.Recorder = r
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	n.mu.Lock()
	n.running[name] = p
	n.mu.Unlock()
	go func() {
		p.ended <- r.Run(ctx)
		close(p.ended)
	}()
}

func (n *network) prefer(group redwingshunt.GroupID) redwingshunt.Option[redwingshunt.RegionID] {
	n.mu.Lock()
	defer n.mu.Unlock()
	if group != 1 || n.home == "" {
		return redwingshunt.None[redwingshunt.RegionID]()
	}
	return redwingshunt.Some(n.home)
}

func (n *network) setHome(region redwingshunt.RegionID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.home = region
}

// crash isolates a process before it stops it, so that it cannot transfer
// leadership.
func (n *network) crash(name redwingshunt.InstanceID) {
	n.isolate(name, true)
	n.mu.Lock()
	p := n.running[name]
	delete(n.running, name)
	delete(n.handlers, name)
	n.mu.Unlock()
	p.stop()
	<-p.ended
	n.isolate(name, false)
}

// removeMember removes a process that has ended by itself from the members.
func (n *network) removeMember(name redwingshunt.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.running, name)
}

func (n *network) crashAll() {
	for name := range n.running {
		n.crash(name)
	}
}

func (n *network) isolate(name redwingshunt.InstanceID, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[name] = isolated
}

func (n *network) setLoss(ratio float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = ratio
}

// leader returns the instance that leads the last group, or "".
func (n *network) leader() redwingshunt.InstanceID {
	for name, p := range n.running {
		if g := p.Status().Groups[n.groups-1]; g.Role == "leader" && !n.isolated[name] {
			return name
		}
	}
	return ""
}

// propose sends a command through one instance.
func (n *network) propose(name redwingshunt.InstanceID, command string, limit time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	n.mu.Lock()
	p := n.running[name]
	n.mu.Unlock()
	answer, err := p.Propose(ctx, 1, []byte(command))
	return string(answer), err
}

type link struct {
	n    *network
	self redwingshunt.InstanceID
}

func (l link) Send(to redwingshunt.InstanceID, m redwingshunt.Message) {
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	l.n.bytes[m.Kind] += len(m.Payload)
	l.n.messages++
	copies := 1
	if l.n.random.Float64() < l.n.loss {
		copies = 2 * l.n.random.IntN(2)
	}
	for range copies {
		delay := time.Duration(10+l.n.random.IntN(20)) * time.Millisecond
		if l.n.rate > 0 {
			delay = l.n.transferTime(l.self, to, len(m.Payload)) + farDelay
		}
		time.AfterFunc(delay, func() { l.n.deliver(l.self, to, m) })
	}
}

// farDelay is the delay between two instances if the rate is limited.
const farDelay = 30 * time.Millisecond

// transferTime returns how long a message takes to be sent after those before it. The
// caller must hold mu.
func (n *network) transferTime(from, to redwingshunt.InstanceID, size int) time.Duration {
	pair := [2]redwingshunt.InstanceID{from, to}
	begins := time.Now()
	if busy := n.busyUntil[pair]; busy.After(begins) {
		begins = busy
	}
	n.busyUntil[pair] = begins.Add(time.Duration(size) * time.Second / time.Duration(n.rate))
	return time.Until(n.busyUntil[pair])
}

func (n *network) deliver(from, to redwingshunt.InstanceID, m redwingshunt.Message) {
	n.mu.Lock()
	handle := n.handlers[to][m.Kind]
	isolated := n.isolated[from] || n.isolated[to]
	n.mu.Unlock()
	if handle != nil && !isolated {
		handle(from, m.Payload)
	}
}

func (l link) Handle(kind redwingshunt.MessageKind, receive func(redwingshunt.InstanceID, []byte)) {
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	if l.n.handlers[l.self] == nil {
		l.n.handlers[l.self] = make(map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte))
	}
	l.n.handlers[l.self][kind] = receive
}

type members struct {
	n    *network
	self redwingshunt.InstanceID
}

func (m members) Self() redwingshunt.Instance { return redwingshunt.Instance{ID: m.self} }

func (m members) Live() []redwingshunt.Instance {
	m.n.mu.Lock()
	defer m.n.mu.Unlock()
	var live []redwingshunt.Instance
	for _, id := range []redwingshunt.InstanceID{"a", "b", "c", "d", "e", "f", "g"} {
		if m.n.running[id] != nil {
			live = append(live, redwingshunt.Instance{ID: id, Region: redwingshunt.RegionID(id), Voter: true})
		}
	}
	return live
}

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// register is a state machine that holds one number: "+" adds one and returns the
// sum, "=N" sets it, and any other command reads it.
type register struct {
	value   int
	ballast int // bytes that a snapshot has besides the number
}

func (r *register) Apply(_ uint64, command []byte) []byte {
	switch {
	case string(command) == "+":
		r.value++
	case strings.HasPrefix(string(command), "="):
		_, _ = fmt.Sscan(string(command[1:]), &r.value)
	}
	return fmt.Append(nil, r.value)
}

func (r *register) Snapshot() ([]byte, error) {
	return append(fmt.Append(nil, r.value), bytes.Repeat([]byte{' '}, r.ballast)...), nil
}

func (r *register) Restore(snapshot []byte) error {
	_, err := fmt.Sscan(string(snapshot), &r.value)
	return err
}

var errMissingVoter = errors.New("members are not the expected voters")

// checkVoters returns nil if exactly the named instances are the members of all
// groups and all of them are voters.
func (n *network) checkVoters(at redwingshunt.InstanceID, names ...redwingshunt.InstanceID) error {
	for _, g := range n.running[at].Status().Groups {
		if len(g.Members) != len(names) {
			return errMissingVoter
		}
		for i, m := range g.Members {
			if m.Instance != names[i] || !m.Voter {
				return errMissingVoter
			}
		}
	}
	return nil
}
