package relayer

import (
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/logger"
)

// TestRefusalNamesAccount refuses a request of a known account at the bound.
func TestRefusalNamesAccount(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.use(b.plain)
	log := &logger.Memory{}
	b.relayer.options.Logger = slog.New(slog.NewJSONHandler(log, nil))
	b.relayer.options.Limit = func() int { return 1 }
	b.relayer.running.Add(1) // as many as it carries
	is.Equal(b.ask(t, "/safe/a", nil).status, 503)
	eventually(t, func() bool { return strings.Contains(log.String(), `"account":"alpha"`) }) // after the answer
	is.Equal(b.placer.refused, []redwingshunt.AccountID{"alpha"})
}
