package custodian

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// cut makes instances unreachable, without their end, until the returned function is
// called. If they are seen, the others go on to count them as live.
func (f *fleet) cut(seen bool, ids ...redwingshunt.InstanceID) (restore func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	nodes, instances := make(map[redwingshunt.InstanceID]*node), slices.Clone(f.instances)
	for _, id := range ids {
		nodes[id] = f.nodes[id]
		delete(f.nodes, id)
	}
	if !seen {
		f.instances = slices.DeleteFunc(f.instances, func(i redwingshunt.Instance) bool { return nodes[i.ID] != nil })
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for id, n := range nodes {
			f.nodes[id] = n
		}
		f.instances = instances
	}
}

// move puts an instance into the availability zone of v3.
func (f *fleet) move(id redwingshunt.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.instances {
		if f.instances[i].ID == id {
			f.instances[i].Region, f.instances[i].Zone = "s", "c"
		}
	}
}

// TestDenialsDoNotJoinVersions guards against a stream of the second version that is taken
// for one of the first because holders without its record deny it.
func TestDenialsDoNotJoinVersions(t *testing.T) {
	tests := map[string]func(t *testing.T, f *fleet){
		"instance and nearest holder cut off and late": func(_ *testing.T, f *fleet) {
			before := f.versions
			f.move("r2")
			f.announceSecond()
			f.begin("b", "v2")
			f.nodes["r2"].late, f.nodes["v3"].late = &before, &before
			f.cut(true, "r1", "v1", "v2")
		},
		"the same for longer than a minute": func(_ *testing.T, f *fleet) {
			before := f.versions
			f.move("r2")
			f.nodes["r2"].late, f.nodes["v3"].late = &before, &before
			f.announceSecond()
			f.begin("b", "v2")
			f.cut(false, "r1", "v1", "v2")
			time.Sleep(seenTime + time.Second)
		},
		"instance late, nearest holder restarted": func(t *testing.T, f *fleet) {
			before := f.versions
			f.announceSecond()
			f.begin("b", "v2")
			f.cut(true, "r1", "v2")
			f.nodes["r2"].late = &before
			f.start(t, "v1")
			f.nodes["v1"].late = &redwingshunt.ServiceVersions{Since: time.Now()}
		},
		"no holder acknowledged the record": func(_ *testing.T, f *fleet) {
			f.announceSecond()
			restore := f.cut(true, "v1", "v2")
			f.begin("b", "v2")
			restore()
			f.kill("r1")
		},
		"begun where one holder was seen": func(_ *testing.T, f *fleet) {
			f.announceSecond()
			restore := f.cut(false, "v1", "v2")
			time.Sleep(2 * tickInterval)
			f.begin("b", "v2")
			restore()
			f.cut(true, "r1", "v3")
			time.Sleep(2 * tickInterval)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t)
				test(t, f)
				found := f.find("b")
				t.Logf("taken up at %s", found)
				is.True(found != "v1" || f.refused)
			})
		})
	}
}
