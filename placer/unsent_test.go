package placer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// TestUnsentPromptIsNotCached guards against prompt parts that count as cached at an
// upstream to which they were never sent.
func TestUnsentPromptIsNotCached(t *testing.T) {
	is := is.New(t)
	c := newCore(2)
	p := placementFor("shared")
	first, _ := c.Place(start, p)
	p.Attempt, p.Avoid = 2, redwingshunt.NewSet(first.Upstream.ID)
	second, _ := c.Place(start, p)
	other := c.tickets[second.Ticket].upstream
	c.End(start, second.Ticket, redwingshunt.EndLeft) // the retry budget was used up
	is.Equal(other.parts.cached(p.Prompt), int64(0))
}
