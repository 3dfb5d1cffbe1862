package announcer_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/announcer"
)

// fakeDirectory records the last announcement and counts all of them.
type fakeDirectory struct {
	upstream redwingshunt.Upstream
	ttl      time.Duration
	count    int
}

func (d *fakeDirectory) Announce(u redwingshunt.Upstream, _ redwingshunt.LoadReport, ttl time.Duration) {
	d.upstream, d.ttl = u, ttl
	d.count++
}

func (d *fakeDirectory) Leave(redwingshunt.UpstreamKey) {}

// Current and Watch implement redwingshunt.Configuration.
func (d *fakeDirectory) Current() *redwingshunt.Snapshot {
	return &redwingshunt.Snapshot{Document: &redwingshunt.Document{
		Services: []redwingshunt.Service{{Name: "desk"}},
	}}
}

func (d *fakeDirectory) Watch() <-chan struct{} { return nil }

// FuzzAnnouncement checks that an announcement is either refused, or accepted with
// values within the limits and a receipt that states its TTL.
func FuzzAnnouncement(f *testing.F) {
	for _, seed := range []string{
		`{"id":"d","service":"desk","address":"127.0.0.1:80","slots":4,"ttl":6000,"load":{"running":1}}`,
		`{"id":"d","service":"desk","address":"127.0.0.1:80","slots":4,"ttl":18446744078710}`,
		`{"id":"d","service":"desk","address":"127.0.0.1:0","slots":4}`,
		`{"id":"d","service":"desk","address":"[::]:80","slots":-1}`,
		`{"id":"d","service":"other","address":"127.0.0.1:80","slots":1}`,
		`{"id":"d","id":"e","unknown":1}`,
		`{"id":"d","service":"desk","address":"127.0.0.1:80","slots":4}x`,
		`[`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		d := &fakeDirectory{}
		handler := announcer.New(announcer.Options{
			Directory: d, Configuration: d, Now: func() time.Time { return time.Unix(0, 0) },
			Self: func() redwingshunt.Instance { return redwingshunt.Instance{Region: "north"} },
		})
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/upstreams", strings.NewReader(body)))
		if w.Code != http.StatusOK {
			if d.count != 0 {
				t.Fatal("a refused announcement reached the directory")
			}
			return
		}
		var receipt announcer.Receipt
		if err := json.Unmarshal(w.Body.Bytes(), &receipt); err != nil {
			t.Fatal(err)
		}
		u := d.upstream
		switch {
		case u.ID == "" || u.Service != "desk" || !u.Address.IsValid() || u.Address.Port() == 0:
			t.Fatalf("accepted an invalid upstream: %+v", u)
		case u.Slots < 1 || u.Slots > 4096 || d.ttl < time.Second || d.ttl > time.Minute:
			t.Fatalf("accepted %d slots with a TTL of %v", u.Slots, d.ttl)
		case receipt.TTL != d.ttl.Milliseconds():
			t.Fatalf("announced with a TTL of %v, but the receipt says %d ms", d.ttl, receipt.TTL)
		}
	})
}

// TestOddAnnouncementIsRefused guards against an announcement of another writer that is
// believed although it cannot be read in full.
func TestOddAnnouncementIsRefused(t *testing.T) {
	valid := `{"id":"d","service":"desk","address":"127.0.0.1:80","slots":4,"version":"v1","ttl":6000}`
	tests := map[string]struct {
		body   string
		status int
	}{
		"valid":             {valid, 200},
		"white space after": {valid + " \n", 200},
		"trailing text":     {valid + "x", 400},
		"trailing object":   {valid + `{"id":"e"}`, 400},
		"cut off":           {valid[:len(valid)-1], 400},
		"service missing":   {strings.Replace(valid, `"service":"desk",`, "", 1), 404},
		"address missing":   {strings.Replace(valid, `"address":"127.0.0.1:80",`, "", 1), 400},
		"slots null":        {strings.Replace(valid, `"slots":4`, `"slots":null`, 1), 400},
		"id missing":        {strings.Replace(valid, `"id":"d",`, "", 1), 400},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := &fakeDirectory{}
			handler := announcer.New(announcer.Options{
				Directory: d, Configuration: d, Now: func() time.Time { return time.Unix(0, 0) },
				Self: func() redwingshunt.Instance { return redwingshunt.Instance{Region: "north"} },
			})
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/upstreams", strings.NewReader(test.body)))
			is.Equal(w.Code, test.status)
			is.Equal(d.count == 1, test.status == 200)
		})
	}
}
