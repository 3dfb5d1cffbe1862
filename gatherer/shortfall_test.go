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
		"gets more than asked":  {rates{"a": {20, 30}, "b": {900, 100}}, 0, "", 0, false},
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

// TestShortfallBySecond checks that what an account asks for counts only up to what
// the best one got in the same second.
func TestShortfallBySecond(t *testing.T) {
	is := is.New(t)
	var h history
	for i := range uint32(shortfallWindow / samplePeriod) {
		asked, admitted := uint32(900), uint32(80)
		if i >= 3 { // the flood is over
			asked, admitted = 21, 20
		}
		h.add(start.Add(time.Duration(i)*samplePeriod), &wire.Loads{Accounts: []*wire.AccountLoad{
			{Account: "a", Asked: asked, Admitted: admitted}, {Account: "b", Asked: 900, Admitted: 100},
		}})
	}
	got, behind := h.shortfall()
	is.True(behind)
	is.Equal(got, Shortfall{Account: "a", Asked: 3*900 + 3*21, Owed: 3*100 + 3*21, Admitted: 3*80 + 3*20, Best: "b", Highest: 600})
}
