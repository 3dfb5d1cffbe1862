package recorder

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/journaler"
	"github.com/redwingshunt/redwingshunt/replicator"
	"github.com/redwingshunt/redwingshunt/wire"
)

// Sizes in bytes of the headers that gRPC and HTTP/2 put before a frame.
const (
	grpcHeaderBytes  = 5
	http2HeaderBytes = 9
)

// countingNetwork connects instances of one process in order and without loss, and
// counts the bytes and messages of the log between each pair.
type countingNetwork struct {
	mu       sync.Mutex
	handlers map[redwingshunt.InstanceID]map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte)
	queues   map[redwingshunt.InstanceID]chan func()
	payload  map[string]int
	framed   map[string]int
	messages map[string]int
}

// countingLink is the link of one instance.
type countingLink struct {
	*countingNetwork
	self redwingshunt.InstanceID
}

func (w countingLink) Send(to redwingshunt.InstanceID, m redwingshunt.Message) {
	w.mu.Lock()
	handle := w.handlers[to][m.Kind]
	queue := w.queues[to]
	pair := string(min(w.self, to) + "-" + max(w.self, to))
	w.payload[pair] += len(m.Payload)
	frame := &wire.Frame{Sequence: 1 << 20, Kind: uint32(m.Kind), Payload: m.Payload}
	w.framed[pair] += proto.Size(frame) + grpcHeaderBytes + http2HeaderBytes
	w.messages[pair]++
	w.mu.Unlock()
	queue <- func() { handle(w.self, m.Payload) }
}

func (w countingLink) Handle(kind redwingshunt.MessageKind, receive func(redwingshunt.InstanceID, []byte)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.handlers[w.self] == nil {
		w.handlers[w.self] = make(map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte))
	}
	w.handlers[w.self][kind] = receive
}

// threeVoters is a membership of three live voters.
type threeVoters struct{ self redwingshunt.InstanceID }

func (e threeVoters) Self() redwingshunt.Instance { return redwingshunt.Instance{ID: e.self} }

func (threeVoters) Live() []redwingshunt.Instance {
	return []redwingshunt.Instance{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
}

// noSyncDisk is a disk that skips the sync of file contents.
type noSyncDisk struct{ journaler.Disk }

func (u noSyncDisk) Append(name string) (journaler.File, error) {
	file, err := u.Disk.Append(name)
	return noSyncFile{file}, err
}

type noSyncFile struct{ journaler.File }

func (noSyncFile) Sync() error { return nil }

// startVoters runs three voters and returns one of them once a command is
// committed in all groups.
func startVoters(b *testing.B, groups int, files func(folder string) journaler.FileSystem) (*Recorder, *countingNetwork) {
	w := &countingNetwork{
		handlers: make(map[redwingshunt.InstanceID]map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte)),
		queues:   make(map[redwingshunt.InstanceID]chan func()),
		payload:  make(map[string]int), framed: make(map[string]int), messages: make(map[string]int),
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	b.Cleanup(func() {
		stop()
		running.Wait()
	})
	root := b.TempDir()
	var voters []*Recorder
	initial := []redwingshunt.InstanceID{"a", "b", "c"}
	for _, name := range initial {
		queue := make(chan func(), 1<<16)
		w.queues[name] = queue
		go func() {
			for deliver := range queue {
				deliver()
			}
		}()
	}
	for _, name := range initial {
		r, err := New(Options{
			Self: name, Members: threeVoters{name}, Link: countingLink{w, name}, Clock: clock{}, Initial: initial,
			Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Files: files(filepath.Join(root, string(name))),
			Bootstrap: name == "a", Groups: groups,
			Machines: func(redwingshunt.GroupID) redwingshunt.StateMachine { return &register{} },
		})
		if err != nil {
			b.Fatal(err)
		}
		voters = append(voters, r)
	}
	for _, r := range voters {
		running.Go(func() { _ = r.Run(ctx) })
	}
	for group := range groups {
		if _, err := voters[0].Propose(ctx, redwingshunt.GroupID(group), []byte("+")); err != nil {
			b.Fatal(err)
		}
	}
	return voters[0], w
}

// BenchmarkPropose commits commands of 256 bytes with three voters that share one
// machine and its disk.
func BenchmarkPropose(b *testing.B) {
	disks := map[string]func(string) journaler.FileSystem{
		"synced":   func(folder string) journaler.FileSystem { return journaler.Disk{Folder: folder} },
		"unsynced": func(folder string) journaler.FileSystem { return noSyncDisk{journaler.Disk{Folder: folder}} },
	}
	for _, disk := range []string{"synced", "unsynced"} {
		for _, clients := range []int{10, 100, 500} {
			b.Run(fmt.Sprintf("%s/clients=%d", disk, clients), func(b *testing.B) {
				r, _ := startVoters(b, 1, disks[disk])
				command := make([]byte, 256)
				b.SetParallelism(max(clients/runtime.GOMAXPROCS(0), 1))
				b.ResetTimer()
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						if _, err := r.Propose(context.Background(), 0, command); err != nil {
							b.Error(err)
						}
					}
				})
				b.StopTimer()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
			})
		}
	}
}

