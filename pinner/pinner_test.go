package pinner

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

var start = time.Unix(1_000_000, 0)

// at returns a time some seconds after the start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// spans parses versions such as "v1@2 v2@9", with the second of the first announcement.
func spans(t *testing.T, text string) []redwingshunt.VersionSpan {
	t.Helper()
	var parsed []redwingshunt.VersionSpan
	for _, field := range strings.Fields(text) {
		version, second, _ := strings.Cut(field, "@")
		var first float64
		if _, err := fmt.Sscan(second, &first); err != nil {
			t.Fatal(err)
		}
		parsed = append(parsed, redwingshunt.VersionSpan{Version: version, First: at(first), Last: at(first)})
	}
	return parsed
}

func TestNeedsRecord(t *testing.T) {
	tests := map[string]struct {
		spans      string
		since, now float64
		alone      bool
		want       bool
	}{
		"one version":     {"v1@0", 0, 10, false, false},
		"two versions":    {"v1@0 v2@9", 0, 10, false, true},
		"no version":      {"", 0, 10, false, true},
		"known too short": {"v1@0", 6, 10, false, true},
		"found no other":  {"v1@0", 0, 10, true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := redwingshunt.ServiceVersions{Spans: spans(t, test.spans), Since: at(test.since), Complete: true, Joined: !test.alone}
			is.Equal(NeedsRecord(at(test.now), v), test.want)
		})
	}
}

// TestInfer asks where a stream began of which holders have no record.
func TestInfer(t *testing.T) {
	tests := map[string]struct {
		spans      string
		since      float64
		holders    int
		ages       []float64 // seconds, one for each holder that answered
		incomplete bool
		want       string // empty if it is not known
		calm       bool   // no instance was lost
	}{
		"one version":                         {"v1@0", 0, 3, nil, false, "", false},
		"no version":                          {"", 0, 3, []float64{90, 90, 90}, false, "", false},
		"history not complete":                {"v1@0", 0, 3, nil, true, "", false},
		"long ago":                            {"v1@-60 v2@-1", -90, 3, []float64{90, 90, 90}, false, "", false},
		"all holders deny":                    {"v1@0 v2@20", 0, 3, []float64{90, 90, 90}, false, "v1", false},
		"no instance was lost":                {"v1@0 v2@20", 0, 3, []float64{90, 90, 90}, false, "", true},
		"third version":                       {"v1@0 v2@20 v3@25", 0, 3, []float64{90, 90, 90}, false, "v1", false},
		"one holder does not answer":          {"v1@0 v2@20", 0, 3, []float64{90, 90}, false, "v1", false},
		"one holder restarted":                {"v1@0 v2@20", 0, 3, []float64{90, 90, 1}, false, "v1", false},
		"two holders restarted":               {"v1@0 v2@20", 0, 3, []float64{90, 1, 1}, false, "", false},
		"restarted and does not answer":       {"v1@0 v2@20", 0, 3, []float64{90, 1}, false, "", false},
		"holder restarted as v2 came":         {"v1@0 v2@20", 0, 1, []float64{10}, false, "", false},
		"one of two does not answer":          {"v1@0 v2@20", 0, 2, []float64{90}, false, "", false},
		"only holder":                         {"v1@0 v2@20", 0, 1, []float64{90}, false, "v1", false},
		"no holder":                           {"v1@0 v2@20", 0, 0, nil, false, "", false},
		"both versions start in one moment":   {"v1@0 v2@0.2", -60, 3, []float64{90, 90, 90}, false, "", false},
		"memory of the fleet lost before v2":  {"v1@14 v2@20", 14, 3, []float64{90, 90, 90}, false, "v1", false},
		"memory of the fleet lost beside v2":  {"v1@16 v2@20", 16, 3, []float64{90, 90, 90}, false, "", false},
		"memory of the fleet lost, both live": {"v2@28 v1@28", 28, 3, []float64{2, 2, 2}, false, "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := redwingshunt.ServiceVersions{Spans: spans(t, test.spans), Since: at(test.since), Complete: !test.incomplete}
			var denials []Denial
			for _, age := range test.ages {
				d := Denial{Age: at(age).Sub(start), Informed: true}
				if !test.calm {
					d.Lost = redwingshunt.Some(3 * time.Second)
				}
				denials = append(denials, d)
			}
			version, known := Infer(at(30), v, test.holders, denials)
			is.Equal(known, test.want != "")
			if known {
				is.Equal(version, test.want)
			}
		})
	}
}

