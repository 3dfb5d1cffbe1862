package daemon

import (
	"context"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// shutdown leaves the fleet without cutting a request: it tells the others,
// refuses new requests, and waits for running ones up to the drain limit.
func (d *Daemon) shutdown() {
	d.logger.Info("shutting down", "running", d.running(), "limit", d.settings.Drain.String())
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Notice+d.settings.Drain)
	defer cancel()
	if d.options.Abort != nil {
		go func() {
			select {
			case <-d.options.Abort:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	d.members.leave()
	d.listener.Leave()
	if d.front != nil {
		d.front.relayer.Leave()
	}
	redwingshunt.Pause(ctx, d.settings.Notice)
	d.listener.Stop()
	if d.front != nil {
		d.front.shutdown(ctx)
	}
	if err := d.listener.Shutdown(ctx); err != nil {
		d.endRequests()
	}
	if unrecorded, left := d.guarantees.finish(ctx); unrecorded+left > 0 {
		d.logger.Warn("claims or answers could not be handed over", "unrecorded", unrecorded, "answers", left)
	}
	d.dispatcher.Close()
	d.control.close()
	d.linker.Close()
	d.grpc.Stop()
	_ = d.admin.Close()
	d.logger.Info("stopped")
}

// abortTime is how long requests that are ended early may take to tell their
// callers.
const abortTime = 2 * time.Second

// endRequests ends what still runs at the limit: callers are told what they may
// believe, and only what does not even get that far is cut.
func (d *Daemon) endRequests() {
	d.logger.Warn("requests were still running at the drain limit", "running", d.listener.Running())
	d.listener.Abort()
	ctx, cancel := context.WithTimeout(context.Background(), abortTime)
	defer cancel()
	if d.listener.Shutdown(ctx) != nil {
		_ = d.listener.Close()
	}
}

// running returns the requests that are being served.
func (d *Daemon) running() int64 {
	running := d.listener.Running()
	if d.front != nil {
		running += int64(d.front.relayer.Running())
	}
	return running
}