// BenchmarkIdle measures the traffic of groups without commands between a leader
// and one follower, as link payload and with the headers of frame, gRPC and
// HTTP/2. Each iteration lasts ten heartbeat periods.
func BenchmarkIdle(b *testing.B) {
	for _, groups := range []int{1, 17} {
		b.Run(fmt.Sprint("groups=", groups), func(b *testing.B) {
			_, w := startVoters(b, groups, func(folder string) journaler.FileSystem { return journaler.Disk{Folder: folder} })
			time.Sleep(3 * replicator.HeartbeatPeriod)
			w.mu.Lock()
			clear(w.payload)
			clear(w.framed)
			clear(w.messages)
			w.mu.Unlock()
			began := time.Now()
			for b.Loop() {
				time.Sleep(10 * replicator.HeartbeatPeriod)
			}
			seconds := time.Since(began).Seconds()
			w.mu.Lock()
			defer w.mu.Unlock()
			payload, framed, messages := 0, 0, 0
			for pair := range w.payload {
				payload = max(payload, w.payload[pair])
				framed = max(framed, w.framed[pair])
				messages = max(messages, w.messages[pair])
			}
			b.ReportMetric(float64(payload)/seconds, "payload-B/s")
			b.ReportMetric(float64(framed)/seconds, "framed-B/s")
			b.ReportMetric(float64(messages)/seconds, "messages/s")
		})
	}
}

// writeCommands fills a folder with committed commands that no snapshot covers.
func writeCommands(b *testing.B, files journaler.FileSystem, commands uint64, size int) {
	journal, err := journaler.Open(journaler.Options{Files: files, Folder: 1})
	if err != nil {
		b.Fatal(err)
	}
	persist := replicator.Persist{Commit: commands}
	for i := range commands {
		data, _ := proto.Marshal(&wire.LogCommand{Session: 1, Sequence: i + 1, Floor: i + 1, Command: make([]byte, size)})
		persist.Entries = append(persist.Entries, replicator.Entry{Index: i + 1, Term: 1, Kind: replicator.EntryCommand, Data: data})
	}
	if err := journal.Write([]journaler.Record{{Persist: persist}}); err != nil {
		b.Fatal(err)
	}
	_ = journal.Close()
}

// openCommands opens a folder filled by writeCommands and applies the commands.
func openCommands(b *testing.B, files journaler.FileSystem, commands uint64) *Recorder {
	w := &countingNetwork{handlers: make(map[redwingshunt.InstanceID]map[redwingshunt.MessageKind]func(redwingshunt.InstanceID, []byte))}
	r, err := New(Options{
		Self: "a", Members: threeVoters{"a"}, Link: countingLink{w, "a"}, Clock: clock{}, Groups: 1, Files: files, Compact: 1 << 30,
		Logger:   slog.New(slog.NewTextHandler(io.Discard, nil)),
		Machines: func(redwingshunt.GroupID) redwingshunt.StateMachine { return &register{} },
	})
	if err != nil {
		b.Fatal(err)
	}
	r.processDue()
	if r.groups[0].applied != commands {
		b.Fatal("not all commands were applied")
	}
	return r
}

// BenchmarkRestart opens a folder with 5,000 commands of 1 KiB after the last
// snapshot, and applies them.
func BenchmarkRestart(b *testing.B) {
	files := journaler.Disk{Folder: b.TempDir()}
	writeCommands(b, files, 5000, 1024)
	for b.Loop() {
		r := openCommands(b, files, 5000)
		_ = r.journal.Close()
	}
}

// BenchmarkMemory measures the heap that an entry of 256 bytes takes until a
// snapshot covers it, in core and journal together.
func BenchmarkMemory(b *testing.B) {
	const commands = 15_000
	files := journaler.Disk{Folder: b.TempDir()}
	writeCommands(b, files, commands, 256)
	for b.Loop() {
		before := heapBytes()
		r := openCommands(b, files, commands)
		b.ReportMetric(float64(heapBytes()-before)/commands, "B/entry")
		_ = r.journal.Close()
	}
}

// heapBytes returns the heap in use after a garbage collection.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
