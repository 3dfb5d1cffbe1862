package redwingshunt

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ErrStopping is the cancellation cause of requests that still run when the time
// limit of a graceful shutdown expires.
var ErrStopping = errors.New("the instance is shutting down")

// StatusClientClosed is the de facto status code for a caller that disconnected
// before the response (nginx's 499).
const StatusClientClosed = 499

// Ending describes why a request's context was cancelled before its response.
type Ending struct {
	Reason Reason
	Status int // HTTP status for the caller
	Detail string
}

// EndingOf returns why a done context was cancelled: the instance is stopping or
// the caller disconnected.
func EndingOf(ctx context.Context) Ending {
	if errors.Is(context.Cause(ctx), ErrStopping) {
		return Ending{ReasonStopping, http.StatusServiceUnavailable, ErrStopping.Error()}
	}
	return Ending{ReasonCancelled, StatusClientClosed, "the caller went away"}
}

// WithoutCaller returns a context that is not cancelled when the caller
// disconnects but still is when the instance stops.
func WithoutCaller(ctx context.Context) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if cause := context.Cause(ctx); errors.Is(cause, ErrStopping) {
			cancel(cause)
		}
	})
	return detached, func() { stop(); cancel(nil) }
}

// Pause blocks for d or until ctx is done, whichever comes first.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
