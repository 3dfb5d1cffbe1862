package daemon

import (
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

func TestRestartDetector(t *testing.T) {
	voter := func(incarnation redwingshunt.Incarnation) []redwingshunt.Instance {
		return []redwingshunt.Instance{{ID: "a", Incarnation: incarnation, Voter: true}}
	}
	router := func(incarnation redwingshunt.Incarnation) []redwingshunt.Instance {
		return []redwingshunt.Instance{{ID: "a", Incarnation: incarnation}}
	}
	tests := map[string]struct {
		views [][]redwingshunt.Instance
		want  int // restarts
	}{
		"first seen":         {[][]redwingshunt.Instance{voter(1)}, 0},
		"unchanged":          {[][]redwingshunt.Instance{voter(1), voter(1)}, 0},
		"restarted":          {[][]redwingshunt.Instance{voter(1), voter(2), voter(2)}, 1},
		"absent between":     {[][]redwingshunt.Instance{voter(1), nil, voter(2)}, 1},
		"absent, same start": {[][]redwingshunt.Instance{voter(1), nil, voter(1)}, 0},
		"late view":          {[][]redwingshunt.Instance{voter(2), voter(1), voter(2)}, 0},
		"no voter":           {[][]redwingshunt.Instance{router(1), router(2)}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			restarts := 0
			detector := newRestartDetector(func(redwingshunt.InstanceID) { restarts++ })
			for _, live := range test.views {
				detector.update(live)
			}
			is.New(t).Equal(restarts, test.want)
		})
	}
}
