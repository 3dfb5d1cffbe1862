package accountant

import (
	"testing"

	"github.com/redwingshunt/redwingshunt"
)

// BenchmarkEvent measures the processing of one streamed chunk of a chat completion.
func BenchmarkEvent(b *testing.B) {
	data := []byte(`{"id":"chatcmpl-8f0","object":"chat.completion.chunk","created":1700000000,"model":"assistant",` +
		`"choices":[{"index":0,"delta":{"content":"word "},"logprobs":null,"finish_reason":null}]}`)
	m := NewMeter(&redwingshunt.Service{Cost: redwingshunt.CostTokens}, func(redwingshunt.Cost) {})
	b.ReportAllocs()
	for range b.N {
		m.Event(data)
	}
	if m.Total(0) != redwingshunt.Cost(b.N) {
		b.Error("a chunk was not counted")
	}
}
