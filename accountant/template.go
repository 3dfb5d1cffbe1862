package accountant

import "bytes"

// template is a streamed piece that was parsed and counted, without its text.
//
// The pieces of a stream mostly differ in nothing but their text:
//
//	{"id":"c1","choices":[{"index":0,"delta":{"content":"a "}}]}
//	{"id":"c1","choices":[{"index":0,"delta":{"content":"b "}}]}
//
// A string without escapes that takes the place of another one leaves the rest
// of a JSON text as it was. So a piece that fits counts as the one before did,
// and needs no parsing.
type template struct {
	head, tail []byte // of a counted piece; none when head is empty
}

// largestTemplate bounds what is kept of a piece.
const largestTemplate = 4 << 10 // bytes

// textKey ends where the text of a piece begins. In valid JSON, these bytes are
// always the end of a key and the beginning of its string: a quotation mark
// after a letter is not escaped.
var textKey = []byte(`"content":"`)

// fits reports whether data is the kept piece with another text.
func (t *template) fits(data []byte) bool {
	if len(t.head) == 0 || len(data) <= len(t.head)+len(t.tail) {
		return false
	}
	end := len(data) - len(t.tail)
	return bytes.HasPrefix(data, t.head) && bytes.HasSuffix(data, t.tail) && isPlain(data[len(t.head):end])
}

// keep takes a piece that was counted and had no usage report.
func (t *template) keep(data []byte) {
	t.head = t.head[:0]
	i := bytes.Index(data, textKey)
	if i < 0 || len(data) > largestTemplate {
		return
	}
	start := i + len(textKey)
	length := bytes.IndexByte(data[start:], '"')
	if length <= 0 || !isPlain(data[start:start+length]) {
		return
	}
	t.head = append(t.head, data[:start]...)
	t.tail = append(t.tail[:0], data[start+length:]...)
}

// isPlain reports whether text stands for itself in a JSON string.
func isPlain(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
