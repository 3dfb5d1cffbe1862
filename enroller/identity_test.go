package enroller

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// TestOtherWriterReplacesNothing guards against an announcement of another writer that
// replaced the entry of a live upstream and outranked its own announcements.
func TestOtherWriterReplacesNothing(t *testing.T) {
	worker := func(sequence uint64) redwingshunt.UpstreamState {
		s := announcement{id: "a", born: 10, sequence: sequence, host: 1}.state()
		s.Region, s.Zone, s.Version = "north", "north-a", "v1"
		return s
	}
	withoutStart := func(s redwingshunt.UpstreamState) redwingshunt.UpstreamState {
		s.Born, s.Sequence = time.Time{}, 0
		return s
	}
	sent := func(s redwingshunt.UpstreamState, change func(*redwingshunt.UpstreamState)) redwingshunt.UpstreamState {
		change(&s)
		return s
	}
	service := func(s *redwingshunt.UpstreamState) { s.Service = "t" }
	address := func(s *redwingshunt.UpstreamState) { s.Address = announcement{host: 2}.state().Address }
	leaving := func(s *redwingshunt.UpstreamState) { s.Leaving = true }
	type step struct {
		state redwingshunt.UpstreamState
		at    int // milliseconds after start
	}
	tests := map[string]struct {
		steps []step
		want  string // service, host, version and sequence of each usable upstream
	}{
		"other service": {[]step{{worker(1), 20}, {sent(worker(9), service), 30}}, "[a s 1 v1 1]"},
		"other address": {[]step{{worker(1), 20}, {sent(worker(9), address), 30}}, "[a s 1 v1 1]"},
		"other version": {
			[]step{{worker(1), 20}, {sent(worker(9), func(s *redwingshunt.UpstreamState) { s.Version = "v2" }), 30}}, "[a s 1 v1 1]",
		},
		"other place": {
			[]step{{worker(1), 20}, {sent(worker(9), func(s *redwingshunt.UpstreamState) { s.Region, s.Zone = "south", "south-a" }), 30}, {worker(2), 40}},
			"[a s 1 v1 2]",
		},
		"other service, leaving":    {[]step{{worker(1), 20}, {sent(sent(worker(9), service), leaving), 30}}, "[a s 1 v1 1]"},
		"own announcements follow":  {[]step{{worker(1), 20}, {sent(worker(9), service), 30}, {worker(2), 40}}, "[a s 1 v1 2]"},
		"no start":                  {[]step{{worker(1), 20}, {withoutStart(worker(9)), 30}, {worker(2), 40}}, "[a s 1 v1 2]"},
		"no start, leaving":         {[]step{{worker(1), 20}, {withoutStart(sent(worker(9), leaving)), 30}}, "[a s 1 v1 1]"},
		"no start, other service":   {[]step{{worker(1), 20}, {withoutStart(sent(worker(9), service)), 30}}, "[a s 1 v1 1]"},
		"no start, after its leave": {[]step{{worker(1), 20}, {sent(worker(2), leaving), 30}, {withoutStart(worker(9)), 40}}, "[]"},
		"no start, after silence": {
			[]step{{worker(1), 20}, {announcement{id: "b", sequence: 1, host: 2}.state(), 6000}, {withoutStart(sent(worker(9), service)), 6000}}, "[b s 2  1]",
		},
		"other service, after leave": {[]step{{worker(1), 20}, {sent(worker(2), leaving), 30}, {sent(worker(9), service), 40}}, "[]"},
		"leaving, at the address of another": {
			[]step{
				{announcement{id: "b", sequence: 1, host: 2}.state(), 10},
				{worker(1), 20}, {sent(worker(2), leaving), 30}, {sent(sent(worker(9), leaving), address), 40},
			},
			"[b s 2  1]",
		},
		"own announcements after silence": {[]step{{worker(1), 20}, {withoutStart(worker(9)), 6000}, {worker(2), 6010}}, "[a s 1 v1 2]"},
		"other service, after silence":    {[]step{{worker(1), 20}, {sent(worker(9), service), 6000}}, "[a t 1 v1 9]"},
		"restart elsewhere, another service": {
			[]step{{worker(8), 20}, {sent(announcement{id: "a", born: 50, sequence: 1, host: 2}.state(), service), 60}, {worker(9), 70}}, "[a t 2  1]",
		},
		"start reported after none": {
			[]step{{withoutStart(sent(worker(9), address)), 20}, {worker(1), 30}, {withoutStart(sent(worker(9), address)), 40}}, "[a s 1 v1 1]",
		},
		"none with a start, other service": {
			[]step{{withoutStart(worker(0)), 20}, {withoutStart(sent(worker(0), service)), 30}}, "[a s 1 v1 1000000020]",
		},
		"none with a start, other service after silence": {
			[]step{{withoutStart(worker(0)), 20}, {withoutStart(sent(worker(0), service)), 6000}}, "[a t 1 v1 1000006000]",
		},
		"none with a start, restart elsewhere": {
			[]step{{withoutStart(worker(0)), 20}, {withoutStart(sent(worker(0), address)), 30}}, "[a s 2 v1 1000000030]",
		},
		"none with a start, returned, restart elsewhere": {
			[]step{
				{withoutStart(worker(0)), 20}, {withoutStart(sent(worker(0), leaving)), 30},
				{withoutStart(worker(0)), 40}, {withoutStart(sent(worker(0), address)), 50},
			},
			"[a s 2 v1 1000000050]",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable(0)
			var last int
			for _, step := range test.steps {
				table.Enroll(step.state, at(step.at))
				last = step.at
			}
			var usable []string
			for _, s := range table.Usable(at(last)) {
				usable = append(usable, fmt.Sprint(s.ID, " ", s.Service, " ", s.Address.Addr().As4()[3], " ", s.Version, " ", s.Sequence))
			}
			is.Equal(fmt.Sprint(usable), test.want)
		})
	}
}
