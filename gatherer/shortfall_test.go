package gatherer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/wire"
)

// TestShortfall checks which account is reported as furthest behind over a window of
// samples.
func TestShortfall(t *testing.T) {
	const seconds = int(shortfallWindow / samplePeriod)
	type rates map[redwingshunt.AccountID][2]uint32 // asked, admitted
	tests := map[string]struct {
		rates  rates
		pause  time.Duration // before the last sample
		want   redwingshunt.AccountID
		ratio  float64
		behind bool
	}{
		"nobody asks":           {rates{}, 0, "", 0, false},
		"all get what they ask": {rates{"a": {10, 10}, "b": {900, 900}}, 0, "", 0, false},
		"both limited alike":    {rates{"a": {500, 100}, "b": {900, 100}}, 0, "", 0, false},
		"behind the best":       {rates{"a": {500, 30}, "b": {900, 100}}, 0, "a", 0.3, true},
		"small and refused":     {rates{"a": {20, 10}, "b": {900, 100}}, 0, "a", 0.5, true},
		"window not full":       {rates{"a": {500, 30}, "b": {900, 100}}, 3 * samplePeriod, "", 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := New()
			loads := &wire.Loads{}
			for id, r := range test.rates {
				loads.Accounts = append(loads.Accounts, &wire.AccountLoad{Account: string(id), Asked: r[0], Admitted: r[1]})
			}
			var got Shortfall
			var behind bool
			for i := range seconds {
				now := start.Add(time.Duration(i) * samplePeriod)
				if i == seconds-1 {
					now = now.Add(test.pause)
				}
				report := &wire.Loads{Sequence: uint64(i + 1), Accounts: loads.Accounts}
				c.Receive(now, "r1", report)
				got, behind = c.Shortfall(now)
				_, again := c.Shortfall(now.Add(samplePeriod / 2))
				is.True(!again) // no sample is due
			}
			is.Equal(behind, test.behind)
			if behind {
				is.Equal(got.Account, test.want)
				is.Equal(got.Ratio(), test.ratio)
			}
		})
	}
}
