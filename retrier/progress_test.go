package retrier

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestProgress(t *testing.T) {
	tests := map[string]struct {
		change func(*Progress)
		want   string // substring of the obstacle; empty for none
	}{
		"idempotent, ran":             {func(c *Progress) { c.Idempotent, c.MayHaveRun = true, true }, ""},
		"not idempotent, not ran":     {func(*Progress) {}, ""},
		"not idempotent, ran":         {func(c *Progress) { c.MayHaveRun = true }, "not idempotent"},
		"not idempotent, ran earlier": {func(c *Progress) { c.MayHaveRun, c.Tries = true, 2 }, "not idempotent"},
		"started":                     {func(c *Progress) { c.Idempotent, c.Started = true, true }, "with the caller"},
		"started, resumable":          {func(c *Progress) { c.Idempotent, c.Started, c.Resumable = true, true, true }, ""},
		"too many upstreams tried":    {func(c *Progress) { c.Tries = maxTries }, "too many"},
		"all attempts used":           {func(c *Progress) { c.Sent = c.Attempts }, "no further attempt"},
		"no attempts configured":      {func(c *Progress) { c.Sent, c.Attempts = 1, 0 }, "no further attempt"},
		"late":                        {func(c *Progress) { c.Remaining = minTimeLeft - 1 }, "no time"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := Progress{Tries: 1, Sent: 1, Attempts: 3, Remaining: time.Second}
			test.change(&c)
			got := c.Obstacle()
			is.Equal(got != "", test.want != "")
			is.True(strings.Contains(got, test.want))
		})
	}
}
