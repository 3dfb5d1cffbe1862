package daemon

import (
	"crypto/rand"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/authenticator"
	"github.com/redwingshunt/redwingshunt/classifier"
	"github.com/redwingshunt/redwingshunt/replayer"
	"github.com/redwingshunt/redwingshunt/responder"
)

// newChain returns the filter chain for requests, in order of execution. The
// dispatcher at its end requests a grant from the scheduler, reads the answer
// through the accountant and writes it to the caller.
func (d *Daemon) newChain() redwingshunt.Handler {
	return redwingshunt.Chain(d.dispatcher,
		responder.New(d.logger).Filter,
		d.metrics.observer.Filter,
		authenticator.New().Filter,
		classifier.New(rand.Text).Filter,
		replayer.New(d.guarantees.guarantor).Filter,
	)
}
