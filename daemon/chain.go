package daemon

import (
	"crypto/rand"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/authenticator"
	"github.com/redwingshunt/redwingshunt/classifier"
	"github.com/redwingshunt/redwingshunt/replayer"
	"github.com/redwingshunt/redwingshunt/responder"
)

// newChain returns the filters that each request passes, in their order. The
// dispatcher at the end asks the scheduler for a grant, reads the answer
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
