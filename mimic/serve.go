package mimic

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/redwingshunt/redwingshunt"
)

// maxBodyBytes is the maximum number of bytes read from a request body.
const maxBodyBytes = 16 << 20

// bytesPerToken is the ratio used to estimate the tokens of a prompt.
const bytesPerToken = 4

// defaultTokens is the length of a completion if the request sets no maximum.
const defaultTokens = 32

// serve wraps a handler with the steps common to all requests: echo of the request
// ID, configured failures, counting of runs and the wait for a slot.
func (m *Mimic) serve(handle func(http.ResponseWriter, *http.Request, []byte)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(redwingshunt.HeaderRequest)
		w.Header().Set(redwingshunt.HeaderRequest, id)
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil {
			return
		}
		if m.refused() {
			w.Header().Set(redwingshunt.HeaderBegun, "no")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		m.count(id, body)
		if m.options.Poison != "" && bytes.Contains(body, []byte(m.options.Poison)) {
			m.Stop()
			panic(http.ErrAbortHandler)
		}
		m.waiting.Add(1)
		select {
		case m.slots <- struct{}{}:
			m.waiting.Add(-1)
		case <-r.Context().Done():
			m.waiting.Add(-1)
			m.noteCancelled()
			return
		}
		m.running.Add(1)
		defer func() {
			m.running.Add(-1)
			<-m.slots
		}()
		handle(w, r, body)
	}
}

func (m *Mimic) refused() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refuse
}

func (m *Mimic) count(id string, body []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs[id]++
	m.bodies[string(body)]++
}

func (m *Mimic) noteCancelled() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelled++
}

// pause waits for d and reports whether the request was not cancelled meanwhile.
func (m *Mimic) pause(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		m.noteCancelled()
		return false
	}
}

// plain responds with the request as received.
func (m *Mimic) plain(w http.ResponseWriter, r *http.Request, body []byte) {
	if !m.pause(r, m.options.First) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]string{
		"upstream": string(m.options.ID), "method": r.Method, "path": r.URL.RequestURI(), "body": string(body),
	})
}

type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

// chat serves a chat completion, streamed or whole.
func (m *Mimic) chat(w http.ResponseWriter, r *http.Request, body []byte) {
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	tokens := request.MaxTokens
	if tokens <= 0 {
		tokens = defaultTokens
	}
	prompt := len(body) / bytesPerToken
	if !m.pause(r, m.options.First) {
		return
	}
	if request.Stream {
		m.stream(w, r, prompt, tokens)
		return
	}
	if !m.pause(r, time.Duration(tokens)*m.options.Token) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant",`+
		`"content":"%d tokens from %s"},"finish_reason":"length"}],"usage":%s}`+"\n",
		tokens, m.options.ID, usage(prompt, tokens))
}

func (m *Mimic) stream(w http.ResponseWriter, r *http.Request, prompt, tokens int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := range tokens {
		if i > 0 && !m.pause(r, m.options.Token) {
			return
		}
		fmt.Fprintf(w, `data: {"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"t%d "}}]}`+"\n\n", i)
		if flusher.Flush() != nil {
			return
		}
	}
	fmt.Fprintf(w, `data: {"object":"chat.completion.chunk","choices":[],"usage":%s}`+"\n\ndata: [DONE]\n\n",
		usage(prompt, tokens))
}

func usage(prompt, completion int) string {
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`,
		prompt, completion, prompt+completion)
}
