package relayer

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/receiver"
)

const (
	// defaultTimeout is the timeout of a request on a route that sets none.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes bounds a body in bytes if the document does not.
	defaultMaxBodyBytes = 4 << 20
	// bodyTimeout is the time in which a caller must send the body.
	bodyTimeout = 10 * time.Second
	// unreservedBodyBytes is the size in bytes up to which a body reserves no buffer
	// space.
	unreservedBodyBytes = 64 << 10
	// maxPromptParts bounds the number of parts of a prompt.
	maxPromptParts = 64
)

// pathOf returns the path as sent, without decoding.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(targetOf(r), "?")
	return path
}

// targetOf returns path and query as the caller sent them.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// headerSize returns the size in bytes of the request line and the header as
// received, except for optional white space.
func headerSize(r *http.Request) int64 {
	size := len(r.Method) + len(targetOf(r)) + len(" HTTP/1.1\r\nHost: \r\n\r\n") + 1 + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(": \r\n") + len(value)
		}
	}
	return int64(size)
}

// readHeader reads the deadline and the prompt from the request header.
func (x *exchange) readHeader() error {
	dialect, header := x.relayer.options.Dialect, x.request.Header
	limit := x.route.Limit
	if limit == 0 {
		limit = defaultTimeout
	}
	patience := limit
	if text := header.Get(dialect.Deadline); text != "" {
		left, err := strconv.ParseFloat(text, 64)
		if err != nil || !(left > 0 && left <= 1e9) { // NaN too
			return redwingshunt.NotRun(redwingshunt.ReasonInvalidRequest, http.StatusBadRequest,
				"the header "+dialect.Deadline+" is no number of milliseconds")
		}
		patience = time.Duration(left * float64(time.Millisecond))
		limit = min(limit, patience)
	}
	x.deadline, x.patience = x.arrived.Add(limit), x.arrived.Add(patience)
	x.prompt = parsePrompt(header.Get(dialect.Prompt))
	input, output := parseCount(header.Get(dialect.Count))
	x.output = output
	x.shared = redwingshunt.SharedPrompt{Service: x.service, Account: x.account}
	for _, part := range x.prompt[:max(len(x.prompt)-1, 0)] {
		x.shared.Parts = append(x.shared.Parts, part.ID)
	}
	if len(x.prompt) == 0 && input > 0 {
		x.prompt = []redwingshunt.Part{{ID: x.id, Tokens: input}}
	}
	return nil
}

// ParsePrompt parses the parts of a prompt as in the header of requests. It reports
// whether the value is valid; an empty one is.
func ParsePrompt(text string) ([]redwingshunt.Part, bool) {
	parts := parsePrompt(text)
	return parts, parts != nil || text == ""
}

// parsePrompt parses the parts of a prompt. It returns nil for an invalid value,
// which is still forwarded to the upstream unchanged.
func parsePrompt(text string) []redwingshunt.Part {
	if text == "" {
		return nil
	}
	fields := strings.Split(text, ",")
	if len(fields) > maxPromptParts {
		return nil
	}
	parts := make([]redwingshunt.Part, 0, len(fields))
	for _, field := range fields {
		id, count, ok := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.ParseUint(count, 10, 31)
		if !ok || err != nil || id == "" {
			return nil
		}
		parts = append(parts, redwingshunt.Part{ID: id, Tokens: int64(tokens)})
	}
	return parts
}

// parseCount parses the tokens of a prompt and of its longest completion. A value
// that is missing or invalid is zero.
func parseCount(text string) (input, output int64) {
	first, second, _ := strings.Cut(text, ",")
	in, err := strconv.ParseUint(strings.TrimSpace(first), 10, 31)
	if err != nil {
		return 0, 0
	}
	out, err := strconv.ParseUint(strings.TrimSpace(second), 10, 31)
	if err != nil {
		return int64(in), 0
	}
	return int64(in), int64(out)
}

// hasBody reports whether the request has a body, which may be empty.
func (x *exchange) hasBody() bool { return x.request.Body != nil && x.request.Body != http.NoBody }

// limitBodyTime limits the time in which the caller must send the body, until it is read. It
// holds for refused requests too: before its response to one, the server of the HTTP library
// waits for what is left of a short body.
func (x *exchange) limitBodyTime() {
	if x.hasBody() {
		// A response recorder, as used in tests, supports no deadline.
		_ = http.NewResponseController(x.writer).SetReadDeadline(x.arrived.Add(bodyTimeout))
	}
}

// readBody reads the complete body, so that the request can be sent again.
func (x *exchange) readBody(limits redwingshunt.RequestLimits) error {
	if !x.hasBody() {
		return nil
	}
	limit := limits.Body
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	length := x.request.ContentLength
	if length < 0 {
		length = limit // chunked
	}
	if length > unreservedBodyBytes && !x.reserveBody(int(min(length, limit))) {
		return redwingshunt.NotRun(redwingshunt.ReasonQueueFull, http.StatusServiceUnavailable,
			"this instance holds as many long requests as it carries; use another").After(fullRetryAfter)
	}
	body, err := receiver.ReadBody(x.writer, x.request, limit)
	x.body = body
	x.bodyUnread = err != nil && redwingshunt.OutcomeOf(err).Reason == redwingshunt.ReasonQueueFull // no memory for the rest
	return err
}
