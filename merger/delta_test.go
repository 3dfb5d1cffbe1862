package merger

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/redwingshunt/redwingshunt/wire"
)

func init() { _ = flag.Set("rapid.seed", "7") }

// routesText returns one line of JSON with many routes, of which some have another
// timeout and one may be left out.
func routesText(routes int, changed map[int]int, left int) []byte {
	var text strings.Builder
	text.WriteString(`{"version":7,"routes":[`)
	for i := range routes {
		if i == left {
			continue
		}
		fmt.Fprintf(&text, `{"name":"r-%06d","host":"h%d.example","pathPrefix":"/p%05d/","routeType":"safe","timeoutMs":%d,"maxAttempts":2},`,
			i, i%7, i, 1000+changed[i])
	}
	text.WriteString(`]}`)
	return []byte(text.String())
}

// TestDeltaGrowsWithChanges checks that changes far apart do not make an edit as large
// as the text between them.
func TestDeltaGrowsWithChanges(t *testing.T) {
	before := routesText(1050, nil, -1)
	tests := map[string]struct {
		after []byte
		limit int // bytes
	}{
		"equal":              {before, 64},
		"first and last":     {routesText(1050, map[int]int{0: 1, 1049: 2}, -1), 512},
		"ten":                {routesText(1050, map[int]int{0: 1, 99: 2, 200: 3, 301: 4, 402: 5, 503: 6, 604: 7, 705: 8, 806: 9, 1049: 10}, -1), 2 << 10},
		"one left out":       {routesText(1050, map[int]int{1: 1, 1000: 1}, 500), 512},
		"grown by a hundred": {routesText(1150, map[int]int{0: 1}, -1), 16 << 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			edit := Delta(before, test.after)
			is.True(proto.Size(edit) <= test.limit)
			after, err := Apply(before, edit)
			is.NoErr(err)
			is.True(bytes.Equal(after, test.after))
		})
	}
}

// TestDeltaRestoresText applies edits between texts that share runs in any order.
func TestDeltaRestoresText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange('a', 'd'), 0, 100), 1, 6).Draw(t, "runs")
		draw := func(label string) []byte {
			var text []byte
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(runs)-1), 0, 12).Draw(t, label) {
				text = append(text, runs[i]...)
			}
			return text
		}
		before, after := draw("before"), draw("after")
		got, err := Apply(before, Delta(before, after))
		if err != nil || !bytes.Equal(got, after) {
			t.Fatalf("edit from %q to %q gives %q, %v", before, after, got, err)
		}
	})
}

// TestDeltaOfAnotherText checks that an edit is refused for a text that it was not
// made for, and with pieces that no text has.
func TestDeltaOfAnotherText(t *testing.T) {
	before := routesText(100, nil, -1)
	edit := Delta(before, routesText(100, map[int]int{3: 1, 90: 2}, -1))
	tests := map[string]struct {
		before []byte
		edit   *wire.Edit
	}{
		"too short":     {before[:100], edit},
		"another text":  {routesText(100, map[int]int{50: 1}, -1), edit},
		"out of range":  {before, &wire.Edit{Pieces: []*wire.EditPiece{{Start: 1<<32 - 1, Size: 1<<32 - 1}}}},
		"endless":       {before, &wire.Edit{Pieces: repeatedPieces(1<<13, len(before))}},
		"without a sum": {before, &wire.Edit{Pieces: []*wire.EditPiece{{Size: 10}}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Apply(test.before, test.edit)
			is.True(errors.Is(err, ErrMismatch))
		})
	}
}

func repeatedPieces(pieces, size int) []*wire.EditPiece {
	var repeated []*wire.EditPiece
	for range pieces {
		repeated = append(repeated, &wire.EditPiece{Size: uint32(size)})
	}
	return repeated
}

// BenchmarkDelta compares two texts of the largest size of a document.
func BenchmarkDelta(b *testing.B) {
	before, after := routesText(60_000, nil, -1), routesText(60_000, map[int]int{0: 1, 30_000: 2, 59_999: 3}, 40_000)
	b.SetBytes(int64(len(after)))
	for b.Loop() {
		Delta(before, after)
	}
}
