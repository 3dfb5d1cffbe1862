package journaler

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
)

var (
	errCrashed = errors.New("the machine is down")
	errFull    = errors.New("no space left")
)

// fakeFile is a file with the part of it that is durable.
type fakeFile struct {
	disk   *fakeDisk
	data   []byte
	synced []byte
}

// fakeDisk loses what was not synced when it crashes: of each file a random
// part of the unsynced bytes remains, torn in blocks, and of the names either
// the old or the new ones.
type fakeDisk struct {
	random   *rand.Rand
	names    map[string]*fakeFile
	durable  map[string]*fakeFile
	calls    int
	crashAt  int // the call that crashes; zero is none
	capacity int // bytes; zero is unlimited
	down     bool
}

func newFakeDisk(seed uint64) *fakeDisk {
	return &fakeDisk{
		random: rand.New(rand.NewPCG(seed, 0)),
		names:  make(map[string]*fakeFile), durable: make(map[string]*fakeFile),
	}
}

// call counts an operation that may be the last.
func (d *fakeDisk) call() error {
	d.calls++
	if d.down || d.calls == d.crashAt {
		d.down = true
		return errCrashed
	}
	return nil
}

// restart brings back what survived a crash.
func (d *fakeDisk) restart() {
	if d.random.IntN(2) == 0 {
		d.durable = maps.Clone(d.names)
	}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		f := d.durable[name]
		f.data = d.tear(f.synced, f.data)
		f.synced = slices.Clone(f.data)
	}
	d.names = maps.Clone(d.durable)
	d.crashAt, d.down = 0, false
}

// tear returns what a crash leaves of data of which a first part is synced.
func (d *fakeDisk) tear(synced, data []byte) []byte {
	const block = 64
	if len(data) <= len(synced) {
		return slices.Clone(synced)
	}
	torn := slices.Clone(data[:len(synced)+d.random.IntN(len(data)-len(synced)+1)])
	for i := len(synced); i < len(torn); i += block {
		if d.random.IntN(3) == 0 {
			clear(torn[i:min(i+block, len(torn))])
		}
	}
	return torn
}

func (d *fakeDisk) used() int {
	n := 0
	for _, f := range d.names {
		n += len(f.data)
	}
	return n
}

func (d *fakeDisk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), d.call() }

func (d *fakeDisk) List() ([]string, error) { return slices.Collect(maps.Keys(d.names)), d.call() }

func (d *fakeDisk) Read(name string) ([]byte, error) {
	if err := d.call(); err != nil {
		return nil, err
	}
	f, ok := d.names[name]
	if !ok {
		return nil, errors.New("no file " + name)
	}
	return slices.Clone(f.data), nil
}

func (d *fakeDisk) Create(name string) (File, error) {
	if err := d.call(); err != nil {
		return nil, err
	}
	d.names[name] = &fakeFile{disk: d}
	return d.names[name], nil
}

func (d *fakeDisk) Append(name string) (File, error) { return d.names[name], d.call() }

func (d *fakeDisk) Rename(from, to string) error {
	if err := d.call(); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *fakeDisk) Remove(name string) error {
	if err := d.call(); err != nil {
		return err
	}
	delete(d.names, name)
	return nil
}

func (d *fakeDisk) Sync() error {
	if err := d.call(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	return nil
}

func (f *fakeFile) Write(data []byte) (int, error) {
	room := len(data)
	if f.disk.capacity > 0 {
		room = min(room, max(f.disk.capacity-f.disk.used(), 0))
	}
	err := f.disk.call()
	f.data = append(f.data, data[:room]...)
	if err == nil && room < len(data) {
		err = errFull
	}
	return room, err
}

func (f *fakeFile) Truncate(size int64) error {
	f.data = f.data[:size]
	return f.disk.call()
}

func (f *fakeFile) Sync() error {
	if err := f.disk.call(); err != nil {
		return err
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *fakeFile) Close() error { return nil }
