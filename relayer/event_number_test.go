package relayer

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// numbered returns events with the given numbers.
func numbered(numbers ...uint64) string {
	var text strings.Builder
	for _, n := range numbers {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", n, n)
	}
	return text.String()
}

// chunk returns text as one chunk of a body that has not ended.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// TestStreamResumesAfterAnyNumber guards against events that come twice or are lost
// where zero is taken for no event: a stream that breaks off is resumed after its last
// event, whatever its number.
func TestStreamResumesAfterAnyNumber(t *testing.T) {
	const head = streamHead + "Transfer-Encoding: chunked\r\n\r\n"
	const lastChunk = "0\r\n\r\n"
	tests := map[string]struct {
		caller string // Last-Event-Id of the caller
		first  string // what the first upstream sends before it closes
		want   string // Last-Event-Id at the second upstream
		second string
		body   string
		cut    bool
	}{
		"after zero":             {first: numbered(0), want: "0", second: numbered(1, 2), body: numbered(0, 1, 2)},
		"after one":              {first: numbered(1), want: "1", second: numbered(2, 3), body: numbered(1, 2, 3)},
		"before the first":       {want: "", second: numbered(0, 1), body: numbered(0, 1)},
		"caller resumes at zero": {caller: "0", want: "0", second: numbered(1, 2), body: numbered(1, 2)},
		"zero comes twice":       {first: numbered(0), want: "0", second: numbered(0, 1), body: numbered(0), cut: true},
		"caller got zero":        {caller: "0", want: "0", second: numbered(0, 1), body: "", cut: true},
		"largest number":         {first: numbered(1<<64 - 1), want: "18446744073709551615", second: numbered(0), body: numbered(1<<64 - 1), cut: true},
		"one is left out":        {first: numbered(0), want: "0", second: numbered(2, 3), body: numbered(0), cut: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.setUpstreams(f.streaming)
			first := head
			if test.first != "" {
				first += chunk(test.first)
			}
			f.rawUpstream(t, 0, false, first)
			sent := f.recordingUpstream(t, 1, head+chunk(test.second)+lastChunk)
			got := f.send(t, "/resumable/a", func(r *http.Request) {
				if test.caller != "" {
					r.Header.Set(redwingshunt.HeaderLastEvent, test.caller)
				}
			})
			is.Equal((<-sent).Get(redwingshunt.HeaderLastEvent), test.want)
			if test.body == "" {
				is.Equal(got.status, http.StatusBadGateway)
				return
			}
			is.Equal(got.body, test.body)
			is.Equal(got.err != nil, test.cut)
		})
	}
}

// TestEventNumbers checks which numbers may follow each other.
func TestEventNumbers(t *testing.T) {
	tests := map[string]struct {
		numbers []uint64
		want    error
	}{
		"from zero":           {[]uint64{0, 1, 2}, nil},
		"from any":            {[]uint64{7, 8, 9}, nil},
		"zero twice":          {[]uint64{0, 0}, errEventOrder},
		"repeated":            {[]uint64{1, 2, 2}, errEventOrder},
		"back":                {[]uint64{5, 6, 4}, errEventOrder},
		"left out":            {[]uint64{1, 2, 4}, errEventOrder},
		"left out after zero": {[]uint64{0, 2}, errEventOrder},
		"after the largest":   {[]uint64{1<<64 - 1, 0}, errEventOrder},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s eventSplitter
			_, err := s.push([]byte(numbered(test.numbers...)))
			is.Equal(err, test.want)
		})
	}
}
