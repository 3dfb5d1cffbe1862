package placer

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// TestPinnedVersion places requests that only one software version may continue.
func TestPinnedVersion(t *testing.T) {
	tests := map[string]struct {
		version redwingshunt.Option[string]
		avoid   redwingshunt.Set[redwingshunt.UpstreamID]
		want    string // versions of all upstreams that may be chosen
	}{
		"none":           {redwingshunt.None[string](), nil, "v1 v2"},
		"first":          {redwingshunt.Some("v1"), nil, "v1"},
		"second":         {redwingshunt.Some("v2"), nil, "v2"},
		"gone":           {redwingshunt.Some("v3"), nil, ""},
		"empty":          {redwingshunt.Some(""), nil, ""},
		"all avoided":    {redwingshunt.Some("v1"), redwingshunt.NewSet[redwingshunt.UpstreamID]("north-00", "north-02"), ""},
		"others avoided": {redwingshunt.Some("v2"), redwingshunt.NewSet[redwingshunt.UpstreamID]("north-00", "north-02"), "v2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCore(0)
			states := engines(4, "north")
			for i := range states {
				states[i].Version = []string{"v1", "v2"}[i%2]
			}
			c.SetUpstreams(states)
			chosen := redwingshunt.NewSet[string]()
			for i := range 40 {
				p := placementFor(string(rune('a' + i)))
				p.Version, p.Avoid = test.version, test.avoid
				placed, refusal := c.Place(start, p)
				if refusal != nil {
					is.Equal(refusal.Reason, redwingshunt.ReasonNoUpstream)
					is.Equal(test.want, "")
					continue
				}
				chosen.Add(placed.Upstream.Version)
			}
			is.Equal(strings.Join(chosen.Sorted(), " "), test.want)
		})
	}
}
