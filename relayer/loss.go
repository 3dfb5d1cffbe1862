package relayer

// What a relayer reports of upstreams that die with a request, and of requests that
// were answered.

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/carrier"
)

// answeredAfter is how long after its first event a stream shows that its upstream
// does not die of the request.
const answeredAfter = 250 * time.Millisecond

// loss describes an attempt that its upstream ended.
type loss struct {
	progress redwingshunt.LossProgress
	answered bool // the response had begun long enough before
}

// isTimeout reports whether an error says that an upstream did not respond.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// errEndedWithUpstream means that an upstream died while it sent an answer whose end is
// that of the connection.
var errEndedWithUpstream = errors.New("the upstream ended with the answer, which may lack its end")

// verifyEnd returns an error if an answer that has been read to its end may lack a part.
func (x *exchange) verifyEnd(ctx context.Context, placed redwingshunt.Placed, reply *carrier.Reply) error {
	if reply.EndsWithConnection() && x.relayer.options.Carrier.Ended(ctx, placed.Upstream.Address) {
		return errEndedWithUpstream
	}
	return nil
}

// progressOf returns the progress of an attempt that has failed before its response was read.
func progressOf(reply *carrier.Reply) redwingshunt.LossProgress {
	if reply == nil {
		return redwingshunt.LostBeforeHeader
	}
	return redwingshunt.LostAfterHeader
}

// errPartRefused is the context cause of an attempt whose prompt has been refused
// before the upstream began to respond.
var errPartRefused = errors.New("upstreams die with a part of the prompt")

// watchParts returns a context, that of the standby if there is one, that is canceled
// when a part of the prompt is refused, and a function that ends the watch. An upstream
// that has not begun yet drops the request then.
func (x *exchange) watchParts(ctx context.Context, ready *standby) (attempt context.Context, done func()) {
	watch := x.relayer.options.Parts != nil && len(x.shared.Parts) > 0
	var cancel context.CancelCauseFunc
	switch {
	case ready != nil:
		attempt, cancel = ready.ctx, ready.cancel
	case !watch:
		return ctx, func() {}
	default:
		attempt, cancel = context.WithCancelCause(ctx)
	}
	if watch {
		x.relayer.awaiting.Store(x, cancel)
	}
	return attempt, func() {
		x.responseBegun()
		cancel(nil)
	}
}

// responseBegun ends the watch of the parts.
func (x *exchange) responseBegun() { x.relayer.awaiting.Delete(x) }

// dropRefused cancels the attempts without a response whose prompts are refused.
func (r *Relayer) dropRefused() {
	r.awaiting.Range(func(key, value any) bool {
		if key.(*exchange).checkParts() != nil {
			value.(context.CancelCauseFunc)(errPartRefused)
		}
		return true
	})
}

// checkParts returns an error if upstreams die with a part of the prompt.
func (x *exchange) checkParts() error {
	guard := x.relayer.options.Parts
	if guard == nil || len(x.shared.Parts) == 0 {
		return nil
	}
	return guard.Check(x.shared)
}

// reportAnswered reports that the response began at a time and that the upstream did
// not die of the request.
func (x *exchange) reportAnswered(began time.Time) {
	if guard := x.relayer.options.Parts; guard != nil && len(x.shared.Parts) > 0 {
		guard.PartsAnswered(x.shared, began)
	}
}

// reportLoss reports that an upstream died while it ran the request, if the error of the
// attempt and the upstream show that.
func (x *exchange) reportLoss(ctx context.Context, placed redwingshunt.Placed, err error, l loss) {
	suspects := x.relayer.options.Suspects
	if suspects == nil || !x.admitted || ctx.Err() != nil || errors.Is(err, errStalled) {
		return
	}
	silent := isTimeout(err)
	if !x.hasDied(ctx, placed.Upstream.Address, silent) {
		return
	}
	x.relayer.options.Carrier.CloseIdle(placed.Upstream.Address)
	x.admitted = false
	suspects.Lost(x.fingerprint, placed.Upstream.Key())
	if guard := x.relayer.options.Parts; guard != nil && !l.answered && !silent {
		guard.PartsLost(x.shared, x.fingerprint, placed.Upstream.Key(), l.progress)
	}
	x.relayer.options.Logger.Warn("upstream died with a request", "request", x.id, "upstream", string(placed.Upstream.ID),
		"account", string(x.account), "attempt", x.tries, "progress", l.progress.String(), "answered", l.answered,
		"silent", silent, "parts", x.shared.Parts)
}

// hasDied reports whether an upstream whose attempt failed has died. One that still
// accepts connections has not, nor has a silent one that does not refuse them.
func (x *exchange) hasDied(ctx context.Context, address netip.AddrPort, silent bool) bool {
	if silent {
		return x.relayer.options.Carrier.Ended(ctx, address)
	}
	return !x.relayer.options.Carrier.Alive(ctx, address)
}
