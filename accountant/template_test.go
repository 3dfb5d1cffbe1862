package accountant

import (
	"strings"
	"testing"

	"github.com/redwingshunt/redwingshunt"
)

// FuzzEvents reads the events of a stream, one a line. However many came before,
// each counts as it does when it is the first one and is parsed.
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
		whole := NewMeter(service, func(redwingshunt.Cost) {})
		var streamed redwingshunt.Cost
		var reported redwingshunt.Option[redwingshunt.Cost]
		for line := range strings.Lines(text) {
			data := []byte(strings.TrimSuffix(line, "\n"))
			whole.Event(data)
			alone := NewMeter(service, func(redwingshunt.Cost) {})
			alone.Event(data)
			streamed += alone.streamed
			if alone.reported != (redwingshunt.Option[redwingshunt.Cost]{}) {
				reported = alone.reported
			}
		}
		if whole.streamed != streamed || whole.reported != reported {
			t.Errorf("counted %d, %v instead of %d, %v", whole.streamed, whole.reported, streamed, reported)
		}
	})
}
