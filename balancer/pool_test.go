package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

const ttl = 10 * time.Second

func up(id redwingshunt.UpstreamID, zone redwingshunt.ZoneID, slots int) redwingshunt.Upstream {
	return redwingshunt.Upstream{ID: id, Zone: zone, Slots: slots}
}

func TestPick(t *testing.T) {
	now := time.Unix(100, 0)
	tests := map[string]struct {
		fill   []redwingshunt.UpstreamID // slots taken before
		avoid  []string
		change func(*Pool)
		want   redwingshunt.UpstreamID // empty for none
		only   bool
	}{
		"own zone first":        {want: "near"},
		"other zone when full":  {fill: []redwingshunt.UpstreamID{"near", "near"}, want: "far"},
		"avoided":               {avoid: []string{"near"}, want: "far"},
		"avoided, others full":  {fill: []redwingshunt.UpstreamID{"far", "far"}, avoid: []string{"near"}},
		"avoided, no other":     {avoid: []string{"near"}, change: func(p *Pool) { p.Leave("far") }, want: "near", only: true},
		"leaving":               {change: func(p *Pool) { p.Leave("near") }, want: "far", only: true},
		"announcement runs out": {change: func(p *Pool) { p.Expire(now.Add(2 * ttl)) }},
		"lent slots are taken":  {change: func(p *Pool) { p.Lend("peer", "near", 2) }, want: "far"},
		"foreign work is counted": {change: func(p *Pool) {
			p.Announce(now, up("near", "z", 2), redwingshunt.LoadReport{Running: 2}, ttl)
		}, want: "far"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := New()
			p.Announce(now, up("near", "z", 2), redwingshunt.LoadReport{}, ttl)
			p.Announce(now, up("far", "y", 2), redwingshunt.LoadReport{}, ttl)
			for _, id := range test.fill {
				p.Acquire(now, Key{ID: id})
			}
			if test.change != nil {
				test.change(p)
			}
			c, ok := p.Pick(now, "z", test.avoid)
			is.Equal(ok, test.want != "")
			is.Equal(c.Key.ID, test.want)
			is.Equal(c.Only, test.only)
		})
	}
}

// TestWindow follows a batch that is smaller than announced, with reports that
// lag by more than a second.
func TestWindow(t *testing.T) {
	is := is.New(t)
	p := New()
	now := time.Unix(100, 0)
	report := func(running, waiting int) {
		now = now.Add(time.Second)
		p.Announce(now, up("u", "z", 8), redwingshunt.LoadReport{Running: running, Waiting: waiting}, ttl)
	}
	report(0, 0)
	for range 8 {
		p.Acquire(now, Key{ID: "u"})
	}
	report(0, 0) // lags: nothing is known to it yet
	is.Equal(p.Views()[0].Window, 8)
	report(6, 2)
	is.Equal(p.Views()[0].Window, 8) // a moment's queue changes nothing
	report(6, 2)
	is.Equal(p.Views()[0].Window, 6)
	is.Equal(p.Free(), 0)
	for range 3 {
		p.Release(now, Key{ID: "u"}, Ending{})
	}
	report(6, 2) // lags: the requests that have ended are not foreign work
	is.Equal(p.Views()[0].Foreign, 0)
	report(5, 0)
	is.Equal(p.Views()[0].Window, 7) // grows again by one a report
}

// TestOrphans keeps the slots of a lost router's work until reports lack it.
func TestOrphans(t *testing.T) {
	is := is.New(t)
	p := New()
	now := time.Unix(100, 0)
	p.Announce(now, up("u", "z", 2), redwingshunt.LoadReport{}, ttl)
	p.Acquire(now, Key{ID: "u"})
	p.Acquire(now, Key{ID: "u"})
	p.Orphan(now, Key{ID: "u"}, now.Add(time.Minute))
	p.Orphan(now, Key{ID: "u"}, now.Add(time.Minute))
	is.Equal(p.Free(), 0)
	now = now.Add(5 * time.Second)
	p.Announce(now, up("u", "z", 2), redwingshunt.LoadReport{Running: 1}, ttl)
	is.Equal(p.Free(), 1)
	p.Expire(now.Add(time.Minute)) // the bound of the other one
	is.Equal(p.Taken(), 0)
}
