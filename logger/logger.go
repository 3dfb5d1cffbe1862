// Package logger writes the lines of the log without ever making their author
// wait: lines go to a bounded buffer, which one goroutine empties.
//
// When the buffer is full, lines of served requests give way before warnings
// and errors, which have room of their own. What was dropped is counted and
// said in a line of its own as soon as there is room.
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
	// ordinaryLines and urgentLines bound the lines that wait, some seconds of
	// a busy router's.
	ordinaryLines = 2048
	urgentLines   = 2048
	// gather is how long lines are collected for one write.
	gather = 50 * time.Millisecond
	// mostBytes is written at once.
	mostBytes = 64 << 10
)

// Logger takes lines and writes them in the background.
type Logger struct {
	out      io.Writer
	level    slog.Leveler
	ordinary chan []byte
	urgent   chan []byte
	dropped  atomic.Uint64
	told     uint64
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

// Handler returns the handler that feeds the logger with JSON lines.
func (l *Logger) Handler() slog.Handler {
	options := &slog.HandlerOptions{Level: l.level}
	return &handler{
		ordinary: slog.NewJSONHandler(queue{l, l.ordinary}, options),
		urgent:   slog.NewJSONHandler(queue{l, l.urgent}, options),
	}
}

// Dropped returns the lines that found no room.
func (l *Logger) Dropped() uint64 { return l.dropped.Load() }

// Close writes what waits and stops.
func (l *Logger) Close() {
	l.once.Do(func() { close(l.stop) })
	<-l.done
}

// queue is the writer of one of the two handlers.
type queue struct {
	logger *Logger
	lines  chan []byte
}

// Write takes one line.
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
	ticker := time.NewTicker(gather)
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

// flush writes all lines that wait, urgent ones first.
func (l *Logger) flush(buffer *bytes.Buffer) {
	for _, lines := range []chan []byte{l.urgent, l.ordinary} {
		for waiting := true; waiting; {
			select {
			case line := <-lines:
				buffer.Write(line)
			default:
				waiting = false
			}
			if buffer.Len() >= mostBytes || !waiting {
				l.write(buffer)
			}
		}
	}
	if dropped := l.dropped.Load(); dropped > l.told {
		fmt.Fprintf(buffer, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n",
			time.Now().Format(time.RFC3339Nano), dropped-l.told)
		l.told = dropped
		l.write(buffer)
	}
}

func (l *Logger) write(buffer *bytes.Buffer) {
	if buffer.Len() == 0 {
		return
	}
	_, _ = l.out.Write(buffer.Bytes()) // there is nowhere left to tell
	buffer.Reset()
}

// handler sends lines to the queue of their urgency.
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
