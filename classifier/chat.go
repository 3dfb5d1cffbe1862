package classifier

import (
	"encoding/json"

	"github.com/redwingshunt/redwingshunt"
)

// The estimate of a chat completion before anything is known of it.
const (
	bytesPerToken    = 4   // of a prompt
	completionTokens = 256 // when the caller sets no maximum
)

// chatRequest holds the fields of a chat completion that routing needs.
type chatRequest struct {
	Model         string         `json:"model"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options"`
	MaxTokens     int64          `json:"max_tokens"`
	MaxCompletion int64          `json:"max_completion_tokens"`
	Messages      []any          `json:"messages"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

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
		completion = completionTokens
	}
	return redwingshunt.Cost(int64(bodyLength/bytesPerToken) + completion)
}

// forUpstream asks a streaming engine for its usage report, which is where the
// cost of the request is read.
func (c *chatRequest) forUpstream(body []byte) []byte {
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