// TestMustWait asks whether a stream waits for its record.
func TestMustWait(t *testing.T) {
	tests := map[string]struct {
		spans   string
		since   float64
		alone   bool
		version string
		want    bool
	}{
		"only version":          {"v1@0", 0, false, "v1", false},
		"cut off for long":      {"v1@-200", -300, false, "v1", false},
		"first version":         {"v1@0 v2@20", 0, false, "v1", false},
		"second version":        {"v1@0 v2@20", 0, false, "v2", true},
		"no version known":      {"", 0, false, "v1", true},
		"both start at once":    {"v1@20 v2@20.1", 0, false, "v1", true},
		"since a short time":    {"v1@17 v2@20", 17, false, "v1", true},
		"inference has ended":   {"v1@-60 v2@-10", -90, false, "v2", false},
		"others may still":      {"v1@-60 v2@-4", -90, false, "v2", true},
		"others may know later": {"v1@-60 v2@-10", -90, true, "v2", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := redwingshunt.ServiceVersions{Spans: spans(t, test.spans), Since: at(test.since), Complete: true, Joined: !test.alone}
			is.Equal(MustWait(at(30), v, test.version), test.want)
		})
	}
}

// TestIsOnly asks whether holders that know one version are enough.
func TestIsOnly(t *testing.T) {
	tests := map[string]struct {
		spans                       string
		holders, denied, uninformed int
		want                        bool
	}{
		"all":                  {"v1@0", 3, 3, 0, true},
		"majority":             {"v1@0", 6, 4, 0, true},
		"half":                 {"v1@0", 6, 3, 0, false},
		"one of three":         {"v1@0", 3, 1, 0, false},
		"two of which one new": {"v1@0", 3, 1, 1, false},
		"only holder":          {"v1@0", 1, 1, 0, true},
		"no holder":            {"v1@0", 0, 0, 0, true},
		"two versions":         {"v1@0 v2@3", 3, 3, 0, false},
		"no version":           {"", 3, 3, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			denials := make([]Denial, test.denied+test.uninformed)
			for i := range test.denied {
				denials[i].Informed = true
			}
			v := redwingshunt.ServiceVersions{Spans: spans(t, test.spans), Complete: true, Joined: true}
			is.Equal(IsOnly(v, test.holders, denials), test.want)
		})
	}
}

func TestHistory(t *testing.T) {
	versions := func(h *History, now float64) string {
		var text []string
		for _, s := range h.Versions(at(now), "s").Spans {
			text = append(text, s.Version)
		}
		return strings.Join(text, " ")
	}
	t.Run("order of the first announcements", func(t *testing.T) {
		is := is.New(t)
		h := NewHistory(start)
		h.Observe("s", "v2", at(9))
		h.Observe("s", "v1", at(1))
		h.Observe("s", "v2", at(10))
		h.Observe("other", "v3", at(2))
		is.Equal(versions(h, 10), "v1 v2")
	})
	t.Run("version is forgotten", func(t *testing.T) {
		is := is.New(t)
		h := NewHistory(start)
		h.Observe("s", "v1", at(1))
		h.Observe("s", "v2", at(100))
		h.Expire(at(121))
		is.Equal(versions(h, 121), "v1 v2")
		h.Observe("s", "v2", at(122))
		h.Expire(at(122))
		is.Equal(versions(h, 122), "v2")
	})
	t.Run("nothing is forgotten while cut off", func(t *testing.T) {
		is := is.New(t)
		h := NewHistory(start)
		h.Observe("s", "v1", at(1))
		h.Observe("s", "v2", at(100))
		h.Expire(at(10_000))
		is.Equal(versions(h, 10_000), "v1 v2")
	})
	t.Run("restarted instance joins", func(t *testing.T) {
		is := is.New(t)
		old := NewHistory(start)
		old.Observe("s", "v1", at(1))
		old.Observe("s", "v2", at(20))
		h := NewHistory(at(30))
		h.Observe("s", "v2", at(30.1)) // a renewal came before the whole
		is.True(!h.Versions(at(30.1), "s").Complete)
		h.Join(old.All(), old.Since())
		got := h.Versions(at(30.2), "s")
		is.True(got.Complete)
		is.Equal(got.Since, start)
		is.Equal(versions(h, 30.2), "v1 v2")
		is.Equal(got.Spans[1].First, at(20))
	})
	t.Run("no other instance answers", func(t *testing.T) {
		is := is.New(t)
		h := NewHistory(start)
		is.True(!h.Complete(at(3)))
		is.True(h.Complete(at(3.1)))
		is.True(!h.Joined(at(120)))
		is.True(h.Joined(at(121)))
	})
	t.Run("bounds", func(t *testing.T) {
		is := is.New(t)
		h := NewHistory(start)
		for i := range 2 * maxServices {
			h.Observe(redwingshunt.ServiceID(fmt.Sprint("s", i)), fmt.Sprint("v", i), start)
			h.Observe("s0", fmt.Sprint("v", i), start)
		}
		is.Equal(len(h.All()), maxServices)
		is.Equal(len(h.Versions(start, "s0").Spans), maxVersions)
	})
}

