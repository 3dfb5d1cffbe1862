package explainer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const routerLog = `collector 12 {"time":"2026-01-20T06:32:28.000Z","level":"INFO","msg":"upstream announced","instance":"router-1","upstream":"u1","leaving":true}
{"time":"2026-01-20T06:32:28.000Z","level":"INFO","msg":"upstream announced","instance":"router-1","upstream":"u9","leaving":true}
{"time":"2026-01-20T06:32:20.000Z","level":"INFO","msg":"configuration in force","instance":"router-1","revision":1}
{"time":"2026-01-20T06:32:27.000Z","level":"INFO","msg":"configuration in force","instance":"router-1","revision":2}
{"time":"2026-01-20T06:32:27.000Z","level":"INFO","msg":"configuration in force","instance":"router-2","revision":2}
{"time":"2026-01-20T06:32:29.500Z","level":"WARN","msg":"request ended","instance":"router-1","request":"r1","upstream":"u1","outcome":"broken"}
{"time":"2026-01-20T06:32:29.250Z","level":"WARN","msg":"attempt failed","instance":"router-1","request":"r1","upstream":"u1","error":"reset by peer"}
{"time":"2026-01-20T06:32:29.000Z","level":"INFO","msg":"request ended","instance":"router-1","request":"r2"}
no entry at all
{"time":"soon","msg":"x"}
{"time":"2026-01-20T06:32:29.
`

func TestStory(t *testing.T) {
	is := is.New(t)
	story := New("r1")
	is.NoErr(story.Read("router-1.log", strings.NewReader(routerLog)))
	var lines []string
	for _, e := range story.Lines() {
		lines = append(lines, e.String())
	}
	is.Equal(lines, []string{
		`06:32:27.000 INFO  router-1: configuration in force revision=2`,
		`06:32:28.000 INFO  router-1: upstream announced upstream=u1 leaving=true`,
		`06:32:29.250 WARN  router-1: attempt failed request=r1 upstream=u1 error="reset by peer"`,
		`06:32:29.500 WARN  router-1: request ended request=r1 upstream=u1 outcome=broken`,
	})
	is.Equal(story.Unread(), 3)
	unknown := New("r9")
	is.NoErr(unknown.Read("router-1.log", strings.NewReader(routerLog)))
	is.Equal(len(unknown.Lines()), 0)
}

func FuzzRead(f *testing.F) {
	f.Add(routerLog)
	f.Fuzz(func(_ *testing.T, text string) {
		story := New("r1")
		if err := story.Read("x", strings.NewReader(text)); err != nil {
			return
		}
		_ = fmt.Sprint(story.Lines())
	})
}
