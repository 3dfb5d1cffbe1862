package daemon

import (
	"log/slog"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/authenticator"
	"github.com/redwingshunt/redwingshunt/classifier"
	"github.com/redwingshunt/redwingshunt/observer"
	"github.com/redwingshunt/redwingshunt/responder"
)

// newChain returns the filters that each request passes, in their order. The
// dispatcher at the end asks the scheduler for a grant, reads the answer
// through the accountant and writes it to the caller.
func newChain(dispatcher redwingshunt.Handler, observer *observer.Observer, newID func() string, logger *slog.Logger) redwingshunt.Handler {
	return redwingshunt.Chain(dispatcher,
		responder.New(logger).Filter,
		observer.Filter,
		authenticator.New().Filter,
		classifier.New(newID).Filter,
	)
}
