package logger

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// slow is a writer that waits until it is released.
type slow struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *slow) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
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
