package accountant

import (
	"strings"
	"testing"

	"github.com/redwingshunt/redwingshunt"
)

// FuzzEvents processes the events of a stream, one per line, and checks that each
// one counts the same as when it is the first of a stream and therefore parsed.
func FuzzEvents(f *testing.F) {
	const a = `{"choices":[{"delta":{"content":"a"}}]}`
	for _, second := range []string{
		`{"choices":[{"delta":{"content":"b c"}}]}`,
		`{"choices":[{"delta":{"content":""}}]}`,
		`{"choices":[{"delta":{"content":"\\"}}]}`,
		`{"choices":[{"delta":{"content":"\""}}]}`,
		`{"choices":[{"delta":{"content":"\u00"}}]}`,
		"{\"choices\":[{\"delta\":{\"content\":\"\t\"}}]}",
		`{"choices":[{"delta":{"content":"b"},"delta":{"content":""}}]}`,
		`{"choices":[{"delta":{"content":"b","content":""}}]}`,
		`{"choices":[{"delta":{"content":"b"}}],"usage":{"completion_tokens":7}}`,
		`{"choices":[{"delta":{"content":"b"}}],"usage":{"x":{"content":"a"}}}`,
		`{"choices":[{"delta":{"content":"b"}}`,
		`{"choices":[{"delta":{"contents":"a"}}]}`,
	} {
		f.Add(a + "\n" + second + "\n" + a)
		f.Add(second + "\n" + a + "\n" + second)
	}
	f.Add(`{"content":"x","choices":[{"delta":{"content":"a"}}]}` + "\n" + `{"content":"y","choices":[{"delta":{"content":""}}]}`)
	service := &redwingshunt.Service{Cost: redwingshunt.CostTokens}
	f.Fuzz(func(t *testing.T, text string) {
		stream := NewMeter(service, func(redwingshunt.Cost) {})
		var streamed redwingshunt.Cost
		var reported redwingshunt.Option[redwingshunt.Cost]
		for line := range strings.Lines(text) {
			data := []byte(strings.TrimSuffix(line, "\n"))
			stream.Event(data)
			single := NewMeter(service, func(redwingshunt.Cost) {})
			single.Event(data)
			streamed += single.streamed
			if single.reported != (redwingshunt.Option[redwingshunt.Cost]{}) {
				reported = single.reported
			}
		}
		if stream.streamed != streamed || stream.reported != reported {
			t.Errorf("counted %d, %v instead of %d, %v", stream.streamed, stream.reported, streamed, reported)
		}
	})
}
