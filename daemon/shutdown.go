package daemon

import (
	"context"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// shutdown stops the instance gracefully: it notifies other instances, refuses
// new requests, and waits for running ones up to the drain limit. A voter hands its
// seat over meanwhile.
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
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		if d.failed == nil {
			d.handOver(ctx)
		}
	}()
	d.listener.Leave()
	if d.routeServer != nil {
		d.routeServer.relayer.Leave()
	}
	redwingshunt.Pause(ctx, d.settings.Notice)
	d.listener.Stop()
	if d.routeServer != nil {
		d.routeServer.shutdown(ctx)
	}
	if err := d.listener.Shutdown(ctx); err != nil {
		d.abortRequests()
	}
	if unrecorded, left := d.guarantees.finish(ctx); unrecorded+left > 0 {
		d.logger.Warn("claims or answers could not be handed over", "unrecorded", unrecorded, "answers", left)
	}
	<-handedOver
	d.dispatcher.Close()
	d.control.close()
	d.linker.Close()
	d.grpc.Stop()
	_ = d.admin.Close()
	d.logger.Info("stopped")
}

// abortTimeout limits the time in which aborted requests notify their callers.
const abortTimeout = 2 * time.Second

// abortRequests aborts the requests that run at the drain limit. Callers are told
// the outcome; connections are closed only if that exceeds abortTimeout.
func (d *Daemon) abortRequests() {
	d.logger.Warn("requests still running at the drain limit", "running", d.listener.Running())
	d.listener.Abort()
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	if d.listener.Shutdown(ctx) != nil {
		_ = d.listener.Close()
	}
}

// running returns the number of running requests.
func (d *Daemon) running() int64 {
	running := d.listener.Running()
	if d.routeServer != nil {
		running += int64(d.routeServer.relayer.Running())
	}
	return running
}
