package retrier

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCourse(t *testing.T) {
	tests := map[string]struct {
		change func(*Course)
		want   string // substring of the obstacle; empty for none
	}{
		"idempotent, ran":             {func(c *Course) { c.Idempotent, c.Ran = true, true }, ""},
		"not idempotent, not ran":     {func(*Course) {}, ""},
		"not idempotent, ran":         {func(c *Course) { c.Ran = true }, "not idempotent"},
		"not idempotent, ran earlier": {func(c *Course) { c.Ran, c.Tries = true, 2 }, "not idempotent"},
		"started":                     {func(c *Course) { c.Idempotent, c.Started = true, true }, "with the caller"},
		"started, resumable":          {func(c *Course) { c.Idempotent, c.Started, c.Resumable = true, true, true }, ""},
		"too many upstreams tried":    {func(c *Course) { c.Tries = maxTries }, "too many"},
		"all attempts used":           {func(c *Course) { c.Sent = c.Attempts }, "no further attempt"},
		"no attempts configured":      {func(c *Course) { c.Sent, c.Attempts = 1, 0 }, "no further attempt"},
		"late":                        {func(c *Course) { c.Left = minTimeLeft - 1 }, "no time"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := Course{Tries: 1, Sent: 1, Attempts: 3, Left: time.Second}
			test.change(&c)
			got := c.Obstacle()
			is.Equal(got != "", test.want != "")
			is.True(strings.Contains(got, test.want))
		})
	}
}
