package connector

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// flight is one request on a connection.
type flight struct {
	generation *generation
	cancel     context.CancelCauseFunc
	watch      *time.Timer
	last       atomic.Int64 // Unix nanoseconds of the last byte
	pause      atomic.Int64 // nanoseconds of quiet at which it is asked about
	ended      atomic.Bool
	silent     atomic.Bool
}

// progress notes that a byte came.
func (f *flight) progress() {
	f.last.Store(time.Now().UnixNano())
	f.pause.Store(int64(quiet))
}

// quiet returns how long no byte has come.
func (f *flight) quiet(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - f.last.Load())
}

// check asks about the connection when the request is quiet.
func (f *flight) check() {
	if f.ended.Load() {
		return
	}
	pause := f.pause.Load()
	if left := time.Duration(pause) - f.quiet(time.Now()); left > 0 {
		f.watch.Reset(left)
		return
	}
	f.generation.check()
	// The next question comes when the quiet has doubled.
	next := min(2*pause, pause+int64(maxQuiet))
	f.pause.CompareAndSwap(pause, next)
	if !f.ended.Load() {
		f.watch.Reset(quiet)
	}
}

// end stops the watch and returns the error of the request.
func (f *flight) end(err error) error {
	f.ended.Store(true)
	f.watch.Stop()
	f.generation.leave(f)
	f.cancel(nil)
	return f.explain(err)
}

// explain replaces the error of a cancelled request by its cause.
func (f *flight) explain(err error) error {
	if err != nil && f.silent.Load() {
		return errors.Join(ErrSilent, err)
	}
	return err
}

// body watches the bytes of an answer.
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
		err = b.flight.explain(err)
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
