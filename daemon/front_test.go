package daemon

import (
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// TestMostOf bounds the requests at once by the setting, or else by the memory.
func TestMostOf(t *testing.T) {
	tests := map[string]struct {
		settings redwingshunt.Settings
		want     int
	}{
		"nothing given": {redwingshunt.Settings{}, 0},
		"given":         {redwingshunt.Settings{Most: 9, Memory: 1 << 30}, 9},
		"by memory":     {redwingshunt.Settings{Memory: 184 << 20}, 736},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(mostOf(test.settings), test.want)
		})
	}
}
