package relayer

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/mimic"
)

// TestStreamDoesNotGoOnAtAnotherVersion breaks a stream off after two events.
func TestStreamDoesNotGoOnAtAnotherVersion(t *testing.T) {
	tests := map[string]struct {
		versions [2]string
		whole    bool
	}{
		"same version":    {[2]string{"v1", "v1"}, true},
		"no version":      {[2]string{"", ""}, true},
		"newer version":   {[2]string{"v1", "v2"}, false},
		"older version":   {[2]string{"v2", "v1"}, false},
		"version unknown": {[2]string{"v1", ""}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.streaming)
			for i, version := range test.versions {
				f.placer.upstreams[i].Version = version
			}
			f.streaming[0].Misbehave(mimic.CutStream, 1)
			got := f.send(t, "/resumable/a", nil)
			is.Equal(got.status, 200)
			is.Equal(got.err == nil, test.whole)
			is.Equal(got.body == events(), test.whole)
			is.True(strings.HasPrefix(events(), got.body))
			is.Equal(f.streaming[1].Total() == 1, test.whole)
		})
	}
}

// TestRetryBeforeFirstEventMayChangeVersion has the first upstream end without an event.
func TestRetryBeforeFirstEventMayChangeVersion(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setUpstreams(f.streaming)
	f.placer.upstreams[0].Version, f.placer.upstreams[1].Version = "v1", "v2"
	f.streaming[0].Misbehave(mimic.CutHeader, 1)
	got := f.send(t, "/resumable/a", func(r *http.Request) { r.Header.Del(redwingshunt.HeaderLastEvent) })
	is.NoErr(got.err)
	is.Equal(got.body, events())
}
