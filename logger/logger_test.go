package logger

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// slow is a writer that waits until it is released.
type slow struct {
	release chan struct{}
	text    Memory
}

func (s *slow) Write(p []byte) (int, error) {
	<-s.release
	return s.text.Write(p)
}

// TestNeverBlocks writes more than there is room for to a writer that stands
// still, and finds the failures kept and the rest counted.
func TestNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &slow{release: make(chan struct{})}
	l := New(out, slog.LevelInfo)
	log := slog.New(l.Handler()).With("instance", "a")
	for range 2*ordinaryLines + mostBytes { // returns although nothing is written
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

// TestLevel drops what is below the level.
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

// BenchmarkLine writes lines of ended requests, and none, to see what the log
// costs a request.
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
