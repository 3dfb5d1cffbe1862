package logger

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	text    Memory
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.text.Write(p)
}

// TestNeverBlocks logs more lines than the queues hold while the writer blocks.
// Logging must not block, warnings must be kept, and dropped lines counted.
func TestNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	l := New(out, slog.LevelInfo)
	log := slog.New(l.Handler()).With("instance", "a")
	for range 2*ordinaryLines + maxWriteBytes { // must return although nothing is written
		log.Info("served")
	}
	for range 100 {
		log.Warn("failed")
	}
	is.True(l.Dropped() > 0)
	close(out.release)
	l.Close()
	text := out.text.String()
	is.Equal(strings.Count(text, `"msg":"failed"`), 100)
	is.Equal(strings.Count(text, `"msg":"log lines dropped"`), 1)
	is.True(strings.Count(text, `"msg":"served"`) >= ordinaryLines)
	is.True(strings.Contains(text, `"instance":"a"`))
}

// TestLevel checks that records below the level are not logged.
func TestLevel(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := New(&out, slog.LevelWarn)
	log := slog.New(l.Handler())
	log.Info("quiet")
	log.Error("loud")
	l.Close()
	is.True(!strings.Contains(out.String(), "quiet"))
	is.True(strings.Contains(out.String(), "loud"))
}

// BenchmarkLine measures the cost of logging per request, with the line of an
// ended request enabled and disabled.
func BenchmarkLine(b *testing.B) {
	for name, level := range map[string]slog.Level{"with": slog.LevelInfo, "without": slog.LevelError} {
		b.Run(name, func(b *testing.B) {
			l := New(io.Discard, level)
			defer l.Close()
			log := slog.New(l.Handler()).With("instance", "front-north-a-1")
			for b.Loop() {
				log.LogAttrs(b.Context(), slog.LevelInfo, "request ended",
					slog.String("request", "9c41d07be2a35f68"), slog.String("outcome", "answered"), slog.Int("status", 200),
					slog.String("service", "titi12a"), slog.String("account", "balo570"), slog.String("upstream", "i-92055c4ea7"),
					slog.Int("tries", 1), slog.Int("sent", 0), slog.Duration("predicted", 81_250_000),
					slog.Duration("first", 333_318_538), slog.Duration("total", 4_548_222_211),
					slog.String("route", "r-yme82fi"), slog.Uint64("event", 44), slog.Uint64("version", 2))
			}
		})
	}
}
