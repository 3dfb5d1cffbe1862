package accountant

import "bytes"

// template is a streamed chunk that was parsed and counted, without its content.
//
// The chunks of a stream mostly differ only in their content:
//
//	{"id":"c1","choices":[{"index":0,"delta":{"content":"a "}}]}
//	{"id":"c1","choices":[{"index":0,"delta":{"content":"b "}}]}
//
// Replacing one string without escapes by another does not change how the rest of
// a JSON text parses. So a chunk that matches the template counts like the chunk
// before it and need not be parsed.
type template struct {
	head, tail []byte // of a counted chunk; no template is stored when head is empty
}

// maxTemplateBytes is the size of the largest chunk that is stored.
const maxTemplateBytes = 4 << 10

// contentKey precedes the content of a chunk. In valid JSON, these bytes are always
// the end of a key and the start of its string value, since a quotation mark after
// a letter is not escaped.
var contentKey = []byte(`"content":"`)

// matches reports whether data is the stored chunk with other content.
func (t *template) matches(data []byte) bool {
	if len(t.head) == 0 || len(data) <= len(t.head)+len(t.tail) {
		return false
	}
	end := len(data) - len(t.tail)
	return bytes.HasPrefix(data, t.head) && bytes.HasSuffix(data, t.tail) && isPlain(data[len(t.head):end])
}

// save stores a chunk that was counted and has no usage report.
func (t *template) save(data []byte) {
	t.head = t.head[:0]
	index := bytes.Index(data, contentKey)
	if index < 0 || len(data) > maxTemplateBytes {
		return
	}
	start := index + len(contentKey)
	length := bytes.IndexByte(data[start:], '"')
	if length <= 0 || !isPlain(data[start:start+length]) {
		return
	}
	t.head = append(t.head, data[:start]...)
	t.tail = append(t.tail[:0], data[start+length:]...)
}

// isPlain reports whether text has no character that a JSON string must escape.
func isPlain(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
