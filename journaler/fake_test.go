package journaler

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
)

var (
	errCrashed = errors.New("simulated crash")
	errFull    = errors.New("no space left")
)

// fakeFile is a file with its current and its durable content.
type fakeFile struct {
	disk   *fakeDisk
	name   string
	data   []byte
	synced []byte
}

// fakeDisk is a file system that loses unsynced data in a crash. Of each file a
// random prefix of the unsynced bytes remains, with some blocks zeroed; each change of a
// file name that was not synced remains or not by itself.
type fakeDisk struct {
	random   *rand.Rand
	names    map[string]*fakeFile
	durable  map[string]*fakeFile
	changes  []func(names map[string]*fakeFile) // of names since the folder was synced
	calls    int
	crashAt  int // number of the call that crashes; zero means none
	capacity int // bytes; zero means unlimited
	crashed  bool
}

func newFakeDisk(seed uint64) *fakeDisk {
	return &fakeDisk{
		random: rand.New(rand.NewPCG(seed, 0)),
		names:  make(map[string]*fakeFile), durable: make(map[string]*fakeFile),
	}
}

// countCall counts an operation and fails it if the disk has crashed or crashes
// now.
func (d *fakeDisk) countCall() error {
	d.calls++
	if d.crashed || d.calls == d.crashAt {
		d.crashed = true
		return errCrashed
	}
	return nil
}

// restart restores the content that survived a crash.
func (d *fakeDisk) restart() {
	for _, change := range d.changes {
		if d.random.IntN(2) == 0 {
			change(d.durable)
		}
	}
	d.changes = nil
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		f := d.durable[name]
		f.data = d.tear(f.synced, f.data)
		f.synced = slices.Clone(f.data)
	}
	d.names = maps.Clone(d.durable)
	d.crashAt, d.crashed = 0, false
}

// kill ends the process that uses the disk, which keeps what was written.
func (d *fakeDisk) kill() { d.crashAt, d.crashed = 0, false }

// changeNames changes the names of files, durably once the folder is synced.
func (d *fakeDisk) changeNames(change func(names map[string]*fakeFile)) {
	change(d.names)
	d.changes = append(d.changes, change)
}

// tear returns what a crash leaves of data whose first part is synced.
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

func (d *fakeDisk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), d.countCall() }

func (d *fakeDisk) List() ([]string, error) { return slices.Collect(maps.Keys(d.names)), d.countCall() }

func (d *fakeDisk) Read(name string) ([]byte, error) {
	if err := d.countCall(); err != nil {
		return nil, err
	}
	f, ok := d.names[name]
	if !ok {
		return nil, errors.New("no file " + name)
	}
	return slices.Clone(f.data), nil
}

func (d *fakeDisk) Create(name string) (File, error) {
	if err := d.countCall(); err != nil {
		return nil, err
	}
	file := &fakeFile{disk: d, name: name}
	d.changeNames(func(names map[string]*fakeFile) { names[name] = file })
	return file, nil
}

func (d *fakeDisk) Append(name string) (File, error) { return d.names[name], d.countCall() }

func (d *fakeDisk) Rename(from, to string) error {
	if err := d.countCall(); err != nil {
		return err
	}
	file := d.names[from]
	d.changeNames(func(names map[string]*fakeFile) {
		names[to] = file
		delete(names, from)
	})
	return nil
}

func (d *fakeDisk) Remove(name string) error {
	if err := d.countCall(); err != nil {
		return err
	}
	d.changeNames(func(names map[string]*fakeFile) { delete(names, name) })
	return nil
}

func (d *fakeDisk) Sync() error {
	if err := d.countCall(); err != nil {
		return err
	}
	d.durable, d.changes = maps.Clone(d.names), nil
	return nil
}

func (f *fakeFile) Write(data []byte) (int, error) {
	accepted := len(data)
	if f.disk.capacity > 0 {
		accepted = min(accepted, max(f.disk.capacity-f.disk.used(), 0))
	}
	err := f.disk.countCall()
	f.data = append(f.data, data[:accepted]...)
	if err == nil && accepted < len(data) {
		err = errFull
	}
	return accepted, err
}

func (f *fakeFile) Truncate(size int64) error {
	f.data = f.data[:size]
	return f.disk.countCall()
}

func (f *fakeFile) Sync() error {
	if err := f.disk.countCall(); err != nil {
		return err
	}
	f.synced = slices.Clone(f.data)
	if f.disk.names[f.name] == f {
		f.disk.durable[f.name] = f // a new file becomes durable with its own sync
	}
	return nil
}

func (f *fakeFile) Close() error { return nil }
