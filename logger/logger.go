// Package logger writes log lines without blocking the caller: lines go to
// bounded queues, which one goroutine drains.
//
// Warnings and errors have a queue of their own, so that lines of served requests
// cannot displace them. When a queue is full, lines are dropped and counted; the
// count is logged in a separate line as soon as there is room.
//
// # Usage
//
//	log := logger.New(os.Stderr, slog.LevelInfo)
//	defer log.Close()
//	slog.New(log.Handler()).Info("serving")
package logger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ordinaryLines and urgentLines are the capacities of the queues in lines:
	// a few seconds of output of a busy router.
	ordinaryLines = 2048
	urgentLines   = 2048
	// flushInterval is how long lines are collected for one write.
	flushInterval = 50 * time.Millisecond
	// maxWriteBytes is the buffered size at which lines are written.
	maxWriteBytes = 64 << 10
)

// Logger queues log lines and writes them in the background.
type Logger struct {
	out      io.Writer
	level    slog.Leveler
	ordinary chan []byte
	urgent   chan []byte
	dropped  atomic.Uint64
	reported uint64 // dropped lines that have been logged
	stop     chan struct{}
	once     sync.Once
	done     chan struct{}
}

// New returns a logger that writes to out.
func New(out io.Writer, level slog.Leveler) *Logger {
	l := &Logger{
		out: out, level: level,
		ordinary: make(chan []byte, ordinaryLines),
		urgent:   make(chan []byte, urgentLines),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	go l.run()
	return l
}

// Handler returns a handler that queues records as JSON lines.
func (l *Logger) Handler() slog.Handler {
	options := &slog.HandlerOptions{Level: l.level}
	return &handler{
		ordinary: slog.NewJSONHandler(queue{l, l.ordinary}, options),
		urgent:   slog.NewJSONHandler(queue{l, l.urgent}, options),
	}
}

// Dropped returns the number of lines dropped because a queue was full.
func (l *Logger) Dropped() uint64 { return l.dropped.Load() }

// Close writes the queued lines and stops the logger.
func (l *Logger) Close() {
	l.once.Do(func() { close(l.stop) })
	<-l.done
}

// queue is the io.Writer of one of the two handlers.
type queue struct {
	logger *Logger
	lines  chan []byte
}

// Write queues one line, or drops it if the queue is full.
func (q queue) Write(p []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(p):
	default:
		q.logger.dropped.Add(1)
	}
	return len(p), nil
}

func (l *Logger) run() {
	defer close(l.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var buffer bytes.Buffer
	for {
		select {
		case <-l.stop:
			l.flush(&buffer)
			return
		case line := <-l.urgent:
			buffer.Write(line)
		case line := <-l.ordinary:
			buffer.Write(line)
		}
		select {
		case <-l.stop:
		case <-ticker.C:
		}
		l.flush(&buffer)
	}
}

// flush writes all queued lines, urgent ones first.
func (l *Logger) flush(buffer *bytes.Buffer) {
	for _, lines := range []chan []byte{l.urgent, l.ordinary} {
		for waiting := true; waiting; {
			select {
			case line := <-lines:
				buffer.Write(line)
			default:
				waiting = false
			}
			if buffer.Len() >= maxWriteBytes || !waiting {
				l.write(buffer)
			}
		}
	}
	if dropped := l.dropped.Load(); dropped > l.reported {
		fmt.Fprintf(buffer, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n",
			time.Now().Format(time.RFC3339Nano), dropped-l.reported)
		l.reported = dropped
		l.write(buffer)
	}
}

func (l *Logger) write(buffer *bytes.Buffer) {
	if buffer.Len() == 0 {
		return
	}
	_, _ = l.out.Write(buffer.Bytes()) // a failure of the log itself cannot be logged
	buffer.Reset()
}

// handler sends records to the urgent or the ordinary queue, by level.
type handler struct {
	ordinary, urgent slog.Handler
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.ordinary.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level >= slog.LevelWarn {
		return h.urgent.Handle(ctx, record)
	}
	return h.ordinary.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &handler{ordinary: h.ordinary.WithAttrs(attributes), urgent: h.urgent.WithAttrs(attributes)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{ordinary: h.ordinary.WithGroup(name), urgent: h.urgent.WithGroup(name)}
}
