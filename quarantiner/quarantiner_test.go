package quarantiner_test

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/quarantiner"
)

var start = time.Unix(1000, 0)

// fleet runs cores that exchange notices with a delay.
type fleet struct {
	now     time.Time
	cores   []*quarantiner.Core
	delay   time.Duration
	pending []delivery
}

type delivery struct {
	at   time.Time
	from int
	n    quarantiner.Notice
}

var names = []redwingshunt.InstanceID{"a", "b", "c"}

func newFleet(delay time.Duration) *fleet {
	f := &fleet{now: start, delay: delay}
	for i, id := range names {
		f.cores = append(f.cores, quarantiner.New(id, 2, rand.New(rand.NewPCG(6, uint64(i)))))
	}
	return f
}

// advance advances the time and delivers the notices that are due, each one twice.
func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for i, c := range f.cores {
		for _, n := range c.Notices() {
			f.pending = append(f.pending, delivery{f.now.Add(f.delay), i, n}, delivery{f.now.Add(2 * f.delay), i, n})
		}
	}
	var later []delivery
	for _, d := range f.pending {
		if d.at.After(f.now) {
			later = append(later, d)
			continue
		}
		for i, c := range f.cores {
			if i != d.from {
				c.Receive(f.now, names[d.from], d.n)
			}
		}
	}
	f.pending = later
}

func upstream(name string) redwingshunt.UpstreamKey {
	return redwingshunt.UpstreamKey{Service: "assistant", ID: redwingshunt.UpstreamID(name)}
}

// TestResends repeatedly sends a request that crashes every upstream through three
// instances at once, and checks that only two upstreams are lost.
func TestResends(t *testing.T) {
	tests := map[string]struct {
		concurrent int // number of instances that run the request before the first loss
		delay      time.Duration
	}{
		"one run, short delay":     {1, time.Millisecond},
		"one run, long delay":      {1, 80 * time.Millisecond},
		"two concurrent runs":      {2, 80 * time.Millisecond},
		"one run, very long delay": {1, 120 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(test.delay)
			request := redwingshunt.Fingerprint{1}
			runs := make(map[int]time.Time) // when the run of each instance loses its upstream
			lost, refused := 0, 0
			var callerTold time.Time
			for i := range test.concurrent {
				is.Equal(f.cores[i].Start(f.now, request).Kind, quarantiner.Run)
				runs[i] = f.now.Add(time.Duration(i+1) * 100 * time.Millisecond)
			}
			for range 2000 {
				f.advance(5 * time.Millisecond)
				for i, c := range f.cores {
					if at, ok := runs[i]; ok {
						if !f.now.Before(at) {
							if lost++; lost == 1 {
								callerTold = f.now.Add(quarantiner.NoticeDelay)
							}
							c.Lost(f.now, request, upstream(string(rune('a'+lost))))
							delete(runs, i)
						}
						continue
					}
					if lost == 0 || f.now.Before(callerTold) {
						continue // the caller resends only after it is told of the loss
					}
					switch c.Start(f.now, request).Kind {
					case quarantiner.Run:
						runs[i] = f.now.Add(100 * time.Millisecond)
					case quarantiner.Refuse:
						refused++
					}
				}
			}
			is.Equal(lost, 2)
			is.True(refused > 10)
		})
	}
}

func TestFalseSuspect(t *testing.T) {
	is := is.New(t)
	f := newFleet(time.Millisecond)
	a, b := redwingshunt.Fingerprint{1}, redwingshunt.Fingerprint{2}
	for _, r := range []redwingshunt.Fingerprint{a, b} {
		f.cores[0].Start(f.now, r)
		f.cores[0].Lost(f.now, r, upstream("a"))
		f.cores[0].Start(f.now, r)
	}
	f.advance(2 * time.Second)
	f.advance(2 * time.Second)
	is.Equal(f.cores[2].Losses(f.now, a), 1) // all requests that were running are suspects
	is.Equal(f.cores[0].Start(f.now, a).Kind, quarantiner.Run)
	f.cores[0].Completed(f.now, a)
	f.advance(2 * time.Second)
	f.advance(2 * time.Second)
	is.Equal(f.cores[2].Start(f.now, a).Kind, quarantiner.Run) // cleared by its completion
	f.advance(time.Hour)
	is.Equal(f.cores[2].Start(f.now, b).Kind, quarantiner.Run) // its loss has expired
}

func TestBounded(t *testing.T) {
	is := is.New(t)
	c := quarantiner.New("a", 2, rand.New(rand.NewPCG(6, 6)))
	bad := redwingshunt.Fingerprint{15: 1}
	for i := range 2 {
		c.Receive(start, "b", quarantiner.Notice{Fingerprint: bad, Losses: []quarantiner.Loss{
			{ID: uint64(i), Upstream: upstream(string(rune('a' + i))), At: start},
		}})
	}
	for i := range 4200 {
		var f redwingshunt.Fingerprint
		binary.BigEndian.PutUint64(f[:], uint64(i+1))
		c.Lost(start.Add(time.Duration(i)), f, upstream("a"))
	}
	is.Equal(c.Len(), 4096)
	is.Equal(c.Start(start, bad).Kind, quarantiner.Refuse) // the one at the limit is not evicted
}