// key returns the key of a numbered stream.
func key(n int) redwingshunt.StreamKey {
	var k redwingshunt.StreamKey
	binary.BigEndian.PutUint64(k[:], uint64(n))
	return k
}

func TestRecords(t *testing.T) {
	v1, v2 := redwingshunt.Origin{Service: "s", Version: "v1"}, redwingshunt.Origin{Service: "s", Version: "v2"}
	t.Run("until it expires", func(t *testing.T) {
		is := is.New(t)
		r := NewRecords(start)
		r.Put(start, Record{Key: key(1), Origin: v1, Until: at(10)})
		got, known := r.Get(at(10), key(1))
		is.True(known)
		is.Equal(got, v1)
		_, known = r.Get(at(10.1), key(1))
		is.True(!known)
		r.Put(at(11), Record{Key: key(2), Origin: v1, Until: at(20)})
		is.Equal(r.Len(), 1)
		is.Equal(r.Since(), start) // an expired record is not missed
	})
	t.Run("first origin holds", func(t *testing.T) {
		is := is.New(t)
		r := NewRecords(start)
		r.Put(start, Record{Key: key(1), Origin: v1, Until: at(10)})
		r.Put(at(9), Record{Key: key(1), Origin: v2, Until: at(15)})
		r.Put(at(9), Record{Key: key(1), Origin: v2, Until: at(5)})
		got, known := r.Get(at(14), key(1))
		is.True(known)
		is.Equal(got, v1)
	})
	t.Run("bound", func(t *testing.T) {
		is := is.New(t)
		r := NewRecords(start)
		for i := range MaxRecords {
			r.Put(start, Record{Key: key(i), Origin: v1, Until: at(100 + float64(i))})
		}
		is.Equal(r.Since(), start)
		r.Put(at(5), Record{Key: key(MaxRecords), Origin: v2, Until: at(50)})
		is.Equal(r.Len(), MaxRecords)
		is.Equal(r.Since(), at(5))
		_, known := r.Get(at(5), key(0))
		is.True(!known)
		_, known = r.Get(at(5), key(MaxRecords))
		is.True(known)
	})
	t.Run("of a service", func(t *testing.T) {
		is := is.New(t)
		r := NewRecords(start)
		r.Put(start, Record{Key: key(1), Origin: v1, Until: at(10)})
		r.Put(start, Record{Key: key(2), Origin: redwingshunt.Origin{Service: "other"}, Until: at(10)})
		is.Equal(r.Of(start, "s"), []Record{{Key: key(1), Origin: v1, Until: at(10)}})
	})
}

func TestHolders(t *testing.T) {
	instance := func(text string) redwingshunt.Instance { // region/zone/name, with a star for a voter
		parts := strings.Split(strings.TrimSuffix(text, "*"), "/")
		return redwingshunt.Instance{
			ID: redwingshunt.InstanceID(parts[2]), Region: redwingshunt.RegionID(parts[0]), Zone: redwingshunt.ZoneID(parts[1]),
			Voter: strings.HasSuffix(text, "*"),
		}
	}
	tests := map[string]struct{ self, live, want string }{
		"nearest voter first":      {"n/a/r1", "n/a/r1 n/a/r2 s/c/v1* n/b/v2* n/a/v3*", "v3 v2 v1"},
		"itself is none":           {"n/a/v3*", "s/c/v1* n/b/v2* n/a/v3*", "v2 v1"},
		"no other voter":           {"n/a/v3*", "n/a/v3* n/b/r2 n/a/r1", "r1 r2"},
		"alone":                    {"n/a/r1", "n/a/r1", ""},
		"zone of the same name":    {"n/a/r1", "n/a/r1 s/a/v1* n/b/v2*", "v2 v1"},
		"voters are many but kept": {"n/a/r1", "n/a/v1* n/b/v2* s/c/v3* t/d/v4*", "v1 v2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var live []redwingshunt.Instance
			for _, text := range strings.Fields(test.live) {
				live = append(live, instance(text))
			}
			holders, complete := Holders(instance(test.self), live)
			is.True(complete)
			var got []string
			for _, h := range holders {
				got = append(got, string(h.ID))
			}
			is.True(strings.HasPrefix(strings.Join(got, " "), test.want))
			is.True(len(Copies(holders, false)) <= 2)
			is.True(len(Copies(holders, true)) <= 3)
		})
	}
	t.Run("many instances and no voter", func(t *testing.T) {
		is := is.New(t)
		var live []redwingshunt.Instance
		for i := range 40 {
			live = append(live, instance(fmt.Sprintf("n/a/r%d", i)))
		}
		holders, complete := Holders(live[0], live)
		is.Equal(len(holders), maxHolders)
		is.True(!complete)
	})
}
