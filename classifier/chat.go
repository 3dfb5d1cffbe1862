package classifier

import (
	"encoding/json"

	"github.com/redwingshunt/redwingshunt"
)

// Parts of the estimate of a chat completion.
const (
	bytesPerToken           = 4   // of the prompt
	defaultCompletionTokens = 256 // if the caller sets no maximum
)

// chatRequest contains the fields of a chat completion that routing needs.
type chatRequest struct {
	Model         string         `json:"model"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options"`
	MaxTokens     int64          `json:"max_tokens"`
	MaxCompletion int64          `json:"max_completion_tokens"`
	Messages      []skipped      `json:"messages"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// skipped is a JSON value that is not decoded. Decoding the messages would take many
// times the memory of the body, which a caller may fill with the shortest values.
type skipped struct{}

// UnmarshalJSON implements json.Unmarshaler.
func (*skipped) UnmarshalJSON([]byte) error { return nil }

func parseChat(body []byte) (*chatRequest, error) {
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return nil, err
	}
	return &chat, nil
}

// estimate returns the tokens that the request may cost.
func (c *chatRequest) estimate(bodyLength int) redwingshunt.Cost {
	completion := max(c.MaxTokens, c.MaxCompletion)
	if completion <= 0 {
		completion = defaultCompletionTokens
	}
	return redwingshunt.Cost(int64(bodyLength/bytesPerToken) + completion)
}

// withUsage requests a usage report of a streaming engine, from which the cost
// of the request is read. It returns the body unchanged if the caller has set
// stream_options.
func (c *chatRequest) withUsage(body []byte) []byte {
	if !c.Stream || c.StreamOptions != nil {
		return body
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return body
	}
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	changed, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return changed
}
