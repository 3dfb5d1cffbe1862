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
	d.finishChanges(ctx)
	d.dispatcher.Close()
	d.control.close()
	d.linker.Close()
	d.grpc.Stop()
	d.closeAdmin()
	d.logger.Info("stopped")
}

// changesTimeout limits the time in which changes and reads of the document that wait
// for the log are completed, through another voter if the log of this instance has
// failed.
const changesTimeout = 1500 * time.Millisecond

// finishChanges refuses further calls of operators that need the log, and waits at most
// changesTimeout for those in progress.
func (d *Daemon) finishChanges(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	d.control.submitter.Close()
	for d.control.submitter.Pending() > 0 && ctx.Err() == nil {
		redwingshunt.Pause(ctx, finishPollInterval)
	}
	if pending := d.control.submitter.Pending(); pending > 0 {
		d.logger.Warn("changes or reads of the document could not be completed", "pending", pending)
	}
}

// responseTimeout limits the time in which the last answers are written.
const responseTimeout = time.Second

func (d *Daemon) closeAdmin() {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	if d.admin.Shutdown(ctx) != nil {
		_ = d.admin.Close()
	}
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
