package redwingshunt

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ErrStopping is the cause with which the contexts of requests end that still
// run at the limit of a graceful shutdown.
var ErrStopping = errors.New("the instance is shutting down")

// StatusClientClosed is the customary status for a caller that went away.
const StatusClientClosed = 499

// Ending tells why the context of a request ended before its answer.
type Ending struct {
	Reason Reason
	Status int // HTTP status towards the caller
	Detail string
}

// EndingOf returns the ending of a context that is done: the instance stops, or
// the caller went away.
func EndingOf(ctx context.Context) Ending {
	if errors.Is(context.Cause(ctx), ErrStopping) {
		return Ending{ReasonStopping, http.StatusServiceUnavailable, ErrStopping.Error()}
	}
	return Ending{ReasonCancelled, StatusClientClosed, "the caller went away"}
}

// WithoutCaller returns a context that outlives the caller of ctx and still
// ends when the instance stops.
func WithoutCaller(ctx context.Context) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if cause := context.Cause(ctx); errors.Is(cause, ErrStopping) {
			cancel(cause)
		}
	})
	return detached, func() { stop(); cancel(nil) }
}

// Pause waits for d, or until ctx ends if that is sooner.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
