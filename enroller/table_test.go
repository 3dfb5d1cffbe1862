package enroller

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

var start = time.Unix(1_000_000, 0)

// at returns a time some milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// said is one announcement.
type said struct {
	id       string
	born     int // milliseconds
	sequence uint64
	host     int // last byte of the address
	leaving  bool
	at       int // milliseconds
	dismiss  bool
	service  string
	unborn   bool // it does not tell its start
	ttl      time.Duration
}

func (s said) state() redwingshunt.UpstreamState {
	service := s.service
	if service == "" {
		service = "s"
	}
	born := at(s.born)
	if s.unborn {
		born = time.Time{}
	}
	return redwingshunt.UpstreamState{
		TTL: s.ttl,
		Upstream: redwingshunt.Upstream{
			ID: redwingshunt.UpstreamID(s.id), Service: redwingshunt.ServiceID(service), Slots: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(s.host)}), 80),
		},
		Born: born, Sequence: s.sequence, Leaving: s.leaving,
	}
}

// TestTable tells a table announcements in an order and looks who is usable.
func TestTable(t *testing.T) {
	tests := map[string]struct {
		said []said
		now  int
		want string
	}{
		"announced":        {[]said{{id: "a", sequence: 1}}, 100, "[a]"},
		"silent":           {[]said{{id: "a", sequence: 1}, {id: "b", host: 1, sequence: 1, at: 6000}}, 6100, "[b]"},
		"all silent stay":  {[]said{{id: "a", sequence: 1}, {id: "b", host: 1, sequence: 1}}, 60_000, "[a b]"},
		"draining":         {[]said{{id: "a", sequence: 1}, {id: "a", sequence: 2, leaving: true}}, 100, "[]"},
		"late after drain": {[]said{{id: "a", sequence: 2, leaving: true}, {id: "a", sequence: 1}}, 100, "[]"},
		"drain is final":   {[]said{{id: "a", sequence: 2, leaving: true}, {id: "a", sequence: 3}}, 100, "[]"},
		"born again":       {[]said{{id: "a", sequence: 9, leaving: true}, {id: "a", born: 50, sequence: 1}}, 100, "[a]"},
		"late from before": {[]said{{id: "a", born: 50, sequence: 1}, {id: "a", sequence: 9, leaving: true}}, 100, "[a]"},
		"dismissed":        {[]said{{id: "a", sequence: 1}, {id: "a", dismiss: true}}, 100, "[]"},
		"dismissed first":  {[]said{{id: "a", dismiss: true, at: 10, born: -1}, {id: "a", sequence: 1}}, 100, "[]"},
		"older one left":   {[]said{{id: "a", born: 50, sequence: 1}, {id: "a", dismiss: true, born: 20}}, 100, "[a]"},
		"address reused": {
			[]said{{id: "a", sequence: 1}, {id: "b", service: "t", born: 50, sequence: 1}}, 100, "[b]",
		},
		"address reused, told late": {
			[]said{{id: "b", service: "t", born: 50, sequence: 1}, {id: "a", sequence: 7}}, 100, "[b]",
		},
		"start not told":         {[]said{{id: "a", unborn: true}, {id: "a", unborn: true, at: 4000}}, 8000, "[a]"},
		"start not told, left":   {[]said{{id: "a", unborn: true}, {id: "a", dismiss: true, at: 10}}, 100, "[]"},
		"start not told, return": {[]said{{id: "a", unborn: true}, {id: "a", dismiss: true, at: 10}, {id: "a", unborn: true, at: 20}}, 100, "[a]"},
		"start not told, another clock": {
			[]said{{id: "a", unborn: true, at: 5000}, {id: "a", unborn: true, at: 4000}, {id: "a", unborn: true, at: 7000}}, 11_000, "[a]",
		},
		"holds for longer": {
			[]said{{id: "a", sequence: 1, ttl: 20 * time.Second}, {id: "b", host: 1, sequence: 1}, {id: "c", host: 2, sequence: 1, at: 9000}},
			10_000, "[a c]",
		},
		"address changed": {[]said{{id: "a", sequence: 1}, {id: "b", host: 1, sequence: 1}, {id: "a", host: 2, sequence: 2}}, 100, "[a b]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable(0)
			for _, s := range test.said {
				if s.dismiss {
					born := time.Time{}
					if s.born > 0 {
						born = at(s.born)
					}
					table.Dismiss(redwingshunt.UpstreamID(s.id), born, at(s.at))
					continue
				}
				table.Enroll(s.state(), at(s.at))
			}
			var usable []redwingshunt.UpstreamID
			for _, s := range table.Usable(at(test.now)) {
				usable = append(usable, s.ID)
			}
			is.Equal(fmt.Sprint(usable), test.want)
		})
	}
}

// TestTableForgets bounds what is remembered of upstreams that are gone.
func TestTableForgets(t *testing.T) {
	is := is.New(t)
	table := NewTable(0)
	for i := range 1000 {
		table.Enroll(said{id: fmt.Sprint("u", i), host: i, sequence: 1, at: i}.state(), at(i*1000))
		table.Usable(at(i * 1000))
	}
	is.True(len(table.entries) <= int(forgetAfter/time.Second)+1)
}

// TestCodec passes a state on and reads it again.
func TestCodec(t *testing.T) {
	is := is.New(t)
	s := said{id: "a", born: 5, sequence: 3, leaving: true}.state()
	s.Region, s.Zone, s.Version, s.TTL = "north", "north-a", "v1", 7*time.Second
	table := NewTable(0)
	table.Enroll(s, at(0))
	is.Equal(len(table.All(at(70))), 1)
	message := encode(table.All(at(70)), true)
	is.Equal(message.Kind, redwingshunt.KindRoll)
	other := New(Options{Members: alone{}, Link: silent{}, Clock: clock{}, Logger: discard})
	other.receive("x", message.Payload)
	is.Equal(other.table.entries["a"].state.Address, s.Address)
	is.True(other.table.entries["a"].state.Born.Equal(s.Born))
	is.Equal(other.table.entries["a"].state.Leaving, true)
	is.Equal(other.table.entries["a"].state.TTL, s.TTL)
	other.receive("x", []byte("not a message")) // logged and dropped
	is.Equal(len(other.table.entries), 1)
}
