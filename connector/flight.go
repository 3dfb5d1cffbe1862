package connector

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// flight is one request in flight.
type flight struct {
	generation *generation
	cancel     context.CancelCauseFunc
	timer      *time.Timer
	lastByte   atomic.Int64 // Unix nanoseconds of the last byte
	threshold  atomic.Int64 // nanoseconds without a byte at which check runs next
	ended      atomic.Bool
	silent     atomic.Bool
}

// progress records that a byte was received.
func (f *flight) progress() {
	f.lastByte.Store(time.Now().UnixNano())
	f.threshold.Store(int64(quietTime))
}

// quietTime returns the time since the last byte.
func (f *flight) quietTime(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - f.lastByte.Load())
}

// check checks the connection when the request has received no byte for a while.
func (f *flight) check() {
	if f.ended.Load() {
		return
	}
	threshold := f.threshold.Load()
	if remaining := time.Duration(threshold) - f.quietTime(time.Now()); remaining > 0 {
		f.timer.Reset(remaining)
		return
	}
	f.generation.check()
	// The next check follows after twice the time without a byte.
	next := min(2*threshold, threshold+int64(maxCheckInterval))
	f.threshold.CompareAndSwap(threshold, next)
	if !f.ended.Load() {
		f.timer.Reset(quietTime)
	}
}

// end stops the checks and returns the error of the request.
func (f *flight) end(err error) error {
	f.ended.Store(true)
	f.timer.Stop()
	f.generation.remove(f)
	f.cancel(nil)
	return f.withCause(err)
}

// withCause adds ErrSilent to the error of a request that was cancelled because
// its connection went silent.
func (f *flight) withCause(err error) error {
	if err != nil && f.silent.Load() {
		return errors.Join(ErrSilent, err)
	}
	return err
}

// body is the body of a response; it records progress on each read.
type body struct {
	reader io.ReadCloser
	flight *flight
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if n > 0 {
		b.flight.progress()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.flight.withCause(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.reader.Close()
	if !b.flight.ended.Load() {
		_ = b.flight.end(nil)
	}
	return err
}
